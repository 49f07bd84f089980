// Passes slot requests between admitted requests, pools of this entry VM and
// other pool owners.

#include "pool_flow.h"

#include <algorithm>
#include <map>
#include <string_view>

#include "admission.h"
#include "cicadadrum/base/hash.h"
#include "request_flow.h"

namespace cicadadrum {

namespace {

// The id of a slot request combines request and attempt, so that a delayed
// grant applies only to its own attempt.
constexpr int kAttemptBits = 8;

std::uint64_t SlotRequestId(std::uint64_t request, std::uint32_t attempt) {
  return (request << kAttemptBits) | attempt;
}

// Time after which a server that was listed counts as warm to a new owner of
// its pool.
constexpr Duration kNewServerTime = Seconds(30);

Pool& FindOrCreatePool(EntryState& state,
                       const PoolKey& key,
                       TimePoint now,
                       Actions& actions);

void BlockFingerprint(EntryState& state,
                      std::uint64_t fingerprint,
                      Actions& actions) {
  BlockedItem& item = state.blocked[fingerprint];
  item = {fingerprint, item.version + 1, true};
  actions.push_back(PublishBlockedItem{item});
  for (auto& [key, pool] : state.pools)
    SetBlocked(pool, fingerprint, true);
}

void ApplyPoolActions(EntryState& state,
                      const PoolKey& key,
                      PoolActions pool_actions,
                      TimePoint now,
                      Actions& actions) {
  for (PoolAction& action : pool_actions) {
    if (const auto* wake = std::get_if<PoolWake>(&action)) {
      actions.push_back(WakeAt{wake->at});
      continue;
    }
    if (const auto* blocked = std::get_if<FingerprintBlocked>(&action)) {
      BlockFingerprint(state, blocked->fingerprint, actions);
      continue;
    }
    if (auto* grant = std::get_if<SlotGrant>(&action)) {
      if (grant->entry != state.self.name) {
        actions.push_back(RespondToPeer{key, std::move(*grant)});
        continue;
      }
      const auto attempt =
          static_cast<std::uint32_t>(grant->id & ((1U << kAttemptBits) - 1));
      ApplyGrant(state,
                 {grant->id >> kAttemptBits, attempt, grant->lease,
                  grant->server, grant->address},
                 now, actions);
      continue;
    }
    auto& refusal = std::get<SlotRefusal>(action);
    if (refusal.entry != state.self.name) {
      actions.push_back(RespondToPeer{key, std::move(refusal)});
      continue;
    }
    const auto attempt =
        static_cast<std::uint32_t>(refusal.id & ((1U << kAttemptBits) - 1));
    ApplyRefusal(state,
                 {refusal.id >> kAttemptBits, attempt, refusal.reason,
                  refusal.retry_after},
                 now, actions);
  }
}

std::vector<BackendServer> ServersOf(const EntryState& state,
                                     const PoolKey& key) {
  std::vector<BackendServer> servers;
  for (const BackendServer& server : state.servers) {
    if (server.region == key.region && server.service == key.service)
      servers.push_back(server);
  }
  return servers;
}

// Returns the leases of `pool` that this entry VM holds, and makes `owner`
// their owner, to which they will be returned.
std::vector<HeldLease> ReassignLeases(EntryState& state,
                                      const PoolKey& pool,
                                      const std::string& owner) {
  std::vector<HeldLease> leases;
  for (auto& [id, request] : state.requests) {
    for (Attempt& attempt : request.attempts) {
      if (attempt.pool != pool || attempt.phase != AttemptPhase::kSent ||
          attempt.owner.empty())
        continue;
      attempt.owner = owner;
      leases.push_back({.lease = attempt.lease,
                        .server = attempt.server,
                        .client_account = request.arrived.client_account,
                        .request_class = request.arrived.request_class,
                        .fingerprint = request.arrived.fingerprint,
                        .granted_at = attempt.sent_at,
                        .deadline = request.arrived.deadline});
    }
  }
  return leases;
}

// A request or a report can be lost with its connection. Without a repetition,
// the owner would leave half of its slots unused until the leases of the
// earlier owner expire.
constexpr Duration kReportRequestPeriod = Seconds(1);

void RequestMissingReports(Pool& pool, TimePoint now, Actions& actions) {
  if (pool.awaited_reports.empty() || now >= pool.handover_until)
    return;
  if (now >= pool.report_request_at) {
    pool.report_request_at = now + kReportRequestPeriod;
    actions.push_back(RequestLeaseReports{
        pool.key, {pool.awaited_reports.begin(), pool.awaited_reports.end()}});
  }
  actions.push_back(WakeAt{pool.report_request_at});
}

// Starts the ownership of a pool. The owner does not know the leases that entry
// VMs hold, even if its process has only been restarted.
void StartOwnership(EntryState& state,
                    Pool& pool,
                    TimePoint now,
                    Actions& actions) {
  const PoolKey key = pool.key;
  std::vector<std::string> others;
  for (const EntryVm& entry : state.live) {
    if (entry.name != state.self.name)
      others.push_back(entry.name);
  }
  PoolActions pool_actions;
  AssumePoolOwnership(pool, others, now, pool_actions);
  pool.report_request_at = now;
  RequestMissingReports(pool, now, actions);
  ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  const PeerReportedLeases self_report{
      key, state.self.name, ReassignLeases(state, key, state.self.name)};
  if (!self_report.leases.empty())
    ApplyPeerReport(state, self_report, now, actions);
}

Pool& FindOrCreatePool(EntryState& state,
                       const PoolKey& key,
                       TimePoint now,
                       Actions& actions) {
  const auto found = state.pools.find(key);
  if (found != state.pools.end())
    return found->second;
  Pool& pool = state.pools[key];
  pool.key = key;
  // A restarted owner must not reuse a lease number of an earlier process,
  // because a delayed return would then free another request's slot.
  pool.next_lease = ((NextRandom(state.random) >> 24U) << 20U) + 1;
  for (const auto& [fingerprint, item] : state.blocked)
    SetBlocked(pool, fingerprint, item.blocked);
  StartOwnership(state, pool, now, actions);
  PoolActions pool_actions;
  UpdatePoolServers(pool, ServersOf(state, key), now, pool_actions);
  ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  for (const auto& [server, listed_at] : state.listed_at) {
    if (now - listed_at < kNewServerTime)
      WarmUpServer(pool, server, now);
  }
  return pool;
}

// Returns the name of the server of `key` that receives all parts of an upload.
// All entry VMs choose the same server, and an upload moves only if its server
// leaves.
std::string UploadServer(const EntryState& state,
                         const PoolKey& key,
                         std::uint64_t affinity) {
  std::vector<std::string> names;
  for (const BackendServer& server : state.servers) {
    if (server.region == key.region && server.service == key.service &&
        !server.leaving)
      names.push_back(server.name);
  }
  return std::string(RendezvousWinner(std::to_string(affinity), names));
}

SlotRequest MakeSlotRequest(const EntryState& state,
                            const Request& request,
                            const Attempt& attempt) {
  SlotRequest slot_request{
      .entry = state.self.name,
      .id = SlotRequestId(request.arrived.request, attempt.number),
      .client_account = request.arrived.client_account,
      .request_class = request.arrived.request_class,
      .deadline = request.arrived.deadline,
      .fingerprint = request.arrived.fingerprint,
      .body_bytes = request.arrived.body_bytes,
      .limits = LimitsOf(state.configuration, request.arrived.client_account)};
  for (const Attempt& earlier : request.attempts) {
    if (!earlier.server.empty())
      slot_request.avoid.push_back(earlier.server);
  }
  slot_request.failure_domain = state.self.failure_domain;
  slot_request.only_if_free = attempt.hedge;
  if (request.arrived.affinity != 0) {
    slot_request.preferred =
        UploadServer(state, attempt.pool, request.arrived.affinity);
    slot_request.only_preferred = true;
    // A part that was shed or lost is sent to the same server again, because
    // other servers do not have the earlier parts.
    slot_request.avoid.clear();
  }
  return slot_request;
}

void RecordNewServers(EntryState& state,
                      const std::vector<BackendServer>& servers,
                      TimePoint now) {
  std::erase_if(state.listed_at, [&](const auto& listed) {
    return now - listed.second >= kNewServerTime;
  });
  std::map<std::string_view, std::string_view> known;
  for (const BackendServer& server : state.servers)
    known.emplace(server.name, server.address);
  for (const BackendServer& server : servers) {
    const auto found = known.find(server.name);
    if (found == known.end() || found->second != server.address)
      state.listed_at[server.name] = now;
  }
}

}  // namespace

void RequestAttemptSlot(EntryState& state,
                        const Request& request,
                        const Attempt& attempt,
                        TimePoint now,
                        Actions& actions) {
  SlotRequest slot_request = MakeSlotRequest(state, request, attempt);
  const PoolKey key = attempt.pool;
  if (attempt.owner != state.self.name) {
    actions.push_back(SendSlotRequest{request.arrived.request, attempt.number,
                                      attempt.owner, key,
                                      std::move(slot_request)});
    return;
  }
  PoolActions pool_actions;
  RequestSlot(FindOrCreatePool(state, key, now, actions), slot_request, now,
              pool_actions);
  ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
}

void CancelAttemptRequest(EntryState& state,
                          const Request& request,
                          const Attempt& attempt,
                          TimePoint now,
                          Actions& actions) {
  const std::uint64_t id =
      SlotRequestId(request.arrived.request, attempt.number);
  if (attempt.owner != state.self.name) {
    actions.push_back(CancelSlotRequest{request.arrived.request, attempt.number,
                                        attempt.owner, attempt.pool, id});
    return;
  }
  PoolActions pool_actions;
  CancelSlot(FindOrCreatePool(state, attempt.pool, now, actions),
             state.self.name, id, now, pool_actions);
  ApplyPoolActions(state, attempt.pool, std::move(pool_actions), now, actions);
}

void ReturnLease(EntryState& state,
                 const Attempt& attempt,
                 AttemptOutcome outcome,
                 Duration latency,
                 TimePoint now,
                 Actions& actions) {
  if (attempt.owner != state.self.name) {
    actions.push_back(ReturnToPoolOwner{attempt.owner, attempt.pool,
                                        attempt.lease, outcome, latency});
    return;
  }
  ApplyPeerReturn(state, {attempt.pool, attempt.lease, outcome, latency}, now,
                  actions);
}

void ApplyPeerRequest(EntryState& state,
                      const PeerRequestedSlot& requested,
                      TimePoint now,
                      Actions& actions) {
  if (!IsReady(state)) {
    actions.push_back(RespondToPeer{
        requested.pool,
        SlotRefusal{requested.slot_request.entry, requested.slot_request.id,
                    RefusalReason::kNotReady, Milliseconds(500)}});
    return;
  }
  SlotRequest slot_request = requested.slot_request;
  slot_request.limits =
      LimitsOf(state.configuration, slot_request.client_account);
  const auto entry = std::find_if(state.live.begin(), state.live.end(),
                                  [&slot_request](const EntryVm& live) {
                                    return live.name == slot_request.entry;
                                  });
  if (entry != state.live.end())
    slot_request.failure_domain = entry->failure_domain;
  PoolActions pool_actions;
  RequestSlot(FindOrCreatePool(state, requested.pool, now, actions),
              slot_request, now, pool_actions);
  ApplyPoolActions(state, requested.pool, std::move(pool_actions), now,
                   actions);
}

void ApplyPeerCancel(EntryState& state,
                     const PeerCancelledSlot& cancelled,
                     TimePoint now,
                     Actions& actions) {
  PoolActions pool_actions;
  CancelSlot(FindOrCreatePool(state, cancelled.pool, now, actions),
             cancelled.entry, cancelled.id, now, pool_actions);
  ApplyPoolActions(state, cancelled.pool, std::move(pool_actions), now,
                   actions);
}

void ApplyPeerReturn(EntryState& state,
                     const PeerReturnedSlot& returned,
                     TimePoint now,
                     Actions& actions) {
  PoolActions pool_actions;
  ReturnSlot(FindOrCreatePool(state, returned.pool, now, actions),
             returned.lease, returned.outcome, returned.latency, now,
             pool_actions);
  ApplyPoolActions(state, returned.pool, std::move(pool_actions), now, actions);
}

void ApplyPeerLost(EntryState& state,
                   const PeerLost& lost,
                   TimePoint now,
                   Actions& actions) {
  for (auto& [key, pool] : state.pools) {
    PoolActions pool_actions;
    RemoveEntryRequests(pool, lost.entry, now, pool_actions);
    ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  }
}

void ApplyPeerReport(EntryState& state,
                     const PeerReportedLeases& reported,
                     TimePoint now,
                     Actions& actions) {
  PoolActions pool_actions;
  AdoptLeases(FindOrCreatePool(state, reported.pool, now, actions),
              reported.entry, reported.leases, now, pool_actions);
  ApplyPoolActions(state, reported.pool, std::move(pool_actions), now, actions);
}

void ReportHeldLeases(EntryState& state,
                      const PeerRequestedLeases& requested,
                      Actions& actions) {
  actions.push_back(
      ReportLeases{requested.owner, requested.pool,
                   ReassignLeases(state, requested.pool, requested.owner)});
}

void ApplyMembers(EntryState& state,
                  const MembersChanged& changed,
                  TimePoint now,
                  Actions& actions) {
  std::vector<PoolKey> not_owned;
  for (const auto& [key, pool] : state.pools) {
    if (PoolOwner(state, key) != state.self.name)
      not_owned.push_back(key);
  }
  state.live = changed.live;
  for (const PoolKey& key : not_owned) {
    if (PoolOwner(state, key) == state.self.name)
      StartOwnership(state, state.pools.at(key), now, actions);
  }
}

void ApplyLoadReport(EntryState& state,
                     const LoadReported& reported,
                     TimePoint now) {
  for (auto& [key, pool] : state.pools)
    RecordLoadReport(pool, reported.server, reported.report, now);
}

void ApplyBlockedItems(EntryState& state,
                       const BlockedItemsReceived& received) {
  for (const BlockedItem& item : received.items) {
    BlockedItem& known = state.blocked[item.fingerprint];
    if (known.version >= item.version)
      continue;
    known = item;
    for (auto& [key, pool] : state.pools)
      SetBlocked(pool, item.fingerprint, item.blocked);
  }
}

std::vector<BlockedItem> ExportBlockedItems(const EntryState& state) {
  std::vector<BlockedItem> items;
  for (const auto& [fingerprint, item] : state.blocked)
    items.push_back(item);
  return items;
}

void ApplyServers(EntryState& state,
                  const ServersChanged& changed,
                  TimePoint now,
                  Actions& actions) {
  if (state.servers_known)
    RecordNewServers(state, changed.servers, now);
  state.servers = changed.servers;
  state.servers_known = true;
  for (auto& [key, pool] : state.pools) {
    PoolActions pool_actions;
    UpdatePoolServers(pool, ServersOf(state, key), now, pool_actions);
    ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  }
}

void AdvancePools(EntryState& state, TimePoint now, Actions& actions) {
  for (auto& [key, pool] : state.pools) {
    RequestMissingReports(pool, now, actions);
    PoolActions pool_actions;
    AdvancePool(pool, now, pool_actions);
    ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  }
}

}  // namespace cicadadrum
