// Tests of quotas over all entry VMs: the bound, and the use below it.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "quota_world.h"

namespace cicadadrum {

namespace {

enum class Fault : std::uint8_t {
  kKill,
  kRestart,
  kSuspend,
  kSuspendBriefly,
  kCutRegion,
  kHeal,
};
constexpr int kFaultCount = 6;

}  // namespace

template <>
struct EnumNames<Fault> {
  static constexpr auto kTable = std::to_array<EnumName<Fault>>({
      {Fault::kKill, "kill"},
      {Fault::kRestart, "restart"},
      {Fault::kSuspend, "suspend"},
      {Fault::kSuspendBriefly, "suspend-briefly"},
      {Fault::kCutRegion, "cut-region"},
      {Fault::kHeal, "heal"},
  });
};

namespace quota {

namespace {

const std::string kSmall = "small";
const std::string kLarge = "large";
const AccountLimit kSmallLimit{kSmall, 5, 5};
const AccountLimit kLargeLimit{kLarge, 200, 100};

double Bound(const AccountLimit& limit) {
  const QuotaBounds bounds;
  return (limit.requests_per_second * 5 + limit.burst) * (1 + bounds.excess) +
         bounds.slack;
}

struct FaultStep {
  Fault fault = Fault::kHeal;
  std::size_t entry = 0;
  std::int64_t wait_ms = 0;
};

// RapidCheck calls this to print a counterexample.
void showValue(const FaultStep& step, std::ostream& os) {  // NOLINT
  os << NameOf(step.fault) << " entry " << step.entry << " then "
     << step.wait_ms << " ms";
}

rc::Gen<FaultStep> FaultStepGenerator(std::size_t entries) {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, kFaultCount),
                                     rc::gen::inRange<std::size_t>(0, entries),
                                     rc::gen::inRange<std::int64_t>(0, 7000)),
                      [](const std::tuple<int, std::size_t, std::int64_t>& t) {
                        return FaultStep{static_cast<Fault>(std::get<0>(t)),
                                         std::get<1>(t), std::get<2>(t)};
                      });
}

// An entry VM that restarts in a partition learns the size of the fleet from
// others that have been running since before. Without one it can't know it
// (docs/design/quotas.md), so entry VMs 0 to 2, one of each region, neither
// stop nor restart.
void Apply(QuotaWorld& world, const FaultStep& step) {
  const bool keeps_running = step.entry < 3;
  if (keeps_running &&
      (step.fault == Fault::kKill || step.fault == Fault::kRestart))
    return;
  switch (step.fault) {
    case Fault::kKill:
      return world.Kill(step.entry);
    case Fault::kRestart:
      return world.Restart(step.entry);
    case Fault::kSuspend:
      return world.Suspend(step.entry, Milliseconds(step.wait_ms));
    case Fault::kSuspendBriefly:
      return world.Suspend(step.entry, Milliseconds(step.wait_ms / 10));
    case Fault::kCutRegion:
      return world.CutRegion(step.entry % 3);
    case Fault::kHeal:
      return world.HealCuts();
  }
}

double ShareOf(std::size_t part, std::size_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

// Bytes and datagrams a second of one entry VM.
struct MessageCounts {
  std::uint64_t most_bytes = 0;
  std::uint64_t mean_bytes = 0;
  std::uint64_t mean_datagrams = 0;
};

// Runs 59 entry VMs with 72 accounts whose rates follow Zipf's law, and 2,000
// requests a second. Each quota is a quarter above the rate.
MessageCounts MeasureMessages() {
  constexpr int kAccounts = 72;
  constexpr double kRequestsPerSecond = 2000;
  constexpr double kExponent = -1.2;
  constexpr double kMargin = 1.25;
  constexpr std::uint64_t kSeconds = 20;
  WorldOptions options{.entries = 59};
  double total = 0;
  for (int i = 1; i <= kAccounts; ++i)
    total += std::pow(i, kExponent);
  for (int i = 1; i <= kAccounts; ++i) {
    const double rate = kRequestsPerSecond * std::pow(i, kExponent) / total;
    const AccountLimit limit{"account-" + std::to_string(i),
                             std::max(5.0, rate * kMargin),
                             std::max(5.0, rate)};
    options.accounts.push_back({limit, rate});
  }
  QuotaWorld world(options);
  world.Run(Seconds(kSeconds));
  MessageCounts counts;
  for (std::size_t i = 0; i < options.entries; ++i) {
    counts.most_bytes = std::max(counts.most_bytes, world.bytes(i) / kSeconds);
    counts.mean_bytes += world.bytes(i);
    counts.mean_datagrams += world.datagrams(i);
  }
  counts.mean_bytes /= kSeconds * options.entries;
  counts.mean_datagrams /= kSeconds * options.entries;
  return counts;
}

}  // namespace

