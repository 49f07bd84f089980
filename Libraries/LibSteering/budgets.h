// Token budgets that bound the extra load of retries and hedges.

#ifndef CICADADRUM_STEERING_BUDGETS_H_
#define CICADADRUM_STEERING_BUDGETS_H_

#include <optional>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Adds one request's fraction of a token to the retry budget.
void AddRetryTokens(RetryBudget& budget);

// Updates the share of refusals with the end of a request; refusals for lack of
// capacity shrink the retry budget.
void UpdateRefusedShare(RetryBudget& budget, RefusalReason reason);

// Adds the fraction of a token of one urgent request to the hedge budget, and
// returns the time at which a hedge of `attempt` is due. Returns nothing if the
// attempt may not be hedged or too few latencies are known.
std::optional<TimePoint> ScheduleHedge(EntryState& state,
                                       const Request& request,
                                       const Attempt& attempt,
                                       TimePoint now);

// Updates the hedge delay with the latency of an urgent attempt that was
// answered.
void UpdateHedgeDelay(EntryState& state,
                      const Request& request,
                      const Attempt& attempt,
                      TimePoint now);

// Consumes a token for a hedge of `request`, if a hedge is due and the budget
// allows one. Returns whether it consumed a token.
bool ConsumeHedgeToken(EntryState& state,
                       const Request& request,
                       TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_BUDGETS_H_
