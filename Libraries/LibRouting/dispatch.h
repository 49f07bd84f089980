// Sends requests in progress to servers, or refuses them.

#ifndef CICADADRUM_ROUTING_DISPATCH_H_
#define CICADADRUM_ROUTING_DISPATCH_H_

#include <cstdint>
#include <optional>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// While the entry VM stops, a server's time ends this much before the request's
// deadline, so that the server's own answer reaches the caller in time.
constexpr Duration kStopMargin = Milliseconds(150);

// Minimum time until the deadline for which another attempt is worth a retry.
constexpr Duration kMinAttemptTime = Milliseconds(20);

constexpr Duration kMinRetryAfter = Milliseconds(100);

// Removes the request. An unknown request is ignored.
void EndRequest(RoutingState& state, std::uint64_t id);

// Refuses the request and removes it.
void Refuse(RoutingState& state,
            std::uint64_t id,
            RefusalReason reason,
            Duration retry_after,
            RoutingActions& actions,
            const std::optional<ChoiceInputs>& inputs = {});

// Returns the delay after which a caller should retry, from the estimated
// duration of an attempt and the time that the caller has left.
Duration RetryAfterForEstimate(Duration expected_duration, Duration remaining);

// Returns the delay after which the caller of a refused request should retry:
// until a server may receive requests again, if all servers in use have asked
// for a pause that ends before the caller gives up, and `estimate` otherwise.
Duration RetryAfterPauses(const RoutingState& state,
                          const RequestState& request,
                          Duration estimate,
                          TimePoint now);

// Sends the request to the server with the least cost, refuses it, or lets it
// wait for the trial of an equal request (see cicadadrum/routing/suspicion.h).
void Dispatch(RoutingState& state,
              std::uint64_t id,
              RefusalReason reason_without_server,
              TimePoint now,
              RoutingActions& actions);

// Returns the request if `attempt` is its current one and has not ended, and
// null otherwise.
RequestState* FindAttempt(RoutingState& state,
                          std::uint64_t id,
                          std::uint32_t attempt);

// Decides whether a request that has waited for its connection is still sent to
// the server that was chosen for it.
void ConfirmAttempt(RoutingState& state,
                    const ConnectionReady& event,
                    TimePoint now,
                    RoutingActions& actions);

// Dispatches the requests that waited for a trial which has ended.
void DispatchWaiting(RoutingState& state,
                     TimePoint now,
                     RoutingActions& actions);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_DISPATCH_H_
