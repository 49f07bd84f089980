// State of membership at one entry VM: which members are live, and which
// versioned items are in force.
//
// Failure detection probes one member per period in shuffled round-robin order,
// so that the cost per node does not depend on the size of the fleet. A new
// item is pushed to peers immediately, and digests on probe messages reveal the
// differences that remain, which pulls repair.

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

// Timing and limits of membership.
struct MembershipOptions {
  Duration probe_period = Seconds(1);
  // The direct timeout covers two of the longest round trips between regions
  // (110 ms each). The probe timeout adds 350 ms for the two round trips of an
  // indirect probe.
  Duration direct_timeout = Milliseconds(250);
  Duration probe_timeout = Milliseconds(600);  // Including the indirect probe.
  Duration suspicion_timeout = Milliseconds(1200);
  // Number of members that receive a request for an indirect probe. At 2% loss,
  // 3 helpers left 165 false suspicions per hour at 1,600 nodes; the requests
  // cost messages only when a direct probe fails.
  std::size_t helpers = 5;
  std::size_t push_fanout = 3;  // Peers that receive a change at once.
  // Time for which a configuration that a peer has named may arrive by another
  // way, as a LocalChange, before its body is fetched from the peer.
  Duration first_fetch_delay{};
  std::size_t urgent_updates = 12;  // On a push of deaths and refutations.
  std::size_t max_updates = 6;      // Member updates on a probe message.
  std::size_t readers = 2;          // Nodes per region that read the store.
  Duration read_period = Seconds(1);
};

// A probe without an ack so far.
struct Probe {
  std::uint64_t sequence = 0;
  std::size_t member = 0;  // Index of the probed member.
  TimePoint indirect_at;   // kNever after the requests to helpers.
  TimePoint fail_at;       // When the probe has failed without an ack.
};

// A probe that this node performs as a helper of another node.
struct RelayedProbe {
  std::uint64_t sequence = 0;  // Of this node's ping.
  std::string origin;          // Name of the node that requested the probe.
  std::uint64_t origin_sequence = 0;
  TimePoint expires_at;
};

// A suspicion that a member is dead.
struct Suspicion {
  bool raised_here = false;  // By a failed probe of this node.
  TimePoint raised_at;
  TimePoint dead_at;  // The member counts as dead unless refuted before.
  // Next ping that reports the suspicion to the member; kNever if the suspicion
  // was not raised here.
  TimePoint ping_at;
};

// A member record that has to be sent on further probe messages.
struct PendingUpdate {
  std::size_t member = 0;  // Index of the member.
  std::uint32_t sent = 0;  // Number of messages so far.
};

// A configuration whose version is known and whose body has not arrived yet.
struct PendingConfiguration {
  ItemVersion item;
  std::string source;  // Peer that named the version; empty for the store.
  std::uint32_t attempts = 0;  // From peers; 0 after a store request.
  TimePoint retry_at;
};

// Shortest interval between pulls of member records.
constexpr Duration kFastPullPeriod = Milliseconds(200);

// Number of buckets whose digests a pull of items compares.
constexpr std::size_t kItemBuckets = 16;

// State of membership. Only MakeMembershipState and StepMembership change it.
struct MembershipState {
  MembershipOptions options;
  Random random;
  std::vector<EntryVm> seeds;
  std::vector<EntryVm> platform_entries;  // Additional addresses.

  // members[0] is this node.
  std::vector<Member> members;
  std::unordered_map<std::string, std::size_t> index_of;  // By name.
  std::uint32_t member_digest = 0;  // XOR of the hashes of live records.
  std::vector<PendingUpdate> updates;
  // When deaths and refutations are pushed; kNever if there are none.
  TimePoint urgent_push_at = kNever;
  TimePoint last_urgent_push_at{-Seconds(60)};
  std::vector<std::size_t> probe_order;  // Members left in this round.
  std::vector<Probe> probes;
  std::vector<RelayedProbe> relayed;
  std::map<std::size_t, Suspicion> suspicions;  // By index of the member.
  std::uint64_t next_sequence = 1;
  TimePoint next_probe_at;
  TimePoint next_reconnect_at;
  TimePoint next_dead_notice_at;
  TimePoint last_ack_at;           // Response to any probe of this node.
  TimePoint last_peer_message_at;  // From any peer.
  bool isolated = false;
  bool leaving = false;

  bool joining = true;
  TimePoint started_at;
  std::uint64_t join_sequence = 0;  // Of the last pull while joining.
  TimePoint next_join_at;
  // Increases with each message whose member digest differs, and decreases with
  // each message whose digest is equal.
  std::uint32_t member_differences = 0;
  TimePoint next_member_pull_at;
  Duration member_pull_period = kFastPullPeriod;
  TimePoint next_item_pull_at;

  std::map<std::string, ActiveItem> items;
  std::array<std::uint32_t, kItemBuckets> item_buckets{};
  std::optional<PendingConfiguration> pending;
  std::uint64_t configuration_floor = 0;  // Highest version known to exist.
  TimePoint floor_raised_at;
  TimePoint next_floor_pull_at;
  std::optional<TimePoint> marks_confirmed_at;
  // Keys of the leaving marks that the table may lack, with the time of the
  // next write of the mark.
  std::map<std::string, TimePoint> unrecorded_marks;
  std::set<std::string> accepted_marks;  // Unrecorded marks set here.

  bool is_reader = false;
  bool is_reader_current = false;  // Reset when live members change.
  bool read_in_flight = false;
  TimePoint read_started_at;
  TimePoint next_read_at;
  std::uint64_t reads = 0;  // Successful reads of the row.

  TimePoint next_wake_at = kNever;
};

// Returns the state of a process that starts now. `incarnation` should increase
// with each start, for example as microseconds of the system clock; if a peer
// knows a greater incarnation, the node raises its incarnation above that.
// `seeds` may include this node. `seed` initialises the random numbers.
MembershipState MakeMembershipState(const EntryVm& self,
                                    std::uint64_t incarnation,
                                    const std::vector<EntryVm>& seeds,
                                    std::uint64_t seed,
                                    TimePoint now,
                                    const MembershipOptions& options = {});

// Applies one event at the time `now` and appends the resulting actions, the
// last of which is always a MembershipWake. The first event has to be a
// MembershipTimerExpired.
void StepMembership(MembershipState& state,
                    const MembershipEvent& event,
                    TimePoint now,
                    MembershipActions& actions);

// Returns the live entry VMs, this entry VM first. An isolated node counts only
// members whose messages arrived in the last 10 s, because it can't determine
// which members are dead.
std::vector<EntryVm> LiveMembers(const MembershipState& state, TimePoint now);

// Returns the member, or nullptr if it is not known.
const Member* FindMember(const MembershipState& state, std::string_view name);

// Returns the item in force, or nullptr. A peer's fetchItem is answered from
// this item: the body is available if the version matches.
const ActiveItem* FindItem(const MembershipState& state, std::string_view key);

// Returns the version of the active configuration, or 0 if there is none.
std::uint64_t ActiveConfigurationVersion(const MembershipState& state);

// Returns whether a configuration is in force whose version is not below the
// configuration floor.
bool IsReady(const MembershipState& state);

// Returns the time since this node's leaving marks were last confirmed, by the
// store or by a peer with the same items; Duration::max() if they were never
// confirmed.
Duration MarksAge(const MembershipState& state, TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_MEMBERSHIP_H_
