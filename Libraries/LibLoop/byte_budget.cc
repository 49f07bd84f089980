// Limits, pauses and evictions within a byte budget.

#include "byte_budget.h"

#include <algorithm>
#include <array>

namespace cicadadrum {

namespace {

// The reserve for small requests, as a part of the budget.
constexpr std::uint64_t kSmallReserveDivisor = 8;

// Connections that hold less are not worth closing.
constexpr std::uint64_t kMinEvictedBytes = 4096;

// Callers may read slowly. A response of which nothing was read for this long
// may be lost while memory is short.
constexpr Duration kUnreadTime = Seconds(5);

// What a connection may add before the next plan takes notice.
constexpr std::uint64_t kReadStepBytes = 32'768;

// A state of the plan while it is made.
struct Draft {
  const ByteBudget& budget;
  std::uint64_t total = 0;
  std::span<const ConnectionUse> uses;
  ReadingPlan plan;
  TimePoint now;
};

bool IsLarge(const ConnectionUse& use) {
  return use.is_receiving && use.expected_bytes > kSmallRequestBytes;
}

bool IsStalled(const Draft& draft, const ConnectionUse& use) {
  return draft.now - use.progressed_at >= draft.budget.stall_time;
}

bool IsEvicted(const Draft& draft, std::size_t index) {
  return draft.plan.actions[index] == ReadingAction::kEvict;
}

void Evict(Draft& draft, std::size_t index) {
  draft.plan.actions[index] = ReadingAction::kEvict;
  draft.total -= std::min(draft.total, draft.uses[index].held_bytes);
  if (draft.uses[index].id == draft.plan.favoured)
    draft.plan.favoured = 0;
}

// Keeps the favoured body unless it is complete or makes no progress, and
// otherwise favours the body that has been arriving for the longest time.
void ChooseFavoured(Draft& draft) {
  const std::uint64_t earlier = draft.plan.favoured;
  draft.plan.favoured = 0;
  const ConnectionUse* oldest = nullptr;
  for (std::size_t i = 0; i < draft.uses.size(); ++i) {
    const ConnectionUse& use = draft.uses[i];
    if (!IsLarge(use))
      continue;
    if (use.id == earlier) {
      if (!IsStalled(draft, use)) {
        draft.plan.favoured = earlier;
        return;
      }
      Evict(draft, i);
      continue;
    }
    if (oldest == nullptr || use.body_started_at < oldest->body_started_at)
      oldest = &use;
  }
  if (oldest != nullptr)
    draft.plan.favoured = oldest->id;
}

// What a connection may lose. A request that has not been passed on is refused
// as not run, so it goes before a response, which would be lost.
enum class Loss : std::uint8_t { kRequest, kResponse };

bool IsEvictable(const Draft& draft, std::size_t index, Loss loss) {
  const ConnectionUse& use = draft.uses[index];
  if (IsEvicted(draft, index) || use.is_handled ||
      use.id == draft.plan.favoured || use.held_bytes < kMinEvictedBytes)
    return false;
  return loss == Loss::kRequest
             ? use.is_receiving
             : use.has_unread && draft.now - use.progressed_at >= kUnreadTime;
}

// Closes connections, first those without progress for the longest time, until
// the total is below `limit`.
void EvictDownTo(Draft& draft, std::uint64_t limit, Loss loss) {
  while (draft.total >= limit) {
    std::size_t chosen = draft.uses.size();
    for (std::size_t i = 0; i < draft.uses.size(); ++i) {
      if (IsEvictable(draft, i, loss) &&
          (chosen == draft.uses.size() ||
           draft.uses[i].progressed_at < draft.uses[chosen].progressed_at))
        chosen = i;
    }
    if (chosen == draft.uses.size())
      return;
    Evict(draft, chosen);
  }
}

// Lets large bodies be read as far as the limit allows, the oldest first.
// Bodies that are being read go on.
void ResumeLarge(Draft& draft) {
  std::vector<std::size_t> paused;
  for (std::size_t i = 0; i < draft.uses.size(); ++i) {
    const ConnectionUse& use = draft.uses[i];
    if (!IsEvicted(draft, i) && IsLarge(use) && use.is_paused &&
        use.id != draft.plan.favoured)
      paused.push_back(i);
  }
  std::ranges::sort(
      paused, {}, [&](std::size_t i) { return draft.uses[i].body_started_at; });
  std::uint64_t total = draft.total;
  for (const std::size_t i : paused) {
    total += kReadStepBytes;
    if (total >= draft.budget.large_limit)
      draft.plan.actions[i] = ReadingAction::kPause;
  }
}

}  // namespace

ByteBudget MakeByteBudget(std::uint64_t max_bytes) {
  const std::uint64_t reserve = max_bytes / kSmallReserveDivisor;
  return {.max_bytes = max_bytes,
          .large_limit = max_bytes - reserve,
          .favoured_limit = max_bytes - reserve / 2};
}

bool MayReadOn(const ByteBudget& budget,
               std::uint64_t total_bytes,
               const ConnectionUse& use,
               std::uint64_t favoured) {
  if (!IsLarge(use))
    return total_bytes < budget.max_bytes;
  return total_bytes <
         (use.id == favoured ? budget.favoured_limit : budget.large_limit);
}

ReadingPlan PlanReading(const ByteBudget& budget,
                        std::uint64_t total_bytes,
                        std::span<const ConnectionUse> uses,
                        std::uint64_t favoured,
                        TimePoint now) {
  Draft draft{
      .budget = budget,
      .total = total_bytes,
      .uses = uses,
      .plan = {.actions = std::vector(uses.size(), ReadingAction::kRead),
               .favoured = favoured},
      .now = now};
  if (total_bytes < budget.large_limit) {
    draft.plan.favoured = 0;
    ResumeLarge(draft);
    return draft.plan;
  }
  ChooseFavoured(draft);
  const std::uint64_t limit =
      draft.plan.favoured != 0 ? budget.favoured_limit : budget.max_bytes;
  EvictDownTo(draft, limit, Loss::kRequest);
  EvictDownTo(draft, limit, Loss::kResponse);
  for (std::size_t i = 0; i < uses.size(); ++i) {
    if (!IsEvicted(draft, i) &&
        !MayReadOn(budget, draft.total, uses[i], draft.plan.favoured))
      draft.plan.actions[i] = ReadingAction::kPause;
  }
  ResumeLarge(draft);
  return draft.plan;
}

}  // namespace cicadadrum
