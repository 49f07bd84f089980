// Tests of the window in which an entry VM counts its attempts for the retry
// budget.

#include <doctest/doctest.h>

#include <string>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kWindow = Seconds(10);
constexpr Duration kWait = Milliseconds(700);

struct RetryFixture : RoutingFixture {
  // The budget allows one retry in a window.
  RetryFixture()
      : RoutingFixture(
            {MakeServer("s1"), MakeServer("s22"), MakeServer("s333")}) {
    state.options.bounds.retry_window = kWindow;
    state.options.bounds.retry_ratio = 0;
    state.options.bounds.retry_extra = 2;
  }

  // Moves the route for reads to the service "other", which has one server.
  void MoveRoute() {
    ServerEntry server = MakeServer("o1");
    server.service = "other";
    Step(ServersChanged{.updated = {server}});
    RoutingConfiguration configuration = state.table.configuration;
    configuration.version = 2;
    configuration.routes[0].shares = {{"other", 1}};
    Step(ConfigurationAdopted{configuration});
  }

  const ServiceState& Service(const std::string& name) const {
    return state.services.at(name);
  }
};

}  // namespace

// Guards against more retries at the servers than the budget allows, because
// they were counted when they were decided.
TEST_CASE("a retry that waits counts in the window in which it is sent") {
  RetryFixture fixture;
  fixture.Arrive("read", 1);
  fixture.End(ServerOutcome::kLost);
  REQUIRE(fixture.sent.size() == 2);
  const TimePoint decided_at = fixture.now;
  fixture.now += kWait;
  REQUIRE(fixture.IsTransmitted(fixture.sent[1]));
  fixture.End(ServerOutcome::kSucceeded);
  fixture.now = decided_at + kWindow + kWait / 2;
  fixture.Arrive("read", 2);
  fixture.End(ServerOutcome::kLost);
  CHECK(fixture.sent.size() == 3);
  CHECK(fixture.refused.size() == 1);
  fixture.now = decided_at + kWindow + kWait;
  fixture.Arrive("read", 3);
  fixture.End(ServerOutcome::kLost);
  CHECK(fixture.sent.size() == 5);
}

// Guards against attempts at a service that its window does not count, because
// an attempt at another service was replaced.
TEST_CASE("an attempt that is replaced counts at the service of the next one") {
  RetryFixture fixture;
  fixture.Arrive("read", 1);
  fixture.MoveRoute();
  fixture.End(ServerOutcome::kWithheld);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server == "o1");
  CHECK(fixture.Service("desk").requests_in_window == 0);
  CHECK(fixture.Service("other").requests_in_window == 1);
}

// Guards against a retry at a service whose budget is used up.
TEST_CASE("a retry that is replaced keeps to the budget of the next service") {
  RetryFixture fixture;
  fixture.Arrive("read", 1);
  fixture.End(ServerOutcome::kLost);
  REQUIRE(fixture.sent.size() == 2);
  fixture.MoveRoute();
  fixture.state.services["other"].retries_in_window = 1;
  fixture.state.services["other"].sends_in_window = {{fixture.now, true}};
  fixture.End(ServerOutcome::kWithheld);
  CHECK(fixture.sent.size() == 2);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
}

// Guards against retries that are allowed for requests of long ago.
TEST_CASE("requests that have left the window allow no retry") {
  RetryFixture fixture;
  fixture.state.options.bounds.retry_ratio = 0.2;
  fixture.state.options.bounds.retry_extra = 0;
  for (std::uint64_t i = 0; i < 100; ++i)
    fixture.Serve("read", i, Duration::zero());
  fixture.now += kWindow - Milliseconds(500);
  fixture.Arrive("read", 1);
  const std::size_t sent = fixture.sent.size();
  fixture.now += Seconds(1);
  fixture.End(ServerOutcome::kLost);
  CHECK(fixture.sent.size() == sent);
  CHECK(fixture.refused.size() == 1);
}

// Guards against both sides of a long cut using the whole budget, since both
// still reach the servers.
TEST_CASE("entry VMs that are cut off for long keep their share of retries") {
  RetryFixture fixture;
  constexpr std::size_t kMembers = 4;
  fixture.state.options.bounds.retry_extra = 2 * kMembers;
  fixture.Step(Members({"entry-1", "entry-2", "entry-3", "entry-4"}));
  fixture.Step(Members({"entry-1", "entry-2"}));
  fixture.now += Seconds(60);
  for (std::uint64_t i = 0; i < 3; ++i) {
    fixture.Arrive("read", i);
    fixture.End(ServerOutcome::kRejected);
    if (fixture.sent.back().attempt == 2)
      fixture.End(ServerOutcome::kSucceeded);
  }
  CHECK(fixture.Service("desk").retries_in_window == 1);
}

}  // namespace cicadadrum::routing
