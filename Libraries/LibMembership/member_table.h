// The table of members: merging of records, digests and pending updates.

#ifndef CICADADRUM_MEMBERSHIP_MEMBER_TABLE_H_
#define CICADADRUM_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "context.h"

namespace cicadadrum {

// Returns the index of the member, or nothing if it is not in the table.
std::optional<std::size_t> FindIndex(const MembershipState& state,
                                     std::string_view name);

// Returns a hash of the record's name, incarnation, sequence and state for
// MakeRecordFilter and IsInFilter.
std::uint64_t RecordHash(const MemberUpdate& record, std::uint64_t salt);

// Adds `record` to the table, which must not contain its name; returns the
// index.
std::size_t AddMember(StepContext& context, const MemberUpdate& record);

// Replaces the record of a member by a newer record. `raised_here` is set for a
// suspicion by a failed probe of this node.
void SetRecord(StepContext& context,
               std::size_t index,
               const MemberUpdate& record,
               bool raised_here = false);

// Merges a record received from a peer. This node refutes a record of itself
// that is newer than its record or whose state is not alive. Returns whether
// the record was a new record of another member.
bool ApplyUpdate(StepContext& context, const MemberUpdate& update);

// Returns up to `count` of the pending updates that were sent least often, and
// drops updates that were sent often enough to have reached every node.
std::vector<MemberUpdate> CollectUpdates(MembershipState& state,
                                         std::size_t count);

// Returns the record in the form sent to peers, with addresses only if alive.
MemberUpdate WireRecord(const Member& member);

// Returns the index of a random live member other than this node, or nothing.
std::optional<std::size_t> RandomLive(MembershipState& state);

// Returns the indices of up to `count` distinct random live members other than
// this node and `except`.
std::vector<std::size_t> RandomLiveSample(MembershipState& state,
                                          std::size_t count,
                                          std::size_t except = 0);

// Removes members that have not been live for a long time, so that the table
// does not grow with each replaced VM.
void RemoveExpiredMembers(StepContext& context);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_MEMBER_TABLE_H_
