// The table of members: merging of records, digests, updates to send.

#ifndef CICADADRUM_MEMBERSHIP_MEMBER_TABLE_H_
#define CICADADRUM_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "context.h"

namespace cicadadrum {

std::optional<std::size_t> FindIndex(const MembershipState& state,
                                     std::string_view name);

// Returns a hash of what the record says, for RecordFilter.
std::uint64_t RecordHash(const MemberUpdate& record, std::uint64_t salt);

// Adds `record` to the table; its name must be new.
std::size_t AddMember(StepContext& context, const MemberUpdate& record);

// Replaces the record of a member by a newer one.
void SetRecord(StepContext& context,
               std::size_t index,
               const MemberUpdate& record,
               bool raised_here = false);

// Merges a record heard from a peer. A record of this node that is newer than
// its own, or says that it is not alive, is refuted. Returns whether the record
// of another member was new.
bool ApplyUpdate(StepContext& context, const MemberUpdate& update);

// Returns up to `count` of the updates that were sent the least, and drops
// those that were sent often enough to have reached every node.
std::vector<MemberUpdate> CollectUpdates(MembershipState& state,
                                         std::size_t count);

// Returns the record as it is sent: addresses only if alive.
MemberUpdate WireRecord(const Member& member);

// Returns a random live member other than this node, or nothing.
std::optional<std::size_t> RandomLive(MembershipState& state);

// Returns up to `count` distinct live members other than this node and
// `except`.
std::vector<std::size_t> RandomLiveSample(MembershipState& state,
                                          std::size_t count,
                                          std::size_t except = 0);

// Removes members that have been dead for long, so that the table does not
// grow with each replaced VM.
void RemoveExpiredMembers(StepContext& context);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_MEMBER_TABLE_H_
