// Claims as rows of the table.

#ifndef CICADADRUM_STORE_CLAIM_ROWS_H_
#define CICADADRUM_STORE_CLAIM_ROWS_H_

#include <string>

#include "cicadadrum/claim/claim.h"
#include "cicadadrum/store/rows.h"

namespace cicadadrum {

// Returns the key of a claim's row.
std::string ClaimRowKey(const std::string& request_key);

// Returns the transaction of a batch: each row is inserted only if it is
// absent, independent of the others. The token is the incarnation and the
// batch.
Transaction MakeClaimTransaction(const WriteClaims& write);

// Returns the outcome of each claim. A row that can't be decoded counts as held
// by another entry VM.
WriteAnswered ReadClaimResults(const WriteClaims& write,
                               const TransactionAnswer& answer);

// Returns the same outcome for each claim.
WriteAnswered SameOutcomeForAllClaims(const WriteClaims& write,
                                      ClaimWriteOutcome outcome);

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_CLAIM_ROWS_H_
