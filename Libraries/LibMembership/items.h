// Versioned items: merging, propagation and fetching of configuration bodies.

#ifndef CICADADRUM_MEMBERSHIP_ITEMS_H_
#define CICADADRUM_MEMBERSHIP_ITEMS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "context.h"

namespace cicadadrum {

// Returns the index in item_buckets of the bucket of an item's key.
std::size_t ItemBucket(std::string_view key);

// Merges an item named by `source` (the name of a peer, or empty for the store
// or this node). An item that is not newer than the item in force is ignored.
// The body of a configuration is fetched before the configuration is put in
// force.
void ApplyItem(StepContext& context,
               const ItemVersion& item,
               const std::string& source);

// Puts an item in force and pushes it to peers if it is newer than the item in
// force.
void AdoptItem(StepContext& context,
               const ItemVersion& item,
               const std::string& body);

void OnLocalChange(StepContext& context, const LocalChange& event);
void OnItemFetched(StepContext& context, const ItemFetched& event);
void OnMarkWritten(StepContext& context, const MarkWritten& event);

// Records that a configuration of this version exists.
void RaiseFloor(StepContext& context, std::uint64_t version);

// Returns whether the configuration floor is above the version in force and
// peers have not delivered the version within the grace period.
bool IsFloorOverdue(const StepContext& context);

// Retries fetches, writes of unrecorded marks, and pulls while the version in
// force is below the configuration floor.
void RunItems(StepContext& context);

// Returns the time at which RunItems next has to run.
TimePoint NextItemsTime(const MembershipState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_ITEMS_H_
