// Merging of member records, digests of the table and pending updates.

#include "member_table.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

// Longer than network partitions between regions last (minutes), so that both
// sides still contact each other when the partition heals.
constexpr Duration kRemoveAfter = Seconds(3600);

// A node that received a suspicion from a peer waits longer than the node that
// raised it, so that a refutation that follows the suspicion arrives in time.
constexpr int kRelayedSuspicionFactor = 3;

constexpr Duration kUrgentPushGap = Milliseconds(200);

std::uint32_t DigestHash(const MemberUpdate& record) {
  const std::uint64_t seed =
      record.incarnation * 0x9e3779b97f4a7c15ULL + record.sequence;
  return static_cast<std::uint32_t>(HashBytes(record.vm.name, seed));
}

void ToggleInDigest(MembershipState& state, const MemberUpdate& record) {
  if (IsLive(record.state))
    state.member_digest ^= DigestHash(record);
}

void QueueUpdate(MembershipState& state, std::size_t index) {
  const auto found = std::find_if(
      state.updates.begin(), state.updates.end(),
      [index](const PendingUpdate& u) { return u.member == index; });
  if (found != state.updates.end())
    found->sent = 0;
  else
    state.updates.push_back({.member = index, .sent = 0});
}

void UpdateSuspicion(StepContext& context,
                     std::size_t index,
                     bool raised_here) {
  MembershipState& state = context.state;
  if (state.members[index].record.state != MemberState::kSuspect) {
    state.suspicions.erase(index);
    return;
  }
  const Duration timeout = state.options.suspicion_timeout;
  state.suspicions[index] = {
      .raised_here = raised_here,
      .raised_at = context.now,
      .dead_at = context.now +
                 (raised_here ? timeout : timeout * kRelayedSuspicionFactor),
      .ping_at = raised_here ? context.now : kNever};
}

void Refute(StepContext& context, const MemberUpdate& update) {
  MembershipState& state = context.state;
  if (state.leaving)
    return;
  MemberUpdate self = state.members[0].record;
  if (update.incarnation > self.incarnation) {
    self.incarnation = update.incarnation + 1;
    self.sequence = 0;
  } else if (IsNewer(update, self)) {
    self.sequence = update.sequence + 1;
  } else {
    // The sender has an older record, for example it lists an earlier process
    // of this node as dead. The response has to include the current record.
    if (update != self)
      QueueUpdate(state, 0);
    return;
  }
  SetRecord(context, 0, self);
}

// Returns whether the change has to be pushed immediately: pools have no new
// owner until a death is known, and a refutation has to arrive before the
// suspicion times out.
bool IsUrgent(const MemberUpdate& old, const MemberUpdate& record) {
  const bool died = IsLive(old.state) && !IsLive(record.state);
  const bool refuted = record.incarnation == old.incarnation &&
                       record.state == MemberState::kAlive &&
                       record.sequence > old.sequence;
  return died || refuted;
}

// Schedules a push of urgent updates. The gap between pushes limits the
// messages when a full region dies or returns.
void ScheduleUrgentPush(StepContext& context) {
  MembershipState& state = context.state;
  if (state.urgent_push_at == kNever)
    state.urgent_push_at =
        std::max(context.now, state.last_urgent_push_at + kUrgentPushGap);
}

std::uint32_t SendLimit(const MembershipState& state) {
  // Epidemic propagation reaches all n nodes in about log2(n) rounds; 4 more
  // rounds compensate for loss.
  return static_cast<std::uint32_t>(std::bit_width(state.members.size())) + 4;
}

bool IsExpired(const StepContext& context, const Member& member) {
  return !IsLive(member.record.state) &&
         context.now - member.changed_at > kRemoveAfter;
}

}  // namespace

std::optional<std::size_t> FindIndex(const MembershipState& state,
                                     std::string_view name) {
  const auto found = state.index_of.find(std::string(name));
  if (found == state.index_of.end())
    return std::nullopt;
  return found->second;
}

std::uint64_t RecordHash(const MemberUpdate& record, std::uint64_t salt) {
  const std::uint64_t version = (std::uint64_t{record.sequence} << 2) |
                                static_cast<unsigned>(record.state);
  return HashBytes(
      record.vm.name,
      salt ^ (record.incarnation * 0x9e3779b97f4a7c15ULL + version));
}

std::size_t AddMember(StepContext& context, const MemberUpdate& record) {
  MembershipState& state = context.state;
  const std::size_t index = state.members.size();
  state.members.push_back({.record = record, .changed_at = context.now});
  state.index_of[record.vm.name] = index;
  ToggleInDigest(state, record);
  QueueUpdate(state, index);
  UpdateSuspicion(context, index, false);
  state.is_reader_current = false;
  context.actions.emplace_back(MemberChanged{.record = record});
  return index;
}

