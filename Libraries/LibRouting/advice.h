// What servers announce in their responses about the requests that they want.

#ifndef CICADADRUM_ROUTING_ADVICE_H_
#define CICADADRUM_ROUTING_ADVICE_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Records what the response of the request's attempt announced for the
// incarnation that the attempt was sent to, and reports what is new.
void RecordAdvice(RoutingState& state,
                  const RequestState& request,
                  const AttemptEnded& end,
                  TimePoint now,
                  RoutingActions& actions);

// Keeps the advice, limit and cold time of a server whose entry is about to be
// removed.
void KeepAdvice(RoutingState& state, const Server& server, TimePoint now);

// Applies what was kept for the incarnation of a server whose entry has just
// been added.
void RestoreAdvice(RoutingState& state, Server& server);

// Whether the server takes requests: it is ready and not in an evacuated
// failure domain, does not leave and has no pause.
bool AcceptsRequests(const RoutingState& state,
                     const Server& server,
                     TimePoint now);

// Whether the server may receive requests at all: it takes them and is not in
// back-off.
bool IsInUse(const RoutingState& state, const Server& server, TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_ADVICE_H_
