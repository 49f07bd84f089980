// Checks of a fleet: whether its nodes agree, which nodes they list as dead,
// and how much memory their states take.

#include <algorithm>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

namespace {

template <typename Predicate>
// Returns whether `predicate` is true for every node that is up.
bool AllRunningNodes(const Fleet& fleet, Predicate predicate) {
  return std::all_of(
      fleet.nodes.begin(), fleet.nodes.end(),
      [&](const FleetNode& node) { return !node.up || predicate(node); });
}

std::size_t HeapBytes(const std::string& text) {
  // A string of up to 15 characters is stored without a heap allocation.
  return text.capacity() > 15 ? text.capacity() + 1 : 0;
}

std::size_t MemberBytes(const Member& member) {
  const EntryVm& vm = member.record.vm;
  // The index of members has one node per name, with a link, the name, the
  // number of the member and a hash.
  constexpr std::size_t kIndexNodeBytes = 64;
  return sizeof(Member) + kIndexNodeBytes + 2 * HeapBytes(vm.name) +
         HeapBytes(vm.region) + HeapBytes(vm.failure_domain) +
         HeapBytes(vm.caller_address) + HeapBytes(vm.peer_address);
}

}  // namespace

bool InForceEverywhere(const Fleet& fleet, std::uint64_t version) {
  return AllRunningNodes(fleet, [version](const FleetNode& node) {
    return ActiveConfigurationVersion(node.state) == version;
  });
}

bool MembersAgree(const Fleet& fleet) {
  return AllRunningNodes(fleet, [&](const FleetNode& observer) {
    return std::all_of(
        fleet.nodes.begin(), fleet.nodes.end(), [&](const FleetNode& node) {
          const Member* member = FindMember(observer.state, node.vm.name);
          const bool live = member != nullptr && IsLive(member->record.state);
          return live == node.up;
        });
  });
}

bool ItemsAgree(const Fleet& fleet) {
  const auto first =
      std::find_if(fleet.nodes.begin(), fleet.nodes.end(),
                   [](const FleetNode& node) { return node.up; });
  return AllRunningNodes(fleet, [&](const FleetNode& node) {
    const auto same = [](const auto& a, const auto& b) {
      return a.first == b.first && a.second.version == b.second.version &&
             a.second.value == b.second.value;
    };
    return std::equal(node.state.items.begin(), node.state.items.end(),
                      first->state.items.begin(), first->state.items.end(),
                      same);
  });
}

bool ListedAsDeadEverywhere(const Fleet& fleet, std::size_t node) {
  const std::string& name = fleet.nodes[node].vm.name;
  return AllRunningNodes(fleet, [&](const FleetNode& observer) {
    const Member* member = FindMember(observer.state, name);
    return member == nullptr || !IsLive(member->record.state);
  });
}

std::size_t StateBytes(const MembershipState& state) {
  std::size_t bytes = sizeof(MembershipState);
  for (const Member& member : state.members)
    bytes += MemberBytes(member);
  bytes += (state.members.capacity() - state.members.size()) * sizeof(Member);
  bytes += state.probe_order.capacity() * sizeof(std::size_t);
  bytes += state.updates.capacity() * sizeof(PendingUpdate);
  constexpr std::size_t kTreeNodeBytes = 40;
  for (const auto& [key, item] : state.items)
    bytes += kTreeNodeBytes + sizeof(std::string) + sizeof(ActiveItem) +
             HeapBytes(key) + HeapBytes(item.value) + HeapBytes(item.body);
  bytes += state.suspicions.size() * (kTreeNodeBytes + sizeof(Suspicion));
  return bytes;
}

}  // namespace cicadadrum
