// Versioned items: merging, spreading, and fetching of configuration bodies.

#ifndef CICADADRUM_MEMBERSHIP_ITEMS_H_
#define CICADADRUM_MEMBERSHIP_ITEMS_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "context.h"

namespace cicadadrum {

// Bucket of an item's key in item_buckets.
std::size_t ItemBucket(std::string_view key);

// Merges an item named by `source` (a peer, or empty for the store or this
// node). An item that is not newer than the one in force is ignored. A
// configuration without its body is fetched first.
void ApplyItem(StepContext& context,
               const ItemVersion& item,
               const std::string& source);

// Puts an item in force and pushes it to peers, unless it is not newer.
void AdoptItem(StepContext& context,
               const ItemVersion& item,
               const std::string& body);

void OnLocalChange(StepContext& context, const LocalChange& event);
void OnItemFetched(StepContext& context, const ItemFetched& event);
void OnMarkWritten(StepContext& context, const MarkWritten& event);

// Notes that a configuration of this version exists.
void RaiseFloor(StepContext& context, std::uint64_t version);

// Whether a version was named that peers could not give for a while.
bool IsFloorOverdue(const StepContext& context);

// Repeats fetches, writes of unrecorded marks and pulls below the floor.
void RunItems(StepContext& context);

// Returns when RunItems has something to do.
TimePoint NextItemsTime(const MembershipState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_ITEMS_H_
