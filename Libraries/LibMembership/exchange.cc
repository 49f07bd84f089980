// Messages to peers, and the repair of differences by pulls.
//
// A probe message contains one digest. Only if the digest differs does a node
// send a pull, with a filter of its member records or a digest per bucket of
// items. The response contains, in pages, the records that the filter lacks and
// the items of the buckets that differ.

#include "exchange.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>
#include <span>
#include <utility>

#include "cicadadrum/base/hash.h"
#include "items.h"
#include "member_table.h"
#include "record_filter.h"

namespace cicadadrum {

namespace {

// Keys of the filter of member records and of the bucket digests of items in a
// pull. No item key begins with '#'.
constexpr std::string_view kMemberFilter = "#members";
constexpr std::string_view kItemDigests = "#items";

constexpr std::size_t kMembersPerPage = 64;  // About 9 KB.
constexpr std::size_t kItemsPerPage = 32;

// A new process includes its record in every message for this long, and other
// nodes include their records in messages to it: until its table is complete, a
// process that can't respond to a probe would be suspected.
constexpr Duration kIntroductionPeriod = Seconds(30);

// Member updates usually reach all nodes within about 16 messages (4 s); a
// difference that lasts longer needs a pull. An equal digest offsets half of a
// different digest: a group of nodes that all lack the same record receives
// equal digests from each other and still has to detect that the digests of
// other nodes differ.
constexpr std::uint32_t kMemberRepairThreshold = 32;
constexpr std::uint32_t kDifferentWeight = 2;
constexpr std::uint32_t kEqualWeight = 1;

// A pull with few new records doubles the time to the next pull, starting from
// kFastPullPeriod.
constexpr Duration kSlowPullPeriod = Seconds(10);

constexpr Duration kNextPageDelay = Milliseconds(100);
constexpr Duration kItemPullPeriod = Milliseconds(400);

std::string FormatBuckets(std::span<const std::uint32_t> buckets) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint32_t bucket : buckets) {
    for (int shift = 28; shift >= 0; shift -= 4)
      text.push_back(kDigits[(bucket >> shift) & 15U]);
  }
  return text;
}

// Returns the digest of bucket `i` in the text, or 0 if the text is malformed:
// a wrong digest only makes the response longer.
std::uint32_t ParseBucket(std::string_view text, std::size_t i) {
  std::uint32_t value = 0;
  if (text.size() >= 8 * (i + 1))
    std::from_chars(text.data() + 8 * i, text.data() + 8 * (i + 1), value, 16);
  return value;
}

template <std::size_t kCount>
std::array<bool, kCount> DifferingBuckets(
    const std::array<std::uint32_t, kCount>& buckets,
    std::string_view other) {
  std::array<bool, kCount> differing{};
  for (std::size_t i = 0; i < kCount; ++i)
    differing[i] = buckets[i] != ParseBucket(other, i);
  return differing;
}

std::uint64_t Digest(const MembershipState& state) {
  const auto fold = [](const auto& buckets) {
    return std::accumulate(
        buckets.begin(), buckets.end(), std::uint32_t{0},
        [](std::uint32_t a, std::uint32_t b) { return a ^ b; });
  };
  return (std::uint64_t{fold(state.item_buckets)} << 32) | state.member_digest;
}

// Adds this node's record to the message unless it is included already. A
// receiver that does not know the sender has no address to respond to.
void AddSelfRecord(const MembershipState& state, ExchangeMessage& message) {
  const MemberUpdate& self = state.members[0].record;
  const bool is_listed = std::any_of(
      message.members.begin(), message.members.end(),
      [&](const MemberUpdate& u) { return u.vm.name == self.vm.name; });
  if (!is_listed)
    message.members.push_back(self);
}

