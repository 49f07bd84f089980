// Policy of calls to the platform.

#include "cicadadrum/store/policy.h"

#include <algorithm>

namespace cicadadrum {

namespace {

RateBucket& BucketOf(StoreState& state, StoreAccess access) {
  return access == StoreAccess::kWrite ? state.writes : state.reads;
}

double RateOf(const StoreState& state, StoreAccess access) {
  return access == StoreAccess::kWrite ? state.policy.writes_per_second
                                       : state.policy.reads_per_second;
}

double SecondsOf(Duration duration) {
  return static_cast<double>(duration.count()) * 1e-6;
}

void Fill(StoreState& state, StoreAccess access, TimePoint now) {
  RateBucket& bucket = BucketOf(state, access);
  const double rate = RateOf(state, access);
  const double most = std::max(1.0, rate * SecondsOf(state.policy.burst));
  bucket.tokens =
      std::min(most, bucket.tokens + rate * SecondsOf(now - bucket.filled_at));
  bucket.filled_at = now;
}

// Returns when the next attempt of this access may start.
TimePoint NextToken(StoreState& state, StoreAccess access, TimePoint now) {
  const double missing = 1 - BucketOf(state, access).tokens;
  if (missing <= 0)
    return now;
  const double wait = missing / RateOf(state, access);
  return now + Microseconds(static_cast<std::int64_t>(wait * 1e6) + 1);
}

void End(StoreState& state,
         std::uint64_t id,
         StoreCallOutcome outcome,
         StoreActions& actions) {
  const StoreCall call = state.calls.at(id);
  state.calls.erase(id);
  if (call.attempting)
    actions.push_back(AbandonAttempt{id});
  // A probe that ended without a result leaves the question to the next one.
  if (call.probe && call.attempting)
    state.breaker.state = BreakerState::kOpen;
  actions.push_back(EndCall{id, outcome});
}

// Ends a call that gets no answer.
void GiveUp(StoreState& state, std::uint64_t id, StoreActions& actions) {
  const StoreCall& call = state.calls.at(id);
  const bool effect = call.may_have_effect ||
                      (call.attempting && call.access == StoreAccess::kWrite);
  End(state, id,
      effect ? StoreCallOutcome::kUncertain : StoreCallOutcome::kFailed,
      actions);
}

void CountSuccess(StoreState& state, StoreActions& actions) {
  state.breaker.failures = 0;
  if (state.breaker.state == BreakerState::kClosed)
    return;
  state.breaker.state = BreakerState::kClosed;
  actions.push_back(PlatformChanged{true});
}

void CountFailure(StoreState& state,
                  bool probe,
                  TimePoint now,
                  StoreActions& actions) {
  Breaker& breaker = state.breaker;
  ++breaker.failures;
  if (breaker.state == BreakerState::kClosed) {
    if (breaker.failures < state.policy.failures_to_open)
      return;
    actions.push_back(PlatformChanged{false});
  } else if (!probe) {
    return;
  }
  breaker.state = BreakerState::kOpen;
  breaker.open_until = now + state.policy.open_time;
}

// Returns a random wait before the next attempt ("full jitter"), so that entry
// VMs don't retry in step.
Duration BackoffFor(StoreState& state, std::uint32_t attempts) {
  const std::uint32_t doublings = std::min<std::uint32_t>(attempts - 1, 16);
  const Duration longest = std::min<Duration>(
      state.policy.backoff * (1LL << doublings), state.policy.max_backoff);
  return Microseconds(static_cast<std::int64_t>(RandomBelow(
      state.random, static_cast<std::uint64_t>(longest.count()) + 1)));
}

void RetryOrGiveUp(StoreState& state,
                   std::uint64_t id,
                   TimePoint now,
                   StoreActions& actions) {
  StoreCall& call = state.calls.at(id);
  if (call.attempts >= state.policy.max_attempts || state.retry_tokens < 1)
    return GiveUp(state, id, actions);
  state.retry_tokens -= 1;
  call.wait_until = now + BackoffFor(state, call.attempts);
}

void ApplyAttempt(StoreState& state,
                  const AttemptEnded& ended,
                  TimePoint now,
                  StoreActions& actions) {
  const auto found = state.calls.find(ended.call);
  if (found == state.calls.end() || !found->second.attempting ||
      found->second.attempts != ended.number)
    return;
  StoreCall& call = found->second;
  call.attempting = false;
  const bool probe = call.probe;
  call.probe = false;
  if (ended.outcome == StoreAttemptOutcome::kAnswered) {
    CountSuccess(state, actions);
    return End(state, ended.call, StoreCallOutcome::kAnswered, actions);
  }
  if (ended.outcome == StoreAttemptOutcome::kLost &&
      call.access == StoreAccess::kWrite)
    call.may_have_effect = true;
  CountFailure(state, probe, now, actions);
  RetryOrGiveUp(state, ended.call, now, actions);
}

void Admit(StoreState& state,
           const CallAsked& asked,
           TimePoint now,
           StoreActions& actions) {
  if (state.calls.size() >= state.policy.max_calls) {
    actions.push_back(EndCall{asked.call, StoreCallOutcome::kFailed});
    return;
  }
  state.retry_tokens =
      std::min(state.retry_tokens + state.policy.retry_tokens_per_call,
               state.policy.max_retry_tokens);
  state.calls[asked.call] = {
      .access = asked.access, .deadline = asked.deadline, .wait_until = now};
}

// Gives up attempts and calls whose time is over.
void ExpireCalls(StoreState& state, TimePoint now, StoreActions& actions) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, call] : state.calls) {
    if (call.deadline <= now || (call.attempting && call.wait_until <= now))
      due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    const StoreCall& call = state.calls.at(id);
    if (call.attempting && call.wait_until <= now && call.deadline > now) {
      actions.push_back(AbandonAttempt{id});
      ApplyAttempt(state, {id, call.attempts, StoreAttemptOutcome::kLost}, now,
                   actions);
    } else {
      if (call.attempting)
        CountFailure(state, call.probe, now, actions);
      GiveUp(state, id, actions);
    }
  }
}

