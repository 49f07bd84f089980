// A slot pool: the backend servers of one service in one region, with one queue
// in front of them.
//
// The entry VM that owns a pool grants the slots of its servers to requests of
// all entry VMs. A request waits in the queue and its server is chosen when a
// slot is free (late binding). Safety does not depend on there being one owner:
// a server sheds what exceeds its slots.

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
  kWarming,  // New or recovered; takes work in steps.
  kReady,
  kSlow,     // Much slower than its pool; gets single probes only.
  kLeaving,  // Gets nothing.
  kDown,     // Refused or lost connections; gets single probes only.
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

// Limits of a customer's plan in one pool. Zero means no limit.
struct PlanLimits {
  std::uint32_t requests_per_second = 0;
  std::uint32_t concurrency = 0;
};

// One request for a slot. `entry` and `id` together identify it.
struct SlotRequest {
  std::string entry;  // Name of the entry VM that asks.
  std::uint64_t id = 0;
  std::string customer;
  RequestClass request_class = RequestClass::kRoutine;
  TimePoint deadline = kNever;
  std::vector<std::string> avoid;  // Servers of earlier attempts.
  std::string preferred;  // Server to prefer if it has a free slot, or empty.
  // Wait for `preferred` while it takes work, even if others have free slots.
  bool only_preferred = false;
  std::uint64_t fingerprint = 0;  // Identifies what the server would see; equal
                                  // for repeats. 0 if unknown.
  std::uint64_t body_bytes = 0;
  PlanLimits limits;
  std::string failure_domain;  // Of the entry VM, as the owner knows it.
  bool only_if_free = false;   // Refuse instead of queueing; for hedges.
};

struct SlotGrant {
  std::string entry;
  std::uint64_t id = 0;
  std::uint64_t lease = 0;  // Never used again by this owner.
  std::string server;
  std::string address;
};

struct SlotRefusal {
  std::string entry;
  std::uint64_t id = 0;
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};
};

// AdvancePool wants to be called at `at`.
struct PoolWake {
  TimePoint at = kNever;
};

// The fingerprint was running on kCrashesToBlock servers that crashed.
struct FingerprintBlocked {
  std::uint64_t fingerprint = 0;
};

using PoolAction =
    std::variant<SlotGrant, SlotRefusal, PoolWake, FingerprintBlocked>;
using PoolActions = std::vector<PoolAction>;

// A lease that an entry VM holds from an earlier owner.
struct HeldLease {
  std::uint64_t lease = 0;
  std::string server;
  std::string customer;
  RequestClass request_class = RequestClass::kRoutine;
  std::uint64_t fingerprint = 0;
  TimePoint granted_at;
  TimePoint deadline = kNever;
};

// A server's own statement of its load: a hint, because it may be old or false.
struct LoadReport {
  std::uint32_t in_progress = 0;
  TimePoint taken_at;
};

struct SlotLease {
  std::string entry;
  std::uint64_t id = 0;
  std::string server;
  std::string customer;
  RequestClass request_class = RequestClass::kRoutine;
  std::uint64_t fingerprint = 0;
  TimePoint granted_at;
  TimePoint expires_at;  // The slot is free again at this time if it was not
                         // returned.
  TimePoint age_check_at = kNever;  // Next look at the age.
  bool probe = false;          // Granted on a server that was slow or down.
  bool suspect = false;        // The fingerprint was suspected when granted.
  bool crash_counted = false;  // The server was lost during this lease.
};

// Position of a server in an index of servers with a free slot, best first.
struct ServerRank {
  std::uint32_t load = 0;        // Leases per usable slot, in thousandths.
  std::uint64_t last_grant = 0;  // Lease number; spreads work among equals.
  std::uint32_t server = 0;      // Index in Pool::servers.
  auto operator<=>(const ServerRank&) const = default;
};

struct PoolServer {
  BackendServer description;
  bool listed = true;  // False for a server that was removed but has leases.
  ServerState state = ServerState::kReady;
  std::set<std::uint64_t> leases;  // Numbers of the leases on this server.
  std::uint32_t limit = 1;         // Adaptive; 1 to the number of slots.
  std::uint32_t successes = 0;     // Since the limit changed.
  double slowness =
      1;  // Moving average of latency / usual latency of the pool.
  double slow_factor = 1;  // While slow: latency / usual of the last answer.
  Duration probe_backoff{};
  TimePoint probe_at = kNever;  // Set while slow or down, without a probe.
  std::uint32_t good_probes = 0;
  std::uint32_t reported_excess = 0;  // Work of others by the last report.
  TimePoint report_taken_at;
  std::uint64_t last_grant = 0;
  std::uint32_t usable = 0;  // Slots counted in Pool::usable_slots.
  bool ranked = false;       // Whether `rank` is in Pool::free_servers.
  bool ranked_for_bulk = false;
  bool ranked_as_slow = false;
  ServerRank rank;
};

struct CustomerQueue {
  std::deque<std::uint64_t>
      sequences;              // Sequence numbers; may name removed asks.
  std::uint32_t waiting = 0;  // Asks that have not been removed.
  double tag = 0;             // Start tag of the first ask.
};

