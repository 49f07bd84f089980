// The step function of membership: dispatch of events and timers.

#include <algorithm>
#include <utility>

#include "context.h"
#include "exchange.h"
#include "items.h"
#include "member_table.h"
#include "probing.h"
#include "store_reads.h"

namespace cicadadrum {

namespace {

// A wake-up that is later than this indicates that the process was paused.
constexpr Duration kPauseLag = Milliseconds(500);

// An isolated node counts members as live for this time after their last
// message.
constexpr Duration kRecentMessageAge = Seconds(10);

void DispatchMessage(StepContext& context,
                     std::size_t sender,
                     const ExchangeMessage& message) {
  switch (message.kind) {
    case ExchangeKind::kPing:
      OnPing(context, sender, message);
      break;
    case ExchangeKind::kAck:
      OnAck(context, message);
      break;
    case ExchangeKind::kPingRequest:
      OnPingRequest(context, sender, message);
      break;
    case ExchangeKind::kPush:
      break;
    case ExchangeKind::kPull:
      RespondToPull(context, sender, message);
      break;
  }
}

// Returns whether the message is a response to a pull, which repeats the
// sequence of the pull. Other pushes have no sequence.
bool IsPullResponse(const ExchangeMessage& message) {
  return message.kind == ExchangeKind::kPush && message.sequence != 0;
}

// Merges the member records of the message and returns how many were new. A
// page of records that were new only to this node is not propagated: other
// nodes repair their tables by pulls as well, and hundreds of pending updates
// would delay recent updates.
std::size_t ApplyUpdates(StepContext& context, const ExchangeMessage& message) {
  MembershipState& state = context.state;
  const std::size_t queued = state.updates.size();
  std::size_t changed = 0;
  for (const MemberUpdate& update : message.members)
    changed += ApplyUpdate(context, update) ? 1 : 0;
  if (IsPullResponse(message) && changed >= kLargePageRecords) {
    const auto first =
        state.updates.begin() + static_cast<std::ptrdiff_t>(queued);
    // An update of this node's record stays queued, because it refutes a
    // record.
    const auto last = std::remove_if(
        first, state.updates.end(),
        [](const PendingUpdate& update) { return update.member != 0; });
    state.updates.erase(last, state.updates.end());
  }
  return changed;
}

void OnMessage(StepContext& context, const ExchangeMessage& message) {
  MembershipState& state = context.state;
  if (message.sender == state.members[0].record.vm.name)
    return;
  const std::size_t changed = ApplyUpdates(context, message);
  RaiseFloor(context, message.configuration_version);
  const std::optional<std::size_t> sender = FindIndex(state, message.sender);
  // The message is of an earlier process of the sender or of an unknown sender,
  // so there is no process to respond to.
  if (!sender ||
      message.incarnation < state.members[*sender].record.incarnation)
    return;
  state.members[*sender].last_message_at = context.now;
  state.last_peer_message_at = context.now;
  if (message.kind == ExchangeKind::kPush) {
    for (const ItemVersion& item : message.items)
      ApplyItem(context, item, message.sender);
  }
  if (IsPullResponse(message))
    OnPullResponse(context, message, changed);
  DispatchMessage(context, *sender, message);
  CompareDigests(context, *sender, message);
  if (message.kind != ExchangeKind::kPing &&
      state.members[*sender].record.state == MemberState::kDead)
    NotifyDeadSender(context, *sender);
}

void OnLeave(StepContext& context) {
  MembershipState& state = context.state;
  MemberUpdate record = state.members[0].record;
  record.state = MemberState::kLeft;
  SetRecord(context, 0, record);
  state.leaving = true;
  for (const std::size_t peer :
       RandomLiveSample(state, state.options.push_fanout)) {
    ExchangeMessage push = MakeMessage(context, ExchangeKind::kPush);
    push.members.push_back(WireRecord(state.members[0]));
    SendToMember(context, peer, std::move(push));
  }
}

struct MembershipEventHandler {
  StepContext& context;

