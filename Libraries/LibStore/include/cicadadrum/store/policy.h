// Policy of calls to the platform: deadlines, retries under a budget, circuit
// breaker and rate limits. The functions work on plain structs and do no input
// or output.
//
// A call is one operation that the process requests; it consists of one or more
// attempts. An attempt that received no response may have taken effect. Writes
// are idempotent, by token or by content, so they may be retried. A write whose
// attempts all failed ends as kUncertain instead of kFailed if one of its
// attempts may have taken effect.

#ifndef CICADADRUM_STORE_POLICY_H_
#define CICADADRUM_STORE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum {

enum class StoreAccess : std::uint8_t { kRead, kWrite };

template <>
struct EnumNames<StoreAccess> {
  static constexpr auto kTable = std::to_array<EnumName<StoreAccess>>({
      {StoreAccess::kRead, "read"},
      {StoreAccess::kWrite, "write"},
  });
};

// Outcome of one attempt.
enum class StoreAttemptOutcome : std::uint8_t {
  kAnswered,  // A complete response that is none of the outcomes below.
  kRefused,   // The platform refused the request without effect (status 503).
  kNotSent,   // No byte of the request was sent.
  kLost,      // The request was sent, but its effect is unknown: no complete
              // response, or a server error other than 503.
};

template <>
struct EnumNames<StoreAttemptOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<StoreAttemptOutcome>>({
      {StoreAttemptOutcome::kAnswered, "answered"},
      {StoreAttemptOutcome::kRefused, "refused"},
      {StoreAttemptOutcome::kNotSent, "not-sent"},
      {StoreAttemptOutcome::kLost, "lost"},
  });
};

// Outcome of a call, after all its attempts.
enum class StoreCallOutcome : std::uint8_t {
  kAnswered,   // The last attempt received a response.
  kFailed,     // No attempt of a write had an effect, or a read failed.
  kUncertain,  // An attempt of a write may have taken effect or may do so
               // later.
};

template <>
struct EnumNames<StoreCallOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<StoreCallOutcome>>({
      {StoreCallOutcome::kAnswered, "answered"},
      {StoreCallOutcome::kFailed, "failed"},
      {StoreCallOutcome::kUncertain, "uncertain"},
  });
};

// State of the circuit breaker.
enum class BreakerState : std::uint8_t {
  kClosed,   // Attempts are sent.
  kOpen,     // Calls fail at once until the open time is over.
  kProbing,  // One attempt tests whether the platform responds; other calls
             // fail at once.
};

template <>
struct EnumNames<BreakerState> {
  static constexpr auto kTable = std::to_array<EnumName<BreakerState>>({
      {BreakerState::kClosed, "closed"},
      {BreakerState::kOpen, "open"},
      {BreakerState::kProbing, "probing"},
  });
};

// Limits of the policy. Timeouts apply to one attempt, rates to the attempts of
// this process, retries included.
struct StorePolicy {
  Duration attempt_timeout = Seconds(1);
  std::uint32_t max_attempts = 4;  // Per call.
  // Upper bound of the random wait before the first retry. The bound doubles
  // with each further retry, up to `max_backoff`; the lower bound is 0.
  Duration backoff = Milliseconds(50);
  Duration max_backoff = Seconds(1);
  // Retry budget: each call adds a fraction of a token, each retry costs 1.
  double retry_tokens_per_call = 0.1;
  double max_retry_tokens = 10;
  // Number of failed attempts in a row that opens the circuit breaker.
  std::uint32_t failures_to_open = 5;
  // Time between the opening of the circuit breaker and the next probe.
  Duration open_duration = Seconds(2);
  // One entry VM's share of the platform's capacity, which is about two
  // thousand reads and several hundred writes per second, shared by 9 to 11
  // entry VMs.
  double reads_per_second = 150;
  double writes_per_second = 40;
  // Unused rate accumulates over at most this duration, but always up to one
  // attempt.
  Duration burst = Milliseconds(250);
  std::size_t max_calls = 1024;  // In progress; further calls fail at once.
};

// --- Events ---

// The process starts a call.
struct CallStarted {
  std::uint64_t call = 0;  // Identifier; each call gets a larger one.
  StoreAccess access = StoreAccess::kRead;
  TimePoint deadline = kNever;
};

struct AttemptEnded {
  std::uint64_t call = 0;
  // Number of the attempt within its call. The event is ignored unless it
  // concerns the current attempt.
  std::uint32_t number = 0;
  StoreAttemptOutcome outcome = StoreAttemptOutcome::kLost;
};

// The timer that SetStoreTimer requested expired.
struct StoreTimerExpired {};

using StoreEvent = std::variant<CallStarted, AttemptEnded, StoreTimerExpired>;

// --- Actions ---

// Send the request of the call.
struct SendAttempt {
  std::uint64_t call = 0;
  std::uint32_t number = 0;  // Number of the attempt, starting at 1.
};

// Cancel the current attempt of the call and ignore its response.
struct CancelAttempt {
  std::uint64_t call = 0;
};

// End the call with an outcome.
struct EndCall {
  std::uint64_t call = 0;
  StoreCallOutcome outcome = StoreCallOutcome::kFailed;
};

// Report that the circuit breaker opened (`up` is false) or closed again.
struct PlatformAvailabilityChanged {
  bool up = true;
};

// Set the timer, which replaces an earlier setting.
struct SetStoreTimer {
  TimePoint at = kNever;
};

using StoreAction = std::variant<SendAttempt,
                                 CancelAttempt,
                                 EndCall,
                                 PlatformAvailabilityChanged,
                                 SetStoreTimer>;
using StoreActions = std::vector<StoreAction>;

// --- State ---

// A call in progress.
struct StoreCall {
  StoreAccess access = StoreAccess::kRead;
  TimePoint deadline = kNever;
  std::uint32_t attempts = 0;  // Number of attempts sent so far.
  bool attempt_in_flight = false;
  // The outcome of the attempt in flight closes or reopens the circuit breaker.
  bool is_probe = false;
  // The call is a write, and the outcome of one of its attempts is kLost.
  bool may_have_taken_effect = false;
  // With an attempt in flight, the time at which the attempt times out;
  // otherwise the earliest time of the next attempt.
  TimePoint wait_until = kNever;
};

// Token bucket that limits the rate of attempts for reads or for writes. An
// attempt starts only if the bucket contains a whole token, which the attempt
// consumes.
struct RateBucket {
  double tokens = 0;
  TimePoint refilled_at;
};

// Circuit breaker for all attempts to reach the platform.
struct Breaker {
  BreakerState state = BreakerState::kClosed;
  std::uint32_t consecutive_failures = 0;
  TimePoint open_until;  // Earliest time of a probe while the state is kOpen.
};

// State of the policy, made by MakeStoreState and changed by StepStore only.
struct StoreState {
  StorePolicy policy;
  Random random;
  std::map<std::uint64_t, StoreCall> calls;  // By identifier, oldest first.
  double retry_tokens = 0;
  RateBucket reads;
  RateBucket writes;
  Breaker breaker;
};

// Returns the initial state: no calls, a closed circuit breaker and a full
// retry budget. `seed` determines the random backoff.
StoreState MakeStoreState(const StorePolicy& policy, std::uint64_t seed);

// Applies one event and appends the resulting actions, which must be carried
// out in order. `now` must not decrease between calls of this function. Every
// CallStarted results in exactly one EndCall, at the deadline of the call at
// the latest, provided that StoreTimerExpired is reported on time.
void StepStore(StoreState& state,
               const StoreEvent& event,
               TimePoint now,
               StoreActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_POLICY_H_
