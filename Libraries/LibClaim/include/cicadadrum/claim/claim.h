// At-most-once execution of non-idempotent requests.
//
// Before an entry VM sends a non-idempotent request for the first time it must
// hold the key's claim: a row in the platform's table that is inserted only if
// absent, or, for a home-only key, the home's own memory. The functions below
// decide who may send; they do no input or output.

#ifndef CICADADRUM_CLAIM_CLAIM_H_
#define CICADADRUM_CLAIM_CLAIM_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/base/verdict.h"
#include "cicadadrum/claim/request_key.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

// A response kept for repeats of its request. Bodies above kMaxStoredBody are
// not kept (`truncated`).
struct StoredAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
  bool truncated = false;
  bool operator==(const StoredAnswer&) const = default;
};

constexpr std::size_t kMaxStoredBody = 8192;

// Value of a row claims/<key>.
struct ClaimRow {
  std::string holder;  // Name of the entry VM that holds the claim.
  Incarnation incarnation;
  bool finished = false;
  StoredAnswer answer;  // Set if finished.
  bool operator==(const ClaimRow&) const = default;
};

// --- Events ---

// A request with this key waits for permission to be sent.
struct ClaimAsked {
  std::uint64_t request = 0;
  RequestKey key;
  TimePoint deadline = kNever;
  bool forwarded =
      false;  // Another entry VM passed it to this one as its home.
};

// Outcome of one key in a batch of claims.
enum class ClaimWriteOutcome : std::uint8_t {
  kInserted,   // This entry VM's row is in the table, from this write or an
               // earlier one with its token.
  kExists,     // Another row is there; it is in `row`.
  kUncertain,  // No answer: the row may be there or may appear later.
  kFailed,     // The table service did not take the write; it had no effect.
};

template <>
struct EnumNames<ClaimWriteOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<ClaimWriteOutcome>>({
      {ClaimWriteOutcome::kInserted, "inserted"},
      {ClaimWriteOutcome::kExists, "exists"},
      {ClaimWriteOutcome::kUncertain, "uncertain"},
      {ClaimWriteOutcome::kFailed, "failed"},
  });
};

struct ClaimWriteResult {
  std::string key;
  ClaimWriteOutcome outcome = ClaimWriteOutcome::kFailed;
  ClaimRow row;  // Set for kExists.
};

// Answer to the batch with this number; one result per key of the batch.
struct WriteAnswered {
  std::uint64_t batch = 0;
  std::vector<ClaimWriteResult> results;
};

// The home answered a request that was passed to it, or could not be reached.
struct HomeAnswered {
  std::uint64_t request = 0;
  bool reached = false;
  bool sent =
      false;  // The request may have reached the home although no answer came.
  bool home_dead = false;  // Membership holds the home's incarnation for dead.
  Verdict verdict = Verdict::kNotRun;
  StoredAnswer answer;  // Set for kRan.
  RefusalReason reason = RefusalReason::kNone;
};

// The request that held the claim has ended.
struct RequestFinished {
  std::uint64_t request = 0;
  Verdict verdict = Verdict::kNotRun;
  StoredAnswer answer;  // Set for kRan.
};

struct ClaimTimerExpired {};

using ClaimEvent = std::variant<ClaimAsked,
                                WriteAnswered,
                                HomeAnswered,
                                RequestFinished,
                                ClaimTimerExpired>;

// --- Actions ---

// Insert these rows only if absent, in one transaction call with per-row
// outcomes. The token makes a repeated call idempotent.
struct WriteClaims {
  std::uint64_t batch = 0;
  std::vector<std::string> keys;
  ClaimRow row;
};

// Replace the row of a finished request. Best effort: a loss means that later
// repeats elsewhere are answered "may have run".
struct StoreResult {
  std::string key;
  ClaimRow row;
};

// Pass the request to its key's home.
struct AskHome {
  std::uint64_t request = 0;
  std::string home;
  Incarnation incarnation;
};

enum class ClaimDecision : std::uint8_t {
  kSend,      // This entry VM holds the claim and may send the request.
  kFinished,  // The request ran; `answer` is its response.
  kRefuse,  // Not sent here and never by this claim: answer with `verdict` and
            // `reason`.
};

template <>
struct EnumNames<ClaimDecision> {
  static constexpr auto kTable = std::to_array<EnumName<ClaimDecision>>({
      {ClaimDecision::kSend, "send"},
      {ClaimDecision::kFinished, "finished"},
      {ClaimDecision::kRefuse, "refuse"},
  });
};

struct Resolve {
  std::uint64_t request = 0;
  ClaimDecision decision = ClaimDecision::kRefuse;
  Verdict verdict = Verdict::kNotRun;
  RefusalReason reason = RefusalReason::kNone;
  StoredAnswer answer;
};

struct ClaimWake {
  TimePoint at = kNever;
};

using ClaimAction =
    std::variant<WriteClaims, StoreResult, AskHome, Resolve, ClaimWake>;
using ClaimActions = std::vector<ClaimAction>;

// --- State ---

enum class ClaimPhase : std::uint8_t {
  kWaiting,   // For a batch to be written.
  kWriting,   // In the batch in flight.
  kAtHome,    // Passed to the home.
  kRunning,   // Claim held, request being sent.
  kFinished,  // Response known.
  kHeld,      // Claim held, not sent, no request waits.
  kUnclear,   // The request may have run and no response is known.
};

template <>
struct EnumNames<ClaimPhase> {
  static constexpr auto kTable = std::to_array<EnumName<ClaimPhase>>({
      {ClaimPhase::kWaiting, "waiting"},
      {ClaimPhase::kWriting, "writing"},
      {ClaimPhase::kAtHome, "at-home"},
      {ClaimPhase::kRunning, "running"},
      {ClaimPhase::kFinished, "finished"},
      {ClaimPhase::kHeld, "held"},
      {ClaimPhase::kUnclear, "unclear"},
  });
};

struct ClaimRecord {
  RequestKey key;
  ClaimPhase phase = ClaimPhase::kWaiting;
  std::uint64_t request = 0;  // The request that waits or runs; 0 if none.
  TimePoint deadline = kNever;
  std::vector<ClaimAsked> repeats;  // Wait for the outcome of `request`.
  StoredAnswer answer;              // Set in kFinished.
  TimePoint changed_at;
};

struct ClaimState {
  std::string self;  // Name of this entry VM.
  Incarnation incarnation;
  std::map<std::string, ClaimRecord> records;  // By key text.
  std::map<std::uint64_t, std::string> key_of_request;
  std::uint64_t next_batch = 1;
  std::uint64_t batch_in_flight = 0;  // 0 if none.
  std::uint64_t next_serial = 1;
  bool table_up = true;  // Last known state of the table service.
};

// Applies one event. Every ClaimAsked is answered by exactly one Resolve with
// its request number.
void StepClaim(ClaimState& state,
               const ClaimEvent& event,
               TimePoint now,
               ClaimActions& actions);

// Returns a new key for a caller: claimed while the table service is up,
// otherwise home-only.
RequestKey IssueRequestKey(ClaimState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_CLAIM_H_
