// The exchange of server observations between entry VMs. A server responds to a
// dozen requests a second, each through a different entry VM, and the speed of
// the server's VM changes more often than a single entry VM could observe.

#ifndef CICADADRUM_ROUTING_SHARING_H_
#define CICADADRUM_ROUTING_SHARING_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Queues the observation from the end of an attempt for other entry VMs.
void QueueObservation(RoutingState& state,
                      const RequestState& request,
                      const AttemptEnded& end,
                      TimePoint now);

// Appends ShareObservations with the queued observations once their time has
// come.
void SendObservationsIfDue(RoutingState& state,
                           TimePoint now,
                           RoutingActions& actions);

// Chooses the entry VMs that receive observations after a change of the
// members.
void UpdateReceivers(RoutingState& state);

// Applies observations of another entry VM. A load report that is older than
// the server's last report is ignored.
void ApplyObservations(RoutingState& state,
                       const ObservationsReceived& event,
                       TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SHARING_H_
