// The route and service of a request in progress, which follow changes of the
// configuration.

#ifndef CICADADRUM_ROUTING_REQUEST_ROUTE_H_
#define CICADADRUM_ROUTING_REQUEST_ROUTE_H_

#include <cstdint>
#include <string>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Chooses the service by smooth weighted round robin, which keeps the
// configured shares exact even over few requests.
std::string ChooseService(RoutingState& state, const Route& route);

// Sets an earlier deadline. A later one is ignored.
void ShortenDeadline(RoutingState& state,
                     std::uint64_t id,
                     RequestState& request,
                     TimePoint deadline);

// Replaces the request's copy of its route by the route that is configured now.
// Returns false if no route matches the request any more, or no region may run
// it.
bool RefreshRoute(RoutingState& state, std::uint64_t id, RequestState& request);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_REQUEST_ROUTE_H_
