// A slot pool: the backend servers of one service in one region, with one queue
// in front of them.
//
// The entry VM that owns a pool grants the slots of its servers to requests of
// all entry VMs. A slot request waits in the queue, and the pool chooses its
// server only when a slot is free (late binding). Safety does not depend on a
// single owner: a server sheds the requests that exceed its slots.
//
// The functions run on one thread and append the resulting actions to
// `actions`. `now` must not decrease between calls for one pool.

#ifndef CICADADRUM_STEERING_POOL_H_
#define CICADADRUM_STEERING_POOL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

enum class ServerState : std::uint8_t {
  // New or recovered; its limit grows stepwise.
  kWarming,
  kReady,
  // Much slower than its pool; receives probes, and other requests only if
  // waiting would take longer.
  kSlow,
  // Receives no new requests.
  kLeaving,
  // Refused or lost connections; receives single probes only.
  kDown,
};

template <>
struct EnumNames<ServerState> {
  static constexpr auto kTable = std::to_array<EnumName<ServerState>>({
      {ServerState::kWarming, "warming"},
      {ServerState::kReady, "ready"},
      {ServerState::kSlow, "slow"},
      {ServerState::kLeaving, "leaving"},
      {ServerState::kDown, "down"},
  });
};

// Limits of a client account's plan in one pool. Zero means unlimited.
struct PlanLimits {
  std::uint32_t requests_per_second = 0;
  std::uint32_t concurrency = 0;
};

// A request for one slot. `entry` and `id` together identify the request.
struct SlotRequest {
  // Name of the requesting entry VM.
  std::string entry;
  std::uint64_t id = 0;
  std::string client_account;
  RequestClass request_class = RequestClass::kRoutine;
  TimePoint deadline = kNever;
  // Names of the servers of earlier attempts, which must not be chosen again.
  std::vector<std::string> avoid;
  // Name of the server to prefer if it has a free slot, or empty.
  std::string preferred;
  // Whether the request waits for `preferred` while that server accepts
  // requests, even if other servers have free slots.
  bool only_preferred = false;
  // Identifies the content that the server would receive; equal for repeated
  // requests. Zero if unknown.
  std::uint64_t fingerprint = 0;
  std::uint64_t body_bytes = 0;
  PlanLimits limits;
  // Failure domain of the requesting entry VM, filled in by the owner.
  std::string failure_domain;
  // Whether the owner refuses the request instead of queueing it; set for
  // hedges.
  bool only_if_free = false;
};

// The slot request `id` of `entry` received a slot on `server`. The entry VM
// returns the lease with ReturnSlot.
struct SlotGrant {
  std::string entry;
  std::uint64_t id = 0;
  // This owner never reuses a lease number.
  std::uint64_t lease = 0;
  std::string server;
  std::string address;
};

// The slot request `id` of `entry` ended without a slot. `retry_after` is zero
// if the owner suggests no delay.
struct SlotRefusal {
  std::string entry;
  std::uint64_t id = 0;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
};

// Requests a call of AdvancePool at `at`.
struct PoolWake {
  TimePoint at = kNever;
};

// Reports a fingerprint that was running on kCrashesToBlock servers when they
// crashed.
struct FingerprintBlocked {
  std::uint64_t fingerprint = 0;
};

using PoolAction =
    std::variant<SlotGrant, SlotRefusal, PoolWake, FingerprintBlocked>;
using PoolActions = std::vector<PoolAction>;

// A lease that an entry VM received from an earlier owner of the pool.
struct HeldLease {
  std::uint64_t lease = 0;
  std::string server;
  std::string client_account;
  RequestClass request_class = RequestClass::kRoutine;
  std::uint64_t fingerprint = 0;
  TimePoint granted_at;
  TimePoint deadline = kNever;
};

// The load that a server reports about itself: a hint, because the report may
// be old or false.
struct LoadReport {
  std::uint32_t in_progress = 0;
  TimePoint taken_at;
};

// A slot in use, as the owner of the pool records it.
struct SlotLease {
  std::string entry;
  std::uint64_t id = 0;
  std::string server;
  std::string client_account;
  RequestClass request_class = RequestClass::kRoutine;
  std::uint64_t fingerprint = 0;
  TimePoint granted_at;
  // If the lease was not returned by then, the slot becomes free.
  TimePoint expires_at;
  // Time of the next age check.
  TimePoint age_check_at = kNever;
  // The server was slow or down when the lease was granted.
  bool probe = false;
  // The fingerprint was suspected when the lease was granted.
  bool suspect = false;
  // The server lost a connection during this lease, and the crash is counted
  // for the fingerprint.
  bool crash_counted = false;
};

