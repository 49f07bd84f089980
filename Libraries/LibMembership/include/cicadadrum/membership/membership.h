// State of membership at one entry VM: who is live, and which versioned items
// are in force.
//
// Failure detection probes one member per period in a shuffled round robin, so
// that the cost per node does not depend on the size of the fleet. Items spread
// by an immediate push and are repaired by digests on the probe messages.

#ifndef CICADADRUM_MEMBERSHIP_MEMBERSHIP_H_
#define CICADADRUM_MEMBERSHIP_MEMBERSHIP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/membership/events.h"

namespace cicadadrum {

struct MembershipOptions {
  Duration probe_period = Seconds(1);
  // Twice the longest round trip between regions (110 ms), then 350 ms for the
  // two round trips of an indirect probe.
  Duration direct_timeout = Milliseconds(250);
  Duration probe_timeout = Milliseconds(600);  // Direct and indirect together.
  Duration suspicion_timeout = Milliseconds(1200);
  // Members asked for an indirect probe. At 2% loss, 3 left 165 false
  // suspicions per hour at 1,600 nodes; the requests cost only when a probe
  // fails.
  std::size_t helpers = 5;
  std::size_t push_fanout = 3;      // Peers told of a change at once.
  std::size_t urgent_updates = 12;  // On a push of deaths and refutations.
  std::size_t max_updates = 6;      // Member updates on a probe message.
  std::size_t readers = 2;          // Per region.
  Duration read_period = Seconds(1);
};

// A probe that waits for its ack.
struct Probe {
  std::uint64_t sequence = 0;
  std::size_t member = 0;
  TimePoint indirect_at;  // kNever once the helpers are asked.
  TimePoint fail_at;
};

// A probe on behalf of another node.
struct RelayedProbe {
  std::uint64_t sequence = 0;  // Of the ping this node sent.
  std::string origin;
  std::uint64_t origin_sequence = 0;
  TimePoint expires_at;
};

struct Suspicion {
  bool raised_here = false;  // Raised by a probe of this node.
  TimePoint raised_at;
  TimePoint dead_at;  // When the member counts as dead unless it refutes.
  TimePoint ping_at;  // Next ping that tells the member; kNever if not `own`.
};

// A member record that still has to be sent on probe messages.
struct PendingUpdate {
  std::size_t member = 0;
  std::uint32_t sent = 0;
};

// A configuration whose version is known here and whose body is not.
struct PendingConfiguration {
  ItemVersion item;
  std::string source;  // Peer that named it; empty if the store did.
  std::uint32_t attempts = 0;
  TimePoint retry_at;
};

// Shortest time between pulls of member records.
constexpr Duration kFastPullPeriod = Milliseconds(200);

constexpr std::size_t kItemBuckets = 16;

struct MembershipState {
  MembershipOptions options;
  Random random;
  std::vector<EntryVm> seeds;
  std::vector<EntryVm> platform_entries;  // Hint: addresses to try.

  // members[0] is this node.
  std::vector<Member> members;
  std::unordered_map<std::string, std::size_t> index_of;  // By name.
  std::uint32_t member_digest = 0;  // XOR of the hashes of live records.
  std::vector<PendingUpdate> updates;
  // When to push deaths and refutations; kNever for none.
  TimePoint urgent_push_at = kNever;
  TimePoint last_urgent_push_at{-Seconds(60)};
  std::vector<std::size_t> probe_order;  // What is left of this round.
  std::vector<Probe> probes;
  std::vector<RelayedProbe> relayed;
  std::map<std::size_t, Suspicion> suspicions;  // By index of the member.
  std::uint64_t next_sequence = 1;
  TimePoint next_probe_at;
  TimePoint next_reconnect_at;
  TimePoint next_dead_notice_at;
  TimePoint last_ack_at;           // Of any probe of this node.
  TimePoint last_peer_message_at;  // Any message of a peer.
  bool isolated = false;
  bool leaving = false;

  bool joining = true;
  TimePoint started_at;
  std::uint64_t join_sequence = 0;  // Of the last pull while joining.
  TimePoint next_join_at;
  // Grows with each message whose member digest differs, and shrinks with each
  // equal one.
  std::uint32_t member_differences = 0;
  TimePoint next_member_pull_at;
  Duration member_pull_period = kFastPullPeriod;
  TimePoint next_item_pull_at;

  std::map<std::string, ActiveItem> items;
  std::array<std::uint32_t, kItemBuckets> item_buckets{};
  std::optional<PendingConfiguration> pending;
  std::uint64_t configuration_floor = 0;  // Highest version heard of.
  TimePoint floor_raised_at;
  TimePoint next_floor_pull_at;
  std::optional<TimePoint> marks_confirmed_at;
  // Keys of the marks that the table may lack, with the time of the next write.
  std::map<std::string, TimePoint> unrecorded_marks;
  std::set<std::string> accepted_marks;  // Of those, the ones accepted here.

  bool is_reader = false;
  bool is_reader_current = false;  // Cleared when the live members change.
  bool read_in_flight = false;
  TimePoint read_started_at;
  TimePoint next_read_at;
  std::uint64_t reads = 0;

  TimePoint next_wake_at = kNever;
};

// Returns the state of a process that starts now. `incarnation` should grow
// with each start, for example microseconds of the system clock; if a peer
// knows a greater one, the node raises its own above it. `seeds` may name this
// node itself.
MembershipState MakeMembershipState(const EntryVm& self,
                                    std::uint64_t incarnation,
                                    const std::vector<EntryVm>& seeds,
                                    std::uint64_t seed,
                                    TimePoint now,
                                    const MembershipOptions& options = {});

// Applies one event at time `now` and appends the actions that follow, the last
// of which is always a MembershipWake. The first event is a Tick.
void StepMembership(MembershipState& state,
                    const MembershipEvent& event,
                    TimePoint now,
                    MembershipActions& actions);

// Returns the live entry VMs, this one first. An isolated node counts only
// those it heard from in the last 10 s, because it cannot tell who is dead.
std::vector<EntryVm> LiveMembers(const MembershipState& state, TimePoint now);

// Returns what is known of the member, or null.
const Member* FindMember(const MembershipState& state, std::string_view name);

// Returns the item in force, or null. Answers fetchItem of a peer: the body is
// there if the version matches.
const ActiveItem* FindItem(const MembershipState& state, std::string_view key);

// Returns the configuration version in force, 0 if none.
std::uint64_t InForceVersion(const MembershipState& state);

// Whether the node knows a version and none below a floor it has heard.
bool IsReady(const MembershipState& state);

// Returns the time since this node's leaving marks were last confirmed by a
// peer that holds the same items or by the store; Duration::max() if never.
Duration MarksAge(const MembershipState& state, TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_MEMBERSHIP_H_
