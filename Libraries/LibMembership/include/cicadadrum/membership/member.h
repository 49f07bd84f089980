// Members of the fleet and the precedence of their records.

#ifndef CICADADRUM_MEMBERSHIP_MEMBER_H_
#define CICADADRUM_MEMBERSHIP_MEMBER_H_

#include <array>
#include <cstdint>
#include <string>
#include <tuple>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

// Values are listed in increasing precedence at equal incarnation and sequence.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

template <>
struct EnumNames<MemberState> {
  static constexpr auto kTable = std::to_array<EnumName<MemberState>>({
      {MemberState::kAlive, "alive"},
      {MemberState::kSuspect, "suspect"},
      {MemberState::kDead, "dead"},
      {MemberState::kLeft, "left"},
  });
};

// Mirrors MemberUpdate of Schemas/peer.capnp. Region, failure domain and
// addresses are set for kAlive only, because a receiver that does not know the
// member does not need a report of the member's suspicion or death.
struct MemberUpdate {
  EntryVm vm;
  std::uint64_t incarnation = 0;  // Greater after each process restart.
  std::uint32_t sequence = 0;     // Raised by the member to refute.
  MemberState state = MemberState::kAlive;
  bool operator==(const MemberUpdate&) const = default;
};

// A member as known at one node.
struct Member {
  MemberUpdate record;
  TimePoint changed_at;                     // Last change of `record` here.
  TimePoint last_message_at{-Seconds(60)};  // From the member.
};

// Returns whether `a` is newer than `b`; both records must be of the same
// member. All nodes merge records by this order, so they agree regardless of
// the order of arrival.
inline bool IsNewer(const MemberUpdate& a, const MemberUpdate& b) {
  return std::tie(a.incarnation, a.sequence, a.state) >
         std::tie(b.incarnation, b.sequence, b.state);
}

// Returns whether a member in this state counts as live. A suspect counts as
// live until its suspicion times out.
constexpr bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_MEMBER_H_
