// Rates and sizes of the buckets of a cell.

#ifndef CICADADRUM_QUOTA_RATES_H_
#define CICADADRUM_QUOTA_RATES_H_

#include <cstddef>

#include "cicadadrum/quota/quota.h"

namespace cicadadrum::quota {

// Time from the first sending of a request for tokens in which they are valid.
constexpr Duration kTokenValidity = Milliseconds(400);

// Time within which all entry VMs learn of a change of the members.
constexpr Duration kMembershipTime = Seconds(2);

// How long an owner grants tokens after a member that comes before it in the
// order has joined, unless that member claims the bucket.
constexpr Duration kGrantAfterJoinTime = Seconds(3);

struct BucketRate {
  double tokens_per_second = 0;
  double size = 0;
};

// Returns the number of cells of an account. All entry VMs must compute the
// same number.
std::size_t CountCells(const AccountLimit& limit);

// How long a member that was lost keeps its part of the rates.
constexpr Duration kLostMemberRetention = Seconds(600);

// Returns the number of members, live or lost a while ago.
std::size_t CountMembers(const QuotaState& state, TimePoint now);

// Returns the part of a cell's rate that this entry VM may grant as an owner or
// a deputy. It is below 1 if members were lost, because they may be on the
// other side of a network partition, with an owner of their own.
double GrantableShare(const QuotaState& state, TimePoint now);

// Return the rates of the owner and of the deputy, before GrantableShare.
BucketRate OwnerRate(const Cell& cell);
BucketRate ReserveRate(const Cell& cell);

}  // namespace cicadadrum::quota

#endif  // CICADADRUM_QUOTA_RATES_H_
