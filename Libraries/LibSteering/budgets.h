// Budgets for retries and hedges, which bound the extra work that they cause.

#ifndef CICADADRUM_STEERING_BUDGETS_H_
#define CICADADRUM_STEERING_BUDGETS_H_

#include <optional>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Adds the share of one request to the budget for retries.
void AddRetryTokens(RetryBudget& budget);

// Learns how a request ended; refusals for lack of capacity shrink the budget.
void UpdateRefusedShare(RetryBudget& budget, RefusalReason reason);

// Returns when a hedge of `attempt` would be due, or nothing if it is none that
// may be hedged. Adds the share of one urgent request to the budget for hedges.
std::optional<TimePoint> ScheduleHedge(EntryState& state,
                                       const Request& request,
                                       const Attempt& attempt,
                                       TimePoint now);

// Learns the latency of an urgent attempt that was answered.
void UpdateHedgeDelay(EntryState& state,
                      const Request& request,
                      const Attempt& attempt,
                      TimePoint now);

// Takes a token for a hedge of `request`, if one is due and the budget allows
// it.
bool ConsumeHedgeToken(EntryState& state,
                       const Request& request,
                       TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_BUDGETS_H_
