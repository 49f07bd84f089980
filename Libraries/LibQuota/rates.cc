// Rates and sizes of the buckets of a cell.

#include "rates.h"

#include <algorithm>
#include <chrono>

namespace cicadadrum::quota {

namespace {

// Part of a cell's rate that the owner grants. The rest of the bound is for
// tokens that are still valid, for the deputy and for delays.
constexpr double kOwnerShare = 0.97;

// Requests are sent later than their tokens are taken: a connection has to be
// opened or checked first. The difference between delays adds to a window.
constexpr double kDelaySeconds = 0.15;

// Part of the rest of the bound that the deputy grants. Two entry VMs may
// believe to be the deputy for one or two seconds.
constexpr double kReserveShare = 0.8;

// Part of the slack that is kept for rounding.
constexpr double kRoundingShare = 0.1;

// Part of the slack by which the owner's bucket is larger than the burst. It
// matters for small accounts: requests that arrive at random at three quarters
// of their rate exceed a bucket of a few tokens now and then.
constexpr double kBucketSlackShare = 0.4;

// Tokens per second of a cell, and the smallest bucket of several cells. An
// owner answers about one message for each token of a cell, so that cells of
// this rate keep the messages of all owners at a similar number.
constexpr double kCellRate = 12;
constexpr double kMinCellBurst = 8;
constexpr double kMaxCells = 64;

// A member that joins later counts only after this time, because the owner on
// the other side of a partition learns of its end later than this entry VM.
constexpr Duration kJoinTime = kGrantAfterJoinTime + kMembershipTime;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns the number of requests that the bound allows in a window.
double AllowedInWindow(const Cell& cell) {
  const double seconds = ToSeconds(cell.bounds.window);
  return (1 + cell.bounds.excess) *
             (cell.limit.requests_per_second * seconds + cell.limit.burst) +
         cell.bounds.slack * (1 - kRoundingShare);
}

// Returns the time whose grants may be used in one window.
double GrantSeconds(const Cell& cell) {
  return ToSeconds(cell.bounds.window + kTokenValidity) + kDelaySeconds;
}

}  // namespace

std::size_t CountCells(const AccountLimit& limit) {
  const double cells = std::min(limit.requests_per_second / kCellRate,
                                limit.burst / kMinCellBurst);
  return static_cast<std::size_t>(std::clamp(cells, 1.0, kMaxCells));
}

std::size_t CountMembers(const QuotaState& state, TimePoint now) {
  const auto lost = std::count_if(
      state.lost_at.begin(), state.lost_at.end(), [&](const auto& entry) {
        return now - entry.second < kLostMemberRetention;
      });
  return state.members.size() + static_cast<std::size_t>(lost);
}

double GrantableShare(const QuotaState& state, TimePoint now) {
  const auto joined = std::count_if(
      state.members.begin(), state.members.end(), [&](const auto& entry) {
        return entry.second.is_initial ||
               now - entry.second.first_seen >= kJoinTime;
      });
  const std::size_t stated =
      now - state.stated_at < kLostMemberRetention ? state.stated_size : 0;
  return static_cast<double>(joined) /
         static_cast<double>(std::max(CountMembers(state, now), stated));
}

BucketRate OwnerRate(const Cell& cell) {
  const double size =
      std::max(1.0, cell.limit.burst + cell.bounds.slack * kBucketSlackShare);
  const double rest = AllowedInWindow(cell) - size;
  return {.tokens_per_second =
              std::clamp(rest / GrantSeconds(cell), 0.0,
                         kOwnerShare * cell.limit.requests_per_second),
          .size = size};
}

BucketRate ReserveRate(const Cell& cell) {
  const BucketRate owner = OwnerRate(cell);
  const double rest = AllowedInWindow(cell) - owner.size -
                      owner.tokens_per_second * GrantSeconds(cell);
  // One half fills the bucket, which may be full at the begin of a window. The
  // other half is granted during the window.
  const double half = std::max(0.0, rest) * kReserveShare / 2;
  return {.tokens_per_second = half / GrantSeconds(cell), .size = half};
}

}  // namespace cicadadrum::quota
