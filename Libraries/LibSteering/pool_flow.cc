// Slot requests between requests and pools.

#include "pool_flow.h"

#include <algorithm>

#include "admission.h"
#include "cicadadrum/base/hash.h"
#include "request_flow.h"

namespace cicadadrum {

namespace {

// A slot request is named by its request and attempt, so that a late grant
// finds only its own attempt.
constexpr int kAttemptBits = 8;

std::uint64_t AskId(std::uint64_t request, std::uint32_t attempt) {
  return (request << kAttemptBits) | attempt;
}

Pool& FindPool(EntryState& state,
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

// The leases of `pool` that this entry VM holds; from now on they belong to
// `owner`.
std::vector<HeldLease> HandOver(EntryState& state,
                                const PoolKey& pool,
                                const std::string& owner) {
  std::vector<HeldLease> held;
  for (auto& [id, request] : state.requests) {
    for (Attempt& attempt : request.attempts) {
      if (attempt.pool != pool || attempt.phase != AttemptPhase::kSent ||
          attempt.owner.empty())
        continue;
      attempt.owner = owner;
      held.push_back({.lease = attempt.lease,
                      .server = attempt.server,
                      .customer = request.arrived.customer,
                      .request_class = request.arrived.request_class,
                      .fingerprint = request.arrived.fingerprint,
                      .granted_at = attempt.sent_at,
                      .deadline = request.arrived.deadline});
    }
  }
  return held;
}

// A question or a report can be lost with its connection. Without a repeat the
// owner would keep half of its slots unused for the whole lease time.
constexpr Duration kAskReportsPeriod = Seconds(1);

void AskForReports(Pool& pool, TimePoint now, Actions& actions) {
  if (pool.awaited_reports.empty() || now >= pool.handover_until)
    return;
  if (now >= pool.ask_reports_at) {
    pool.ask_reports_at = now + kAskReportsPeriod;
    actions.push_back(RequestLeaseReports{
        pool.key, {pool.awaited_reports.begin(), pool.awaited_reports.end()}});
  }
  actions.push_back(WakeAt{pool.ask_reports_at});
}

// Starts or restarts the ownership of a pool: the leases that entry VMs hold
// are not known, also if this entry VM has only been restarted.
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
  TakeOverPool(pool, others, now, pool_actions);
  pool.ask_reports_at = now;
  AskForReports(pool, now, actions);
  ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  const PeerReportedLeases own{key, state.self.name,
                               HandOver(state, key, state.self.name)};
  if (!own.leases.empty())
    ApplyPeerReport(state, own, now, actions);
}

Pool& FindPool(EntryState& state,
               const PoolKey& key,
               TimePoint now,
               Actions& actions) {
  const auto found = state.pools.find(key);
  if (found != state.pools.end())
    return found->second;
  Pool& pool = state.pools[key];
  pool.key = key;
  // A restarted owner must not give out a lease number that an earlier run gave
  // out, because a late return would then free another request's slot.
  pool.next_lease = ((NextRandom(state.random) >> 24U) << 20U) + 1;
  for (const auto& [fingerprint, item] : state.blocked)
    SetBlocked(pool, fingerprint, item.blocked);
  StartOwnership(state, pool, now, actions);
  PoolActions pool_actions;
  UpdatePoolServers(pool, ServersOf(state, key), now, pool_actions);
  ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  return pool;
}

// Returns the server of `key` that holds the parts of an upload. All entry VMs
// choose the same one, and an upload moves only if its server leaves.
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

SlotRequest MakeAsk(const EntryState& state,
                    const Request& request,
                    const Attempt& attempt) {
  SlotRequest ask{
      .entry = state.self.name,
      .id = AskId(request.arrived.request, attempt.number),
      .customer = request.arrived.customer,
      .request_class = request.arrived.request_class,
      .deadline = request.arrived.deadline,
      .fingerprint = request.arrived.fingerprint,
      .body_bytes = request.arrived.body_bytes,
      .limits = LimitsOf(state.configuration, request.arrived.customer)};
  for (const Attempt& earlier : request.attempts) {
    if (!earlier.server.empty())
      ask.avoid.push_back(earlier.server);
  }
  ask.failure_domain = state.self.failure_domain;
  ask.only_if_free = attempt.hedge;
  if (request.arrived.affinity != 0) {
    ask.preferred = UploadServer(state, attempt.pool, request.arrived.affinity);
    ask.only_preferred = true;
    // A part that was shed or lost is sent to the same server again, because
    // another one does not have the earlier parts.
    ask.avoid.clear();
  }
  return ask;
}

}  // namespace

void AskForSlot(EntryState& state,
                const Request& request,
                const Attempt& attempt,
                TimePoint now,
                Actions& actions) {
  SlotRequest ask = MakeAsk(state, request, attempt);
  const PoolKey key = attempt.pool;
  if (attempt.owner != state.self.name) {
    actions.push_back(SendSlotRequest{request.arrived.request, attempt.number,
                                      attempt.owner, key, std::move(ask)});
    return;
  }
  PoolActions pool_actions;
  RequestSlot(FindPool(state, key, now, actions), ask, now, pool_actions);
  ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
}

void CancelAsk(EntryState& state,
               const Request& request,
               const Attempt& attempt,
               TimePoint now,
               Actions& actions) {
  const std::uint64_t id = AskId(request.arrived.request, attempt.number);
  if (attempt.owner != state.self.name) {
    actions.push_back(CancelSlotRequest{request.arrived.request, attempt.number,
                                        attempt.owner, attempt.pool, id});
    return;
  }
  PoolActions pool_actions;
  CancelSlot(FindPool(state, attempt.pool, now, actions), state.self.name, id,
             now, pool_actions);
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

void ApplyPeerAsk(EntryState& state,
                  const PeerRequestedSlot& asked,
                  TimePoint now,
                  Actions& actions) {
  if (!IsReady(state)) {
    actions.push_back(RespondToPeer{
        asked.pool, SlotRefusal{asked.ask.entry, asked.ask.id,
                                RefusalReason::kNotReady, Milliseconds(500)}});
    return;
  }
  SlotRequest ask = asked.ask;
  ask.limits = LimitsOf(state.configuration, ask.customer);
  const auto entry = std::find_if(
      state.live.begin(), state.live.end(),
      [&ask](const EntryVm& live) { return live.name == ask.entry; });
  if (entry != state.live.end())
    ask.failure_domain = entry->failure_domain;
  PoolActions pool_actions;
  RequestSlot(FindPool(state, asked.pool, now, actions), ask, now,
              pool_actions);
  ApplyPoolActions(state, asked.pool, std::move(pool_actions), now, actions);
}

void ApplyPeerCancel(EntryState& state,
                     const PeerCancelledSlot& cancelled,
                     TimePoint now,
                     Actions& actions) {
  PoolActions pool_actions;
  CancelSlot(FindPool(state, cancelled.pool, now, actions), cancelled.entry,
             cancelled.id, now, pool_actions);
  ApplyPoolActions(state, cancelled.pool, std::move(pool_actions), now,
                   actions);
}

void ApplyPeerReturn(EntryState& state,
                     const PeerReturnedSlot& returned,
                     TimePoint now,
                     Actions& actions) {
  PoolActions pool_actions;
  ReturnSlot(FindPool(state, returned.pool, now, actions), returned.lease,
             returned.outcome, returned.latency, now, pool_actions);
  ApplyPoolActions(state, returned.pool, std::move(pool_actions), now, actions);
}

void ApplyPeerLost(EntryState& state,
                   const PeerLost& lost,
                   TimePoint now,
                   Actions& actions) {
  for (auto& [key, pool] : state.pools) {
    PoolActions pool_actions;
    DropEntry(pool, lost.entry, now, pool_actions);
    ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  }
}

void ApplyPeerReport(EntryState& state,
                     const PeerReportedLeases& reported,
                     TimePoint now,
                     Actions& actions) {
  PoolActions pool_actions;
  AdoptLeases(FindPool(state, reported.pool, now, actions), reported.entry,
              reported.leases, now, pool_actions);
  ApplyPoolActions(state, reported.pool, std::move(pool_actions), now, actions);
}

void ReportHeldLeases(EntryState& state,
                      const PeerRequestedLeases& asked,
                      Actions& actions) {
  actions.push_back(ReportLeases{asked.owner, asked.pool,
                                 HandOver(state, asked.pool, asked.owner)});
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
    ObserveLoadReport(pool, reported.server, reported.report, now);
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
    AskForReports(pool, now, actions);
    PoolActions pool_actions;
    AdvancePool(pool, now, pool_actions);
    ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  }
}

}  // namespace cicadadrum
