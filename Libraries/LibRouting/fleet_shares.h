// How this entry VM takes its share of what applies to all entry VMs together.

#ifndef CICADADRUM_ROUTING_FLEET_SHARES_H_
#define CICADADRUM_ROUTING_FLEET_SHARES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Share of a fleet bound that is used. Other entry VMs may briefly assume a
// smaller fleet and use more than their share.
constexpr double kBoundUseShare = 0.75;

// Whether this entry VM started so recently that it may not know all members.
bool IsFleetSizeUnverified(const RoutingState& state, TimePoint now);

// Returns the number of entry VMs that may send requests: the live members, and
// for a while those that were live before.
double EffectiveFleetSize(const RoutingState& state, TimePoint now);

// The same with those that were live long before. The sides of a long cut,
// which may reach the same servers, do not take each other's shares by it.
double LastingFleetSize(const RoutingState& state, TimePoint now);

// Returns the member's score in the server's rendezvous order.
std::uint64_t MemberScore(const Server& server, const std::string& member);

// Returns the position of this entry VM in the server's rendezvous order of the
// entry VMs that share the rate of cold servers. It does not fall when others
// are lost, so the sides of a cut do not use the same places.
std::size_t RankForServer(const RoutingState& state,
                          const Server& server,
                          TimePoint now);

// Replaces the live entry VMs.
void UpdateMembers(RoutingState& state,
                   std::vector<FleetMember> members,
                   TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_FLEET_SHARES_H_
