// Failure detection: probes, suspicions, reconnection and isolation.

#include "probing.h"

#include <algorithm>
#include <utility>

#include "exchange.h"
#include "member_table.h"

namespace cicadadrum {

namespace {

// If the last ack of a node is older than this number of probe periods, the
// node assumes that its messages or the acks are lost, and does not suspect
// other members.
constexpr int kMaxAckAgePeriods = 5;
// If no ack arrived for longer than this number of probe periods, all
// suspicions are restarted with the next ack.
constexpr int kAckGapPeriods = 2;
constexpr Duration kIsolatedAfter = Seconds(5);
constexpr Duration kReconnectPeriod = Seconds(5);
constexpr Duration kSuspectPingPeriod = Milliseconds(400);

// Limits the rate of messages to a member that does not refute its death.
constexpr Duration kDeadNoticePeriod = Milliseconds(200);

constexpr Duration kRelayLifetime = Seconds(1);

bool HasNoRecentAck(const StepContext& context) {
  const MembershipState& state = context.state;
  return context.now - state.last_ack_at >
         state.options.probe_period * kMaxAckAgePeriods;
}

void FailProbe(StepContext& context, std::size_t index) {
  MembershipState& state = context.state;
  MemberUpdate record = state.members[index].record;
  if (!IsLive(record.state) || HasNoRecentAck(context))
    return;
  if (record.state == MemberState::kAlive) {
    record.state = MemberState::kSuspect;
    SetRecord(context, index, record, true);
    return;
  }
  // Probes of two nodes have failed, so the shorter timeout applies.
  Suspicion& suspicion = state.suspicions[index];
  suspicion.raised_here = true;
  suspicion.dead_at = std::min(suspicion.dead_at,
                               context.now + state.options.suspicion_timeout);
  suspicion.ping_at = context.now;
}

void SendPingRequests(StepContext& context, const Probe& probe) {
  MembershipState& state = context.state;
  const std::string target = state.members[probe.member].record.vm.name;
  for (const std::size_t helper :
       RandomLiveSample(state, state.options.helpers, probe.member)) {
    ExchangeMessage request = MakeMessage(context, ExchangeKind::kPingRequest);
    request.sequence = probe.sequence;
    request.target = target;
    SendToMember(context, helper, std::move(request));
  }
}

void CheckProbes(StepContext& context) {
  MembershipState& state = context.state;
  std::vector<std::size_t> failed;
  for (Probe& probe : state.probes) {
    if (probe.indirect_at <= context.now) {
      probe.indirect_at = kNever;
      SendPingRequests(context, probe);
    }
    if (probe.fail_at <= context.now)
      failed.push_back(probe.member);
  }
  std::erase_if(state.probes, [&](const Probe& probe) {
    return probe.fail_at <= context.now;
  });
  for (const std::size_t index : failed)
    FailProbe(context, index);
  std::erase_if(state.relayed, [&](const RelayedProbe& relayed) {
    return relayed.expires_at <= context.now;
  });
}

void RefillProbeOrder(MembershipState& state) {
  for (std::size_t i = 1; i < state.members.size(); ++i) {
    if (state.members[i].record.state == MemberState::kAlive)
      state.probe_order.push_back(i);
  }
  for (std::size_t i = state.probe_order.size(); i > 1; --i)
    std::swap(state.probe_order[i - 1],
              state.probe_order[RandomBelow(state.random, i)]);
}

std::optional<std::size_t> NextProbeTarget(MembershipState& state) {
  for (int round = 0; round < 2; ++round) {
    while (!state.probe_order.empty()) {
      const std::size_t index = state.probe_order.back();
      state.probe_order.pop_back();
      if (state.members[index].record.state == MemberState::kAlive)
        return index;
    }
    RefillProbeOrder(state);
  }
  return std::nullopt;
}

void StartProbe(StepContext& context) {
  MembershipState& state = context.state;
  if (context.now < state.next_probe_at)
    return;
  state.next_probe_at += state.options.probe_period;
  if (state.next_probe_at <= context.now)
    state.next_probe_at = context.now + state.options.probe_period;
  const std::optional<std::size_t> index = NextProbeTarget(state);
  if (!index) {
    state.last_ack_at = context.now;  // No member could send an ack.
    return;
  }
  ExchangeMessage ping = MakeMessage(context, ExchangeKind::kPing);
  ping.sequence = state.next_sequence++;
  state.probes.push_back(
      {.sequence = ping.sequence,
       .member = *index,
       .indirect_at = context.now + state.options.direct_timeout,
       .fail_at = context.now + state.options.probe_timeout});
  SendToMember(context, *index, std::move(ping));
}

void RestartSuspicion(StepContext& context, Suspicion& suspicion) {
  suspicion.raised_here = true;
  suspicion.raised_at = context.now;
  suspicion.ping_at = context.now;
  suspicion.dead_at = context.now + context.state.options.suspicion_timeout;
}

void CheckSuspicions(StepContext& context) {
  MembershipState& state = context.state;
  std::vector<std::size_t> dead;
  for (auto& [index, suspicion] : state.suspicions) {
    if (suspicion.dead_at <= context.now) {
      // If no ack arrived since the suspicion began, the network may be losing
      // this node's messages. If the suspicion came from a peer, this node
      // first gives the member an opportunity to refute it.
      if (suspicion.raised_here && state.last_ack_at > suspicion.raised_at)
        dead.push_back(index);
      else
        RestartSuspicion(context, suspicion);
    } else if (suspicion.ping_at <= context.now) {
      suspicion.ping_at = context.now + kSuspectPingPeriod;
      PingWithRecord(context, index);
    }
  }
  for (const std::size_t index : dead) {
    MemberUpdate record = state.members[index].record;
    record.state = MemberState::kDead;
    SetRecord(context, index, record);
  }
}

void PushUrgentUpdates(StepContext& context) {
  MembershipState& state = context.state;
  if (context.now < state.urgent_push_at)
    return;
  state.urgent_push_at = kNever;
  state.last_urgent_push_at = context.now;
  for (const std::size_t peer :
       RandomLiveSample(state, state.options.push_fanout)) {
    ExchangeMessage push =
        MakeMessage(context, ExchangeKind::kPush, state.options.urgent_updates);
    SendToMember(context, peer, std::move(push));
  }
}

// Contacts one member that is listed as dead, or one seed or platform entry
// that is not in the table, so that the two sides of a network partition
// reconnect after it heals.
void Reconnect(StepContext& context) {
  MembershipState& state = context.state;
  if (context.now < state.next_reconnect_at)
    return;
  state.next_reconnect_at = context.now + kReconnectPeriod +
                            Microseconds(static_cast<std::int64_t>(
                                RandomBelow(state.random, 1'000'000)));
  RemoveExpiredMembers(context);
  std::vector<std::size_t> dead;
  for (std::size_t i = 1; i < state.members.size(); ++i) {
    if (state.members[i].record.state == MemberState::kDead)
      dead.push_back(i);
  }
  std::vector<const EntryVm*> unknown;
  for (const auto* list : {&state.seeds, &state.platform_entries}) {
    for (const EntryVm& vm : *list) {
      if (!FindIndex(state, vm.name))
        unknown.push_back(&vm);
    }
  }
  const std::size_t count = dead.size() + unknown.size();
  if (count == 0)
    return;
  const std::size_t choice = RandomBelow(state.random, count);
  if (choice < dead.size())
    PingWithRecord(context, dead[choice]);
  else
    SendPull(context, *unknown[choice - dead.size()], true, true);
}

void CheckIsolation(StepContext& context) {
  MembershipState& state = context.state;
  const bool isolated = context.now - state.last_ack_at > kIsolatedAfter;
  if (isolated == state.isolated)
    return;
  state.isolated = isolated;
  context.actions.emplace_back(IsolationChanged{.isolated = isolated});
}

void RecordAck(StepContext& context) {
  MembershipState& state = context.state;
  const Duration silence = context.now - state.last_ack_at;
  state.last_ack_at = context.now;
  // The responses of suspects may have been lost while no ack arrived.
  if (silence > state.options.probe_period * kAckGapPeriods) {
    for (auto& [index, suspicion] : state.suspicions)
      RestartSuspicion(context, suspicion);
  }
  CheckIsolation(context);
}

}  // namespace

void OnPing(StepContext& context,
            std::size_t sender,
            const ExchangeMessage& message) {
  ExchangeMessage ack = MakeMessage(context, ExchangeKind::kAck);
  ack.sequence = message.sequence;
  // The ack includes a record that is not alive, so that the sender can refute
  // it.
  const Member& member = context.state.members[sender];
  if (member.record.state != MemberState::kAlive)
    ack.members.push_back(WireRecord(member));
  SendToMember(context, sender, std::move(ack));
}

void OnAck(StepContext& context, const ExchangeMessage& message) {
  MembershipState& state = context.state;
  const std::string& from =
      message.target.empty() ? message.sender : message.target;
  const std::optional<std::size_t> index = FindIndex(state, from);
  const std::size_t removed =
      std::erase_if(state.probes, [&](const Probe& probe) {
        return probe.sequence == message.sequence && index == probe.member;
      });
  if (removed > 0)
    RecordAck(context);
  const auto relayed = std::find_if(
      state.relayed.begin(), state.relayed.end(),
      [&](const RelayedProbe& r) { return r.sequence == message.sequence; });
  if (relayed == state.relayed.end())
    return;
  if (const std::optional<std::size_t> origin =
          FindIndex(state, relayed->origin)) {
    ExchangeMessage ack = MakeMessage(context, ExchangeKind::kAck);
    ack.sequence = relayed->origin_sequence;
    ack.target = message.sender;
    SendToMember(context, *origin, std::move(ack));
  }
  state.relayed.erase(relayed);
}

void OnPingRequest(StepContext& context,
                   std::size_t sender,
                   const ExchangeMessage& message) {
  MembershipState& state = context.state;
  const std::optional<std::size_t> target = FindIndex(state, message.target);
  if (!target)
    return;
  ExchangeMessage ping = MakeMessage(context, ExchangeKind::kPing);
  ping.sequence = state.next_sequence++;
  state.relayed.push_back({.sequence = ping.sequence,
                           .origin = state.members[sender].record.vm.name,
                           .origin_sequence = message.sequence,
                           .expires_at = context.now + kRelayLifetime});
  SendToMember(context, *target, std::move(ping));
}

void NotifyDeadSender(StepContext& context, std::size_t index) {
  MembershipState& state = context.state;
  if (context.now < state.next_dead_notice_at)
    return;
  state.next_dead_notice_at = context.now + kDeadNoticePeriod;
  PingWithRecord(context, index);
}

void PingWithRecord(StepContext& context, std::size_t index) {
  ExchangeMessage ping = MakeMessage(context, ExchangeKind::kPing);
  ping.sequence = context.state.next_sequence++;
  ping.members.push_back(WireRecord(context.state.members[index]));
  // The member may not know this node and needs its address to respond.
  ping.members.push_back(WireRecord(context.state.members[0]));
  SendToMember(context, index, std::move(ping));
}

void RunProbing(StepContext& context) {
  CheckProbes(context);
  CheckSuspicions(context);
  CheckIsolation(context);
  PushUrgentUpdates(context);
  if (context.state.leaving)
    return;
  StartProbe(context);
  Reconnect(context);
}

TimePoint NextProbingTime(const MembershipState& state) {
  TimePoint next = state.urgent_push_at;
  for (const Probe& probe : state.probes)
    next = std::min({next, probe.indirect_at, probe.fail_at});
  for (const auto& [index, suspicion] : state.suspicions)
    next = std::min({next, suspicion.dead_at, suspicion.ping_at});
  if (!state.leaving)
    next = std::min({next, state.next_probe_at, state.next_reconnect_at});
  return next;
}

void CompensateForPause(StepContext& context, Duration lag) {
  MembershipState& state = context.state;
  state.probes.clear();
  state.relayed.clear();
  for (auto& [index, suspicion] : state.suspicions)
    suspicion.dead_at += lag;
}

}  // namespace cicadadrum
