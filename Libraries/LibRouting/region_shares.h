// In which region a request runs. The split between regions follows the
// cheapest servers under the shift cap.

#ifndef CICADADRUM_ROUTING_REGION_SHARES_H_
#define CICADADRUM_ROUTING_REGION_SHARES_H_

#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// The cost in ms of the cheapest server of each region that has one.
using RegionCosts = std::vector<std::pair<std::string, double>>;

// Returns one of the regions in `costs`, which must not be empty.
std::string PickRegionFor(RoutingState& state,
                          const RequestState& request,
                          const RegionCosts& costs,
                          TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_REGION_SHARES_H_
