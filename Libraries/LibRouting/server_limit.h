// The rate of requests that a server takes from all entry VMs together, as the
// server states it in its responses.
//
// Each entry VM uses a share of the rate that follows from the live members
// alone, so that no agreement is needed. Most of the rate belongs to the entry
// VMs in the server's region, which send nearly all of its requests.

#ifndef CICADADRUM_ROUTING_SERVER_LIMIT_H_
#define CICADADRUM_ROUTING_SERVER_LIMIT_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Applies a limit that the server stated at the time `at`, or kUnlimited,
// unless a later statement is known.
void ApplyLimit(const RoutingState& state,
                Server& server,
                double requests_per_second,
                TimePoint at,
                TimePoint now);

// Applies what the response of an attempt states, and reports the begin and the
// end of a limit. Returns whether the statement matters to other entry VMs: the
// server is limited, or was until now.
bool RecordLimit(const RoutingState& state,
                 Server& server,
                 const AttemptEnded& end,
                 TimePoint now,
                 RoutingActions& actions);

// Returns the time from which this entry VM may send a request to the server
// under its limit.
TimePoint LimitAllowsAt(const RoutingState& state,
                        Server& server,
                        TimePoint now);

// Counts a request that is sent to the server.
void CountLimitedRequest(const RoutingState& state,
                         Server& server,
                         TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SERVER_LIMIT_H_