// Position of a server in an index of servers with a free slot, best first.
struct ServerRank {
  // Leases per usable slot, in thousandths; for a slow server its slow factor,
  // in hundredths.
  std::uint32_t load = 0;
  // Number of the latest lease; spreads requests among servers of equal load.
  std::uint64_t last_grant = 0;
  std::uint32_t server = 0;  // Index in Pool::servers.
  auto operator<=>(const ServerRank&) const = default;
};

// A server of the pool, with the state that the owner derives from returned
// leases.
struct PoolServer {
  BackendServer description;
  // False for a server that was removed from the list. Its leases may still be
  // open.
  bool listed = true;
  ServerState state = ServerState::kReady;
  std::set<std::uint64_t> leases;  // Numbers of the leases on this server.
  // Adaptive concurrency limit, from 1 to the number of slots.
  std::uint32_t limit = 1;
  // Leases that were granted earlier say nothing about the present process.
  TimePoint warmup_started_at;
  // Number of successful requests since the limit changed.
  std::uint32_t successes = 0;
  // Moving average of latency divided by the median latency of the pool.
  double slowness = 1;
  // While the server is slow: moving average of its latency divided by the
  // median latency of the pool.
  double slow_factor = 1;
  Duration probe_backoff{};
  // Set while the server is slow or down and no probe is in progress.
  TimePoint probe_at = kNever;
  std::uint32_t good_probes = 0;
  // Number of requests in progress, by the last load report, beyond the leases
  // of this pool.
  std::uint32_t reported_excess = 0;
  TimePoint report_taken_at;
  std::uint64_t last_grant = 0;
  // Slots of this server that are counted in Pool::usable_slots.
  std::uint32_t usable = 0;
  bool ranked = false;  // Whether `rank` is in Pool::free_servers.
  bool ranked_for_bulk = false;
  bool ranked_as_slow = false;
  ServerRank rank;
};

// Queued slot requests of one client account in one class.
struct ClientAccountQueue {
  // Sequence numbers in order of arrival; may name removed requests.
  std::deque<std::uint64_t> sequences;
  // Number of requests that have not been removed.
  std::uint32_t waiting = 0;
  // Start tag of the first request.
  double tag = 0;
};

// Fair queue of one class: the client account with the smallest tag is served
// first, and each grant adds one to the tag of its client account.
struct ClassQueue {
  // Client accounts with queued requests, by name.
  std::map<std::string, ClientAccountQueue> client_accounts;
  // Client accounts ordered by tag.
  std::set<std::pair<double, std::string>> order;
  // Tag at the latest grant.
  double virtual_time = 0;
  std::uint32_t waiting = 0;
};

// Use of the pool by one client account, checked against the limits of its
// plan.
struct ClientAccountUse {
  double tokens = 0;
  TimePoint tokens_at;
  // Number of requests that wait or have a grant.
  std::uint32_t in_progress = 0;
  bool initialized = false;
};

// A fingerprint that was running when a server was lost.
struct CrashSuspect {
  std::uint32_t crashes = 0;
  // Number of the first lease after the last crash that was counted. An earlier
  // lease says nothing more: the same event may have ended it.
  std::uint64_t first_lease = 0;
  bool blocked = false;
};

enum class PoolTimerKind : std::uint8_t {
  kRequestDeadline,
  kLeaseExpiry,
  kLeaseAge,
  kProbe,
  kHandover,
};

template <>
struct EnumNames<PoolTimerKind> {
  static constexpr auto kTable = std::to_array<EnumName<PoolTimerKind>>({
      {PoolTimerKind::kRequestDeadline, "ask-deadline"},
      {PoolTimerKind::kLeaseExpiry, "lease-expiry"},
      {PoolTimerKind::kLeaseAge, "lease-age"},
      {PoolTimerKind::kProbe, "probe"},
      {PoolTimerKind::kHandover, "handover"},
  });
};

struct PoolTimer {
  TimePoint at = kNever;
  PoolTimerKind kind = PoolTimerKind::kRequestDeadline;
  // Sequence number of a request, lease number or server index; 0 for
  // kHandover.
  std::uint64_t number = 0;
  auto operator<=>(const PoolTimer&) const = default;
};

