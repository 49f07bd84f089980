// Selection of the nodes that read the version row from the store, and the
// times of their reads.

#include "store_reads.h"

#include <algorithm>

#include "cicadadrum/base/hash.h"
#include "items.h"

namespace cicadadrum {

namespace {

// A node that receives no message from a peer for this long reads the row even
// if it is not a reader.
constexpr Duration kPeerSilenceLimit = Seconds(5);

// After this time another read starts, so that a lost response does not stop
// the reads.
constexpr Duration kReadTimeout = Seconds(5);

// Marks reach all nodes through peers. The table is read for marks at the start
// and rarely afterwards, in case no peer retained a mark. Every n-th read
// includes the marks.
constexpr std::uint64_t kReadsPerMarkRead = 60;

// Reads by nodes that are not readers are distributed over this additional
// time.
constexpr std::uint64_t kSpreadMicroseconds = 2'000'000;

// Returns whether this node is one of its region's readers by rendezvous
// hashing.
bool IsAmongReaders(const MembershipState& state) {
  const EntryVm& self = state.members[0].record.vm;
  const std::string key = "reader/" + self.region;
  const std::uint64_t self_score = RendezvousScore(key, self.name);
  std::size_t higher_ranked = 0;
  for (std::size_t i = 1; i < state.members.size(); ++i) {
    const MemberUpdate& record = state.members[i].record;
    if (!IsLive(record.state) || record.vm.region != self.region)
      continue;
    const std::uint64_t score = RendezvousScore(key, record.vm.name);
    if (score > self_score ||
        (score == self_score && record.vm.name < self.name))
      ++higher_ranked;
  }
  return higher_ranked < state.options.readers;
}

bool ShouldRead(const StepContext& context) {
  const MembershipState& state = context.state;
  if (state.leaving)
    return false;
  if (state.is_reader && !state.joining)
    return true;
  return context.now - state.last_peer_message_at > kPeerSilenceLimit ||
         IsFloorOverdue(context);
}

}  // namespace

void OnStoreRowRead(StepContext& context, const StoreRowRead& event) {
  MembershipState& state = context.state;
  state.read_in_flight = false;
  ++state.reads;
  for (const ItemVersion& item : event.items)
    ApplyItem(context, item, {});
  if (event.include_marks)
    state.marks_confirmed_at = context.now;
}

void OnStoreReadFailed(StepContext& context) {
  context.state.read_in_flight = false;
}

void RunReads(StepContext& context) {
  MembershipState& state = context.state;
  if (context.now < state.next_read_at)
    return;
  if (!state.is_reader_current) {
    state.is_reader = IsAmongReaders(state);
    state.is_reader_current = true;
  }
  Duration period = state.options.read_period;
  if (!state.is_reader)
    period += Microseconds(static_cast<std::int64_t>(
        RandomBelow(state.random, kSpreadMicroseconds)));
  state.next_read_at = context.now + period;
  if (state.read_in_flight &&
      context.now - state.read_started_at < kReadTimeout)
    return;
  if (!ShouldRead(context))
    return;
  state.read_in_flight = true;
  state.read_started_at = context.now;
  context.actions.emplace_back(
      ReadVersionRow{.include_marks = state.reads % kReadsPerMarkRead == 0});
}

TimePoint NextReadTime(const MembershipState& state) {
  return state.next_read_at;
}

}  // namespace cicadadrum
