// Whose requests wait at the servers of a service that is short of capacity.

#ifndef CICADADRUM_ROUTING_ADMISSION_H_
#define CICADADRUM_ROUTING_ADMISSION_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Returns the time that the request may wait in the queue of a server that
// works `work_ms` on it. With a longer queue, responses would miss the
// objective.
double MaxWaitMs(const RequestState& request, double work_ms, TimePoint now);

// Counts a request. `max_wait_ms` is the time that it may wait at the server
// that was chosen for it.
void RecordDemand(ServiceState& service,
                  std::uint32_t priority,
                  double max_wait_ms,
                  TimePoint now);

// Returns the time that the request may wait in a queue, so that more urgent
// requests of the service find room: a part of the wait that all of those
// tolerate. At each queue length that admits the request, those are admitted
// as well. A part of the requests of each priority, chosen at random, may wait
// as long as the most urgent ones, so that no priority is starved. Infinite
// while the service has no more urgent requests.
double DrawPriorityWaitMs(RoutingState& state,
                          const RequestState& request,
                          TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_ADMISSION_H_
