// Classes of requests, outcomes of attempts and reasons of refusals.

#ifndef CICADADRUM_MODEL_REQUEST_H_
#define CICADADRUM_MODEL_REQUEST_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/verdict.h"

namespace cicadadrum {

// In order of precedence: a lower value goes first.
enum class RequestClass : std::uint8_t {
  kUrgent,   // Idempotent reads that go before all others.
  kRoutine,  // Idempotent reads.
  kWrite,    // Non-idempotent requests, at most once.
  kBulk,     // Parts of uploads, idempotent by upload and offset.
};

constexpr std::size_t kRequestClassCount = 4;

template <>
struct EnumNames<RequestClass> {
  static constexpr auto kTable = std::to_array<EnumName<RequestClass>>({
      {RequestClass::kUrgent, "urgent"},
      {RequestClass::kRoutine, "routine"},
      {RequestClass::kWrite, "write"},
      {RequestClass::kBulk, "bulk"},
  });
};

constexpr bool IsIdempotent(RequestClass request_class) {
  return request_class != RequestClass::kWrite;
}

// How one attempt at a backend server ended, as the entry VM saw it.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,     // A whole answer that is not a server error.
  kServerError,  // A whole answer with status 5xx and without the shed header.
  kShed,         // The server refused with the shed header.
  kConnectionRefused,  // No byte of the request was sent.
  kConnectionLost,     // The connection ended after the first byte was sent.
  kTimedOut,           // No whole answer before the deadline.
  kCancelled,          // Cancelled by the entry VM after it was sent.
  kNotSent,            // The slot was given back unused.
};

template <>
struct EnumNames<AttemptOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<AttemptOutcome>>({
      {AttemptOutcome::kAnswered, "answered"},
      {AttemptOutcome::kServerError, "server-error"},
      {AttemptOutcome::kShed, "shed"},
      {AttemptOutcome::kConnectionRefused, "connection-refused"},
      {AttemptOutcome::kConnectionLost, "connection-lost"},
      {AttemptOutcome::kTimedOut, "timed-out"},
      {AttemptOutcome::kCancelled, "cancelled"},
      {AttemptOutcome::kNotSent, "not-sent"},
  });
};

// What each outcome proves. Nothing outside this table counts as "not run".
struct OutcomeVerdict {
  AttemptOutcome outcome;
  Verdict verdict;
};

constexpr auto kOutcomeVerdicts = std::to_array<OutcomeVerdict>({
    {AttemptOutcome::kAnswered, Verdict::kRan},
    {AttemptOutcome::kServerError, Verdict::kRan},
    {AttemptOutcome::kShed, Verdict::kNotRun},
    {AttemptOutcome::kConnectionRefused, Verdict::kNotRun},
    {AttemptOutcome::kConnectionLost, Verdict::kMayHaveRun},
    {AttemptOutcome::kTimedOut, Verdict::kMayHaveRun},
    {AttemptOutcome::kCancelled, Verdict::kMayHaveRun},
    {AttemptOutcome::kNotSent, Verdict::kNotRun},
});

constexpr Verdict VerdictOf(AttemptOutcome outcome) {
  for (const OutcomeVerdict& row : kOutcomeVerdicts) {
    if (row.outcome == outcome)
      return row.verdict;
  }
  return Verdict::kMayHaveRun;
}

// Why the system refused a request itself.
enum class RefusalReason : std::uint8_t {
  kNone,
  kNotReady,
  kUnknownCustomer,
  kNotInPlan,
  kRateLimit,
  kConcurrencyLimit,
  kBodyTooLarge,
  kQueueFull,
  kDeadline,
  kNoServer,
  kKeyMissing,
  kKeyInUse,
  kStoreDown,
  kBlocked,
  kPeerUnreachable,
  kStopping,
  kCallerDisconnected,
  kNoBudget,
};

template <>
struct EnumNames<RefusalReason> {
  static constexpr auto kTable = std::to_array<EnumName<RefusalReason>>({
      {RefusalReason::kNone, "none"},
      {RefusalReason::kNotReady, "not-ready"},
      {RefusalReason::kUnknownCustomer, "unknown-customer"},
      {RefusalReason::kNotInPlan, "not-in-plan"},
      {RefusalReason::kRateLimit, "rate-limit"},
      {RefusalReason::kConcurrencyLimit, "concurrency-limit"},
      {RefusalReason::kBodyTooLarge, "body-too-large"},
      {RefusalReason::kQueueFull, "queue-full"},
      {RefusalReason::kDeadline, "deadline"},
      {RefusalReason::kNoServer, "no-server"},
      {RefusalReason::kKeyMissing, "key-missing"},
      {RefusalReason::kKeyInUse, "key-in-use"},
      {RefusalReason::kStoreDown, "store-down"},
      {RefusalReason::kBlocked, "blocked"},
      {RefusalReason::kPeerUnreachable, "peer-unreachable"},
      {RefusalReason::kStopping, "stopping"},
      {RefusalReason::kCallerDisconnected, "caller-gone"},
      {RefusalReason::kNoBudget, "no-budget"},
  });
};

}  // namespace cicadadrum

#endif  // CICADADRUM_MODEL_REQUEST_H_
