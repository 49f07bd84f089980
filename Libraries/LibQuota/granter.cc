// The owner and the deputy of a cell.

#include "granter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <utility>

#include "cicadadrum/base/hash.h"
#include "rates.h"

namespace cicadadrum::quota {

namespace {

// A new entry VM is the first of the order before the others know it. Without a
// release, it waits until the earlier owner has ceased to grant tokens.
constexpr Duration kActivationTime = kMembershipTime + kGrantAfterJoinTime;

// A member that has been known for so long would grant tokens by now if it were
// the owner.
constexpr Duration kEstablishedTime = kActivationTime + Seconds(1);

// An owner keeps the bucket until most entry VMs know the new owner.
constexpr Duration kMinKnownTime = Milliseconds(1500);

// Time within which an entry VM discovers the other members after its start.
constexpr Duration kDiscoveryTime = Seconds(3);

// Tokens are granted in advance only while this part of the bucket remains.
constexpr double kAdvanceShare = 0.25;

// A release states the bucket's level in this part of a token.
constexpr double kReleaseFactor = 100;

std::uint16_t ToUint16(double number) {
  constexpr auto kMax =
      static_cast<double>(std::numeric_limits<std::uint16_t>::max());
  return static_cast<std::uint16_t>(std::clamp(number, 0.0, kMax));
}

void Refill(Bucket& bucket, const BucketRate& rate, TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - bucket.updated_at).count();
  const double added = std::max(0.0, seconds) * rate.tokens_per_second;
  bucket.level = std::min(bucket.level + added, rate.size);
  bucket.updated_at = std::max(bucket.updated_at, now);
}

BucketRate ScaleBy(BucketRate rate, double share) {
  rate.tokens_per_second *= share;
  if (rate.size > 0)
    rate.size = std::max(1.0, rate.size * share);
  return rate;
}

void GrantFrom(Bucket& bucket,
               const BucketRate& rate,
               const QuotaItem& request,
               TimePoint now,
               QuotaItem& grant) {
  Refill(bucket, rate, now);
  const double tokens =
      std::min(std::floor(bucket.level), static_cast<double>(request.tokens));
  bucket.level -= tokens;
  const double in_advance =
      std::clamp(std::floor(bucket.level - rate.size * kAdvanceShare), 0.0,
                 static_cast<double>(request.ahead));
  bucket.level -= in_advance;
  grant.tokens = ToUint16(tokens + in_advance);
  if (tokens < request.tokens && rate.tokens_per_second > 0)
    grant.retry_after_ms =
        ToUint16(std::ceil((1 - bucket.level) / rate.tokens_per_second * 1000));
}

bool IsAt(const Cell& cell, std::size_t rank, std::uint32_t member) {
  return rank < cell.order.size() && cell.order[rank] == member;
}

bool IsEstablished(const QuotaState& state,
                   std::uint32_t member,
                   TimePoint now) {
  if (member == state.tag)
    return now - state.started_at >= kEstablishedTime;
  const auto found = state.members.find(member);
  return found != state.members.end() &&
         now - found->second.first_seen >= kEstablishedTime;
}

// Whether this entry VM would be the owner if `claimant` and the members that
// joined just now were not there.
bool IsEarlierOwner(const QuotaState& state,
                    const Cell& cell,
                    std::uint32_t claimant,
                    TimePoint now) {
  for (const std::uint32_t member : cell.order) {
    if (member == state.tag)
      return true;
    if (member != claimant && IsEstablished(state, member, now))
      return false;
  }
  return false;
}

void RecordRank(Cell& cell,
                const QuotaState& state,
                bool was_first,
                bool was_second,
                TimePoint now) {
  Granter& granter = cell.granter;
  const bool is_first = IsAt(cell, 0, state.tag);
  const bool is_second = IsAt(cell, 1, state.tag);
  if (is_first && !was_first) {
    granter.first_since = now;
    granter.has_release = false;
    granter.claim_rank = 1;
    ++granter.claim_sequence;
  }
  if (was_first && !is_first) {
    granter.first_since = kNever;
    granter.last_first_at = now;
  }
  if (is_second && !was_second) {
    // Another entry VM may believe to be the deputy for a while.
    granter.reserve_since = now + kMembershipTime;
    granter.reserve = {.updated_at = granter.reserve_since};
  }
  // A deputy that becomes the owner uses the reserve until it has the bucket.
  if (!is_second && !is_first)
    granter.reserve_since = kNever;
}

}  // namespace

void UpdateOrder(const QuotaState& state,
                 Cell& cell,
                 bool is_loss,
                 TimePoint now) {
  const bool was_first = IsAt(cell, 0, state.tag);
  const bool was_second = IsAt(cell, 1, state.tag);
  std::vector<std::pair<std::uint64_t, std::uint32_t>> scores;
  scores.reserve(state.members.size());
  for (const auto& [tag, member] : state.members)
    scores.emplace_back(RendezvousScore(cell.name, member.name), tag);
  const std::size_t size = std::min(kOrderSize, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(size),
                    scores.end(), std::greater<>());
  cell.order.clear();
  for (std::size_t i = 0; i < size; ++i)
    cell.order.push_back(scores[i].second);
  RecordRank(cell, state, was_first, was_second, now);
  if (is_loss && !was_first && IsAt(cell, 0, state.tag))
    cell.granter.inactive_until = now + kMembershipTime;
}

