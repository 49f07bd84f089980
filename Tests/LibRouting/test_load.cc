// Tests that play load against several entry VMs and check what callers get.

#include <doctest/doctest.h>

#include <set>

#include "load_simulation.h"
#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

SecondCounts SumOf(const std::vector<SecondCounts>& seconds,
                   std::size_t first,
                   std::size_t last) {
  SecondCounts sum;
  for (std::size_t i = first; i < last; ++i) {
    sum.arrived += seconds[i].arrived;
    sum.in_time += seconds[i].in_time;
    sum.late += seconds[i].late;
    sum.refused += seconds[i].refused;
  }
  return sum;
}

LoadReport FullReport() {
  return {.running = 4, .waiting = 12, .slots = 4};
}

ServerObservation ObservationOf(const std::string& server,
                                const LoadReport& report) {
  return {.server = ServerTag(server), .report = report};
}

}  // namespace

// Guards against what the heaviest day of a deployment showed: after a fault
// nothing was known anywhere, requests went to whatever server had the shortest
// queue, which did not know their object either, and 2 in 100 were answered in
// time for the rest of the day.
TEST_CASE("an overloaded service finds its way back to known objects") {
  // With known objects the servers take 200 requests a second, without 60.
  LoadSimulation simulation(
      {.requests_per_second = 140, .clear_caches_at = Seconds(10)}, 11);
  const std::vector<SecondCounts> seconds = simulation.Run(Seconds(40));
  const SecondCounts before = SumOf(seconds, 5, 10);
  const SecondCounts after = SumOf(seconds, 25, 40);
  CHECK(before.in_time_share() > 0.8);
  CHECK(after.in_time_share() > 0.8);
}

// Guards against queues that make every answer late when there is more work
// than the servers can do.
TEST_CASE("with too much work, most of what is served is in time") {
  LoadSimulation simulation({.requests_per_second = 260}, 12);
  const SecondCounts sum = SumOf(simulation.Run(Seconds(30)), 10, 30);
  CHECK(sum.refused > 0);
  CHECK(sum.in_time > 4 * sum.late);
  // Known objects would allow 200 a second, or 0.77 of the requests.
  CHECK(sum.in_time_share() > 0.5);
}

// Guards against learning of a server's queue only through rejections.
TEST_CASE("entry VMs tell each other of full servers") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Step(Members({"entry-1", "entry-2", "entry-3"}));
  const std::string preferred = fixture.Serve("read", 1, Milliseconds(100));
  CHECK(fixture.Serve("read", 1, Milliseconds(100)) == preferred);
  fixture.Step(ObservationsReceived{{ObservationOf(preferred, FullReport())}});
  CHECK(fixture.Serve("read", 1, Milliseconds(100)) != preferred);
}

TEST_CASE("what a response tells is shared in batches") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("read", 1);
  fixture.End(ServerOutcome::kSucceeded, LoadReport{.running = 1, .slots = 4});
  CHECK(fixture.shared.empty());
  fixture.Step(Members({"entry-1", "entry-2", "entry-3"}));
  fixture.Arrive("read", 5);
  fixture.End(ServerOutcome::kSucceeded, LoadReport{.running = 2, .slots = 4});
  REQUIRE(fixture.wake_at < kStart + Seconds(1));
  fixture.now = fixture.wake_at;
  fixture.Step(TimerExpired{});
  REQUIRE(fixture.shared.size() == 1);
  CHECK(fixture.shared[0].receivers.size() == 2);
  REQUIRE(fixture.shared[0].observations.size() == 1);
  CHECK(fixture.shared[0].observations[0].server == ServerTag("s1"));
  CHECK(fixture.shared[0].observations[0].report->running == 2);
  CHECK(fixture.shared[0].observations[0].age > Duration::zero());
  // Nothing is sent while there is nothing to tell.
  fixture.now += Seconds(1);
  fixture.Step(TimerExpired{});
  CHECK(fixture.shared.size() == 1);
}

// Guards against a late datagram that hides a newer response.
TEST_CASE("an older observation does not replace a newer one") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("read", 1);
  fixture.End(ServerOutcome::kSucceeded, LoadReport{.running = 1, .slots = 4});
  ServerObservation old = ObservationOf("s1", FullReport());
  old.age = Milliseconds(200);
  fixture.Step(ObservationsReceived{{old}});
  CHECK(fixture.state.servers.at("s1").report->waiting == 0);
  // One of a server that is not known here is ignored.
  fixture.Step(ObservationsReceived{{ObservationOf("s9", FullReport())}});
}

// Guards against taking time from known objects for one that is not.
TEST_CASE("a fresh object does not wait behind others") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  const std::string preferred = fixture.Serve("read", 1, Milliseconds(100));
  const std::string alternative = preferred == "s1" ? "s22" : "s1";
  const LoadReport busy{.running = 4, .waiting = 1, .slots = 4};
  fixture.Step(ObservationsReceived{{ObservationOf(preferred, FullReport()),
                                     ObservationOf(alternative, busy)}});
  const std::size_t sent = fixture.sent.size();
  fixture.Arrive("read", 1);
  CHECK(fixture.sent.size() == sent);
  CHECK(fixture.refused.back().reason == RefusalReason::kOverloaded);
  CHECK(fixture.refused.back().verdict == Verdict::kNotRun);
}

// Guards against callers that are refused together and come back together.
TEST_CASE("callers of full servers come back apart") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Step(ObservationsReceived{{ObservationOf("s1", FullReport())}});
  std::set<Duration> waits;
  for (std::uint64_t object = 1; object <= 20; ++object) {
    fixture.Arrive("read", object, Milliseconds(1500));
    const RefuseRequest& refusal = fixture.refused.back();
    CHECK(refusal.reason == RefusalReason::kOverloaded);
    CHECK(refusal.retry_after >= Milliseconds(200));
    CHECK(refusal.retry_after <= Milliseconds(500));
    waits.insert(refusal.retry_after);
  }
  CHECK(waits.size() > 10);
}

// Guards against each of 74 entry VMs finding out by itself, with a lost
// request each time, that a server is gone.
TEST_CASE("a server that others can't reach is left for a while") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  const std::string preferred = fixture.Serve("read", 1, Milliseconds(100));
  const ServerObservation unreachable{.server = ServerTag(preferred),
                                      .unreachable = true};
  // It has just answered here.
  fixture.Step(ObservationsReceived{{unreachable}});
  CHECK(fixture.Serve("read", 1, Milliseconds(100)) == preferred);
  fixture.now += Seconds(2);
  fixture.Step(ObservationsReceived{{unreachable}});
  CHECK(fixture.Serve("read", 1, Milliseconds(1)) != preferred);
  // As soon as it answers anybody it is used again.
  fixture.Step(ObservationsReceived{
      {ObservationOf(preferred, LoadReport{.running = 1, .slots = 4})}});
  CHECK(fixture.Serve("read", 1, Milliseconds(1)) == preferred);
}

TEST_CASE("a server that can't be reached is told to others") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Step(Members({"entry-1", "entry-2"}));
  fixture.Arrive("read", 1);
  fixture.End(ServerOutcome::kNotSent);
  fixture.now = fixture.wake_at;
  fixture.Step(TimerExpired{});
  REQUIRE(fixture.shared.size() == 1);
  CHECK(fixture.shared[0].observations[0].unreachable);
}

}  // namespace cicadadrum::routing
