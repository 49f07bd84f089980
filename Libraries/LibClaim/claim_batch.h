// Writes claims to the table in batches, with one transaction in flight.

#ifndef CICADADRUM_CLAIM_CLAIM_BATCH_H_
#define CICADADRUM_CLAIM_CLAIM_BATCH_H_

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

// Puts the record's claim into the next batch.
void QueueWrite(ClaimState& state, ClaimRecord& record);

// Starts a batch of queued claims unless one is in flight.
void WriteQueuedClaims(ClaimState& state, ClaimActions& actions);

// Applies the results of the batch in flight and ignores those of other
// batches.
void ApplyWriteAnswer(ClaimState& state,
                      const ClaimWriteCompleted& answered,
                      TimePoint now,
                      ClaimActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_CLAIM_BATCH_H_
