// Tests of requests from their arrival to the response to the caller.

#include <doctest/doctest.h>

#include "routing_fixture.h"

namespace cicadadrum::routing {

TEST_CASE("the route of the host with the longest matching prefix is chosen") {
  Route general = MakeRoute("a", RouteKind::kSafe, "one");
  Route special = MakeRoute("a", RouteKind::kSafe, "two");
  general.prefix = "/a/";
  special.prefix = "/a/b/";
  const RouteTable table =
      MakeRouteTable({.version = 1, .routes = {general, special}});
  CHECK(FindRoute(table, "host", "/a/b/c")->shares[0].service == "two");
  CHECK(FindRoute(table, "host:8080", "/a/c")->shares[0].service == "one");
  CHECK(FindRoute(table, "other", "/a/b/c") == nullptr);
  CHECK(FindRoute(table, "host", "/a") == nullptr);
}

// Guards against running a non-idempotent request twice.
TEST_CASE("a write that may have run is not sent again") {
  for (const ServerOutcome outcome :
       {ServerOutcome::kLost, ServerOutcome::kMalformed,
        ServerOutcome::kInvalid, ServerOutcome::kTimedOut}) {
    RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
    fixture.Arrive("write");
    fixture.End(outcome);
    CHECK(fixture.sent.size() == 1);
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
  }
}

TEST_CASE(
    "a request that is proved not to have run is sent to another server") {
  for (const ServerOutcome outcome :
       {ServerOutcome::kRejected, ServerOutcome::kWrongServer,
        ServerOutcome::kNotSent}) {
    RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
    fixture.Arrive("write");
    fixture.End(outcome);
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.sent[0].server != fixture.sent[1].server);
    fixture.End(outcome);
    // Both attempts of the route are used up.
    CHECK(fixture.sent.size() == 2);
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
    CHECK(fixture.refused[0].retry_after > Duration::zero());
  }
}

// Guards against the verdict "not run" when this is proved only for the last
// attempt.
TEST_CASE("the verdict counts an earlier attempt that may have run") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read");
  fixture.End(ServerOutcome::kLost);
  REQUIRE(fixture.sent.size() == 2);
  fixture.End(ServerOutcome::kRejected);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
}

TEST_CASE("retries stay within this entry VM's share of the retry budget") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.state.options.bounds.retry_extra = 8;
  fixture.state.options.bounds.retry_ratio = 0;
  fixture.Step(Members({"entry-1", "entry-2"}));
  for (std::uint64_t object = 1; object <= 20; ++object) {
    fixture.Arrive("read", object);
    fixture.End(ServerOutcome::kRejected);
    fixture.End(ServerOutcome::kRejected);
    fixture.now += Milliseconds(10);
  }
  // Each of two entry VMs has half of 8 retries, of which 3 remain after the
  // margin.
  CHECK(fixture.sent.size() == 20 + 3);
  fixture.now += Seconds(11);
  fixture.Arrive("read", 50);
  fixture.End(ServerOutcome::kRejected);
  CHECK(fixture.sent.size() == 20 + 3 + 2);
}

TEST_CASE("a request is refused at its route's timeout") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("write");
  CHECK(fixture.wake_at == kStart + Seconds(2));
  fixture.now = fixture.wake_at;
  fixture.Step(TimerExpired{});
  REQUIRE(fixture.cancelled.size() == 1);
  CHECK(fixture.cancelled[0].reason == CancelReason::kTimedOut);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kTimedOut);
  CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
  // A response that arrives after the refusal is ignored.
  fixture.End(ServerOutcome::kSucceeded);
  CHECK(fixture.delivered.empty());
}

TEST_CASE("a server is given no more time than the request has left") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read", 1, Milliseconds(1000));
  CHECK(fixture.sent[0].server_timeout <= Milliseconds(1000));
  fixture.now += Milliseconds(400);
  fixture.End(ServerOutcome::kRejected);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server_timeout <= Milliseconds(600));
}

TEST_CASE("the attempt is cancelled when its caller disconnects") {
  RoutingFixture fixture({MakeServer("s1")});
  const std::uint64_t id = fixture.Arrive("read");
  fixture.Step(CallerDisconnected{id});
  REQUIRE(fixture.cancelled.size() == 1);
  CHECK(fixture.cancelled[0].request == id);
  CHECK(fixture.cancelled[0].reason == CancelReason::kCallerLeft);
  CHECK(fixture.state.requests.empty());
  CHECK(fixture.wake_at == kNever);
}

