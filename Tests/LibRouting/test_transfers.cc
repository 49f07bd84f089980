// Tests of large responses: what is learned of their sizes and what entry VMs
// with slow links and little memory accept.

#include <doctest/doctest.h>

#include <cstdio>
#include <map>
#include <string>

#include "link_simulation.h"
#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kSimulatedTime = Seconds(12);
constexpr double kMegabit = 1e6;

// A fixture whose route "read" is one for downloads.
struct DownloadFixture : RoutingFixture {
  explicit DownloadFixture(const std::vector<ServerEntry>& servers,
                           Duration timeout = Seconds(2))
      : RoutingFixture(servers) {
    Route download = MakeRoute("read", RouteKind::kDownload, "desk");
    download.timeout = timeout;
    Step(ConfigurationAdopted{
        {.version = 2,
         .routes = {download, MakeRoute("write", RouteKind::kUnsafe, "desk"),
                    MakeRoute("upload", RouteKind::kUpload, "desk")},
         .services = {{.name = "desk"}}}});
  }

  // Serves a request for a response of this size.
  void ServeBytes(const std::string& route, std::uint64_t bytes) {
    Arrive(route);
    EndAttempt(sent.back(),
               {.outcome = ServerOutcome::kSucceeded, .response_bytes = bytes});
  }

  void ArriveWithUnsent(std::uint64_t unsent_bytes) {
    Step(RequestArrived{.request = next_request++,
                        .host = "host",
                        .path = "/read/x",
                        .object = 1,
                        .remaining = Seconds(3),
                        .unsent_bytes = unsent_bytes});
  }
};

}  // namespace

TEST_CASE("a download that was lost is sent again, an upload is not") {
  DownloadFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read");
  fixture.End(ServerOutcome::kLost);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server != fixture.sent[0].server);
  fixture.End(ServerOutcome::kSucceeded);
  REQUIRE(fixture.delivered.size() == 1);
  CHECK(fixture.delivered[0].kind == RouteKind::kDownload);
  fixture.Arrive("upload");
  fixture.End(ServerOutcome::kLost);
  CHECK(fixture.sent.size() == 3);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
  CHECK(fixture.refused[0].kind == RouteKind::kUpload);
}

TEST_CASE("a caller that leaves cancels its download") {
  DownloadFixture fixture({MakeServer("s1")});
  const std::uint64_t request = fixture.Arrive("read");
  fixture.Step(CallerDisconnected{request});
  REQUIRE(fixture.cancelled.size() == 1);
  CHECK(fixture.cancelled[0].request == request);
}

TEST_CASE("retries of downloads are bounded by the retry budget") {
  DownloadFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.state.options.bounds.retry_extra = 0;
  fixture.state.options.bounds.retry_ratio = 0.1;
  std::size_t retries = 0;
  for (std::uint64_t object = 1; object <= 100; ++object) {
    fixture.now += Milliseconds(5);
    const std::size_t before = fixture.sent.size();
    fixture.Arrive("read", object);
    if (fixture.sent.size() == before)
      continue;
    fixture.End(ServerOutcome::kInvalid);
    if (fixture.sent.size() > before + 1) {
      ++retries;
      fixture.End(ServerOutcome::kSucceeded);
    }
  }
  CHECK(retries > 0);
  CHECK(retries <= 10);
}