void AddMembersPage(StepContext& context,
                    const ItemVersion& filter,
                    ExchangeMessage& response) {
  MembershipState& state = context.state;
  const std::size_t size = state.members.size();
  // A random start makes the pages of several peers differ.
  const std::size_t start = RandomBelow(state.random, size);
  for (std::size_t k = 0; k < size; ++k) {
    const Member& member = state.members[(start + k) % size];
    if (IsInFilter(filter.value, filter.version, member.record))
      continue;
    response.members.push_back(WireRecord(member));
    if (response.members.size() >= kMembersPerPage)
      return;
  }
}

void AddItemsPage(StepContext& context,
                  std::string_view digests,
                  ExchangeMessage& response) {
  MembershipState& state = context.state;
  const auto differing = DifferingBuckets(state.item_buckets, digests);
  if (state.items.empty())
    return;
  const std::size_t start = RandomBelow(state.random, state.items.size());
  auto item =
      std::next(state.items.begin(), static_cast<std::ptrdiff_t>(start));
  for (std::size_t k = 0; k < state.items.size(); ++k) {
    if (item == state.items.end())
      item = state.items.begin();
    if (differing[ItemBucket(item->first)])
      response.items.push_back(
          {item->first, item->second.version, item->second.value});
    if (response.items.size() >= kItemsPerPage)
      return;
    ++item;
  }
}

void CompareMembers(StepContext& context, std::size_t sender, bool equal) {
  MembershipState& state = context.state;
  std::uint32_t& differences = state.member_differences;
  if (equal || state.joining) {
    differences -= std::min(differences, kEqualWeight);
    return;
  }
  differences =
      std::min(differences + kDifferentWeight, kMemberRepairThreshold);
  if (differences < kMemberRepairThreshold ||
      context.now < state.next_member_pull_at)
    return;
  // A new process sends further pulls without waiting for more differences.
  if (context.now - state.started_at >= kIntroductionPeriod)
    differences = 0;
  state.next_member_pull_at = context.now + state.member_pull_period;
  state.member_pull_period =
      std::min(state.member_pull_period * 2, kSlowPullPeriod);
  SendPull(context, state.members[sender].record.vm, true, false);
}

void CompareItems(StepContext& context, std::size_t sender, bool equal) {
  MembershipState& state = context.state;
  if (equal) {
    // A node without a configuration can't confirm the marks.
    if (ActiveConfigurationVersion(state) > 0)
      state.marks_confirmed_at = context.now;
    return;
  }
  if (context.now < state.next_item_pull_at)
    return;
  state.next_item_pull_at = context.now + kItemPullPeriod;
  SendPull(context, state.members[sender].record.vm, false, true);
}

// Returns the entry VM that receives the next pull while joining, or nullptr.
const EntryVm* JoinTarget(MembershipState& state) {
  // If the node knows few members, they may have started recently too. If it
  // knows more, it does not contact the seeds, because all nodes have the same
  // seeds.
  const bool knows_many = state.members.size() > kLargePageRecords;
  if (const std::optional<std::size_t> index = RandomLive(state);
      index && (knows_many || state.next_sequence % 2 == 0))
    return &state.members[*index].record.vm;
  const std::vector<EntryVm>& seeds =
      state.seeds.empty() ? state.platform_entries : state.seeds;
  if (seeds.empty())
    return nullptr;
  const EntryVm& seed = seeds[RandomBelow(state.random, seeds.size())];
  return seed.name == state.members[0].record.vm.name ? nullptr : &seed;
}

}  // namespace

ExchangeMessage MakeMessage(StepContext& context,
                            ExchangeKind kind,
                            std::size_t max_updates) {
  MembershipState& state = context.state;
  const MemberUpdate& self = state.members[0].record;
  ExchangeMessage message{
      .sender = self.vm.name,
      .incarnation = self.incarnation,
      .configuration_version = ActiveConfigurationVersion(state),
      .kind = kind,
      .digest = Digest(state)};
  message.members = CollectUpdates(
      state, max_updates > 0 ? max_updates : state.options.max_updates);
  if (context.now - state.started_at < kIntroductionPeriod)
    AddSelfRecord(state, message);
  return message;
}