// Guards against keeping a request until its deadline although no server can
// respond in time.
TEST_CASE("a request that can't be answered in time is refused at once") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("read");
  fixture.now += Milliseconds(100);
  fixture.End(ServerOutcome::kSucceeded,
              LoadReport{.running = 4, .waiting = 80, .slots = 4});
  fixture.Arrive("read", 2, Milliseconds(500));
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kOverloaded);
  CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
}

// Guards against refusing requests because of a long work estimate. Without
// samples the estimate was never corrected, and on a day with low load a
// quarter of the lookups were refused.
TEST_CASE("a long work estimate without a queue refuses no requests") {
  RoutingFixture fixture({MakeServer("s1")});
  for (std::uint64_t object = 1; object <= 30; ++object) {
    const std::size_t before = fixture.sent.size();
    fixture.Arrive("read", object);
    REQUIRE(fixture.sent.size() == before + 1);
    fixture.now += Milliseconds(1900);
    fixture.End(ServerOutcome::kSucceeded);
  }
  fixture.Arrive("read", 100, Milliseconds(500));
  CHECK(fixture.sent.size() == 31);
}

// Guards against losing one write after another to servers that close idle
// connections.
TEST_CASE("writes use new connections after an idle connection was lost") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("write", 1);
  CHECK(!fixture.sent.back().fresh_connection);
  fixture.End(ServerOutcome::kLostUnused);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
  fixture.Arrive("write", 2);
  CHECK(fixture.sent.back().fresh_connection);
  fixture.Arrive("read", 3);
  CHECK(!fixture.sent.back().fresh_connection);
  fixture.now += Seconds(6);
  fixture.Arrive("write", 2);
  CHECK(!fixture.sent.back().fresh_connection);
}

TEST_CASE(
    "a stopping entry VM refuses new requests after a period and drains") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("read");
  fixture.Step(StopRequested{.accept_until = kStart + Seconds(2)});
  CHECK(!IsReady(fixture.state));
  CHECK(!fixture.drain_completed);
  fixture.End(ServerOutcome::kSucceeded);
  CHECK(fixture.drain_completed);
  fixture.Arrive("read");
  CHECK(fixture.sent.size() == 2);
  fixture.End(ServerOutcome::kSucceeded);
  fixture.now += Seconds(2);
  fixture.Arrive("read");
  CHECK(fixture.sent.size() == 2);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kStopping);
}

TEST_CASE("requests are refused until a configuration and servers are known") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.state = MakeRoutingState(MakeOptions(), 1);
  fixture.Arrive("read");
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kNotReady);
}

TEST_CASE("a retry is not sent outside of the home regions that apply now") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22", "north-b"),
                          MakeServer("s333", "south-a")});
  Route route = MakeRoute("read", RouteKind::kSafe, "desk");
  route.home_regions = {"north"};
  fixture.Step(ConfigurationAdopted{{.version = 2, .routes = {route}}});
  fixture.Arrive("read");
  REQUIRE(fixture.sent.size() == 1);
  CHECK(fixture.sent[0].server != "s333");
  route.home_regions = {"south"};
  fixture.Step(ConfigurationAdopted{{.version = 3, .routes = {route}}});
  fixture.End(ServerOutcome::kRejected);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server == "s333");
}

TEST_CASE("a retry is not sent to the service that the route has left") {
  ServerEntry other = MakeServer("t1");
  other.service = "other";
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22"), other});
  fixture.Arrive("read");
  fixture.Step(ConfigurationAdopted{
      {.version = 2,
       .routes = {MakeRoute("read", RouteKind::kSafe, "other")}}});
  fixture.End(ServerOutcome::kRejected);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server == "t1");
}

TEST_CASE("a retry at a service without servers is refused") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read");
  fixture.Step(ConfigurationAdopted{
      {.version = 2,
       .routes = {MakeRoute("read", RouteKind::kSafe, "unknown")}}});
  fixture.End(ServerOutcome::kRejected);
  CHECK(fixture.sent.size() == 1);
  CHECK(fixture.refused.size() == 1);
}

