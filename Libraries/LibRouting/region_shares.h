// In which region a request runs. The split between regions follows the
// cheapest servers under the shift cap.

#ifndef CICADADRUM_ROUTING_REGION_SHARES_H_
#define CICADADRUM_ROUTING_REGION_SHARES_H_

#include <string>
#include <vector>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// The best server of a region for a request.
struct RegionCost {
  std::string region;
  double cost_ms = 0;
  bool admits = true;  // It takes the request within a time that is worth it.
};
using RegionCosts = std::vector<RegionCost>;

// Returns one of the regions in `costs`, which must not be empty.
std::string ChooseRegion(RoutingState& state,
                         const RequestState& request,
                         const RegionCosts& costs,
                         TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_REGION_SHARES_H_
