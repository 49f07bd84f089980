// Granting of slots: strict precedence of classes, first come first served
// within a class, and the server with the most free slots first.

#include "cicadadrum/steering/pool.h"

#include <algorithm>

namespace cicadadrum {

namespace {

// A lease lasts this much longer than the deadline of its request, so that a
// late return still finds it.
constexpr Duration kLeaseGrace = Seconds(2);
constexpr std::size_t kMaxQueuedPerClass = 512;
// A bulk request is granted only if the server keeps this many free slots for
// shorter work.
constexpr std::uint32_t kSlotsKeptFromBulk = 2;
constexpr Duration kRetryAfterFull = Milliseconds(500);

std::uint32_t FreeSlots(const PoolServer& server, RequestClass request_class) {
  const std::uint32_t kept =
      request_class == RequestClass::kBulk
          ? std::min(kSlotsKeptFromBulk, server.description.slots - 1)
          : 0;
  const std::uint32_t usable = server.description.slots - kept;
  return server.leases < usable ? usable - server.leases : 0;
}

bool Accepts(const PoolServer& server, const SlotAsk& ask) {
  if (server.state == ServerState::kLeaving ||
      server.state == ServerState::kDown)
    return false;
  return std::find(ask.avoid.begin(), ask.avoid.end(),
                   server.description.name) == ask.avoid.end();
}

PoolServer* ChooseServer(Pool& pool, const SlotAsk& ask) {
  const auto preferred = pool.servers.find(ask.preferred);
  if (preferred != pool.servers.end() && Accepts(preferred->second, ask) &&
      FreeSlots(preferred->second, ask.request_class) > 0)
    return &preferred->second;
  PoolServer* best = nullptr;
  std::uint32_t best_free = 0;
  for (auto& [name, server] : pool.servers) {
    const std::uint32_t free =
        Accepts(server, ask) ? FreeSlots(server, ask.request_class) : 0;
    if (free > best_free) {
      best = &server;
      best_free = free;
    }
  }
  return best;
}

void Refuse(const SlotAsk& ask,
            RefusalReason reason,
            Duration retry_after,
            PoolActions& actions) {
  actions.push_back(SlotRefusal{ask.entry, ask.id, reason, retry_after});
}

void Grant(Pool& pool,
           const SlotAsk& ask,
           PoolServer& server,
           TimePoint now,
           PoolActions& actions) {
  const std::uint64_t lease = pool.next_lease++;
  const std::string& name = server.description.name;
  ++server.leases;
  pool.leases[lease] = SlotLease{ask.entry,
                                 ask.id,
                                 name,
                                 ask.customer,
                                 ask.request_class,
                                 now,
                                 ask.deadline + kLeaseGrace};
  actions.push_back(
      SlotGrant{ask.entry, ask.id, lease, name, server.description.address});
}

void ReleaseLease(Pool& pool,
                  std::map<std::uint64_t, SlotLease>::iterator lease) {
  const auto server = pool.servers.find(lease->second.server);
  if (server != pool.servers.end())
    --server->second.leases;
  pool.leases.erase(lease);
}

void GrantQueued(Pool& pool, TimePoint now, PoolActions& actions) {
  for (auto& queue : pool.queues) {
    while (!queue.empty()) {
      const SlotAsk& ask = queue.front();
      if (ask.deadline <= now) {
        Refuse(ask, RefusalReason::kDeadline, {}, actions);
        queue.pop_front();
        continue;
      }
      PoolServer* server = ChooseServer(pool, ask);
      if (server == nullptr)
        break;
      Grant(pool, ask, *server, now, actions);
      queue.pop_front();
    }
  }
}

void RequestWake(const Pool& pool, PoolActions& actions) {
  TimePoint at = kNever;
  for (const auto& [number, lease] : pool.leases)
    at = std::min(at, lease.expires_at);
  for (const auto& queue : pool.queues) {
    for (const SlotAsk& ask : queue)
      at = std::min(at, ask.deadline);
  }
  if (at != kNever)
    actions.push_back(PoolWake{at});
}

}  // namespace

void RequestSlot(Pool& pool,
                 const SlotAsk& ask,
                 TimePoint now,
                 PoolActions& actions) {
  const bool any = std::any_of(
      pool.servers.begin(), pool.servers.end(),
      [&ask](const auto& entry) { return Accepts(entry.second, ask); });
  auto& queue = pool.queues[static_cast<std::size_t>(ask.request_class)];
  if (!any)
    return Refuse(ask, RefusalReason::kNoServer, kRetryAfterFull, actions);
  if (queue.size() >= kMaxQueuedPerClass)
    return Refuse(ask, RefusalReason::kQueueFull, kRetryAfterFull, actions);
  queue.push_back(ask);
  AdvancePool(pool, now, actions);
}

void CancelSlot(Pool& pool,
                const std::string& entry,
                std::uint64_t id,
                TimePoint now,
                PoolActions& actions) {
  for (auto& queue : pool.queues)
    std::erase_if(queue, [&](const SlotAsk& ask) {
      return ask.entry == entry && ask.id == id;
    });
  AdvancePool(pool, now, actions);
}

void ReturnSlot(Pool& pool,
                std::uint64_t lease,
                AttemptOutcome /*outcome*/,
                Duration /*latency*/,
                TimePoint now,
                PoolActions& actions) {
  const auto found = pool.leases.find(lease);
  if (found == pool.leases.end())
    return;
  ReleaseLease(pool, found);
  AdvancePool(pool, now, actions);
}

void DropEntry(Pool& pool,
               const std::string& entry,
               TimePoint now,
               PoolActions& actions) {
  for (auto& queue : pool.queues)
    std::erase_if(queue,
                  [&entry](const SlotAsk& ask) { return ask.entry == entry; });
  AdvancePool(pool, now, actions);
}

void AdvancePool(Pool& pool, TimePoint now, PoolActions& actions) {
  for (auto lease = pool.leases.begin(); lease != pool.leases.end();) {
    const auto present = lease++;
    if (present->second.expires_at <= now)
      ReleaseLease(pool, present);
  }
  GrantQueued(pool, now, actions);
  RequestWake(pool, actions);
}

void UpdatePoolServers(Pool& pool,
                       const std::vector<BackendServer>& servers,
                       TimePoint now,
                       PoolActions& actions) {
  std::map<std::string, PoolServer> updated;
  for (const BackendServer& description : servers) {
    PoolServer server{description};
    const auto former = pool.servers.find(description.name);
    if (former != pool.servers.end())
      server = former->second;
    server.description = description;
    server.state =
        description.leaving ? ServerState::kLeaving : ServerState::kReady;
    updated.emplace(description.name, server);
  }
  pool.servers = std::move(updated);
  for (auto& [name, server] : pool.servers) {
    server.leases = static_cast<std::uint32_t>(
        std::count_if(pool.leases.begin(), pool.leases.end(),
                      [&name = name](const auto& lease) {
                        return lease.second.server == name;
                      }));
  }
  AdvancePool(pool, now, actions);
}

}  // namespace cicadadrum
