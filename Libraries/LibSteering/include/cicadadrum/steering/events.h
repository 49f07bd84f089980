// Events and actions of the request core at an entry VM.
//
// Every decision that can reach a caller, a backend server, another entry VM or
// the platform is an action. The front end decodes events, encodes actions and
// makes no decisions.

#ifndef CICADADRUM_STEERING_EVENTS_H_
#define CICADADRUM_STEERING_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/base/verdict.h"
#include "cicadadrum/claim/claim.h"
#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// --- Events ---

// A request from a caller, or one that another entry VM forwarded
// (`forwarded`). The front end keeps the body.
struct RequestArrived {
  // Unique within this process; never reused.
  std::uint64_t request = 0;
  std::string client_account;
  std::string service;
  RequestClass request_class = RequestClass::kRoutine;
  // Request key; required for kWrite.
  std::string key;
  // Hash of client account, service, method, path and body.
  std::uint64_t fingerprint = 0;
  // Equal for all parts of one upload; 0 for requests that are not part of an
  // upload.
  std::uint64_t affinity = 0;
  std::uint64_t body_bytes = 0;
  TimePoint deadline = kNever;
  // Highest configuration version that the caller has seen.
  std::uint64_t configuration_floor = 0;
  bool forwarded = false;
  // Set if `forwarded` is true.
  ForwardOrigin origin;
};

// The caller of `request` closed its connection or cancelled the request.
struct CallerDisconnected {
  std::uint64_t request = 0;
};

// The pool owner granted a slot to an attempt.
struct SlotGranted {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::uint64_t lease = 0;
  std::string server;
  std::string address;
};

// The pool owner refused the slot request of an attempt, or could not be
// reached (kPeerUnreachable).
struct SlotRefused {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
};

// A complete response arrived from the server. `outcome` is kAnswered,
// kServerError or kShed. `answer` is set for kWrite only.
struct BackendResponded {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  StoredAnswer answer;
};

// An attempt ended without a complete response.
struct BackendFailed {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kConnectionLost;
};

// Another entry VM requests a slot from this one as the owner of `pool`.
struct PeerRequestedSlot {
  PoolKey pool;
  SlotRequest slot_request;
};

// Entry VM `entry` cancels its slot request `id`.
struct PeerCancelledSlot {
  PoolKey pool;
  std::string entry;
  std::uint64_t id = 0;
};

// Another entry VM returns a lease of `pool`. `latency` is the time from the
// start of the attempt to its end.
struct PeerReturnedSlot {
  PoolKey pool;
  std::uint64_t lease = 0;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  Duration latency{};
};

// The new owner of `pool` requests the leases that this entry VM holds there;
// ReportLeases is the response.
struct PeerRequestedLeases {
  PoolKey pool;
  std::string owner;
};

// Another entry VM reports the leases that it holds from an earlier owner of
// `pool`. The list may be empty.
struct PeerReportedLeases {
  PoolKey pool;
  std::string entry;
  std::vector<HeldLease> leases;
};

// Entry VM `entry` is no longer live, or its process has restarted.
struct PeerLost {
  std::string entry;
};

// A load report of a backend server arrived.
struct LoadReported {
  std::string server;
  LoadReport report;
};

// Whether requests with a fingerprint are refused because they crash servers.
// Entry VMs exchange these items; for each fingerprint the greatest version is
// in force.
struct BlockedItem {
  std::uint64_t fingerprint = 0;
  std::uint64_t version = 0;
  bool blocked = true;
  bool operator==(const BlockedItem&) const = default;
};

// Items about blocked fingerprints arrived from other entry VMs.
struct BlockedItemsReceived {
  std::vector<BlockedItem> items;
};

// Front ends pass the claim events ClaimWriteCompleted, HomeResponded and
// TableChanged through unchanged.

// A configuration arrived. A version that is not newer than the current one is
// ignored.
struct ConfigurationAdopted {
  Configuration configuration;
};

// The entry VMs that membership considers live, including this one.
struct MembersChanged {
  std::vector<EntryVm> live;
};

// The full list of backend servers with their leaving marks, which come from
// the platform and from operators.
struct ServersChanged {
  std::vector<BackendServer> servers;
};