// State of one pool at its owner.
struct Pool {
  PoolKey key;
  // The index of a server never changes.
  // FIXME: The index of a removed server is not reused, so the vector grows
  // with each new server until the owner changes.
  std::vector<PoolServer> servers;
  // Indexes in `servers`, by name.
  std::map<std::string, std::uint32_t> server_index;
  // Servers with a free slot for requests other than bulk.
  std::set<ServerRank> free_servers;
  std::set<ServerRank> free_servers_for_bulk;
  // Slow servers with a free slot, for requests that would wait longer for
  // another server.
  std::set<ServerRank> slow_servers_free;
  // Server indexes by probe_at.
  std::set<std::pair<TimePoint, std::uint32_t>> probes;
  // Sum of PoolServer::usable.
  std::uint32_t usable_slots = 0;
  std::uint32_t slow_servers = 0;
  std::uint32_t bulk_leases = 0;
  // Open leases, by lease number.
  std::map<std::uint64_t, SlotLease> leases;
  // Queued requests, by sequence number.
  std::unordered_map<std::uint64_t, SlotRequest> waiting_requests;
  // Sequence numbers of queued requests, by entry VM and request id.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> request_index;
  // One queue per class.
  std::array<ClassQueue, kRequestClassCount> queues;
  // Sequence numbers of queued suspects.
  std::deque<std::uint64_t> suspect_requests;
  // Number of leases of suspects. Invariant: at most 1, because suspects run
  // one at a time.
  std::uint32_t suspects_running = 0;
  // Suspects by fingerprint.
  // FIXME: A suspect whose fingerprint never occurs again stays until the owner
  // changes.
  std::map<std::uint64_t, CrashSuspect> suspects;
  std::map<std::string, ClientAccountUse> client_accounts;
  // Median latency per class; 0 if unknown.
  std::array<Duration, kRequestClassCount> median_latency{};
  std::set<PoolTimer> timers;
  // Entry VMs that may hold leases of an earlier owner and have not reported
  // them.
  std::set<std::string> awaited_reports;
  // At most half the slots of each server are granted until this time or until
  // all awaited reports have arrived.
  TimePoint handover_until;
  // Time of the next request for the awaited reports.
  TimePoint report_request_at;
  std::uint64_t next_lease = 1;
  std::uint64_t next_sequence = 1;
};

// Starts the ownership of a pool. `others` are the entry VMs that may hold
// leases of an earlier owner. At most half the slots of each server are granted
// until each of them has reported its leases, or until all leases of an earlier
// owner must have expired.
void AssumePoolOwnership(Pool& pool,
                         const std::vector<std::string>& others,
                         TimePoint now,
                         PoolActions& actions);

// Adds the leases that `entry` holds from an earlier owner, and stops waiting
// for the report of `entry`. Leases on unknown servers and known lease numbers
// are ignored.
void AdoptLeases(Pool& pool,
                 const std::string& entry,
                 const std::vector<HeldLease>& reported,
                 TimePoint now,
                 PoolActions& actions);

// Queues or refuses `request`, and grants all queued requests for which a slot
// is free. Each request receives exactly one SlotGrant or SlotRefusal unless it
// is cancelled or its entry VM is lost.
void RequestSlot(Pool& pool,
                 const SlotRequest& request,
                 TimePoint now,
                 PoolActions& actions);

// Cancels the request `id` of `entry`. If the grant was sent before the
// cancellation arrived, its lease is ended, because the entry VM discards the
// grant.
void CancelSlot(Pool& pool,
                const std::string& entry,
                std::uint64_t id,
                TimePoint now,
                PoolActions& actions);

// Returns a slot and updates the state of its server by `outcome` and
// `latency`. An unknown lease (expired, or granted by an earlier owner) is
// ignored.
void ReturnSlot(Pool& pool,
                std::uint64_t lease,
                AttemptOutcome outcome,
                Duration latency,
                TimePoint now,
                PoolActions& actions);

// Removes the queued requests of an entry VM that was lost. The leases of the
// entry VM stay until they expire, because the servers may still run the
// requests.
void RemoveEntryRequests(Pool& pool,
                         const std::string& entry,
                         TimePoint now,
                         PoolActions& actions);

// Expires leases and queued requests that are due by `now`, and grants all
// queued requests for which a slot is free.
void AdvancePool(Pool& pool, TimePoint now, PoolActions& actions);

// Replaces the list of servers of this pool. Leases on a server that is no
// longer listed stay until they are returned or expire.
void UpdatePoolServers(Pool& pool,
                       const std::vector<BackendServer>& servers,
                       TimePoint now,
                       PoolActions& actions);

// Lets a server of the pool warm up that was listed shortly before the pool was
// created.
void WarmUpServer(Pool& pool, const std::string& server, TimePoint now);

// Records a load report as a hint for the choice of servers. A report that is
// older than 5 s, or not newer than the last one of the server, has no effect.
void RecordLoadReport(Pool& pool,
                      const std::string& server,
                      const LoadReport& report,
                      TimePoint now);

// Blocks a fingerprint, or clears it of suspicion.
void SetBlocked(Pool& pool, std::uint64_t fingerprint, bool blocked);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_H_
