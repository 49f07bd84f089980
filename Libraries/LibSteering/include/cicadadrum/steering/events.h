// Events and actions of the request core at an entry VM.
//
// Every decision that can reach a caller, a backend server, another entry VM or
// the platform is an action. The front end turns bytes into events and actions
// into bytes and decides nothing.

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

// A caller's request, or one that another entry VM passed on (`forwarded`). The
// front end keeps the body.
struct RequestArrived {
  std::uint64_t request = 0;  // Never used again in this process.
  std::string customer;
  std::string service;
  RequestClass request_class = RequestClass::kRoutine;
  std::string key;  // Request key; required for kWrite.
  std::uint64_t fingerprint =
      0;  // Hash of customer, service, method, path and body.
  std::uint64_t affinity = 0;  // Equal for the parts of one upload; 0 for none.
  std::uint64_t body_bytes = 0;
  TimePoint deadline = kNever;
  std::uint64_t configuration_floor =
      0;  // Highest version the caller has seen.
  bool forwarded = false;
  ForwardOrigin origin;  // Set if forwarded.
};

struct CallerGone {
  std::uint64_t request = 0;
};

struct SlotGranted {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::uint64_t lease = 0;
  std::string server;
  std::string address;
};

struct SlotRefused {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
};

// A whole response arrived. `outcome` is kAnswered, kServerError or kShed.
// `answer` is set for kWrite only.
struct BackendAnswered {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  StoredAnswer answer;
};

struct BackendFailed {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kConnectionLost;
};

// Another entry VM asks this one, as the owner of `pool`, for a slot.
struct PeerAskedSlot {
  PoolKey pool;
  SlotAsk ask;
};

struct PeerCancelledSlot {
  PoolKey pool;
  std::string entry;
  std::uint64_t id = 0;
};

struct PeerReturnedSlot {
  PoolKey pool;
  std::uint64_t lease = 0;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  Duration latency{};
};

// The new owner of `pool` asks for the leases that this entry VM holds there;
// answered by ReportLeases.
struct PeerAskedLeases {
  PoolKey pool;
  std::string owner;
};

// Another entry VM reports the leases it holds from an earlier owner of `pool`;
// there may be none.
struct PeerReportedLeases {
  PoolKey pool;
  std::string entry;
  std::vector<HeldLease> leases;
};

struct PeerLost {
  std::string entry;
};

// A backend server's load report arrived.
struct LoadReported {
  std::string server;
  LoadReport report;
};

// Whether requests with a fingerprint are refused because they crash servers.
// Entry VMs exchange these items; for one fingerprint the greater version wins.
struct BlockedItem {
  std::uint64_t fingerprint = 0;
  std::uint64_t version = 0;
  bool blocked = true;
  bool operator==(const BlockedItem&) const = default;
};

struct BlockedItemsReceived {
  std::vector<BlockedItem> items;
};

// Front ends pass the claim events WriteAnswered, HomeResponded and
// TableChanged through
// unchanged.

struct ConfigurationAdopted {
  Configuration configuration;
};

// The entry VMs that membership holds for live, with this one.
struct MembersChanged {
  std::vector<EntryVm> live;
};

// The backend servers with their leaving marks, from the platform's list and
// the marks of operators.
struct ServersChanged {
  std::vector<BackendServer> servers;
};

// The leaving marks in `servers` were known to be current at this time.
struct MarksConfirmed {
  TimePoint at;
};

struct StopRequested {};
struct TimerExpired {};

using Event = std::variant<RequestArrived,
                           CallerGone,
                           SlotGranted,
                           SlotRefused,
                           BackendAnswered,
                           BackendFailed,
                           PeerAskedSlot,
                           PeerCancelledSlot,
                           PeerReturnedSlot,
                           PeerAskedLeases,
                           PeerReportedLeases,
                           PeerLost,
                           LoadReported,
                           BlockedItemsReceived,
                           WriteAnswered,
                           HomeResponded,
                           TableChanged,
                           ConfigurationAdopted,
                           MembersChanged,
                           ServersChanged,
                           MarksConfirmed,
                           StopRequested,
                           TimerExpired>;

// --- Actions ---

// Ask `owner` for a slot; answered by SlotGranted or SlotRefused
// (kPeerUnreachable if it can't be reached).
struct AskPoolOwner {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string owner;
  PoolKey pool;
  SlotAsk ask;
};

struct CancelAtPoolOwner {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string owner;
  PoolKey pool;
  std::uint64_t id = 0;
};

struct ReturnToPoolOwner {
  std::string owner;
  PoolKey pool;
  std::uint64_t lease = 0;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  Duration latency{};
};

// Ask these entry VMs, as the new owner of `pool`, for the leases they hold.
struct AskForLeases {
  PoolKey pool;
  std::vector<std::string> entries;
};

// Report to the new owner of `pool` the leases that this entry VM holds from an
// earlier owner.
struct ReportLeases {
  std::string owner;
  PoolKey pool;
  std::vector<HeldLease> leases;
};

// Make this item known to all entry VMs.
struct SpreadBlockedItem {
  BlockedItem item;
};

// Answer to PeerAskedSlot.
struct AnswerPeer {
  PoolKey pool;
  std::variant<SlotGrant, SlotRefusal> answer;
};

struct SendToBackend {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string server;
  std::string address;
  TimePoint deadline = kNever;
};

struct CancelAtBackend {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

enum class AnswerSource : std::uint8_t {
  kBackend,  // The response of `attempt`, which the front end holds.
  kStored,   // `stored`, the response to an earlier run of the same key.
  kSelf,     // A refusal with `reason`.
};

template <>
struct EnumNames<AnswerSource> {
  static constexpr auto kTable = std::to_array<EnumName<AnswerSource>>({
      {AnswerSource::kBackend, "backend"},
      {AnswerSource::kStored, "stored"},
      {AnswerSource::kSelf, "self"},
  });
};

// The one answer to a request. The request's id is not used again after it.
struct AnswerCaller {
  std::uint64_t request = 0;
  Verdict verdict = Verdict::kNotRun;
  AnswerSource source = AnswerSource::kSelf;
  std::uint32_t attempt = 0;
  StoredAnswer stored;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
};

// Call Step with TimerExpired at `at`. An earlier wake replaces a later one.
struct WakeAt {
  TimePoint at = kNever;
};

// The last request has been answered after StopRequested; the process may end.
struct Stopped {};

using Action = std::variant<AskPoolOwner,
                            CancelAtPoolOwner,
                            ReturnToPoolOwner,
                            AskForLeases,
                            ReportLeases,
                            SpreadBlockedItem,
                            AnswerPeer,
                            SendToBackend,
                            CancelAtBackend,
                            AnswerCaller,
                            WriteClaims,
                            StoreResult,
                            ForwardToHome,
                            WakeAt,
                            Stopped>;
using Actions = std::vector<Action>;

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_EVENTS_H_
