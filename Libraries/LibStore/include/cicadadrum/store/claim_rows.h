// Conversion of claims to and from rows of the table service.

#ifndef CICADADRUM_STORE_CLAIM_ROWS_H_
#define CICADADRUM_STORE_CLAIM_ROWS_H_

#include <string>

#include "cicadadrum/claim/claim.h"
#include "cicadadrum/store/rows.h"

namespace cicadadrum {

// Returns the key of the table row that stores the claim of `request_key`.
std::string ClaimRowKey(const std::string& request_key);

// Returns the transaction that inserts a batch of claims. Each row is inserted
// only if it is absent, independent of the other rows. The token consists of
// the incarnation and the number of the batch, so that a retry of the batch has
// no further effect.
Transaction MakeClaimTransaction(const WriteClaims& write);

// Returns the outcome of each claim of the batch. A claim whose row exists but
// can't be decoded is reported as kExists with an empty row, that is, as a
// claim of another entry VM. A claim that the response does not mention is
// kUncertain.
ClaimWriteCompleted ReadClaimResults(const WriteClaims& write,
                                     const TransactionAnswer& answer);

// Returns a result that reports `outcome` for each claim of the batch.
ClaimWriteCompleted SameOutcomeForAllClaims(const WriteClaims& write,
                                            ClaimWriteOutcome outcome);

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_CLAIM_ROWS_H_
