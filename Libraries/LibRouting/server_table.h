// Updates the table of servers after changes in discovery.

#ifndef CICADADRUM_ROUTING_SERVER_TABLE_H_
#define CICADADRUM_ROUTING_SERVER_TABLE_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Adds, updates and removes servers. A row that is older than the known row of
// the server is ignored.
void UpdateServers(RoutingState& state,
                   const ServersChanged& event,
                   TimePoint now);

// Sets the region of every server by its failure domain.
void UpdateRegions(RoutingState& state);

// Returns the server, or null if the incarnation has no entry.
Server* FindServer(RoutingState& state, const ServerIncarnation& incarnation);

// Replaces the set of evacuated failure domains. The servers of a domain that
// is no longer evacuated count as cold.
void UpdateEvacuations(RoutingState& state,
                       const EvacuationsChanged& event,
                       TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SERVER_TABLE_H_
