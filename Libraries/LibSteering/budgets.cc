// Token budgets of retries and hedges.

#include "budgets.h"

#include <algorithm>

namespace cicadadrum {

namespace {

constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 20;
// Weight of one request in the moving average of the share of refusals.
constexpr double kRefusalWeight = 0.02;
constexpr double kHedgeTokensPerRequest = 0.05;
constexpr double kMaxHedgeTokens = 10;
// Latency samples needed before hedges are scheduled.
constexpr std::uint32_t kMinHedgeSamples = 20;
// Quantile of the urgent latency after which a hedge starts. With the budget of
// 5%, a later start leaves tokens unused, and an earlier start spends them on
// requests that are about to end.
constexpr double kHedgeQuantile = 0.95;
// Step of the running quantile, as a share of the delay.
constexpr double kQuantileStep = 0.05;

bool IsCapacityRefusal(RefusalReason reason) {
  return reason == RefusalReason::kQueueFull ||
         reason == RefusalReason::kDeadline ||
         reason == RefusalReason::kNoServer;
}

}  // namespace

void AddRetryTokens(RetryBudget& budget) {
  const double earned = kRetryTokensPerRequest * (1 - budget.refused_share);
  budget.tokens = std::min(budget.tokens + earned, kMaxRetryTokens);
}

void UpdateRefusedShare(RetryBudget& budget, RefusalReason reason) {
  const double refused = IsCapacityRefusal(reason) ? 1 : 0;
  budget.refused_share += kRefusalWeight * (refused - budget.refused_share);
}

std::optional<TimePoint> ScheduleHedge(EntryState& state,
                                       const Request& request,
                                       const Attempt& attempt,
                                       TimePoint now) {
  if (!state.hedging || attempt.number != 1 || attempt.owner.empty() ||
      request.arrived.request_class != RequestClass::kUrgent)
    return std::nullopt;
  HedgeState& hedge = state.hedges[attempt.pool];
  hedge.tokens =
      std::min(hedge.tokens + kHedgeTokensPerRequest, kMaxHedgeTokens);
  if (hedge.sample_count < kMinHedgeSamples)
    return std::nullopt;
  return now + hedge.delay;
}

void UpdateHedgeDelay(EntryState& state,
                      const Request& request,
                      const Attempt& attempt,
                      TimePoint now) {
  if (!state.hedging ||
      request.arrived.request_class != RequestClass::kUrgent || attempt.hedge)
    return;
  HedgeState& hedge = state.hedges[attempt.pool];
  const Duration latency = now - attempt.sent_at;
  const auto delay = static_cast<double>(hedge.delay.count());
  if (hedge.sample_count == 0)
    hedge.delay = latency;
  else if (latency > hedge.delay)
    hedge.delay = Duration(static_cast<std::int64_t>(
        delay * (1 + (kQuantileStep * kHedgeQuantile))));
  else
    hedge.delay = Duration(static_cast<std::int64_t>(
        delay * (1 - (kQuantileStep * (1 - kHedgeQuantile)))));
  hedge.sample_count = std::min(hedge.sample_count + 1, kMinHedgeSamples);
}

bool ConsumeHedgeToken(EntryState& state,
                       const Request& request,
                       TimePoint now) {
  if (request.attempts.size() != 1)
    return false;
  const Attempt& attempt = request.attempts.front();
  HedgeState& hedge = state.hedges[attempt.pool];
  if (attempt.phase != AttemptPhase::kSent || hedge.tokens < 1 ||
      now - attempt.sent_at < hedge.delay / 2)
    return false;
  hedge.tokens -= 1;
  return true;
}

}  // namespace cicadadrum
