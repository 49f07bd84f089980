// Policy of calls to the platform.

#include "cicadadrum/store/policy.h"

#include <algorithm>

namespace cicadadrum {

namespace {

RateBucket& BucketFor(StoreState& state, StoreAccess access) {
  return access == StoreAccess::kWrite ? state.writes : state.reads;
}

double RateFor(const StoreState& state, StoreAccess access) {
  return access == StoreAccess::kWrite ? state.policy.writes_per_second
                                       : state.policy.reads_per_second;
}

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) * 1e-6;
}

void RefillBucket(StoreState& state, StoreAccess access, TimePoint now) {
  RateBucket& bucket = BucketFor(state, access);
  const double rate = RateFor(state, access);
  const double max_tokens = std::max(1.0, rate * ToSeconds(state.policy.burst));
  bucket.tokens = std::min(
      max_tokens, bucket.tokens + rate * ToSeconds(now - bucket.refilled_at));
  bucket.refilled_at = now;
}

// Returns the time at which the bucket contains a token for the next attempt.
TimePoint NextAttemptTime(StoreState& state,
                          StoreAccess access,
                          TimePoint now) {
  const double missing_tokens = 1 - BucketFor(state, access).tokens;
  if (missing_tokens <= 0)
    return now;
  const double wait = missing_tokens / RateFor(state, access);
  return now + Microseconds(static_cast<std::int64_t>(wait * 1e6) + 1);
}

void FinishCall(StoreState& state,
                std::uint64_t id,
                StoreCallOutcome outcome,
                StoreActions& actions) {
  const StoreCall call = state.calls.at(id);
  state.calls.erase(id);
  if (call.attempt_in_flight)
    actions.push_back(CancelAttempt{id});
  // The probe ended without a result, so the next attempt becomes the probe.
  if (call.is_probe && call.attempt_in_flight)
    state.breaker.state = BreakerState::kOpen;
  actions.push_back(EndCall{id, outcome});
}

// Ends a call without a response: kUncertain if one of its attempts may have
// taken effect, kFailed otherwise.
void EndWithoutResponse(StoreState& state,
                        std::uint64_t id,
                        StoreActions& actions) {
  const StoreCall& call = state.calls.at(id);
  const bool uncertain =
      call.may_have_taken_effect ||
      (call.attempt_in_flight && call.access == StoreAccess::kWrite);
  FinishCall(
      state, id,
      uncertain ? StoreCallOutcome::kUncertain : StoreCallOutcome::kFailed,
      actions);
}

void RecordSuccess(StoreState& state, StoreActions& actions) {
  state.breaker.consecutive_failures = 0;
  if (state.breaker.state == BreakerState::kClosed)
    return;
  state.breaker.state = BreakerState::kClosed;
  actions.push_back(PlatformAvailabilityChanged{true});
}

void RecordFailure(StoreState& state,
                   bool is_probe,
                   TimePoint now,
                   StoreActions& actions) {
  Breaker& breaker = state.breaker;
  ++breaker.consecutive_failures;
  if (breaker.state == BreakerState::kClosed) {
    if (breaker.consecutive_failures < state.policy.failures_to_open)
      return;
    actions.push_back(PlatformAvailabilityChanged{false});
  } else if (!is_probe) {
    return;
  }
  breaker.state = BreakerState::kOpen;
  breaker.open_until = now + state.policy.open_duration;
}

// Returns a random wait before the next attempt ("full jitter"), so that the
// entry VMs do not retry at the same time.
Duration BackoffFor(StoreState& state, std::uint32_t attempts) {
  const std::uint32_t doublings = std::min<std::uint32_t>(attempts - 1, 16);
  const Duration max_wait = std::min<Duration>(
      state.policy.backoff * (1LL << doublings), state.policy.max_backoff);
  return Microseconds(static_cast<std::int64_t>(RandomBelow(
      state.random, static_cast<std::uint64_t>(max_wait.count()) + 1)));
}

void RetryOrEnd(StoreState& state,
                std::uint64_t id,
                TimePoint now,
                StoreActions& actions) {
  StoreCall& call = state.calls.at(id);
  if (call.attempts >= state.policy.max_attempts || state.retry_tokens < 1)
    return EndWithoutResponse(state, id, actions);
  state.retry_tokens -= 1;
  call.wait_until = now + BackoffFor(state, call.attempts);
}

