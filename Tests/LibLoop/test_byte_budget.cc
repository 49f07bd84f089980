// Tests of the decisions within a byte budget, without a network.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

#include "byte_budget.h"

namespace cicadadrum {

namespace {

constexpr std::uint64_t kMegabyte = 1'000'000;
constexpr TimePoint kNow = TimePoint(Seconds(100));

// A body of 10 MB of which `megabytes` have arrived.
ConnectionUse Body(std::uint64_t id,
                   std::uint64_t megabytes,
                   Duration since_progress = {}) {
  return {.id = id,
          .held_bytes = megabytes * kMegabyte,
          .is_receiving = true,
          .expected_bytes = 10 * kMegabyte,
          .body_started_at = TimePoint(Seconds(static_cast<std::int64_t>(id))),
          .progressed_at = kNow - since_progress};
}

std::uint64_t TotalOf(const std::vector<ConnectionUse>& uses) {
  std::uint64_t total = 0;
  for (const ConnectionUse& use : uses)
    total += use.held_bytes;
  return total;
}

}  // namespace

// Guards against a largest body that is refused or evicted without load.
TEST_CASE("the smallest VM has room for a body of 64 MiB") {
  CHECK(MakeByteBudget(80 * kMegabyte).large_limit > std::uint64_t{64} << 20);
}

// Guards against bodies that fill the memory together, and against a plan in
// which none of them gets on.
TEST_CASE("one large body is read to its end and small requests beside it") {
  const ByteBudget budget = MakeByteBudget(40 * kMegabyte);
  std::vector<ConnectionUse> uses{Body(3, 9), Body(2, 9), Body(4, 9),
                                  Body(5, 9)};
  uses.push_back({.id = 9, .held_bytes = 20'000, .progressed_at = kNow});
  const ReadingPlan plan = PlanReading(budget, TotalOf(uses), uses, 0, kNow);
  CHECK(plan.favoured == 2);
  CHECK(plan.actions == std::vector{ReadingAction::kPause, ReadingAction::kRead,
                                    ReadingAction::kPause,
                                    ReadingAction::kPause,
                                    ReadingAction::kRead});
}

TEST_CASE("a favoured body without progress makes way") {
  const ByteBudget budget = MakeByteBudget(40 * kMegabyte);
  const std::vector<ConnectionUse> uses{Body(2, 9, Seconds(1)), Body(3, 9),
                                        Body(4, 9), Body(5, 9)};
  const ReadingPlan plan = PlanReading(budget, TotalOf(uses), uses, 2, kNow);
  CHECK(plan.actions[0] == ReadingAction::kEvict);
  CHECK(plan.favoured == 3);
}

// Guards against a budget that is exceeded, and against the loss of more
// requests than it needs.
TEST_CASE("the body without progress for the longest time is evicted") {
  const ByteBudget budget = MakeByteBudget(40 * kMegabyte);
  const std::vector<ConnectionUse> uses{
      Body(2, 10), Body(3, 9, Milliseconds(300)), Body(4, 9, Milliseconds(700)),
      Body(5, 10)};
  const ReadingPlan plan = PlanReading(budget, TotalOf(uses), uses, 2, kNow);
  CHECK(plan.favoured == 2);
  CHECK(plan.actions == std::vector{ReadingAction::kRead, ReadingAction::kRead,
                                    ReadingAction::kEvict,
                                    ReadingAction::kRead});
}

// Guards against the loss of a request that may have run.
TEST_CASE("connections whose requests are handled are paused, not evicted") {
  const ByteBudget budget = MakeByteBudget(40 * kMegabyte);
  std::vector<ConnectionUse> uses;
  for (std::uint64_t id = 1; id <= 4; ++id)
    uses.push_back({.id = id,
                    .held_bytes = 10 * kMegabyte,
                    .is_handled = true,
                    .progressed_at = kNow - Seconds(60)});
  for (const ReadingAction action :
       PlanReading(budget, TotalOf(uses), uses, 0, kNow).actions)
    CHECK(action == ReadingAction::kPause);
}

// Guards against the loss of a response while a request could be refused as not
// run, and against responses that keep the memory for good.
TEST_CASE("requests that have not run go before responses that nobody reads") {
  const ByteBudget budget = MakeByteBudget(40 * kMegabyte);
  const auto response = [](std::uint64_t id, Duration since_progress) {
    return ConnectionUse{.id = id,
                         .held_bytes = 10 * kMegabyte,
                         .has_unread = true,
                         .progressed_at = kNow - since_progress};
  };
  std::vector<ConnectionUse> uses{Body(1, 10), Body(2, 10),
                                  response(3, Seconds(20)),
                                  response(4, Seconds(2))};
  ReadingPlan plan = PlanReading(budget, TotalOf(uses), uses, 1, kNow);
  CHECK(plan.actions[1] == ReadingAction::kEvict);
  CHECK(plan.actions[2] == ReadingAction::kRead);
  uses[1] = response(2, Seconds(2));
  plan = PlanReading(budget, TotalOf(uses), uses, 1, kNow);
  CHECK(plan.actions[1] == ReadingAction::kRead);
  CHECK(plan.actions[2] == ReadingAction::kEvict);
  CHECK(plan.actions[3] == ReadingAction::kRead);
}

TEST_CASE("paused bodies go on as far as the memory that is free allows") {
  const ByteBudget budget = MakeByteBudget(40 * kMegabyte);
  std::vector<ConnectionUse> uses;
  for (std::uint64_t id = 1; id <= 400; ++id) {
    uses.push_back(Body(id, 1));
    uses.back().is_paused = true;
  }
  const ReadingPlan plan = PlanReading(budget, 30 * kMegabyte, uses, 0, kNow);
  const auto resumed = std::ranges::count(plan.actions, ReadingAction::kRead);
  CHECK(resumed > 0);
  CHECK(resumed * 32'768 <= 5'000'000);
  CHECK(plan.actions.front() == ReadingAction::kRead);
}

}  // namespace cicadadrum
