// Tests of the bound on requests to cold servers while servers restart under
// their ids, over many entry VMs in virtual time. The bound is that of the
// operators' rules.

#include <doctest/doctest.h>

#include <array>

#include "restart_world.h"
#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr auto kDeployments = std::to_array<RestartWorldOptions>({
    {.entries = 9, .servers = 16, .requests_per_second = 250},
    {.entries = 11, .servers = 18, .requests_per_second = 300, .objects = 24},
    {.entries = 76,
     .servers = 106,
     .slots = 4,
     .requests_per_second = 1030,
     .cold_requests_per_second = 5.9,
     .cold_extra = 8},
});

constexpr TimePoint kFaultAt = kStart + Seconds(6);
constexpr Duration kShorterThanHeartbeat = Milliseconds(1200);

// Checks the bound on all deployments while `fault` acts on them.
void CheckColdBound(void (*fault)(RestartWorld&),
                    Duration length,
                    Duration min_row_lag = Milliseconds(300),
                    Duration max_row_lag = Milliseconds(2500)) {
  for (RestartWorldOptions options : kDeployments) {
    // Large deployments take long to simulate.
    const std::uint64_t seeds = options.entries > 20 ? 1 : 3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      options.seed = seed;
      options.min_row_lag = min_row_lag;
      options.max_row_lag = max_row_lag;
      RestartWorld world(options);
      fault(world);
      world.RunUntil(kFaultAt + length);
      CAPTURE(options.entries);
      CAPTURE(seed);
      CAPTURE(world.cold_peak().server);
      CAPTURE((world.cold_peak().at - kStart).count());
      CHECK(world.cold_requests() > 0);
      CHECK(static_cast<double>(world.cold_peak().requests) <=
            world.AllowedColdPeak());
    }
  }
}

}  // namespace

TEST_CASE("crashes shorter than a heartbeat do not flood cold servers") {
  CheckColdBound(
      [](RestartWorld& world) {
        world.At(kFaultAt,
                 [&world] { world.RestartThird(kShorterThanHeartbeat); });
      },
      Seconds(6));
}

TEST_CASE("restarts of servers that are still cold do not flood them") {
  CheckColdBound(
      [](RestartWorld& world) {
        for (std::int64_t i = 0; i < 5; ++i)
          world.At(kFaultAt + Milliseconds(2300) * i,
                   [&world] { world.RestartThird(Milliseconds(500)); });
      },
      Seconds(16));
}

TEST_CASE("rows that arrive late do not flood cold servers") {
  CheckColdBound(
      [](RestartWorld& world) {
        world.At(kFaultAt, [&world] { world.RestartThird(Seconds(1)); });
      },
      Seconds(6), Seconds(3), Seconds(4));
}

TEST_CASE("restarts that nobody saw do not flood cold servers") {
  CheckColdBound(
      [](RestartWorld& world) {
        // All requests have ended, and all idle connections are closed.
        world.At(kFaultAt,
                 [&world] { world.PauseLoad(world.now() + Seconds(16)); });
        world.At(kFaultAt + Milliseconds(15'800),
                 [&world] { world.RestartThird(Milliseconds(100)); });
      },
      Seconds(20));
}

TEST_CASE("entry VMs that restart do not flood cold servers") {
  CheckColdBound(
      [](RestartWorld& world) {
        world.At(kFaultAt, [&world] {
          world.RestartThird(kShorterThanHeartbeat);
          for (std::size_t i = 0; i < world.options().entries; i += 3)
            world.RestartEntry(i, Milliseconds(800));
        });
      },
      Seconds(6));
}

TEST_CASE("entry VMs that are cut off do not flood cold servers") {
  CheckColdBound(
      [](RestartWorld& world) {
        for (std::size_t i = 0; i < world.options().entries; i += 3) {
          world.At(kFaultAt, [&world, i] { world.CutEntry(i, true); });
          world.At(kFaultAt + Seconds(25),
                   [&world, i] { world.CutEntry(i, false); });
        }
        world.At(kFaultAt + Seconds(23),
                 [&world] { world.RestartThird(kShorterThanHeartbeat); });
      },
      Seconds(30));
}

}  // namespace cicadadrum::routing
