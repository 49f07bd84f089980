// At-most-once execution of non-idempotent requests.
//
// Before an entry VM sends a non-idempotent request for the first time it must
// hold the key's claim: a row in the platform's table that is inserted only if
// absent, or, for a home-only key, the home's own memory. The functions below
// decide who may send; they do no input or output.

#ifndef CICADADRUM_CLAIM_CLAIM_H_
#define CICADADRUM_CLAIM_CLAIM_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
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
  std::uint64_t claim = 0;  // Number of the claim within the incarnation. A row
                            // with the same incarnation and claim is the
                            // result of the same claim written again.
  bool finished = false;
  StoredAnswer answer;  // Set if finished.
  bool operator==(const ClaimRow&) const = default;
};

// --- Events ---

// The ForwardToHome that led to a forwarded request.
struct ForwardOrigin {
  Incarnation incarnation;  // Of the entry VM that passed the request on.
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;  // 0 if the transport never delivers twice and
                              // doesn't tell the origin.
  auto operator<=>(const ForwardOrigin&) const = default;
};

// A request with this key waits for permission to be sent.
struct ClaimRequested {
  std::uint64_t request = 0;
  RequestKey key;
  TimePoint deadline = kNever;
  bool forwarded =
      false;             // Another entry VM passed it to this one as its home.
  ForwardOrigin origin;  // Set if forwarded.
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
// Every ForwardToHome is followed by exactly one, unless the request is
// resolved first.
struct HomeResponded {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;  // Of the ForwardToHome; others are dropped.
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
  StoredAnswer answer;                          // Set for kRan.
  RefusalReason reason = RefusalReason::kNone;  // kCallerGone if nobody was
                                                // there to get the verdict.
};

// The caller of a request that waits for a decision has gone.
struct ClaimAbandoned {
  std::uint64_t request = 0;
};

// The platform client found the table service up or down.
struct TableChanged {
  bool up = true;
};

struct ClaimTimerExpired {};

using ClaimEvent = std::variant<ClaimRequested,
                                WriteAnswered,
                                HomeResponded,
                                RequestFinished,
                                ClaimAbandoned,
                                TableChanged,
                                ClaimTimerExpired>;

// --- Actions ---

struct ClaimWrite {
  std::string key;
  ClaimRow row;
};

// Insert these rows only if absent, in one transaction call with an outcome for
// each row; answered by exactly one WriteAnswered. The token of the transaction
// is the incarnation and the batch. A claim that is written again keeps its row
// and goes into a later batch.
struct WriteClaims {
  std::uint64_t batch = 0;
  std::vector<ClaimWrite> writes;
};

// Replace the row of a finished request. Best effort: a loss means that later
// repeats elsewhere are answered "may have run".
struct StoreResult {
  std::string key;
  ClaimRow row;
};

// Pass the request to its key's home.
struct ForwardToHome {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
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
    std::variant<WriteClaims, StoreResult, ForwardToHome, Resolve, ClaimWake>;
using ClaimActions = std::vector<ClaimAction>;

// --- State ---

enum class ClaimPhase : std::uint8_t {
  kWaiting,         // For a batch to be written.
  kWriting,         // In the batch in flight.
  kAtHome,          // Passed to the home.
  kRunning,         // Claim held, request being sent.
  kFinished,        // Response known.
  kClaimedUnsent,   // Claim held, not sent, no request waits.
  kUncertain,       // The claim may be held; not sent, no request waits.
  kOutcomeUnknown,  // The request may have run and no response is known.
};

template <>
struct EnumNames<ClaimPhase> {
  static constexpr auto kTable = std::to_array<EnumName<ClaimPhase>>({
      {ClaimPhase::kWaiting, "waiting"},
      {ClaimPhase::kWriting, "writing"},
      {ClaimPhase::kAtHome, "at-home"},
      {ClaimPhase::kRunning, "running"},
      {ClaimPhase::kFinished, "finished"},
      {ClaimPhase::kClaimedUnsent, "held"},
      {ClaimPhase::kUncertain, "uncertain"},
      {ClaimPhase::kOutcomeUnknown, "unclear"},
  });
};

// Whether a record in this phase waits for nothing and may be forgotten.
constexpr bool HasEnded(ClaimPhase phase) {
  return phase >= ClaimPhase::kFinished;
}

// What this entry VM knows of one key.
struct ClaimRecord {
  RequestKey key;
  ClaimPhase phase = ClaimPhase::kWaiting;
  std::uint64_t claim = 0;              // Number of the claim; never changes.
  std::uint64_t running_request = 0;    // The request being sent; 0 if none.
  std::vector<ClaimRequested> waiting;  // Without a decision, oldest first.
                                        // Empty if the record has ended.
  bool maybe_written = false;  // A write of the claim may have taken effect.
  bool may_send = true;  // False if the request may have run here before and
                         // only its row is looked for.
  Verdict unsent_verdict = Verdict::kNotRun;  // Of a refusal before the claim
                                              // is decided.
  std::uint32_t home_attempt = 0;   // Number of the latest ForwardToHome.
  std::uint64_t home_request = 0;   // The request it names; 0 once answered.
  bool forward_unanswered = false;  // An ForwardToHome without an answer may
                                    // still arrive at the home.
  TimePoint retry_at =
      kNever;  // Next write or ForwardToHome, if one is delayed.
  TimePoint wake_at = kNever;  // Entry in ClaimState::timers.
  StoredAnswer answer;         // Set in kFinished.
  TimePoint changed_at;        // When it ended.
};

struct ClaimLimits {
  // A repeat usually follows within seconds; ten minutes cover a caller that
  // was cut off meanwhile.
  Duration retention = Seconds(600);
  std::size_t max_ended = 16384;
  std::size_t max_answer_bytes = 8 << 20;
  std::size_t max_used = 65536;  // Of each kind in UsedKeys.
  std::size_t max_origins = 16384;
  std::size_t max_batch = 256;  // Rows in one transaction.
  Duration rewrite_delay = Milliseconds(100);
  Duration home_retry_delay = Milliseconds(200);
};

// Hashes in the order they were added, bounded in number by forgetting the
// oldest.
struct HashHistory {
  std::set<std::uint64_t> hashes;
  std::deque<std::uint64_t> order;  // The same, oldest first.
};

// Keys whose request ran or may have run here, in compact form. They outlive
// the records.
struct UsedKeys {
  std::uint64_t watermark = 1;      // Serials below it count as used.
  std::set<std::uint64_t> serials;  // All at or above the watermark.
  HashHistory other_keys;  // Keys issued elsewhere or chosen by callers.
};

struct ClaimState {
  std::string self;  // Name of this entry VM.
  Incarnation incarnation;
  ClaimLimits limits;
  std::map<std::string, ClaimRecord> records;           // By key text.
  std::map<std::uint64_t, std::string> key_of_request;  // Waiting or running.
  std::map<std::uint64_t, std::string> to_write;        // By claim number.
  std::vector<std::string> batch_keys;  // Of the batch in flight.
  std::set<std::pair<TimePoint, std::string>> timers;  // Of live records.
  std::set<std::pair<TimePoint, std::string>> ended;   // By changed_at.
  std::size_t answer_bytes = 0;                        // In ended records.
  UsedKeys used;
  HashHistory forward_origins;  // Forwarded requests that have arrived.
  std::uint64_t next_claim = 1;
  std::uint64_t next_batch = 1;
  std::uint64_t batch_in_flight = 0;  // 0 if none.
  std::uint64_t next_serial = 1;
  bool table_up = true;          // Last known state of the table service.
  TimePoint next_wake = kNever;  // Of the latest ClaimWake.
};

// Applies one event. Every ClaimRequested is answered by exactly one Resolve
// with its request number.
void StepClaim(ClaimState& state,
               const ClaimEvent& event,
               TimePoint now,
               ClaimActions& actions);

// Returns the verdict of a refusal of a request with this key that LibClaim was
// not asked about: kMayHaveRun if this entry VM knows that it ran or may have
// run.
Verdict RefusalVerdict(const ClaimState& state, const RequestKey& key);

// Returns a new key for a caller: claimed while the table service is up,
// otherwise home-only.
RequestKey IssueRequestKey(ClaimState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_CLAIM_H_