TEST_CASE("a request of a route that was removed is not retried") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read");
  fixture.Step(ConfigurationAdopted{
      {.version = 2,
       .routes = {MakeRoute("write", RouteKind::kUnsafe, "desk")}}});
  fixture.End(ServerOutcome::kRejected);
  CHECK(fixture.sent.size() == 1);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kRejected);
}

TEST_CASE("a retry is not sent to a service whose weight has become 0") {
  ServerEntry other = MakeServer("t1");
  other.service = "other";
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22"), other});
  fixture.Arrive("read");
  Route route = MakeRoute("read", RouteKind::kSafe, "desk");
  route.shares = {{"desk", 0}, {"other", 1}};
  fixture.Step(ConfigurationAdopted{{.version = 2, .routes = {route}}});
  fixture.End(ServerOutcome::kRejected);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server == "t1");
}

TEST_CASE("a retry is not held beyond the timeout that applies now") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read");
  Route route = MakeRoute("read", RouteKind::kSafe, "desk");
  route.timeout = Milliseconds(500);
  fixture.Step(ConfigurationAdopted{{.version = 2, .routes = {route}}});
  fixture.now += Milliseconds(100);
  fixture.End(ServerOutcome::kRejected);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server_timeout == Milliseconds(400));
  CHECK(fixture.wake_at == kStart + Milliseconds(500));
}

TEST_CASE(
    "a read that may have run is not repeated once its route is a write") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("read");
  fixture.Step(ConfigurationAdopted{
      {.version = 2,
       .routes = {MakeRoute("read", RouteKind::kUnsafe, "desk")}}});
  fixture.End(ServerOutcome::kLost);
  CHECK(fixture.sent.size() == 1);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].verdict == Verdict::kMayHaveRun);
}

TEST_CASE("a write stays a write when its route becomes idempotent") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Arrive("write");
  fixture.Step(ConfigurationAdopted{
      {.version = 2,
       .routes = {MakeRoute("write", RouteKind::kSafe, "desk")}}});
  fixture.End(ServerOutcome::kLost);
  CHECK(fixture.sent.size() == 1);
  CHECK(fixture.refused.size() == 1);
}

TEST_CASE("an older configuration is ignored") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Step(ConfigurationAdopted{{.version = 5}});
  fixture.Step(ConfigurationAdopted{
      {.version = 4, .routes = {MakeRoute("read", RouteKind::kSafe, "desk")}}});
  fixture.Arrive("read");
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kNoRoute);
}

// Guards against requests that are taken shortly before the end of a stop and
// then cut without an answer.
TEST_CASE("every request that a stopping entry VM takes is answered") {
  RoutingFixture fixture({MakeServer("s-1")});
  const std::uint64_t before = fixture.Arrive("write");
  const TimePoint end_at = fixture.now + Milliseconds(1000);
  fixture.Step(StopRequested{.accept_until = fixture.now + Milliseconds(600),
                             .end_at = end_at});
  fixture.now += Milliseconds(500);
  const std::uint64_t during = fixture.Arrive("write");
  REQUIRE(fixture.sent.size() == 2);
  // The server answers by itself before the end.
  CHECK(fixture.now + fixture.sent[1].server_timeout < end_at);
  CHECK(fixture.wake_at <= end_at);
  fixture.now = end_at;
  fixture.Step(TimerExpired{});
  REQUIRE(fixture.refused.size() == 2);
  CHECK(fixture.cancelled.size() == 2);
  for (const RefuseRequest& refused : fixture.refused) {
    CHECK((refused.request == before || refused.request == during));
    CHECK(refused.verdict == Verdict::kMayHaveRun);
  }
  CHECK(fixture.drain_completed);
}

// Guards against a request that is sent although no time is left for it.
TEST_CASE("a request that can't end before the stop is refused at once") {
  RoutingFixture fixture({MakeServer("s-1")});
  fixture.Step(StopRequested{.accept_until = fixture.now + Seconds(1),
                             .end_at = fixture.now + Milliseconds(1000)});
  fixture.now += Milliseconds(900);
  fixture.Arrive("write");
  CHECK(fixture.sent.empty());
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kStopping);
  CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
}

}  // namespace cicadadrum::routing
