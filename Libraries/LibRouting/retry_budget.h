// Counts attempts, and keeps retries within this entry VM's share of the retry
// budget of each service.

#ifndef CICADADRUM_ROUTING_RETRY_BUDGET_H_
#define CICADADRUM_ROUTING_RETRY_BUDGET_H_

#include <string>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Whether the request's next attempt is a retry: an earlier one was sent.
bool IsNextAttemptRetry(const RequestState& request);

// Counts the attempt that starts now. The request's service must be known.
void CountAttempt(RoutingState& state, RequestState& request, TimePoint now);

// Takes the current attempt, which was not sent, out of the window.
void UncountAttempt(RoutingState& state, const RequestState& request);

// Counts the current attempt, which has waited for its connection, as sent now.
void RecountAttempt(RoutingState& state, RequestState& request, TimePoint now);

// Whether this entry VM's share of the retry budget allows another retry.
bool HasRetryAllowance(RoutingState& state,
                       const std::string& service,
                       TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_RETRY_BUDGET_H_