void SetRecord(StepContext& context,
               std::size_t index,
               const MemberUpdate& record,
               bool raised_here) {
  MembershipState& state = context.state;
  Member& member = state.members[index];
  const MemberUpdate old = std::exchange(member.record, record);
  if (record.vm.peer_address.empty())
    member.record.vm = old.vm;
  member.changed_at = context.now;
  ToggleInDigest(state, old);
  ToggleInDigest(state, member.record);
  QueueUpdate(state, index);
  UpdateSuspicion(context, index, raised_here);
  if (IsLive(old.state) != IsLive(record.state))
    state.is_reader_current = false;
  if (IsUrgent(old, record))
    ScheduleUrgentPush(context);
  const bool restarted = old.incarnation != record.incarnation;
  if (old.state != record.state || restarted)
    context.actions.emplace_back(
        MemberChanged{.record = member.record, .restarted = restarted});
}

bool ApplyUpdate(StepContext& context, const MemberUpdate& update) {
  MembershipState& state = context.state;
  const std::optional<std::size_t> index = FindIndex(state, update.vm.name);
  if (!index) {
    if (update.vm.peer_address.empty())
      return false;
    AddMember(context, update);
    return true;
  }
  if (*index == 0) {
    Refute(context, update);
    return false;
  }
  if (!IsNewer(update, state.members[*index].record))
    return false;
  SetRecord(context, *index, update);
  return true;
}

std::vector<MemberUpdate> CollectUpdates(MembershipState& state,
                                         std::size_t count) {
  std::vector<PendingUpdate>& updates = state.updates;
  count = std::min(count, updates.size());
  std::partial_sort(
      updates.begin(), updates.begin() + static_cast<std::ptrdiff_t>(count),
      updates.end(), [](const PendingUpdate& a, const PendingUpdate& b) {
        return std::tie(a.sent, a.member) < std::tie(b.sent, b.member);
      });
  std::vector<MemberUpdate> collected;
  for (std::size_t i = 0; i < count; ++i) {
    collected.push_back(WireRecord(state.members[updates[i].member]));
    ++updates[i].sent;
  }
  std::erase_if(updates, [limit = SendLimit(state)](const PendingUpdate& u) {
    return u.sent >= limit;
  });
  return collected;
}

MemberUpdate WireRecord(const Member& member) {
  if (member.record.state == MemberState::kAlive)
    return member.record;
  return {.vm = {.name = member.record.vm.name},
          .incarnation = member.record.incarnation,
          .sequence = member.record.sequence,
          .state = member.record.state};
}

std::optional<std::size_t> RandomLive(MembershipState& state) {
  const std::vector<std::size_t> sample = RandomLiveSample(state, 1);
  if (sample.empty())
    return std::nullopt;
  return sample.front();
}

std::vector<std::size_t> RandomLiveSample(MembershipState& state,
                                          std::size_t count,
                                          std::size_t except) {
  std::vector<std::size_t> sample;
  const std::size_t size = state.members.size();
  const auto usable = [&](std::size_t i) {
    return i != 0 && i != except && IsLive(state.members[i].record.state) &&
           std::find(sample.begin(), sample.end(), i) == sample.end();
  };
  // Random attempts succeed quickly while most members are live.
  for (int tries = 0; tries < 16 && sample.size() < count; ++tries) {
    const std::size_t i = RandomBelow(state.random, size);
    if (usable(i))
      sample.push_back(i);
  }
  const std::size_t start = RandomBelow(state.random, size);
  for (std::size_t k = 0; k < size && sample.size() < count; ++k) {
    const std::size_t i = (start + k) % size;
    if (usable(i))
      sample.push_back(i);
  }
  return sample;
}

void RemoveExpiredMembers(StepContext& context) {
  MembershipState& state = context.state;
  const auto is_expired = [&](const Member& member) {
    return IsExpired(context, member);
  };
  if (std::none_of(state.members.begin(), state.members.end(), is_expired))
    return;
  std::erase_if(state.members, is_expired);
  state.index_of.clear();
  for (std::size_t i = 0; i < state.members.size(); ++i)
    state.index_of[state.members[i].record.vm.name] = i;
  // The removal invalidates all member indices, so state with indices is reset.
  state.updates.clear();
  state.probe_order.clear();
  state.probes.clear();
  state.suspicions.clear();
  for (std::size_t i = 0; i < state.members.size(); ++i)
    UpdateSuspicion(context, i, false);
}

}  // namespace cicadadrum
