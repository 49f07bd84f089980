// The windows of attempts, and the retry budget.

#include "retry_budget.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet_shares.h"

namespace cicadadrum::routing {

namespace {

std::uint32_t& CounterOf(ServiceState& service, bool is_retry) {
  return is_retry ? service.retries_in_window : service.requests_in_window;
}

void ForgetOldAttempts(ServiceState& service,
                       const FleetBounds& bounds,
                       TimePoint now) {
  auto& sends = service.sends_in_window;
  while (!sends.empty() && sends.front().first <= now - bounds.retry_window) {
    --CounterOf(service, sends.front().second);
    sends.pop_front();
  }
}

void Count(RoutingState& state, const RequestState& request) {
  const AttemptCount& counted = request.attempt_count;
  ServiceState& service = state.services[counted.service];
  service.sends_in_window.emplace_back(counted.at, counted.is_retry);
  ++CounterOf(service, counted.is_retry);
  ForgetOldAttempts(service, state.options.bounds, counted.at);
}

}  // namespace

bool IsNextAttemptRetry(const RequestState& request) {
  return request.attempts > request.unsent_attempts;
}

void CountAttempt(RoutingState& state, RequestState& request, TimePoint now) {
  request.attempt_count = {.service = request.service,
                           .at = now,
                           .is_retry = IsNextAttemptRetry(request)};
  Count(state, request);
}

// The attempt is one of the last in the window, so it is searched from there.
void UncountAttempt(RoutingState& state, const RequestState& request) {
  const AttemptCount& counted = request.attempt_count;
  ServiceState& service = state.services[counted.service];
  auto& sends = service.sends_in_window;
  const auto found = std::find(sends.rbegin(), sends.rend(),
                               std::pair(counted.at, counted.is_retry));
  if (found == sends.rend())
    return;
  sends.erase(std::next(found).base());
  --CounterOf(service, counted.is_retry);
}

void RecountAttempt(RoutingState& state, RequestState& request, TimePoint now) {
  UncountAttempt(state, request);
  request.attempt_count.at = now;
  Count(state, request);
}

bool HasRetryAllowance(RoutingState& state,
                       const std::string& service,
                       TimePoint now) {
  const FleetBounds& bounds = state.options.bounds;
  ServiceState& current = state.services.at(service);
  ForgetOldAttempts(current, bounds, now);
  const double extra = IsFleetSizeUnverified(state, now)
                           ? 0
                           : bounds.retry_extra / LastingFleetSize(state, now);
  const double allowed =
      (current.requests_in_window * bounds.retry_ratio + extra) *
      kBoundUseShare;
  return current.retries_in_window + 1 <= allowed;
}

}  // namespace cicadadrum::routing