void SendToMember(StepContext& context,
                  std::size_t index,
                  ExchangeMessage message) {
  const Member& member = context.state.members[index];
  if (context.now - member.changed_at < kIntroductionPeriod)
    AddSelfRecord(context.state, message);
  const EntryVm& vm = member.record.vm;
  context.actions.emplace_back(SendMessage{.to = vm.name,
                                           .address = vm.peer_address,
                                           .message = std::move(message)});
}

std::uint64_t SendPull(StepContext& context,
                       const EntryVm& to,
                       bool members,
                       bool items) {
  MembershipState& state = context.state;
  ExchangeMessage pull = MakeMessage(context, ExchangeKind::kPull);
  pull.sequence = state.next_sequence++;
  pull.members = {WireRecord(state.members[0])};
  if (members)
    pull.items.push_back({std::string(kMemberFilter), pull.sequence,
                          MakeRecordFilter(state, pull.sequence)});
  if (items)
    pull.items.push_back(
        {std::string(kItemDigests), 0, FormatBuckets(state.item_buckets)});
  const std::uint64_t sequence = pull.sequence;
  context.actions.emplace_back(SendMessage{
      .to = to.name, .address = to.peer_address, .message = std::move(pull)});
  return sequence;
}

void RespondToPull(StepContext& context,
                   std::size_t sender,
                   const ExchangeMessage& pull) {
  MembershipState& state = context.state;
  ExchangeMessage response = MakeMessage(context, ExchangeKind::kPush);
  response.sequence = pull.sequence;
  bool requests_members = false;
  for (const ItemVersion& digests : pull.items) {
    if (digests.key == kMemberFilter) {
      requests_members = true;
      AddMembersPage(context, digests, response);
    } else if (digests.key == kItemDigests) {
      AddItemsPage(context, digests.value, response);
    }
  }
  SendToMember(context, sender, std::move(response));
  // A pull of members indicates a lasting difference, which only one side may
  // detect often. This node therefore also sends a pull at the next difference.
  if (requests_members && !state.joining)
    state.member_differences = kMemberRepairThreshold;
}

void OnPullResponse(StepContext& context,
                    const ExchangeMessage& response,
                    std::size_t changed) {
  MembershipState& state = context.state;
  const bool is_large = changed >= kLargePageRecords;
  if (state.joining && response.sequence == state.join_sequence) {
    state.joining = is_large;
    state.next_join_at = context.now + kNextPageDelay;
    // The next message with a different digest starts a pull.
    state.member_differences = kMemberRepairThreshold;
    return;
  }
  if (is_large) {
    state.member_pull_period = kFastPullPeriod;
    state.next_member_pull_at =
        std::min(state.next_member_pull_at, context.now + kFastPullPeriod);
    state.member_differences = kMemberRepairThreshold;
  }
}

void CompareDigests(StepContext& context,
                    std::size_t sender,
                    const ExchangeMessage& message) {
  const std::uint64_t difference = Digest(context.state) ^ message.digest;
  CompareItems(context, sender, (difference >> 32) == 0);
  CompareMembers(context, sender, (difference & 0xffffffffULL) == 0);
}

void RunJoin(StepContext& context) {
  MembershipState& state = context.state;
  if (!state.joining || context.now < state.next_join_at)
    return;
  // Pulls are less frequent after 5 s, because the seeds may be down for long.
  const bool is_early = context.now - state.started_at < Seconds(5);
  state.next_join_at =
      context.now + (is_early ? Milliseconds(300) : Seconds(1)) +
      Microseconds(
          static_cast<std::int64_t>(RandomBelow(state.random, 200'000)));
  if (const EntryVm* target = JoinTarget(state))
    state.join_sequence = SendPull(context, *target, true, true);
}

}  // namespace cicadadrum