void ApplyAttemptResult(StoreState& state,
                        const AttemptEnded& ended,
                        TimePoint now,
                        StoreActions& actions) {
  const auto found = state.calls.find(ended.call);
  if (found == state.calls.end() || !found->second.attempt_in_flight ||
      found->second.attempts != ended.number)
    return;
  StoreCall& call = found->second;
  call.attempt_in_flight = false;
  const bool is_probe = call.is_probe;
  call.is_probe = false;
  if (ended.outcome == StoreAttemptOutcome::kAnswered) {
    RecordSuccess(state, actions);
    return FinishCall(state, ended.call, StoreCallOutcome::kAnswered, actions);
  }
  if (ended.outcome == StoreAttemptOutcome::kLost &&
      call.access == StoreAccess::kWrite)
    call.may_have_taken_effect = true;
  RecordFailure(state, is_probe, now, actions);
  RetryOrEnd(state, ended.call, now, actions);
}

void StartCall(StoreState& state,
               const CallStarted& started,
               TimePoint now,
               StoreActions& actions) {
  if (state.calls.size() >= state.policy.max_calls) {
    actions.push_back(EndCall{started.call, StoreCallOutcome::kFailed});
    return;
  }
  state.retry_tokens =
      std::min(state.retry_tokens + state.policy.retry_tokens_per_call,
               state.policy.max_retry_tokens);
  state.calls[started.call] = {.access = started.access,
                               .deadline = started.deadline,
                               .wait_until = now};
}

// Cancels attempts that timed out and ends calls whose deadline has passed.
void ExpireCalls(StoreState& state, TimePoint now, StoreActions& actions) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, call] : state.calls) {
    if (call.deadline <= now ||
        (call.attempt_in_flight && call.wait_until <= now))
      due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const StoreCall& call = state.calls.at(id);
    if (call.attempt_in_flight && call.wait_until <= now &&
        call.deadline > now) {
      actions.push_back(CancelAttempt{id});
      ApplyAttemptResult(state, {id, call.attempts, StoreAttemptOutcome::kLost},
                         now, actions);
    } else {
      if (call.attempt_in_flight)
        RecordFailure(state, call.is_probe, now, actions);
      EndWithoutResponse(state, id, actions);
    }
  }
}

bool BreakerAllowsAttempt(StoreState& state, TimePoint now) {
  Breaker& breaker = state.breaker;
  return breaker.state == BreakerState::kClosed ||
         (breaker.state == BreakerState::kOpen && now >= breaker.open_until);
}

void StartAttempt(StoreState& state,
                  std::uint64_t id,
                  StoreCall& call,
                  TimePoint now,
                  StoreActions& actions) {
  BucketFor(state, call.access).tokens -= 1;
  if (state.breaker.state == BreakerState::kOpen) {
    state.breaker.state = BreakerState::kProbing;
    call.is_probe = true;
  }
  ++call.attempts;
  call.attempt_in_flight = true;
  call.wait_until = std::min(call.deadline, now + state.policy.attempt_timeout);
  actions.push_back(SendAttempt{id, call.attempts});
}

// Starts the attempts that are due and that the rate limits allow, oldest call
// first. While the circuit breaker is open, calls that are due for an attempt
// fail at once.
void StartAttempts(StoreState& state, TimePoint now, StoreActions& actions) {
  std::vector<std::uint64_t> blocked;
  for (auto& [id, call] : state.calls) {
    if (call.attempt_in_flight || call.wait_until > now)
      continue;
    if (!BreakerAllowsAttempt(state, now))
      blocked.push_back(id);
    else if (NextAttemptTime(state, call.access, now) <= now)
      StartAttempt(state, id, call, now, actions);
  }
  for (const std::uint64_t id : blocked)
    EndWithoutResponse(state, id, actions);
}

TimePoint NextTimerExpiry(StoreState& state, TimePoint now) {
  TimePoint at = kNever;
  for (const auto& [id, call] : state.calls) {
    TimePoint next = std::min(call.deadline, call.wait_until);
    if (!call.attempt_in_flight && call.wait_until <= now)
      next = std::min(call.deadline, NextAttemptTime(state, call.access, now));
    at = std::min(at, next);
  }
  return at;
}

}  // namespace

StoreState MakeStoreState(const StorePolicy& policy, std::uint64_t seed) {
  StoreState state{.policy = policy, .random = {seed}};
  state.retry_tokens = policy.max_retry_tokens;
  return state;
}

void StepStore(StoreState& state,
               const StoreEvent& event,
               TimePoint now,
               StoreActions& actions) {
  RefillBucket(state, StoreAccess::kRead, now);
  RefillBucket(state, StoreAccess::kWrite, now);
  if (const auto* ended = std::get_if<AttemptEnded>(&event))
    ApplyAttemptResult(state, *ended, now, actions);
  if (const auto* started = std::get_if<CallStarted>(&event))
    StartCall(state, *started, now, actions);
  ExpireCalls(state, now, actions);
  StartAttempts(state, now, actions);
  const TimePoint wake = NextTimerExpiry(state, now);
  if (wake != kNever)
    actions.push_back(SetStoreTimer{wake});
}

}  // namespace cicadadrum
