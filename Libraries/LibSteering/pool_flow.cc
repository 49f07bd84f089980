// Slot requests between requests and pools.

#include "pool_flow.h"

#include <algorithm>

#include "admission.h"
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
    if (auto* grant = std::get_if<SlotGrant>(&action)) {
      if (grant->entry != state.self.name) {
        actions.push_back(AnswerPeer{key, std::move(*grant)});
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
      actions.push_back(AnswerPeer{key, std::move(refusal)});
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
  pool.next_lease = NextRandom(state.random);
  PoolActions pool_actions;
  UpdatePoolServers(pool, ServersOf(state, key), now, pool_actions);
  ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  return pool;
}

SlotAsk MakeAsk(const EntryState& state,
                const Request& request,
                const Attempt& attempt) {
  SlotAsk ask{
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
  return ask;
}

}  // namespace

void AskForSlot(EntryState& state,
                const Request& request,
                const Attempt& attempt,
                TimePoint now,
                Actions& actions) {
  SlotAsk ask = MakeAsk(state, request, attempt);
  const PoolKey key = attempt.pool;
  if (attempt.owner != state.self.name) {
    actions.push_back(AskPoolOwner{request.arrived.request, attempt.number,
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
    actions.push_back(CancelAtPoolOwner{request.arrived.request, attempt.number,
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
                  const PeerAskedSlot& asked,
                  TimePoint now,
                  Actions& actions) {
  if (!IsReady(state)) {
    actions.push_back(AnswerPeer{
        asked.pool, SlotRefusal{asked.ask.entry, asked.ask.id,
                                RefusalReason::kNotReady, Milliseconds(500)}});
    return;
  }
  SlotAsk ask = asked.ask;
  ask.limits = LimitsOf(state.configuration, ask.customer);
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
    PoolActions pool_actions;
    AdvancePool(pool, now, pool_actions);
    ApplyPoolActions(state, key, std::move(pool_actions), now, actions);
  }
}

}  // namespace cicadadrum