// Guards against requests over the quota when members, clocks and messages fail
// in any order.
TEST_CASE("no faults let more requests pass than the quota allows") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    const auto steps =
        *rc::gen::container<std::vector<FaultStep>>(FaultStepGenerator(9));
    QuotaWorld world({.entries = 9,
                      .accounts = {{kSmallLimit, 40}, {kLargeLimit, 500, 4}},
                      .lost_share = 0.02,
                      .repeated_share = 0.02,
                      .seed = seed});
    for (const FaultStep& step : steps) {
      Apply(world, step);
      world.Run(Milliseconds(step.wait_ms));
    }
    world.Run(Seconds(6));
    RC_ASSERT(world.MostInWindow(kSmall, {}) <= Bound(kSmallLimit));
    RC_ASSERT(world.MostInWindow(kLarge, {}) <= Bound(kLargeLimit));
  }));
}

// Guards against refusing an account's requests although others of it left the
// quota unused.
TEST_CASE("nearly the whole quota is used, however uneven the demand") {
  for (const std::size_t entries : {1, 3, 59}) {
    CAPTURE(entries);
    QuotaWorld world({.entries = 59,
                      .accounts = {{kSmallLimit, 20, entries},
                                   {kLargeLimit, 400, entries}}});
    world.Run(Seconds(30));
    const double small = ShareOf(world.counts(kSmall).sent.size(), 150);
    const double large = ShareOf(world.counts(kLarge).sent.size(), 6000);
    std::printf("demand at %zu entry VMs: share %.3f and %.3f\n", entries,
                small, large);
    CHECK(small >= 0.9);
    CHECK(large >= 0.9);
  }
}

// Guards against refusals and waits of callers that keep to their quota.
TEST_CASE("requests far below the quota are sent without a refusal") {
  QuotaWorld world(
      {.entries = 59, .accounts = {{kSmallLimit, 2}, {kLargeLimit, 100}}});
  world.Run(Seconds(60));
  for (const std::string& name : {kSmall, kLarge}) {
    CAPTURE(name);
    std::vector<Duration> waits = world.counts(name).waits;
    std::sort(waits.begin(), waits.end());
    std::printf("%s: %zu refused of %zu, longest wait %.1f ms, median %.1f\n",
                name.c_str(), world.counts(name).refused,
                world.counts(name).arrived,
                static_cast<double>(waits.back().count()) / 1000,
                static_cast<double>(waits[waits.size() / 2].count()) / 1000);
    CHECK(world.counts(name).refused == 0);
    CHECK(waits.back() <= Milliseconds(100));
  }
}

// Guards against messages that take too much of a slow link.
TEST_CASE("messages about quotas take less than 3 KB a second in the mean") {
  const MessageCounts counts = MeasureMessages();
  std::printf("bytes/s: most %llu, mean %llu; datagrams/s mean %llu\n",
              static_cast<unsigned long long>(counts.most_bytes),
              static_cast<unsigned long long>(counts.mean_bytes),
              static_cast<unsigned long long>(counts.mean_datagrams));
  CHECK(counts.mean_bytes < 3000);
}

// Guards against an entry VM that owns the busiest cells and sends more.
TEST_CASE("messages about quotas take less than 3 KB a second everywhere") {
  CHECK(MeasureMessages().most_bytes < 3000);
}

}  // namespace quota

}  // namespace cicadadrum
