// Policy of calls to the platform: deadlines, retries under a budget, circuit
// breaker and rate limits. Free functions over plain structs, no input or
// output.
//
// A call is one operation for a caller; it consists of attempts. An attempt
// that got no answer may have taken effect. Writes are idempotent, by token or
// by content, so they may be tried again, but a call whose attempts all failed
// is kUncertain and not kFailed if one of them may have taken effect.

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

// How one attempt ended.
enum class StoreAttemptOutcome : std::uint8_t {
  kAnswered,  // A whole response other than those below.
  kRefused,   // The platform refused it without effect (status 503).
  kNotSent,   // No byte of the request was sent.
  kLost,      // Sent, and no whole response came.
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

enum class StoreCallOutcome : std::uint8_t {
  kAnswered,   // The response of the last attempt holds.
  kFailed,     // No attempt had an effect.
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

enum class BreakerState : std::uint8_t {
  kClosed,   // Calls go through.
  kOpen,     // Calls fail at once.
  kProbing,  // One call is under way to find out; others fail at once.
};

template <>
struct EnumNames<BreakerState> {
  static constexpr auto kTable = std::to_array<EnumName<BreakerState>>({
      {BreakerState::kClosed, "closed"},
      {BreakerState::kOpen, "open"},
      {BreakerState::kProbing, "probing"},
  });
};

struct StorePolicy {
  Duration attempt_timeout = Seconds(1);
  std::uint32_t max_attempts = 4;
  Duration backoff = Milliseconds(50);  // Doubles with each retry; the wait is
                                        // random between 0 and it.
  Duration max_backoff = Seconds(1);
  double retry_tokens_per_call = 0.1;
  double max_retry_tokens = 10;
  std::uint32_t failures_to_open = 5;   // Attempts that failed in a row.
  Duration open_duration = Seconds(2);  // Until a probe.
  // This entry VM's share of what the platform serves: about two thousand reads
  // and several hundred writes a second for 9 to 11 entry VMs.
  double reads_per_second = 150;
  double writes_per_second = 40;
  Duration burst = Milliseconds(250);  // Of unused rate that may be saved up.
  std::size_t max_calls = 1024;
};

// --- Events ---

struct CallStarted {
  std::uint64_t call = 0;  // Never used again.
  StoreAccess access = StoreAccess::kRead;
  TimePoint deadline = kNever;
};

struct AttemptEnded {
  std::uint64_t call = 0;
  std::uint32_t number = 0;  // Of the attempt; others than the current one are
                             // dropped.
  StoreAttemptOutcome outcome = StoreAttemptOutcome::kLost;
};

struct StoreTimerExpired {};

using StoreEvent = std::variant<CallStarted, AttemptEnded, StoreTimerExpired>;

// --- Actions ---

struct SendAttempt {
  std::uint64_t call = 0;
  std::uint32_t number = 0;
};

// Stop waiting for the current attempt.
struct CancelAttempt {
  std::uint64_t call = 0;
};

struct EndCall {
  std::uint64_t call = 0;
  StoreCallOutcome outcome = StoreCallOutcome::kFailed;
};

// The platform was found up or down.
struct PlatformAvailabilityChanged {
  bool up = true;
};

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

struct StoreCall {
  StoreAccess access = StoreAccess::kRead;
  TimePoint deadline = kNever;
  std::uint32_t attempts = 0;
  bool attempt_in_flight = false;
  bool is_probe = false;  // The attempt under way decides the breaker.
  bool may_have_taken_effect = false;  // A write's attempt was lost.
  TimePoint wait_until =
      kNever;  // If an attempt is under way, when the attempt is given up;
               // otherwise when the next one may start.
};

// Tokens for attempts of one access. They may be owed by at most one attempt.
struct RateBucket {
  double tokens = 0;
  TimePoint refilled_at;
};

struct Breaker {
  BreakerState state = BreakerState::kClosed;
  std::uint32_t consecutive_failures = 0;  // In a row.
  TimePoint open_until;
};

struct StoreState {
  StorePolicy policy;
  Random random;
  std::map<std::uint64_t, StoreCall> calls;  // In the order they were asked.
  double retry_tokens = 0;
  RateBucket reads;
  RateBucket writes;
  Breaker breaker;
};

StoreState MakeStoreState(const StorePolicy& policy, std::uint64_t seed);

// Applies one event. Every CallStarted is answered by exactly one EndCall, at
// its deadline at the latest if StoreTimerExpired comes in time.
void StepStore(StoreState& state,
               const StoreEvent& event,
               TimePoint now,
               StoreActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_POLICY_H_
