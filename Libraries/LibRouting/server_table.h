// Keeps the table of servers in step with discovery.

#ifndef CICADADRUM_ROUTING_SERVER_TABLE_H_
#define CICADADRUM_ROUTING_SERVER_TABLE_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

void UpdateServers(RoutingState& state,
                   const ServersChanged& event,
                   TimePoint now);

// Servers of a failure domain that is taken back count as cold.
void UpdateEvacuations(RoutingState& state,
                       const EvacuationsChanged& event,
                       TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SERVER_TABLE_H_
