// Selection of the nodes that read the version row from the store, and the
// times of their reads.

#ifndef CICADADRUM_MEMBERSHIP_STORE_READS_H_
#define CICADADRUM_MEMBERSHIP_STORE_READS_H_

#include "context.h"

namespace cicadadrum {

void OnStoreRowRead(StepContext& context, const StoreRowRead& event);
void OnStoreReadFailed(StepContext& context);
// Starts a read of the version row if a read is due at this node.
void RunReads(StepContext& context);

// Returns the time at which RunReads next has to run.
TimePoint NextReadTime(const MembershipState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_STORE_READS_H_
