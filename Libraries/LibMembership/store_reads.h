// Who reads the version row from the store, and when.

#ifndef CICADADRUM_MEMBERSHIP_STORE_READS_H_
#define CICADADRUM_MEMBERSHIP_STORE_READS_H_

#include "context.h"

namespace cicadadrum {

void OnStoreRowRead(StepContext& context, const StoreRowRead& event);
void OnStoreReadFailed(StepContext& context);
void RunReads(StepContext& context);

// Returns when RunReads has something to do.
TimePoint NextReadTime(const MembershipState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_STORE_READS_H_
