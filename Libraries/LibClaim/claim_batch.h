// Claims written to the table: batches with one transaction in flight.

#ifndef CICADADRUM_CLAIM_CLAIM_BATCH_H_
#define CICADADRUM_CLAIM_CLAIM_BATCH_H_

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

// Puts the record's claim into the next batch.
void QueueWrite(ClaimState& state, ClaimRecord& record);

// Writes the waiting claims if no batch is in flight.
void WriteQueuedClaims(ClaimState& state, ClaimActions& actions);

void ApplyWriteAnswer(ClaimState& state,
                      const WriteAnswered& answered,
                      TimePoint now,
                      ClaimActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_CLAIM_BATCH_H_
