// Determines how many entry VMs share a bound.

#include "fleet_shares.h"

#include <algorithm>
#include <utility>

#include "cicadadrum/base/hash.h"

namespace cicadadrum::routing {

namespace {

// Time within which an entry VM discovers the other members after its start.
// Until then, the number of entry VMs that share a bound is unverified.
constexpr Duration kFleetDiscoveryTime = Seconds(3);

// How long members that are no longer live keep their shares of a bound.
constexpr Duration kLostMemberRetention = Seconds(20);

// The same for the bounds that a long cut must not double, since its sides may
// reach the same servers.
constexpr Duration kCutRetention = Seconds(600);

std::size_t CountMembers(const RoutingState& state,
                         Duration retention,
                         TimePoint now) {
  const auto lost = std::count_if(
      state.lost_members.begin(), state.lost_members.end(),
      [&](const auto& member) { return now - member.second < retention; });
  return state.members.size() + static_cast<std::size_t>(lost);
}

}  // namespace

bool IsFleetSizeUnverified(const RoutingState& state, TimePoint now) {
  return now - state.started_at < kFleetDiscoveryTime;
}

double EffectiveFleetSize(const RoutingState& state, TimePoint now) {
  return static_cast<double>(CountMembers(state, kLostMemberRetention, now));
}

double LastingFleetSize(const RoutingState& state, TimePoint now) {
  return static_cast<double>(CountMembers(state, kCutRetention, now));
}

std::uint64_t MemberScore(const Server& server, const std::string& member) {
  return RendezvousScore(server.entry.id, member);
}

std::size_t RankForServer(const RoutingState& state,
                          const Server& server,
                          TimePoint now) {
  const std::uint64_t own_score = MemberScore(server, state.options.name);
  const auto live =
      std::count_if(state.members.begin(), state.members.end(),
                    [&](const FleetMember& member) {
                      return MemberScore(server, member.name) > own_score;
                    });
  const auto lost =
      std::count_if(state.lost_members.begin(), state.lost_members.end(),
                    [&](const auto& member) {
                      return now - member.second < kCutRetention &&
                             MemberScore(server, member.first) > own_score;
                    });
  return static_cast<std::size_t>(live + lost);
}

void UpdateMembers(RoutingState& state,
                   std::vector<FleetMember> members,
                   TimePoint now) {
  ++state.members_version;
  for (const FleetMember& member : state.members)
    state.lost_members.emplace(member.name, now);
  for (const FleetMember& member : members)
    state.lost_members.erase(member.name);
  std::erase_if(state.lost_members, [&](const auto& member) {
    return now - member.second >= kCutRetention;
  });
  state.members = std::move(members);
}

}  // namespace cicadadrum::routing
