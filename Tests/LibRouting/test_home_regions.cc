// Tests of requests of routes with home regions at an entry VM that may not
// know the newest configuration.

#include <doctest/doctest.h>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kLongerThanBound = Seconds(3);

// An entry VM that has just read its configuration, and a route with a home
// region.
struct HomeRegionsFixture : RoutingFixture {
  HomeRegionsFixture()
      : RoutingFixture({MakeServer("s1"), MakeServer("s22", "south-a")}) {
    Route route = MakeRoute("home", RouteKind::kSafe, "desk");
    route.home_regions = {"south"};
    route.timeout = Seconds(5);
    Step(ConfigurationAdopted{
        {.version = 2,
         .routes = {route, MakeRoute("read", RouteKind::kSafe, "desk")}}});
    Step(ConfigurationConfirmed{});
  }

  std::string ServeHome() { return Serve("home", 1, Milliseconds(1)); }
};

}  // namespace

TEST_CASE(
    "a VM that is cut off sends nothing to home regions that may be old") {
  HomeRegionsFixture fixture;
  CHECK(fixture.ServeHome() == "s22");
  fixture.now += kLongerThanBound;
  CHECK(fixture.ServeHome().empty());
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kConfigurationOutdated);
  CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
  CHECK(fixture.refused[0].retry_after > Duration::zero());
  CHECK(!fixture.Serve("read", 1, Milliseconds(1)).empty());
}

TEST_CASE("home regions are served while the store is away for a moment") {
  HomeRegionsFixture fixture;
  fixture.now += MakeOptions().bounds.configuration_time;
  CHECK(fixture.ServeHome() == "s22");
}

TEST_CASE("a retry is not sent to home regions that may be old") {
  HomeRegionsFixture fixture;
  fixture.Step(ServersChanged{.updated = {MakeServer("s333", "south-a")}});
  fixture.Arrive("home", 1, Seconds(5));
  fixture.now += kLongerThanBound;
  fixture.End(ServerOutcome::kRejected);
  CHECK(fixture.sent.size() == 1);
  CHECK(fixture.refused.size() == 1);
}

TEST_CASE("a request that may have run is not refused as not run") {
  HomeRegionsFixture fixture;
  fixture.Step(ServersChanged{.updated = {MakeServer("s333", "south-a")}});
  fixture.Arrive("home", 1, Seconds(5));
  fixture.now += kLongerThanBound;
  fixture.End(ServerOutcome::kLost);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kConfigurationOutdated);
  CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
}

TEST_CASE("home regions are served again once the configuration is confirmed") {
  HomeRegionsFixture fixture;
  fixture.now += kLongerThanBound;
  CHECK(fixture.ServeHome().empty());
  fixture.Step(ConfigurationConfirmed{.age = kLongerThanBound});
  CHECK(fixture.ServeHome().empty());
  fixture.Step(ConfigurationConfirmed{.age = Milliseconds(500)});
  CHECK(fixture.ServeHome() == "s22");
}

TEST_CASE("a VM that has only heard of an old configuration serves no homes") {
  HomeRegionsFixture fixture;
  fixture.state.configuration_confirmed_at.reset();
  CHECK(fixture.ServeHome().empty());
  fixture.Step(ConfigurationConfirmed{.age = kLongerThanBound});
  CHECK(fixture.ServeHome().empty());
}

TEST_CASE(
    "a suspended VM doesn't trust home regions of before the suspension") {
  HomeRegionsFixture fixture;
  fixture.Step(SuspensionEnded{.duration = Seconds(5)});
  CHECK(fixture.ServeHome().empty());
  // A response that arrived during the suspension.
  fixture.Step(ConfigurationConfirmed{.age = Seconds(5)});
  CHECK(fixture.ServeHome().empty());
  fixture.Step(ConfigurationConfirmed{});
  CHECK(fixture.ServeHome() == "s22");
}

}  // namespace cicadadrum::routing