  void operator()(const MembershipTimerExpired& /*event*/) const {}
  void operator()(const MessageReceived& event) const {
    OnMessage(context, event.message);
  }
  void operator()(const LocalChange& event) const {
    OnLocalChange(context, event);
  }
  void operator()(const ConfigurationFloorRaised& event) const {
    RaiseFloor(context, event.version);
  }
  void operator()(const ItemFetched& event) const {
    OnItemFetched(context, event);
  }
  void operator()(const StoreRowRead& event) const {
    OnStoreRowRead(context, event);
  }
  void operator()(const StoreReadFailed& /*event*/) const {
    OnStoreReadFailed(context);
  }
  void operator()(const MarkWritten& event) const {
    OnMarkWritten(context, event);
  }
  void operator()(const PlatformListRead& event) const {
    context.state.platform_entries = event.entries;
  }
  void operator()(const LeaveRequested& /*event*/) const { OnLeave(context); }
};

void ScheduleWake(StepContext& context) {
  MembershipState& state = context.state;
  TimePoint next = std::min(
      {NextProbingTime(state), NextItemsTime(state), NextReadTime(state)});
  if (state.joining)
    next = std::min(next, state.next_join_at);
  state.next_wake_at = next;
  context.actions.emplace_back(MembershipWake{.at = next});
}

// Returns a random duration below `limit`.
Duration RandomDuration(Random& random, Duration limit) {
  return Microseconds(static_cast<std::int64_t>(
      RandomBelow(random, static_cast<std::uint64_t>(limit.count()))));
}

}  // namespace

MembershipState MakeMembershipState(const EntryVm& self,
                                    std::uint64_t incarnation,
                                    const std::vector<EntryVm>& seeds,
                                    std::uint64_t seed,
                                    TimePoint now,
                                    const MembershipOptions& options) {
  MembershipState state{
      .options = options, .random = {.state = seed}, .seeds = seeds};
  MembershipActions ignored;
  StepContext context{state, now, ignored};
  AddMember(context, {.vm = self, .incarnation = incarnation});
  state.joining =
      std::any_of(seeds.begin(), seeds.end(),
                  [&](const EntryVm& vm) { return vm.name != self.name; });
  state.started_at = now;
  state.next_join_at = now;
  state.last_ack_at = now;
  state.last_peer_message_at = now;
  // Random phases distribute the load of nodes that start at the same time.
  state.next_probe_at =
      now + RandomDuration(state.random, options.probe_period);
  state.next_reconnect_at = now + RandomDuration(state.random, Seconds(5));
  state.next_read_at = now + RandomDuration(state.random, options.read_period);
  return state;
}

void StepMembership(MembershipState& state,
                    const MembershipEvent& event,
                    TimePoint now,
                    MembershipActions& actions) {
  StepContext context{state, now, actions};
  if (state.next_wake_at != kNever && now - state.next_wake_at > kPauseLag)
    CompensateForPause(context, now - state.next_wake_at);
  std::visit(MembershipEventHandler{context}, event);
  RunJoin(context);
  RunProbing(context);
  RunItems(context);
  RunReads(context);
  ScheduleWake(context);
}

std::vector<EntryVm> LiveMembers(const MembershipState& state, TimePoint now) {
  std::vector<EntryVm> live;
  for (std::size_t i = 0; i < state.members.size(); ++i) {
    const Member& member = state.members[i];
    const bool is_recent = now - member.last_message_at <= kRecentMessageAge;
    if (i == 0 ||
        (IsLive(member.record.state) && (!state.isolated || is_recent)))
      live.push_back(member.record.vm);
  }
  return live;
}

const Member* FindMember(const MembershipState& state, std::string_view name) {
  const std::optional<std::size_t> index = FindIndex(state, name);
  return index ? &state.members[*index] : nullptr;
}

const ActiveItem* FindItem(const MembershipState& state, std::string_view key) {
  const auto found = state.items.find(std::string(key));
  return found == state.items.end() ? nullptr : &found->second;
}

std::uint64_t ActiveConfigurationVersion(const MembershipState& state) {
  const ActiveItem* active = FindItem(state, kConfigurationKey);
  return active == nullptr ? 0 : active->version;
}

bool IsReady(const MembershipState& state) {
  const std::uint64_t version = ActiveConfigurationVersion(state);
  return version > 0 && version >= state.configuration_floor;
}

Duration MarksAge(const MembershipState& state, TimePoint now) {
  return state.marks_confirmed_at ? now - *state.marks_confirmed_at
                                  : Duration::max();
}

}  // namespace cicadadrum
