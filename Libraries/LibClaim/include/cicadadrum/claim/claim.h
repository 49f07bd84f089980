// At-most-once execution of non-idempotent requests.
//
// Before an entry VM sends a non-idempotent request for the first time, it must
// hold the claim of the request's key. The claim is a row in the platform's
// table that is inserted only if absent. For a home-only key it is a record in
// the memory of the key's home, the entry VM that issued the key. The functions
// below decide who may send a request; they do no input or output.

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

// A response that is stored for repeats of its request. A body of more than
// kMaxStoredBody bytes is dropped and `truncated` is set.
struct StoredAnswer {
  std::uint16_t status = 0;
  std::string content_type;
  std::string body;
  bool truncated = false;
  bool operator==(const StoredAnswer&) const = default;
};

constexpr std::size_t kMaxStoredBody = 8192;  // In bytes.

// Value of the row claims/<key>.
struct ClaimRow {
  std::string holder;  // Name of the entry VM that holds the claim.
  Incarnation incarnation;
  std::uint64_t claim = 0;  // Number of the claim within the incarnation. A row
                            // with the same incarnation and claim stems from
                            // an earlier write of the same claim.
  bool finished = false;
  StoredAnswer answer;  // Set if finished.
  bool operator==(const ClaimRow&) const = default;
};

// --- Events ---

// Identifies the ForwardToHome that led to a forwarded request.
struct ForwardOrigin {
  Incarnation incarnation;  // Of the entry VM that forwarded it.
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;  // 0 if the transport delivers at most once and
                              // does not transmit the origin.
  auto operator<=>(const ForwardOrigin&) const = default;
};

// A request with this key has arrived and waits for a decision.
struct ClaimRequested {
  std::uint64_t request = 0;
  RequestKey key;
  TimePoint deadline = kNever;
  // Another entry VM forwarded the request to this one as its home.
  bool forwarded = false;
  ForwardOrigin origin;  // Set if forwarded.
};

