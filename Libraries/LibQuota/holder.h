// What an entry VM uses of an account's quota.

#ifndef CICADADRUM_QUOTA_HOLDER_H_
#define CICADADRUM_QUOTA_HOLDER_H_

#include <cstdint>

#include "cicadadrum/quota/quota.h"

namespace cicadadrum::quota {

// Decides on the request, or lets it wait and requests tokens.
void HoldRequest(QuotaState& state,
                 Account& account,
                 const WaitingRequest& request,
                 TimePoint now,
                 QuotaOutput& output);

// Handles the answer of `sender` to a request for tokens.
void HandleGrant(QuotaState& state,
                 Account& account,
                 std::uint32_t sender,
                 const QuotaItem& grant,
                 TimePoint now,
                 QuotaOutput& output);

// Refuses requests that have waited too long and repeats lost requests for
// tokens.
void AdvanceHolder(QuotaState& state,
                   Account& account,
                   TimePoint now,
                   QuotaOutput& output);

// Returns the earliest time at which AdvanceHolder has something to do.
TimePoint NextHolderTime(const Account& account);

// Forgets all tokens.
void DropTokens(Account& account);

}  // namespace cicadadrum::quota

#endif  // CICADADRUM_QUOTA_HOLDER_H_