// The leaving marks in `servers` were confirmed as current at this time.
struct MarksConfirmed {
  TimePoint at;
};

// The process is to stop once its requests have been answered.
struct StopRequested {};
// The time of the latest WakeAt has come.
struct TimerExpired {};

using Event = std::variant<RequestArrived,
                           CallerDisconnected,
                           SlotGranted,
                           SlotRefused,
                           BackendResponded,
                           BackendFailed,
                           PeerRequestedSlot,
                           PeerCancelledSlot,
                           PeerReturnedSlot,
                           PeerRequestedLeases,
                           PeerReportedLeases,
                           PeerLost,
                           LoadReported,
                           BlockedItemsReceived,
                           ClaimWriteCompleted,
                           HomeResponded,
                           TableChanged,
                           ConfigurationAdopted,
                           MembersChanged,
                           ServersChanged,
                           MarksConfirmed,
                           StopRequested,
                           TimerExpired>;

// --- Actions ---

// Sends a slot request to `owner`. The response arrives as SlotGranted or
// SlotRefused (kPeerUnreachable if `owner` cannot be reached).
struct SendSlotRequest {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string owner;
  PoolKey pool;
  SlotRequest slot_request;
};

// Cancels the slot request `id` at `owner`.
struct CancelSlotRequest {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string owner;
  PoolKey pool;
  std::uint64_t id = 0;
};

// Returns a lease to `owner` with the outcome and latency of its attempt.
struct ReturnToPoolOwner {
  std::string owner;
  PoolKey pool;
  std::uint64_t lease = 0;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  Duration latency{};
};

// Requests from `entries`, as the new owner of `pool`, reports of the leases
// that they hold.
struct RequestLeaseReports {
  PoolKey pool;
  std::vector<std::string> entries;
};

// Reports to the new owner of `pool` the leases that this entry VM holds from
// an earlier owner.
struct ReportLeases {
  std::string owner;
  PoolKey pool;
  std::vector<HeldLease> leases;
};

// Publishes the item to all entry VMs.
struct PublishBlockedItem {
  BlockedItem item;
};

// Sends the response to PeerRequestedSlot.
struct RespondToPeer {
  PoolKey pool;
  std::variant<SlotGrant, SlotRefusal> answer;
};

// Sends `request` to `server`. The attempt ends with BackendResponded or
// BackendFailed.
struct SendToBackend {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string server;
  std::string address;
  TimePoint deadline = kNever;
};

// Cancels an attempt at its server and discards its response.
struct CancelAtBackend {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

enum class AnswerSource : std::uint8_t {
  // The response of `attempt`, which the front end has buffered.
  kBackend,
  // `stored`, the response to an earlier execution with the same request key.
  kStored,
  // A refusal by this entry VM with `reason`.
  kSelf,
};

template <>
struct EnumNames<AnswerSource> {
  static constexpr auto kTable = std::to_array<EnumName<AnswerSource>>({
      {AnswerSource::kBackend, "backend"},
      {AnswerSource::kStored, "stored"},
      {AnswerSource::kSelf, "self"},
  });
};

// The only answer to a request. The id of the request is not used again after
// this action.
struct AnswerCaller {
  std::uint64_t request = 0;
  Verdict verdict = Verdict::kNotRun;
  AnswerSource source = AnswerSource::kSelf;
  std::uint32_t attempt = 0;
  StoredAnswer stored;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
};

// Requests a call of Step with TimerExpired at `at`. An earlier time replaces a
// later one.
struct WakeAt {
  TimePoint at = kNever;
};

// The grace period after StopRequested is over and all requests have been
// answered; the process may end.
struct StopCompleted {};

using Action = std::variant<SendSlotRequest,
                            CancelSlotRequest,
                            ReturnToPoolOwner,
                            RequestLeaseReports,
                            ReportLeases,
                            PublishBlockedItem,
                            RespondToPeer,
                            SendToBackend,
                            CancelAtBackend,
                            AnswerCaller,
                            WriteClaims,
                            StoreResult,
                            ForwardToHome,
                            WakeAt,
                            StopCompleted>;
using Actions = std::vector<Action>;

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_EVENTS_H_