// Outcome of one key in a batch of claims.
enum class ClaimWriteOutcome : std::uint8_t {
  kInserted,   // This entry VM's row is in the table, from this write or an
               // earlier write with the same token.
  kExists,     // The table already has a row for the key, returned in `row`.
  kUncertain,  // No response: the row may be in the table or appear later.
  kFailed,     // The table service rejected the write without effect.
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

// The write of the batch with this number completed, with one result per key. A
// key without a result counts as kUncertain.
struct ClaimWriteCompleted {
  std::uint64_t batch = 0;
  std::vector<ClaimWriteResult> results;
};

// The home responded to a forwarded request, or the call failed. Exactly one
// HomeResponded must follow every ForwardToHome, unless the request is resolved
// first.
struct HomeResponded {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;  // Of the ForwardToHome; an older one is ignored.
  bool reached = false;       // The home responded.
  bool sent = false;       // The request may have reached the home although no
                           // response arrived.
  bool home_dead = false;  // Membership considers the home's incarnation dead.
  Verdict verdict = Verdict::kNotRun;
  StoredAnswer answer;  // Set for kRan.
  RefusalReason reason = RefusalReason::kNone;
};

// The request that was sent under the claim has ended.
struct RequestFinished {
  std::uint64_t request = 0;
  Verdict verdict = Verdict::kNotRun;
  StoredAnswer answer;  // Set for kRan.
  RefusalReason reason =
      RefusalReason::kNone;  // kCallerDisconnected if the caller
                             // did not get the verdict.
};

// The caller of a request that waits for a decision has disconnected.
struct ClaimAbandoned {
  std::uint64_t request = 0;
};

// The platform client has found that the table service is up or down.
struct TableChanged {
  bool up = true;
};

// The time of the last ClaimWake has come.
struct ClaimTimerExpired {};

using ClaimEvent = std::variant<ClaimRequested,
                                ClaimWriteCompleted,
                                HomeResponded,
                                RequestFinished,
                                ClaimAbandoned,
                                TableChanged,
                                ClaimTimerExpired>;

// --- Actions ---

// One row of a batch.
struct ClaimWrite {
  std::string key;
  ClaimRow row;
};

// Insert each of these rows if absent, in one transaction call with an outcome
// per row. Exactly one ClaimWriteCompleted must follow. The transaction's token
// consists of the incarnation and the batch number. A claim that is written
// again keeps its row and goes into a later batch.
struct WriteClaims {
  std::uint64_t batch = 0;
  std::vector<ClaimWrite> writes;
};

// Replace the row of a finished request. If the write is lost, other entry VMs
// respond to later repeats with "may have run".
struct StoreResult {
  std::string key;
  ClaimRow row;
};

// Forward the request to the home of its key.
struct ForwardToHome {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string home;
  Incarnation incarnation;
};

enum class ClaimDecision : std::uint8_t {
  kSend,      // This entry VM holds the claim and may send the request.
  kFinished,  // The request ran; `answer` is its response.
  kRefuse,  // The request is not sent here and never will be under this claim:
            // respond with `verdict` and `reason`.
};

template <>
struct EnumNames<ClaimDecision> {
  static constexpr auto kTable = std::to_array<EnumName<ClaimDecision>>({
      {ClaimDecision::kSend, "send"},
      {ClaimDecision::kFinished, "finished"},
      {ClaimDecision::kRefuse, "refuse"},
  });
};

// The decision on a request.
struct Resolve {
  std::uint64_t request = 0;
  ClaimDecision decision = ClaimDecision::kRefuse;
  Verdict verdict = Verdict::kNotRun;
  RefusalReason reason = RefusalReason::kNone;
  StoredAnswer answer;
};

// Send a ClaimTimerExpired at this time. Replaces the last ClaimWake.
struct ClaimWake {
  TimePoint at = kNever;
};

using ClaimAction =
    std::variant<WriteClaims, StoreResult, ForwardToHome, Resolve, ClaimWake>;
using ClaimActions = std::vector<ClaimAction>;

// --- State ---

enum class ClaimPhase : std::uint8_t {
  kWaiting,        // The claim waits for the next batch.
  kWriting,        // The claim is in the batch in flight.
  kAtHome,         // The request was forwarded to the home.
  kRunning,        // The claim is held and a request is being sent.
  kFinished,       // The response is known.
  kClaimedUnsent,  // The claim is held, nothing was sent, no request waits.
  kUncertain,      // The claim may be held, nothing was sent, no request waits.
  kOutcomeUnknown,  // The request may have run; no response is known.
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

// Returns whether a record in this phase waits for nothing and may be removed.
constexpr bool HasEnded(ClaimPhase phase) {
  return phase >= ClaimPhase::kFinished;
}

// The state of one key at this entry VM.
struct ClaimRecord {
  RequestKey key;
  ClaimPhase phase = ClaimPhase::kWaiting;
  std::uint64_t claim = 0;            // Number of the claim; never changes.
  std::uint64_t running_request = 0;  // The request being sent; 0 if none.
  // Requests without a decision, oldest first. Empty if the record has ended.
  std::vector<ClaimRequested> waiting;
  bool maybe_written = false;  // A write of the claim may have taken effect.
  // False if the request may have run here before: the table is then only
  // searched for its row.
  bool may_send = true;
  // Verdict of a refusal before the claim is decided.
  Verdict unsent_verdict = Verdict::kNotRun;
  std::uint32_t home_attempt = 0;  // Number of the latest ForwardToHome.
  // The request of that ForwardToHome; 0 after its response.
  std::uint64_t home_request = 0;
  // A ForwardToHome without a response may still arrive at the home.
  bool forward_unanswered = false;
  TimePoint retry_at = kNever;  // Time of a delayed write or ForwardToHome.
  TimePoint wake_at = kNever;   // The time of its entry in ClaimState::timers.
  StoredAnswer answer;          // Set in kFinished.
  TimePoint changed_at;         // When the record ended.
};

// Bounds of the memory for records, and delays.
struct ClaimLimits {
  // How long ended records are retained. Repeats usually follow within seconds;
  // ten minutes cover a caller that was disconnected in the meantime.
  Duration retention = Seconds(600);
  std::size_t max_ended = 16384;           // Ended records.
  std::size_t max_answer_bytes = 8 << 20;  // Of bodies in ended records.
  std::size_t max_used = 65536;     // Serials, and other keys, in UsedKeys.
  std::size_t max_origins = 16384;  // Of forwarded requests.
  std::size_t max_batch = 256;      // Rows in one transaction.
  // Delay before an uncertain claim is written again.
  Duration rewrite_delay = Milliseconds(100);
  // Delay before a request is forwarded to an unreachable home again.
  Duration home_retry_delay = Milliseconds(200);
};

// A bounded set of hashes. The oldest ones are removed first.
struct HashHistory {
  std::set<std::uint64_t> hashes;
  std::deque<std::uint64_t> order;  // The same hashes, oldest first.
};

// Keys whose request ran or may have run here, in compact form. They are
// retained after their records have been removed.
struct UsedKeys {
  std::uint64_t watermark = 1;      // All lower serials count as used.
  std::set<std::uint64_t> serials;  // Used serials from the watermark on.
  HashHistory other_keys;  // Keys of other incarnations or chosen by callers.
};

struct ClaimState {
  std::string self;  // Name of this entry VM.
  Incarnation incarnation;
  ClaimLimits limits;
  std::map<std::string, ClaimRecord> records;  // By key text.
  // Key texts of the requests that wait or are being sent, by request number.
  std::map<std::uint64_t, std::string> key_of_request;
  std::map<std::uint64_t, std::string> to_write;  // Keys, by claim number.
  std::vector<std::string> batch_keys;  // Keys of the batch in flight.
  // Keys of records with a timer, by wake_at.
  std::set<std::pair<TimePoint, std::string>> timers;
  // Keys of ended records, by changed_at.
  std::set<std::pair<TimePoint, std::string>> ended;
  std::size_t answer_bytes = 0;  // Of bodies in ended records.
  UsedKeys used;
  HashHistory forward_origins;  // Of forwarded requests that have arrived.
  std::uint64_t next_claim = 1;
  std::uint64_t next_batch = 1;
  std::uint64_t batch_in_flight = 0;  // 0 if none.
  std::uint64_t next_serial = 1;
  bool table_up = true;          // Last known state of the table service.
  TimePoint next_wake = kNever;  // Of the latest ClaimWake.
};

// Applies one event and appends the actions that follow. Every ClaimRequested
// leads to exactly one Resolve with its request number, in the same or a later
// call.
void StepClaim(ClaimState& state,
               const ClaimEvent& event,
               TimePoint now,
               ClaimActions& actions);

// Returns the verdict for a request with this key that is refused without a
// ClaimRequested: kMayHaveRun if this entry VM knows that the request ran, may
// have run or may still run; the record's `unsent_verdict` if the claim was not
// used; kNotRun if there is no record.
Verdict RefusalVerdict(const ClaimState& state, const RequestKey& key);

// Returns a new key for a caller: kClaimed while the table service is up,
// otherwise kHomeOnly.
RequestKey IssueRequestKey(ClaimState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_CLAIM_H_