bool MayPass(StoreState& state, TimePoint now) {
  Breaker& breaker = state.breaker;
  return breaker.state == BreakerState::kClosed ||
         (breaker.state == BreakerState::kOpen && now >= breaker.open_until);
}

void StartAttempt(StoreState& state,
                  std::uint64_t id,
                  StoreCall& call,
                  TimePoint now,
                  StoreActions& actions) {
  BucketOf(state, call.access).tokens -= 1;
  if (state.breaker.state == BreakerState::kOpen) {
    state.breaker.state = BreakerState::kProbing;
    call.probe = true;
  }
  ++call.attempts;
  call.attempting = true;
  call.wait_until = std::min(call.deadline, now + state.policy.attempt_timeout);
  actions.push_back(SendAttempt{id, call.attempts});
}

// Starts the attempts that may start, in the order the calls were asked. Calls
// fail at once while the breaker is open.
void StartAttempts(StoreState& state, TimePoint now, StoreActions& actions) {
  std::vector<std::uint64_t> blocked;
  for (auto& [id, call] : state.calls) {
    if (call.attempting || call.wait_until > now)
      continue;
    if (!MayPass(state, now))
      blocked.push_back(id);
    else if (NextToken(state, call.access, now) <= now)
      StartAttempt(state, id, call, now, actions);
  }
  for (const std::uint64_t id : blocked)
    GiveUp(state, id, actions);
}

TimePoint NextWake(StoreState& state, TimePoint now) {
  TimePoint at = kNever;
  for (const auto& [id, call] : state.calls) {
    TimePoint next = std::min(call.deadline, call.wait_until);
    if (!call.attempting && call.wait_until <= now)
      next = std::min(call.deadline, NextToken(state, call.access, now));
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
  Fill(state, StoreAccess::kRead, now);
  Fill(state, StoreAccess::kWrite, now);
  if (const auto* ended = std::get_if<AttemptEnded>(&event))
    ApplyAttempt(state, *ended, now, actions);
  if (const auto* asked = std::get_if<CallAsked>(&event))
    Admit(state, *asked, now, actions);
  ExpireCalls(state, now, actions);
  StartAttempts(state, now, actions);
  const TimePoint wake = NextWake(state, now);
  if (wake != kNever)
    actions.push_back(StoreWake{wake});
}

}  // namespace cicadadrum
