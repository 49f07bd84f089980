// Classes of requests, outcomes of attempts and reasons of refusals.

#ifndef CICADADRUM_MODEL_REQUEST_H_
#define CICADADRUM_MODEL_REQUEST_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/verdict.h"

namespace cicadadrum {

// Class of a request, in order of priority: a lower value is served first.
enum class RequestClass : std::uint8_t {
  kUrgent,   // Idempotent reads that are served before all other classes.
  kRoutine,  // Idempotent reads.
  kWrite,    // Non-idempotent requests, run at most once.
  kBulk,     // Parts of uploads, identified by upload and offset and therefore
             // idempotent.
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

// Outcome of one attempt at a backend server, as the entry VM observed it.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,           // A complete response that is not a server error.
  kServerError,        // A complete response with status 5xx, without the shed
                       // header.
  kShed,               // The server refused the request with the shed header.
  kConnectionRefused,  // No byte of the request was sent.
  kConnectionLost,     // The connection ended after the first byte was sent.
  kTimedOut,           // No complete response before the deadline.
  kCancelled,          // The entry VM cancelled the request after sending.
  kNotSent,            // The entry VM returned the slot without sending.
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

// Verdict that each outcome of an attempt proves. An outcome that is missing
// from the table never counts as "not run".
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

// Returns the verdict for `outcome`, or kMayHaveRun for an outcome that is not
// in the table.
constexpr Verdict VerdictOf(AttemptOutcome outcome) {
  for (const OutcomeVerdict& row : kOutcomeVerdicts) {
    if (row.outcome == outcome)
      return row.verdict;
  }
  return Verdict::kMayHaveRun;
}

// Reason why an entry VM refused a request instead of forwarding a response of
// a backend server.
enum class RefusalReason : std::uint8_t {
  kNone,
  kNotReady,
  kUnknownClientAccount,
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
      {RefusalReason::kUnknownClientAccount, "unknown-client-account"},
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
