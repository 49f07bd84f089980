// Index of servers by load, and the rules for the requests that a server
// accepts.

#include "pool_servers.h"

#include "cicadadrum/base/hash.h"

#include <algorithm>

#include "pool_queue.h"

namespace cicadadrum {

namespace {

// Slots of each server that bulk requests never use, so that short requests do
// not wait for a part of an upload.
constexpr std::uint32_t kSlotsReservedFromBulk = 2;
// Bulk requests use at most the usable slots of a pool divided by this number.
constexpr std::uint32_t kBulkShareDivisor = 2;
// Load reports that are older than this are ignored.
constexpr Duration kMaxReportAge = Seconds(5);
// A due probe for which no routine request arrives is granted to a write or
// bulk request after this delay.
constexpr Duration kNonRoutineProbeDelay = Seconds(1);
// Delay after which a due probe is granted to an urgent request too.
constexpr Duration kUrgentProbeDelay = Seconds(3);

// A server in the failure domain of the entry VM is preferred if its load
// exceeds the least load by at most this margin, in thousandths. Its slot is in
// use for less time, because messages between failure domains take 0.5 to 1.5
// ms each way.
constexpr std::uint32_t kNearServerLoadMargin = 250;
// Bounds the search for a server in the same failure domain, so that the cost
// does not grow with the pool.
constexpr std::size_t kMaxServersExamined = 6;

bool IsAvoided(const SlotRequest& request, const PoolServer& server) {
  return std::find(request.avoid.begin(), request.avoid.end(),
                   server.description.name) != request.avoid.end();
}

bool IsInHandover(const Pool& pool, TimePoint now) {
  return !pool.awaited_reports.empty() && now < pool.handover_until;
}

std::uint32_t UsableSlots(const Pool& pool,
                          const PoolServer& server,
                          TimePoint now) {
  if (!server.listed || (server.state != ServerState::kReady &&
                         server.state != ServerState::kWarming))
    return 0;
  const std::uint32_t slots = server.description.slots;
  const std::uint32_t cap =
      IsInHandover(pool, now) ? std::max(1U, slots / 2) : slots;
  return std::min(server.limit, cap);
}

std::uint32_t LoadOf(const PoolServer& server, TimePoint now) {
  const bool fresh = now - server.report_taken_at <= kMaxReportAge;
  // Requests that this pool did not grant count half, because the load report
  // may be old or false.
  const auto doubled_load =
      static_cast<std::uint32_t>(2 * server.leases.size()) +
      (fresh ? server.reported_excess : 0);
  return 500 * doubled_load / server.usable;
}

bool HasNonBulkTraffic(const Pool& pool) {
  return std::any_of(pool.median_latency.begin(),
                     pool.median_latency.begin() +
                         static_cast<std::size_t>(RequestClass::kBulk),
                     [](Duration median) { return median != Duration{}; });
}

bool HasBulkSlot(const Pool& pool, const PoolServer& server) {
  const std::uint32_t reserved =
      std::min(kSlotsReservedFromBulk, server.description.slots - 1);
  // A server with a reduced limit recovers by the requests that it completes.
  // If the pool receives only bulk requests, these have to be bulk requests.
  if (server.usable <= reserved && !HasNonBulkTraffic(pool))
    return server.leases.empty() && server.usable > 0;
  return server.leases.size() + reserved < server.usable;
}

bool IsSuitableProbe(const Pool& pool,
                     const SlotRequest& request,
                     const PoolServer& server,
                     TimePoint now) {
  if (request.request_class == RequestClass::kRoutine)
    return true;
  // If the pool receives no routine requests, waiting for one only delays the
  // recovery of the server. A write is not risked on a server that is down,
  // because the connection may be lost again.
  const bool has_routine =
      pool.median_latency[static_cast<std::size_t>(RequestClass::kRoutine)] !=
      Duration{};
  if (request.request_class == RequestClass::kWrite && !has_routine &&
      server.state == ServerState::kSlow)
    return true;
  const Duration wait = request.request_class == RequestClass::kUrgent
                            ? kUrgentProbeDelay
                            : kNonRoutineProbeDelay;
  return now - server.probe_at >= wait;
}

bool IsBulkShareExhausted(const Pool& pool) {
  return pool.bulk_leases >=
         std::max(1U, pool.usable_slots / kBulkShareDivisor);
}

// Returns whether a slow server would complete a request of this class before
// the request could start on another server. Urgent and bulk requests do not
// run on slow servers.
bool SlowServerIsFaster(const Pool& pool, RequestClass request_class) {
  if (pool.slow_servers_free.empty() ||
      (request_class != RequestClass::kRoutine &&
       request_class != RequestClass::kWrite))
    return false;
  const PoolServer& server =
      pool.servers[pool.slow_servers_free.begin()->server];
  const Duration median =
      pool.median_latency[static_cast<std::size_t>(request_class)];
  const auto latency = static_cast<double>(median.count()) * server.slow_factor;
  return static_cast<double>(EstimateWait(pool, request_class).count()) >
         latency;
}

ServerChoice ChooseSlowServer(const Pool& pool, const SlotRequest& request) {
  if (!SlowServerIsFaster(pool, request.request_class))
    return {};
  const std::uint32_t index = pool.slow_servers_free.begin()->server;
  if (IsAvoided(request, pool.servers[index]))
    return {};
  return {true, index, false};
}

ServerChoice ChooseProbe(const Pool& pool,
                         const SlotRequest& request,
                         TimePoint now) {
  for (const auto& [at, index] : pool.probes) {
    if (at > now)
      break;
    const PoolServer& server = pool.servers[index];
    // A part of an upload is useful only to the upload's own server.
    if (request.only_preferred && server.description.name != request.preferred)
      continue;
    if (IsSuitableProbe(pool, request, server, now) &&
        !IsAvoided(request, server))
      return {true, index, true};
  }
  return {};
}

// Returns the least loaded server, or a slightly more loaded one in the failure
// domain of the entry VM.
ServerChoice ChooseLeastLoaded(const Pool& pool,
                               const std::set<ServerRank>& ranks,
                               const SlotRequest& request) {
  ServerChoice best;
  std::uint32_t best_load = 0;
  std::size_t examined = 0;
  for (const ServerRank& rank : ranks) {
    const PoolServer& server = pool.servers[rank.server];
    if (IsAvoided(request, server))
      continue;
    if (best.found && (rank.load > best_load + kNearServerLoadMargin ||
                       ++examined > kMaxServersExamined))
      break;
    if (server.description.failure_domain == request.failure_domain)
      return {true, rank.server, false};
    if (!best.found) {
      best = {true, rank.server, false};
      best_load = rank.load;
    }
  }
  return best;
}

}  // namespace

void RefreshServer(Pool& pool, std::uint32_t index, TimePoint now) {
  PoolServer& server = pool.servers[index];
  if (server.ranked)
    pool.free_servers.erase(server.rank);
  if (server.ranked_for_bulk)
    pool.free_servers_for_bulk.erase(server.rank);
  if (server.ranked_as_slow)
    pool.slow_servers_free.erase(server.rank);
  pool.usable_slots -= server.usable;
  server.usable = UsableSlots(pool, server, now);
  pool.usable_slots += server.usable;
  server.ranked = server.leases.size() < server.usable;
  server.ranked_for_bulk = server.ranked && HasBulkSlot(pool, server);
  server.ranked_as_slow =
      server.state == ServerState::kSlow && server.listed &&
      server.leases.size() < std::max(1U, server.description.slots / 2);
  if (server.ranked_as_slow) {
    server.rank = {static_cast<std::uint32_t>(100 * server.slow_factor),
                   server.last_grant, index};
    pool.slow_servers_free.insert(server.rank);
  }
  if (!server.ranked)
    return;
  server.rank = {LoadOf(server, now), server.last_grant, index};
  pool.free_servers.insert(server.rank);
  if (server.ranked_for_bulk)
    pool.free_servers_for_bulk.insert(server.rank);
}

void SetServerState(Pool& pool,
                    std::uint32_t index,
                    ServerState state,
                    TimePoint probe_at,
                    TimePoint now) {
  PoolServer& server = pool.servers[index];
  pool.slow_servers -= server.state == ServerState::kSlow ? 1 : 0;
  pool.slow_servers += state == ServerState::kSlow ? 1 : 0;
  if (server.probe_at != kNever) {
    pool.probes.erase({server.probe_at, index});
    pool.timers.erase({server.probe_at, PoolTimerKind::kProbe, index});
  }
  server.state = state;
  server.probe_at = probe_at;
  if (probe_at != kNever) {
    pool.probes.insert({probe_at, index});
    pool.timers.insert({probe_at, PoolTimerKind::kProbe, index});
  }
  RefreshServer(pool, index, now);
}

namespace {

// Returns the server that receives the parts of the uploads of `preferred`
// while `preferred` accepts no requests. The choice is the same for all parts,
// so that an upload does not restart with each part.
ServerChoice ChooseSubstitute(const Pool& pool, const SlotRequest& request) {
  std::vector<std::string> names;
  for (const auto& [name, index] : pool.server_index) {
    const PoolServer& server = pool.servers[index];
    if (server.usable > 0 && !IsAvoided(request, server))
      names.push_back(name);
  }
  const auto winner = pool.server_index.find(
      std::string(RendezvousWinner(request.preferred, names)));
  if (winner == pool.server_index.end() ||
      !pool.servers[winner->second].ranked_for_bulk)
    return {};
  return {true, winner->second, false};
}

}  // namespace

void StartWarmup(Pool& pool, std::uint32_t index, TimePoint now) {
  PoolServer& server = pool.servers[index];
  server.warmup_started_at = now;
  server.limit = 1;
  server.successes = 0;
  server.slowness = 1;
  SetServerState(pool, index, ServerState::kWarming, kNever, now);
}

ServerChoice ChooseServer(const Pool& pool,
                          const SlotRequest& request,
                          TimePoint now) {
  const bool bulk = request.request_class == RequestClass::kBulk;
  if (bulk && IsBulkShareExhausted(pool))
    return {};
  const ServerChoice probe = ChooseProbe(pool, request, now);
  if (probe.found)
    return probe;
  const auto preferred = pool.server_index.find(request.preferred);
  if (preferred != pool.server_index.end()) {
    const PoolServer& server = pool.servers[preferred->second];
    const bool avoided = IsAvoided(request, server);
    if ((bulk ? server.ranked_for_bulk : server.ranked) && !avoided)
      return {true, preferred->second, false};
    if (request.only_preferred && server.usable > 0 && !avoided)
      return {};
    if (request.only_preferred)
      return ChooseSubstitute(pool, request);
  }
  const ServerChoice choice = ChooseLeastLoaded(
      pool, bulk ? pool.free_servers_for_bulk : pool.free_servers, request);
  return choice.found ? choice : ChooseSlowServer(pool, request);
}

bool HasFreeSlot(const Pool& pool, RequestClass request_class, TimePoint now) {
  if (!pool.probes.empty() && pool.probes.begin()->first <= now)
    return true;
  if (request_class == RequestClass::kBulk)
    return !IsBulkShareExhausted(pool) && !pool.free_servers_for_bulk.empty();
  return !pool.free_servers.empty() || SlowServerIsFaster(pool, request_class);
}

bool HasCandidate(const Pool& pool, const SlotRequest& request, TimePoint now) {
  if (request.avoid.empty() && pool.usable_slots > 0)
    return true;
  return std::any_of(pool.server_index.begin(), pool.server_index.end(),
                     [&](const auto& entry) {
                       const PoolServer& server = pool.servers[entry.second];
                       const bool accepts = server.usable > 0 ||
                                            server.probe_at <= now ||
                                            server.state == ServerState::kSlow;
                       return accepts && !IsAvoided(request, server);
                     });
}

void AttachLease(Pool& pool,
                 std::uint32_t index,
                 std::uint64_t number,
                 TimePoint now) {
  PoolServer& server = pool.servers[index];
  server.leases.insert(number);
  server.last_grant = number;
  RefreshServer(pool, index, now);
}

void DetachLease(Pool& pool,
                 const SlotLease& lease,
                 std::uint64_t number,
                 TimePoint now) {
  const auto found = pool.server_index.find(lease.server);
  if (found == pool.server_index.end())
    return;
  pool.servers[found->second].leases.erase(number);
  RefreshServer(pool, found->second, now);
}

namespace {

std::uint32_t AddServer(Pool& pool,
                        const BackendServer& description,
                        bool first_list) {
  const auto index = static_cast<std::uint32_t>(pool.servers.size());
  PoolServer server{.description = description};
  // The servers of the first list were serving before this owner knew them;
  // servers that are added later are new and have cold caches.
  server.state = first_list ? ServerState::kReady : ServerState::kWarming;
  server.limit = first_list ? description.slots : 1;
  pool.servers.push_back(std::move(server));
  pool.server_index[description.name] = index;
  return index;
}

void UpdateServer(Pool& pool,
                  std::uint32_t index,
                  const BackendServer& description,
                  TimePoint now) {
  PoolServer& server = pool.servers[index];
  const bool was_leaving = server.state == ServerState::kLeaving;
  const bool is_replaced = description.address != server.description.address;
  const bool slots_increased = description.slots > server.description.slots;
  server.listed = true;
  server.description = description;
  if (server.limit > description.slots ||
      (slots_increased && server.usable > 0))
    server.limit = description.slots;
  if (description.leaving)
    return SetServerState(pool, index, ServerState::kLeaving, kNever, now);
  if (was_leaving || is_replaced)
    return StartWarmup(pool, index, now);
  RefreshServer(pool, index, now);
}

}  // namespace

void ReplaceServers(Pool& pool,
                    const std::vector<BackendServer>& servers,
                    TimePoint now) {
  const bool first_list = pool.servers.empty();
  for (PoolServer& server : pool.servers)
    server.listed = false;
  for (const BackendServer& description : servers) {
    const auto found = pool.server_index.find(description.name);
    const std::uint32_t index = found == pool.server_index.end()
                                    ? AddServer(pool, description, first_list)
                                    : found->second;
    UpdateServer(pool, index, description, now);
  }
  for (std::uint32_t index = 0; index < pool.servers.size(); ++index) {
    if (!pool.servers[index].listed)
      SetServerState(pool, index, ServerState::kLeaving, kNever, now);
  }
}

}  // namespace cicadadrum