void CheckOwnership(const QuotaState& state, Cell& cell, TimePoint now) {
  Granter& granter = cell.granter;
  if (!IsAt(cell, 0, state.tag)) {
    if (now - granter.last_first_at >= kGrantAfterJoinTime)
      granter.is_active = false;
    return;
  }
  if (granter.is_active || now < granter.inactive_until)
    return;
  const bool is_alone = cell.order.size() == 1;
  const bool may_start =
      granter.has_release ||
      (is_alone && now - state.started_at >= kDiscoveryTime) ||
      now - granter.first_since >= kActivationTime;
  if (!may_start)
    return;
  granter.is_active = true;
  granter.bucket = {.level = granter.has_release ? granter.released_level : 0,
                    .updated_at = now};
  granter.has_release = false;
  granter.reserve_since = kNever;
}

std::optional<std::uint32_t> ClaimReceiver(const QuotaState& state,
                                           const Cell& cell) {
  const Granter& granter = cell.granter;
  if (!IsAt(cell, 0, state.tag) || granter.is_active || granter.has_release ||
      granter.claim_rank >= cell.order.size())
    return std::nullopt;
  return cell.order[granter.claim_rank];
}

QuotaItem AnswerRequest(const QuotaState& state,
                        Cell& cell,
                        const QuotaItem& request,
                        TimePoint now) {
  CheckOwnership(state, cell, now);
  Granter& granter = cell.granter;
  QuotaItem grant{.cell = request.cell,
                  .kind = ItemKind::kGrant,
                  .sequence = request.sequence};
  const double share = GrantableShare(state, now);
  if (granter.is_active) {
    GrantFrom(granter.bucket, ScaleBy(OwnerRate(cell), share), request, now,
              grant);
  } else if (now >= granter.reserve_since) {
    QuotaItem without_advance = request;
    without_advance.ahead = 0;
    GrantFrom(granter.reserve, ScaleBy(ReserveRate(cell), share),
              without_advance, now, grant);
  } else {
    grant.answer = Answer::kNotOwner;
  }
  return grant;
}

std::optional<QuotaItem> AnswerClaim(const QuotaState& state,
                                     Cell& cell,
                                     std::uint32_t sender,
                                     const QuotaItem& claim,
                                     TimePoint now) {
  CheckOwnership(state, cell, now);
  Granter& granter = cell.granter;
  const auto member = state.members.find(sender);
  if (!IsAt(cell, 0, sender) || sender == state.tag ||
      member == state.members.end())
    return std::nullopt;
  QuotaItem answer{.cell = claim.cell,
                   .kind = ItemKind::kRelease,
                   .sequence = claim.sequence};
  if (granter.is_active) {
    if (now - member->second.first_seen < kMinKnownTime)
      return std::nullopt;
    Refill(granter.bucket, ScaleBy(OwnerRate(cell), GrantableShare(state, now)),
           now);
    answer.tokens = ToUint16(granter.bucket.level * kReleaseFactor);
    granter.is_active = false;
    granter.bucket = {};
    return answer;
  }
  if (!IsEstablished(state, state.tag, now)) {
    answer.kind = ItemKind::kVacant;
    return answer;
  }
  if (!IsEarlierOwner(state, cell, sender, now))
    return std::nullopt;
  return answer;
}

void HandleClaimAnswer(const QuotaState& state,
                       Cell& cell,
                       std::uint32_t sender,
                       const QuotaItem& answer,
                       TimePoint now) {
  Granter& granter = cell.granter;
  if (ClaimReceiver(state, cell) != sender ||
      answer.sequence != granter.claim_sequence)
    return;
  if (answer.kind == ItemKind::kVacant &&
      ++granter.claim_rank < cell.order.size())
    return;
  granter.has_release = true;
  granter.released_level =
      answer.kind == ItemKind::kRelease ? answer.tokens / kReleaseFactor : 0;
  CheckOwnership(state, cell, now);
}

void ForgetOwnership(Cell& cell, TimePoint now) {
  Granter& granter = cell.granter;
  granter.is_active = false;
  granter.has_release = false;
  granter.claim_rank = 1;
  ++granter.claim_sequence;
  granter.bucket = {};
  granter.inactive_until = now + kMembershipTime;
  if (granter.first_since != kNever)
    granter.first_since = now;
  if (granter.reserve_since != kNever)
    granter.reserve_since = now + kMembershipTime;
  granter.reserve = {.updated_at = now + kMembershipTime};
}

}  // namespace cicadadrum::quota