// Guards against a choice that takes a response of half a megabyte for nothing.
TEST_CASE("the size of responses is learned by route") {
  DownloadFixture fixture({MakeServer("s1")});
  fixture.Arrive("read");
  CHECK(fixture.sent.back().inputs.expected_response_bytes > 0);
  fixture.End(ServerOutcome::kLost);
  for (int i = 0; i < 50; ++i) {
    fixture.now += Seconds(1);
    fixture.ServeBytes("read", i % 2 == 0 ? 60'000 : 120'000);
    fixture.ServeBytes("write", 300);
  }
  fixture.Arrive("read");
  const auto read = fixture.sent.back().inputs.expected_response_bytes;
  CHECK(read > 75'000);
  CHECK(read < 105'000);
  fixture.Arrive("write");
  CHECK(fixture.sent.back().inputs.expected_response_bytes < 1000);
}

TEST_CASE("failed responses say nothing about the size") {
  DownloadFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.ServeBytes("read", 90'000);
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(),
                     {.outcome = ServerOutcome::kFailed, .response_bytes = 10});
  CHECK(fixture.state.response_sizes.at("read").samples == 1);
}

// Guards against an entry VM that takes more downloads than its link carries
// until their callers give up.
TEST_CASE("a download that the link can't carry in time is refused at once") {
  DownloadFixture fixture({MakeServer("s1")});
  fixture.state.options.link_megabits_per_second = 10;
  fixture.ServeBytes("read", 90'000);
  // A quarter of a second's worth of responses waits to be sent.
  fixture.ArriveWithUnsent(static_cast<std::uint64_t>(10 * kMegabit / 8 / 4));
  CHECK(fixture.refused.empty());
  // The responses would take two seconds, which is the whole timeout.
  fixture.ArriveWithUnsent(static_cast<std::uint64_t>(10 * kMegabit / 8 * 2));
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kLinkFull);
  CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
  CHECK(fixture.refused[0].retry_after > Duration::zero());
  CHECK(fixture.refused[0].retry_after <= Seconds(1));
  // Small responses still pass.
  fixture.ServeBytes("write", 300);
  CHECK(fixture.refused.size() == 1);
  // A fast link carries the same in time.
  fixture.state.options.link_megabits_per_second = 200;
  fixture.ArriveWithUnsent(static_cast<std::uint64_t>(10 * kMegabit / 8 * 2));
  CHECK(fixture.refused.size() == 1);
}

TEST_CASE("responses that servers still work on count for the link") {
  DownloadFixture fixture({MakeServer("s1")});
  fixture.state.servers.at("s1").entry.slots = 1000;
  fixture.state.options.link_megabits_per_second = 10;
  fixture.ServeBytes("read", 90'000);
  while (fixture.refused.empty() && fixture.next_request < 100)
    fixture.Arrive("read", fixture.next_request);
  REQUIRE(!fixture.refused.empty());
  CHECK(fixture.refused[0].reason == RefusalReason::kLinkFull);
  // One second of 10 Mbit/s, half of the timeout, is 13 such responses.
  CHECK(fixture.state.requests.size() == 13);
}

// Guards against a response that no entry VM of a deployment ever accepts.
TEST_CASE("a response that is the only one is never too large") {
  DownloadFixture fixture({MakeServer("s1")});
  fixture.state.options.link_megabits_per_second = 1;
  fixture.state.options.response_memory_bytes = 1000;
  for (int i = 0; i < 3; ++i) {
    fixture.now += Seconds(5);
    fixture.ServeBytes("read", 5'000'000);
  }
  CHECK(fixture.refused.empty());
}

TEST_CASE("downloads that do not fit into the memory are refused") {
  DownloadFixture fixture({MakeServer("s1")});
  fixture.state.options.response_memory_bytes = 500'000;
  fixture.ServeBytes("read", 90'000);
  fixture.ArriveWithUnsent(400'000);
  CHECK(fixture.refused.empty());
  fixture.ArriveWithUnsent(420'000);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kMemoryFull);
}

TEST_CASE("requests of a route that can't be read are refused as not run") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Step(ConfigurationAdopted{
      {.version = 2,
       .routes = {MakeRoute("read", RouteKind::kSafe, "desk"),
                  {.host = "host", .prefix = "/read/x", .is_readable = false}},
       .services = {{.name = "desk"}}}});
  fixture.Arrive("read");
  CHECK(fixture.sent.empty());
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kUnreadableRoute);
  CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
}

TEST_CASE("a request is not retried on a route that has become unreadable") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read");
  fixture.Step(ConfigurationAdopted{
      {.version = 2,
       .routes = {{.host = "host", .prefix = "/read/", .is_readable = false}},
       .services = {{.name = "desk"}}}});
  fixture.End(ServerOutcome::kNotSent);
  CHECK(fixture.sent.size() == 1);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
}

// Guards against downloads that stay in a full region although the service has
// nothing else that could leave before them.
TEST_CASE("downloads leave a full region when nothing can leave before them") {
  const auto share_in_south = [](bool with_other_requests) {
    constexpr Duration kLoadTime = Seconds(16);
    constexpr Duration kCountedTime = Seconds(4);
    constexpr std::uint32_t kSlots = 18;
    std::vector<ServerEntry> servers = {MakeServer("s1"),
                                        MakeServer("s333", "south-a"),
                                        MakeServer("s4444", "south-a")};
    for (ServerEntry& server : servers)
      server.slots = kSlots;
    RoutingFixture fixture(servers);
    Route download = MakeRoute("read", RouteKind::kDownload, "desk");
    Route other = MakeRoute("write", RouteKind::kUnsafe, "desk");
    download.latency_objective = Seconds(1);
    other.latency_objective = Seconds(1);
    fixture.Step(ConfigurationAdopted{{.version = 2,
                                       .routes = {download, other},
                                       .services = {{.name = "desk"}}}});
    const LoadReport busy{.running = kSlots, .waiting = 1, .slots = kSlots};
    std::map<std::string, double> ran;
    for (std::uint64_t i = 1; fixture.now < kStart + kLoadTime; ++i) {
      for (const std::string route : {"read", "write"}) {
        if (route == "write" && !with_other_requests)
          continue;
        fixture.Arrive(route, i % 97);
        const SendAttempt attempt = fixture.sent.back();
        const std::string& region =
            fixture.state.servers.at(attempt.server).region;
        if (fixture.now >= kStart + kLoadTime - kCountedTime && route == "read")
          ran[region] += 1;
        fixture.now += Milliseconds(2);
        fixture.EndAttempt(
            attempt,
            {.outcome = ServerOutcome::kSucceeded,
             .report = region == "north" ? busy : LoadReport{.slots = kSlots},
             .response_bytes = route == "read" ? 90'000ULL : 300ULL});
      }
    }
    return ran["south"] / (ran["south"] + ran["north"]);
  };
  // A third is what the split begins with, by the slots of the regions.
  CHECK(share_in_south(true) < 0.4);
  CHECK(share_in_south(false) > 0.9);
}

// Plays a burst of downloads, five times the usual rate. Guards against entry
// VMs of 10 Mbit/s that are choked while others of 200 Mbit/s idle.
TEST_CASE("a burst of downloads chokes no entry VM with a slow link") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    const LinkResult by_capacity = SimulateLinks({}, seed, kSimulatedTime);
    const LinkResult uniform =
        SimulateLinks({.choice = EntryChoice::kUniform, .limits_links = false},
                      seed, kSimulatedTime);
    const LinkResult limited =
        SimulateLinks({.choice = EntryChoice::kUniform}, seed, kSimulatedTime);
    for (const auto& [name, result] :
         {std::pair("by capacity", by_capacity), std::pair("uniform", uniform),
          std::pair("uniform, limited", limited)})
      std::printf(
          "burst of downloads, %s: in time %.3f, late %.3f, refused %.3f, "
          "longest queue of a slow link %lld ms\n",
          name, result.in_time / result.sent, result.late / result.sent,
          result.refused / result.sent,
          static_cast<long long>(result.longest_weak_queue / Milliseconds(1)));
    CHECK(by_capacity.in_time > 0.97 * by_capacity.sent);
    CHECK(by_capacity.longest_weak_queue < Seconds(1));
    // Without the choice by capacity, the limit alone keeps the queue short.
    CHECK(limited.longest_weak_queue <= Seconds(2));
    CHECK(limited.late < uniform.late);
    // The scenario is one that chokes slow links otherwise.
    CHECK(uniform.longest_weak_queue > Seconds(2));
    CHECK(uniform.in_time < 0.8 * uniform.sent);
  }
}

}  // namespace cicadadrum::routing
