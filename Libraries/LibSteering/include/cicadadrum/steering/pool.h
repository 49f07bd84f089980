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
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

enum class ServerState : std::uint8_t {
  kWarming,
  kReady,
  kSlow,
  kLeaving,
  kDown
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
struct SlotAsk {
  std::string entry;  // Name of the entry VM that asks.
  std::uint64_t id = 0;
  std::string customer;
  RequestClass request_class = RequestClass::kRoutine;
  TimePoint deadline = kNever;
  std::vector<std::string> avoid;  // Servers of earlier attempts.
  std::string
      preferred;  // Server to prefer if it has a free slot; may be empty.
  std::uint64_t fingerprint =
      0;  // Identifies what the server would see; equal for repeats.
  std::uint64_t body_bytes = 0;
  PlanLimits limits;
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

using PoolAction = std::variant<SlotGrant, SlotRefusal, PoolWake>;
using PoolActions = std::vector<PoolAction>;

struct SlotLease {
  std::string entry;
  std::uint64_t id = 0;
  std::string server;
  std::string customer;
  RequestClass request_class = RequestClass::kRoutine;
  TimePoint granted_at;
  TimePoint expires_at;  // The slot is free again at this time if it was not
                         // returned.
};

struct PoolServer {
  BackendServer description;
  ServerState state = ServerState::kReady;
  std::uint32_t leases =
      0;  // Invariant: number of entries of Pool::leases with this server.
};

struct Pool {
  PoolKey key;
  std::map<std::string, PoolServer> servers;  // By name.
  std::map<std::uint64_t, SlotLease> leases;  // By lease number.
  std::array<std::deque<SlotAsk>, kRequestClassCount> queues;  // One per class.
  std::uint64_t next_lease = 1;
};

// Adds `ask` to the queue, or refuses it, and grants what can be granted.
void RequestSlot(Pool& pool,
                 const SlotAsk& ask,
                 TimePoint now,
                 PoolActions& actions);

// Removes the request of `entry` with `id` from the queue; does nothing if it
// is not queued.
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

// Gives back the slots and drops the queued requests of an entry VM that was
// lost.
void DropEntry(Pool& pool,
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

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_H_
