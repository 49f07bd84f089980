// The choice of the region in which a request runs. The split between regions
// follows the load of the servers and moves no faster than the shift cap
// allows.

#ifndef CICADADRUM_ROUTING_REGION_SHARES_H_
#define CICADADRUM_ROUTING_REGION_SHARES_H_

#include <string>
#include <vector>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// The cost of the best server of a region for a request.
struct RegionCost {
  std::string region;
  double cost_ms = 0;
  // The server has enough free capacity to respond in good time.
  bool admits = true;
};
using RegionCosts = std::vector<RegionCost>;

// Makes the next choice take the regions and the shift cap from the options.
void ResetShiftLimits(RoutingState& state);

// Returns the region in which the request is to run: one of the regions in
// `costs`, which must not be empty.
std::string ChooseRegion(RoutingState& state,
                         const RequestState& request,
                         const RegionCosts& costs,
                         TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_REGION_SHARES_H_
