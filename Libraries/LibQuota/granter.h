// The owner and the deputy of a cell.

#ifndef CICADADRUM_QUOTA_GRANTER_H_
#define CICADADRUM_QUOTA_GRANTER_H_

#include <cstdint>
#include <optional>

#include "cicadadrum/quota/quota.h"

namespace cicadadrum::quota {

// Determines the cell's order from the members. `is_loss` is set if a member
// was lost; it may not know that yet.
void UpdateOrder(const QuotaState& state,
                 Cell& cell,
                 bool is_loss,
                 TimePoint now);

// Starts or ends the use of the owner's bucket, if that is due.
void CheckOwnership(const QuotaState& state, Cell& cell, TimePoint now);

// Returns the member from which the owner's bucket is to be claimed, if this
// entry VM is the owner and has not got the bucket.
std::optional<std::uint32_t> ClaimReceiver(const QuotaState& state,
                                           const Cell& cell);

// Return the answer to a request for tokens or to a claim. A claim may have no
// answer, and is then repeated by its sender.
QuotaItem AnswerRequest(const QuotaState& state,
                        Cell& cell,
                        const QuotaItem& request,
                        TimePoint now);
std::optional<QuotaItem> AnswerClaim(const QuotaState& state,
                                     Cell& cell,
                                     std::uint32_t sender,
                                     const QuotaItem& claim,
                                     TimePoint now);

// Handles the answer of `sender` to a claim.
void HandleClaimAnswer(const QuotaState& state,
                       Cell& cell,
                       std::uint32_t sender,
                       const QuotaItem& answer,
                       TimePoint now);

// Ends the use of the buckets, after a suspension in which others may have
// taken them over.
void ForgetOwnership(Cell& cell, TimePoint now);

}  // namespace cicadadrum::quota

#endif  // CICADADRUM_QUOTA_GRANTER_H_