// Fair queue of one class: the customer with the smallest tag goes first, and
// each grant adds one to its tag.
struct ClassQueue {
  std::map<std::string, CustomerQueue> customers;  // Those that wait.
  std::set<std::pair<double, std::string>> order;  // By tag.
  double virtual_time = 0;                         // Tag of the last grant.
  std::uint32_t waiting = 0;
};

// Use of the pool by one customer, for the limits of its plan.
struct CustomerUse {
  double tokens = 0;
  TimePoint tokens_at;
  std::uint32_t in_progress = 0;  // Waiting and granted.
  bool initialized = false;
};

// A request that was running when a server was lost.
struct CrashSuspect {
  std::uint32_t crashes = 0;
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
  std::uint64_t number = 0;  // Ask, lease or server.
  auto operator<=>(const PoolTimer&) const = default;
};

struct Pool {
  PoolKey key;
  // Positions don't change.
  // FIXME: The position of a server that was removed is not used again, so the
  // vector grows with each new server until the owner changes.
  std::vector<PoolServer> servers;
  std::map<std::string, std::uint32_t> server_index;  // By name.
  std::set<ServerRank> free_servers;  // Have a free slot for short work.
  std::set<ServerRank> free_servers_for_bulk;
  std::set<ServerRank> slow_servers_free;  // For work that would wait longer.
  std::set<std::pair<TimePoint, std::uint32_t>> probes;  // Servers by probe_at.
  std::uint32_t usable_slots = 0;  // Sum of PoolServer::usable.
  std::uint32_t slow_servers = 0;
  std::uint32_t bulk_leases = 0;
  std::map<std::uint64_t, SlotLease> leases;  // By lease number.
  std::unordered_map<std::uint64_t, SlotRequest>
      waiting_requests;  // Waiting, by sequence.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>
      request_index;  // Sequence by entry VM and id.
  std::array<ClassQueue, kRequestClassCount> queues;  // One per class.
  std::deque<std::uint64_t> suspect_requests;         // May name removed asks.
  std::uint32_t suspects_running = 0;                 // Invariant: at most 1.
  // By fingerprint.
  // FIXME: A suspect that never comes back stays until the owner changes.
  std::map<std::uint64_t, CrashSuspect> suspects;
  std::map<std::string, CustomerUse> customers;
  std::array<Duration, kRequestClassCount> median_latency{};  // Median latency;
                                                              // 0 if unknown.
  std::set<PoolTimer> timers;
  std::set<std::string> awaited_reports;  // Entry VMs that may hold leases of
                                          // an earlier owner.
  TimePoint handover_until;  // Half the slots until then or until all reported.
  TimePoint report_request_at;  // When to ask for the awaited reports again.
  std::uint64_t next_lease = 1;
  std::uint64_t next_sequence = 1;
};

// Starts the ownership of a pool. `others` are the entry VMs that may hold
// leases of an earlier owner: at most half the slots are granted until each has
// reported, or until no lease of an earlier owner can be left.
void AssumePoolOwnership(Pool& pool,
                         const std::vector<std::string>& others,
                         TimePoint now,
                         PoolActions& actions);

// Takes over the leases that `entry` holds from an earlier owner.
void AdoptLeases(Pool& pool,
                 const std::string& entry,
                 const std::vector<HeldLease>& reported,
                 TimePoint now,
                 PoolActions& actions);

// Adds `ask` to the queue, or refuses it, and grants what can be granted. Each
// ask is answered by exactly one SlotGrant or SlotRefusal unless it is
// cancelled.
void RequestSlot(Pool& pool,
                 const SlotRequest& request,
                 TimePoint now,
                 PoolActions& actions);

// Withdraws the request of `entry` with `id`. A grant that crossed the
// cancellation is taken back, because the entry VM drops it unused.
void CancelSlot(Pool& pool,
                const std::string& entry,
                std::uint64_t id,
                TimePoint now,
                PoolActions& actions);

// Gives a slot back. An unknown lease (expired, or of an earlier owner) is
// ignored.
void ReturnSlot(Pool& pool,
                std::uint64_t lease,
                AttemptOutcome outcome,
                Duration latency,
                TimePoint now,
                PoolActions& actions);

// Drops the queued requests of an entry VM that was lost. Its leases stay until
// they expire, because the servers may still run them.
void RemoveEntryRequests(Pool& pool,
                         const std::string& entry,
                         TimePoint now,
                         PoolActions& actions);

// Expires leases and queued requests, and grants what can be granted.
void AdvancePool(Pool& pool, TimePoint now, PoolActions& actions);

// Takes over the present list of servers of this pool. Leases on a server that
// is no longer listed stay until they are returned or expire.
void UpdatePoolServers(Pool& pool,
                       const std::vector<BackendServer>& servers,
                       TimePoint now,
                       PoolActions& actions);

// Takes a load report as a hint. Reports older than 5 s have no effect.
void RecordLoadReport(Pool& pool,
                      const std::string& server,
                      const LoadReport& report,
                      TimePoint now);

// Blocks a fingerprint, or clears it of suspicion.
void SetBlocked(Pool& pool, std::uint64_t fingerprint, bool blocked);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_H_
