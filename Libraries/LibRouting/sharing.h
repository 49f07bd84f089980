// What entry VMs tell each other of servers. A server answers a dozen requests
// a second, each through another entry VM, and its VM's speed changes more
// often than one entry VM would notice alone.

#ifndef CICADADRUM_ROUTING_SHARING_H_
#define CICADADRUM_ROUTING_SHARING_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Notes what the end of an attempt told, to be shared.
void QueueObservation(RoutingState& state,
                      const RequestState& request,
                      const AttemptEnded& end,
                      TimePoint now);

// Appends ShareObservations if the time for it has come.
void SendObservationsIfDue(RoutingState& state,
                           TimePoint now,
                           RoutingActions& actions);

// Chooses the entry VMs to share with after a change of the members.
void UpdateReceivers(RoutingState& state);

void ApplyObservations(RoutingState& state,
                       const ObservationsReceived& event,
                       TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SHARING_H_
