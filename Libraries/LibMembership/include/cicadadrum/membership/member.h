// Members of the fleet and the order of what is known about them.

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

// The order of the values is the order of precedence at equal incarnation and
// sequence.
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
// addresses are set for kAlive only: a receiver that does not know the member
// has no use for its suspicion or death.
struct MemberUpdate {
  EntryVm vm;
  std::uint64_t incarnation = 0;  // Greater for each restart of the process.
  std::uint32_t sequence = 0;     // Raised by the member itself to refute.
  MemberState state = MemberState::kAlive;
  bool operator==(const MemberUpdate&) const = default;
};

// A member as one node knows it.
struct Member {
  MemberUpdate record;
  TimePoint changed_at;                     // When `record` last changed here.
  TimePoint last_message_at{-Seconds(60)};  // Last message from it.
};

// Whether `a` is newer than `b`; both name the same member. All nodes merge by
// this order, so they agree regardless of the order of arrival.
inline bool IsNewer(const MemberUpdate& a, const MemberUpdate& b) {
  return std::tie(a.incarnation, a.sequence, a.state) >
         std::tie(b.incarnation, b.sequence, b.state);
}

// Whether a member in this state counts as live. A suspect does until its
// suspicion times out.
constexpr bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_MEMBER_H_
