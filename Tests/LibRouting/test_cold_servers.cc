// Tests of the bound on requests to cold servers while servers restart under
// their ids, over many entry VMs in virtual time. The bound is that of the
// operators' rules.

#include <doctest/doctest.h>

#include <array>
#include <string>

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

// Trouble of warm servers, or of a few servers at a time.
struct HarmlessTrouble {
  const char* name;
  void (*begin)(RestartWorld& world);
  // Share of the servers that are down while the answers are counted.
  double down_share;
};

constexpr auto kHarmlessTroubles = std::to_array<HarmlessTrouble>({
    {"none", [](RestartWorld&) {}, 0},
    {"one lost connection per server",
     [](RestartWorld& world) {
       for (std::size_t i = 0; i < world.options().servers; ++i)
         world.At(kFaultAt, [&world, i] { world.LoseConnection(i); });
     },
     0},
    {"servers drop idle connections",
     [](RestartWorld& world) {
       for (std::int64_t i = 0; i < 50; ++i)
         world.At(kFaultAt + Milliseconds(200) * i, [&world, i] {
           world.DropIdleConnections(static_cast<std::size_t>(i) %
                                     world.options().servers);
         });
     },
     0},
    {"a failure domain is lost",
     [](RestartWorld& world) {
       for (std::size_t i = 0; i < world.options().servers; i += 6)
         world.At(kFaultAt,
                  [&world, i] { world.RestartServer(i, Seconds(4)); });
     },
     1.0 / 6},
    {"rolling release",
     [](RestartWorld& world) {
       for (std::size_t i = 0; i < world.options().servers; ++i)
         world.At(kFaultAt + Seconds(1) * static_cast<std::int64_t>(i),
                  [&world, i] { world.RestartServer(i, Seconds(1)); });
     },
     1.0 / 12},
});

// Twelve cold servers may not receive as many requests as callers send here.
constexpr RestartWorldOptions kBusyDeployment{.servers = 12};
constexpr Duration kCountedTime = Seconds(14);
constexpr Duration kRoundTrip = Milliseconds(55);  // Between regions.

// Returns what becomes of the requests from the begin of the trouble.
AnswerCounts AnswersDuring(const HarmlessTrouble& trouble,
                           std::uint64_t seed,
                           bool checks_connections = true) {
  RestartWorldOptions options = kBusyDeployment;
  options.seed = seed;
  options.checks_connections = checks_connections;
  RestartWorld world(options);
  world.CountAnswers(kFaultAt - Seconds(1), kFaultAt + kCountedTime);
  trouble.begin(world);
  world.RunUntil(kFaultAt + kCountedTime + Seconds(4));
  return world.answers();
}

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

// Guards against warm servers that are held to the rate of cold ones, and
// against checks that delay requests.
TEST_CASE("requests to warm servers are answered beside trouble") {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const AnswerCounts calm = AnswersDuring(kHarmlessTroubles.front(), seed);
    for (const HarmlessTrouble& trouble : kHarmlessTroubles) {
      CAPTURE(trouble.name);
      CAPTURE(seed);
      const AnswerCounts answers = AnswersDuring(trouble, seed);
      const AnswerCounts unchecked = AnswersDuring(trouble, seed, false);
      // A lost request that can't be repeated has no answer.
      const auto owed =
          static_cast<double>(answers.arrived - answers.unsafe_losses);
      CHECK(static_cast<double>(answers.latencies.size()) >=
            (calm.Share() - trouble.down_share) * owed);
      CHECK(answers.Median() <= unchecked.Median() + kRoundTrip);
      MESSAGE(std::string(trouble.name)
              << ", seed " << seed << ": answered " << answers.Share()
              << ", median " << answers.Median().count() / 1000
              << " ms, without checks " << unchecked.Share() << " and "
              << unchecked.Median().count() / 1000 << " ms");
    }
  }
}

}  // namespace cicadadrum::routing
