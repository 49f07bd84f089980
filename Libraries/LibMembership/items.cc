// Versioned items: merging, propagation and fetching of configuration bodies.

#include "items.h"

#include <algorithm>

#include "cicadadrum/base/hash.h"
#include "exchange.h"
#include "member_table.h"

namespace cicadadrum {

namespace {

// A fetch without a response is repeated from another source after this time:
// several round trips between regions, and well below the 6 s bound on the
// propagation of a configuration change.
constexpr Duration kFetchTimeout = Milliseconds(1000);
constexpr Duration kStoreFetchTimeout = Seconds(2);

// Number of fetches of a body from peers before a fetch from the store. A node
// that read the version from the store is among the first to know it and sends
// one fetch to a peer.
constexpr std::uint32_t kPeerAttempts = 3;

constexpr Duration kMarkRetry = Seconds(5);
constexpr Duration kFloorPullPeriod = Milliseconds(500);

// Grace period for peers to deliver a version known to exist before this node
// reads the store.
constexpr Duration kFloorGracePeriod = Milliseconds(1500);

std::uint32_t ItemHash(const std::string& key, const ActiveItem& item) {
  return static_cast<std::uint32_t>(
      HashBytes(item.value, HashBytes(key, item.version)));
}

void PushItem(StepContext& context, const ItemVersion& item) {
  MembershipState& state = context.state;
  for (const std::size_t peer :
       RandomLiveSample(state, state.options.push_fanout)) {
    ExchangeMessage push = MakeMessage(context, ExchangeKind::kPush);
    push.items.push_back(item);
    SendToMember(context, peer, std::move(push));
  }
}

// Tracks whether the table still lacks a mark. Nodes other than the node that
// accepted the mark wait and write the mark only as readers, in case the
// accepting node has died.
void TrackUnrecordedMark(StepContext& context,
                         const ItemVersion& item,
                         bool accepted) {
  MembershipState& state = context.state;
  if (!item.key.starts_with(kLeavingPrefix))
    return;
  if (item.value != NameOf(MarkValue::kLeaving)) {
    state.unrecorded_marks.erase(item.key);
    state.accepted_marks.erase(item.key);
    return;
  }
  state.unrecorded_marks[item.key] =
      accepted ? context.now : context.now + kMarkRetry;
  if (accepted)
    state.accepted_marks.insert(item.key);
}

void Adopt(StepContext& context,
           const ItemVersion& item,
           const std::string& body,
           bool accepted) {
  MembershipState& state = context.state;
  const auto [found, inserted] = state.items.try_emplace(item.key);
  ActiveItem& active = found->second;
  if (!inserted &&
      !IsNewerItem(item.version, item.value, active.version, active.value))
    return;
  std::uint32_t& bucket = state.item_buckets[ItemBucket(item.key)];
  if (!inserted)
    bucket ^= ItemHash(item.key, active);
  active = {.version = item.version, .value = item.value, .body = body};
  bucket ^= ItemHash(item.key, active);
  TrackUnrecordedMark(context, item, accepted);
  if (item.key == kConfigurationKey && state.pending &&
      !IsNewerItem(state.pending->item.version, state.pending->item.value,
                   item.version, item.value))
    state.pending.reset();
  context.actions.emplace_back(ItemAdopted{.item = item, .body = body});
  PushItem(context, item);
}

void FetchFromPeer(StepContext& context, PendingConfiguration& pending) {
  MembershipState& state = context.state;
  std::optional<std::size_t> peer = FindIndex(state, pending.source);
  // Only the first fetch is sent to the peer that named the version.
  if (!peer || pending.attempts > 1)
    peer = RandomLive(state);
  if (!peer)
    return;
  const EntryVm& vm = state.members[*peer].record.vm;
  context.actions.emplace_back(FetchItem{.source = FetchSource::kPeer,
                                         .peer = vm.name,
                                         .address = vm.peer_address,
                                         .key = pending.item.key,
                                         .version = pending.item.version,
                                         .hash = pending.item.value});
}

void FetchBody(StepContext& context) {
  PendingConfiguration& pending = *context.state.pending;
  const std::uint32_t peers = pending.source.empty() ? 1 : kPeerAttempts;
  ++pending.attempts;
  if (pending.attempts <= peers) {
    pending.retry_at = context.now + kFetchTimeout;
    FetchFromPeer(context, pending);
    return;
  }
  pending.attempts = 0;
  pending.retry_at = context.now + kStoreFetchTimeout;
  context.actions.emplace_back(FetchItem{.source = FetchSource::kStore,
                                         .key = pending.item.key,
                                         .version = pending.item.version,
                                         .hash = pending.item.value});
}

void RunMarks(StepContext& context) {
  MembershipState& state = context.state;
  for (auto& [key, next_at] : state.unrecorded_marks) {
    if (next_at > context.now)
      continue;
    next_at = context.now + kMarkRetry;
    const ActiveItem& active = state.items.at(key);
    if (!state.is_reader && !state.accepted_marks.contains(key))
      continue;
    context.actions.emplace_back(
        WriteMark{.item = {key, active.version, active.value}});
  }
}

void RunFloor(StepContext& context) {
  MembershipState& state = context.state;
  if (IsReady(state) || state.configuration_floor == 0 ||
      context.now < state.next_floor_pull_at)
    return;
  state.next_floor_pull_at = context.now + kFloorPullPeriod;
  if (const std::optional<std::size_t> peer = RandomLive(state))
    SendPull(context, state.members[*peer].record.vm, false, true);
}

}  // namespace

std::string BodyHash(std::string_view body) {
  return FormatHex(HashBytes(body));
}

std::size_t ItemBucket(std::string_view key) {
  return HashBytes(key) % kItemBuckets;
}

void ApplyItem(StepContext& context,
               const ItemVersion& item,
               const std::string& source) {
  MembershipState& state = context.state;
  if (item.key.empty() || item.key.starts_with('#'))
    return;
  if (item.key != kConfigurationKey) {
    AdoptItem(context, item, {});
    return;
  }
  RaiseFloor(context, item.version);
  const ActiveItem* active = FindItem(state, item.key);
  if (active != nullptr &&
      !IsNewerItem(item.version, item.value, active->version, active->value))
    return;
  if (state.pending &&
      !IsNewerItem(item.version, item.value, state.pending->item.version,
                   state.pending->item.value))
    return;
  const Duration delay =
      active == nullptr ? Duration{} : state.options.first_fetch_delay;
  // A newer version does not postpone a fetch that is already due.
  const TimePoint fetch_at = std::min(
      context.now + delay, state.pending ? state.pending->retry_at : kNever);
  state.pending = {.item = item, .source = source, .retry_at = fetch_at};
  if (fetch_at <= context.now)
    FetchBody(context);
}

void AdoptItem(StepContext& context,
               const ItemVersion& item,
               const std::string& body) {
  Adopt(context, item, body, false);
}

void OnLocalChange(StepContext& context, const LocalChange& event) {
  if (event.item.key == kConfigurationKey) {
    RaiseFloor(context, event.item.version);
    if (BodyHash(event.body) != event.item.value)
      return;
  }
  Adopt(context, event.item, event.body, true);
}

void OnItemFetched(StepContext& context, const ItemFetched& event) {
  MembershipState& state = context.state;
  if (!state.pending || state.pending->item.key != event.key ||
      state.pending->item.version != event.version)
    return;
  // A body that does not match its hash is treated as missing.
  if (!event.found || BodyHash(event.body) != state.pending->item.value) {
    const bool was_store_request = state.pending->attempts == 0;
    if (!was_store_request)
      FetchBody(context);
    return;
  }
  const ItemVersion item = state.pending->item;
  state.pending.reset();
  AdoptItem(context, item, event.body);
}

void OnMarkWritten(StepContext& context, const MarkWritten& event) {
  if (!event.recorded)
    return;
  ItemVersion recorded = event.item;
  recorded.value = NameOf(MarkValue::kLeavingRecorded);
  AdoptItem(context, recorded, {});
}

void RaiseFloor(StepContext& context, std::uint64_t version) {
  MembershipState& state = context.state;
  if (version <= state.configuration_floor)
    return;
  state.configuration_floor = version;
  state.floor_raised_at = context.now;
  // The peer that names a version usually delivers it with the same message.
  state.next_floor_pull_at =
      std::max(state.next_floor_pull_at, context.now + kFloorPullPeriod);
}

bool IsFloorOverdue(const StepContext& context) {
  const MembershipState& state = context.state;
  return state.configuration_floor > ActiveConfigurationVersion(state) &&
         context.now - state.floor_raised_at >= kFloorGracePeriod;
}

void RunItems(StepContext& context) {
  if (context.state.pending && context.state.pending->retry_at <= context.now)
    FetchBody(context);
  RunMarks(context);
  RunFloor(context);
}

TimePoint NextItemsTime(const MembershipState& state) {
  TimePoint next = kNever;
  if (state.pending)
    next = state.pending->retry_at;
  for (const auto& [key, next_at] : state.unrecorded_marks)
    next = std::min(next, next_at);
  if (!IsReady(state) && state.configuration_floor > 0)
    next = std::min(next, state.next_floor_pull_at);
  return next;
}

}  // namespace cicadadrum
