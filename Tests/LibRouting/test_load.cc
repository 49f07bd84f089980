// Tests of several entry VMs under load, and of the exchange of observations.

#include <doctest/doctest.h>

#include <cstdio>
#include <set>

#include "load_simulation.h"
#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

SecondCounts SumOf(const std::vector<SecondCounts>& seconds,
                   std::size_t first,
                   std::size_t last) {
  SecondCounts sum;
  for (std::size_t i = first; i < last; ++i)
    sum += seconds[i];
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

// Guards against an overload that does not end. After a fault on the day with
// the highest load, no server had cached any object, and requests went to the
// server with the shortest queue, which had not cached their object either. For
// the rest of the day, 2 in 100 requests were answered in time.
TEST_CASE("an overloaded service recovers after its caches are lost") {
  // The servers handle 200 requests a second on cached objects, and 60 on
  // others.
  LoadSimulation simulation(
      {.requests_per_second = 140, .clear_caches_at = Seconds(10)}, 11);
  const std::vector<SecondCounts> seconds = simulation.Run(Seconds(40));
  const SecondCounts before = SumOf(seconds, 5, 10);
  const SecondCounts after = SumOf(seconds, 25, 40);
  CHECK(before.in_time_share() > 0.8);
  CHECK(after.in_time_share() > 0.8);
}

// Guards against queues that delay every response beyond the latency objective
// when there are more requests than the servers can handle.
TEST_CASE("most responses of an overloaded service are in time") {
  LoadSimulation simulation({.requests_per_second = 260}, 12);
  const SecondCounts sum = SumOf(simulation.Run(Seconds(30)), 10, 30);
  CHECK(sum.refused > 0);
  CHECK(sum.in_time > 4 * sum.late);
  // On cached objects, the servers handle 200 requests a second, which is 0.77
  // of the requests.
  CHECK(sum.in_time_share() > 0.5);
}

// Guards against less urgent requests with a longer objective, which wait where
// urgent ones are refused, and against urgent ones that take all capacity.
TEST_CASE("an overloaded service serves by priority and starves no kind") {
  for (const double urgent : {0.3, 0.9}) {
    CAPTURE(urgent);
    LoadSimulation simulation(
        {.kinds = {{"read", 0, urgent},
                   {"scan", 1, 1 - urgent, Milliseconds(600)}},
         .requests_per_second = 320,
         .callers_return = true},
        13);
    const SecondCounts all = SumOf(simulation.Run(Seconds(40)), 10, 36);
    const SecondCounts read = SumOf(simulation.OfKind("read"), 10, 36);
    const SecondCounts scan = SumOf(simulation.OfKind("scan"), 10, 36);
    CHECK(scan.refused > 0);
    CHECK(read.answered_share() >= scan.answered_share());
    CHECK(scan.answered_share() >= 0.25 * all.answered_share());
  }
}

// Guards against urgent requests that are late or refused where regions,
// objects and kinds compete for too little capacity. Prints the figures of
// docs/design/choice-under-load.md.
TEST_CASE("urgent requests are in time while a fleet is short of capacity") {
  LoadScenario scenario{.entries = 30,
                        .regions = {{"north", 20}, {"east", 14}, {"south", 6}},
                        .kinds = {{"read", 0, 0.35, Milliseconds(600)},
                                  {"list", 1, 0.35, Milliseconds(600)},
                                  {"scan", 2, 0.3, Milliseconds(1000)}},
                        .slots = 3,
                        .cached_objects = 24,
                        .objects = 150,
                        .uncached_work = Milliseconds(380),
                        .cached_work = Milliseconds(150),
                        .zipf_exponent = 0.9,
                        .tail_share = 0.03,
                        .wave_swing = 0.55,
                        .latency = Milliseconds(2),
                        .callers_return = true};
  for (const double rate : {420, 600}) {
    scenario.requests_per_second = rate;
    LoadSimulation simulation(scenario, 31);
    const SecondCounts first = SumOf(simulation.Run(Seconds(42)), 0, 2);
    std::printf("%.0f requests/s: first 2 s in time %.3f", rate,
                first.in_time_share());
    for (const LoadKind& kind : scenario.kinds) {
      const SecondCounts sum = SumOf(simulation.OfKind(kind.route), 4, 38);
      std::printf("; %s in time %.3f, late %.3f, refused %.3f",
                  kind.route.c_str(), sum.in_time_share(),
                  sum.late / sum.arrived, sum.refused / sum.arrived);
    }
    std::printf("\n");
    const SecondCounts read = SumOf(simulation.OfKind("read"), 4, 38);
    const SecondCounts scan = SumOf(simulation.OfKind("scan"), 4, 38);
    CHECK(read.answered_share() >= scan.answered_share());
    CHECK(read.in_time_share() > 0.6);
    // Kinds of all priorities use regions with few servers.
    CHECK(SumOf(simulation.OfRegion("south"), 4, 38).in_time_share() > 0.5);
  }
}

// Guards against an entry VM that detects a server's long queue only by the
// rejection of its own requests.
TEST_CASE("entry VMs avoid servers that others report as full") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  fixture.Step(Members({"entry-1", "entry-2", "entry-3"}));
  const std::string preferred = fixture.Serve("read", 1, Milliseconds(100));
  CHECK(fixture.Serve("read", 1, Milliseconds(100)) == preferred);
  fixture.Step(ObservationsReceived{{ObservationOf(preferred, FullReport())}});
  CHECK(fixture.Serve("read", 1, Milliseconds(100)) != preferred);
}

TEST_CASE("observations are sent to other entry VMs in batches") {
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
  // Nothing is sent while no observation is pending.
  fixture.now += Seconds(1);
  fixture.Step(TimerExpired{});
  CHECK(fixture.shared.size() == 1);
}

// Guards against a delayed datagram that replaces the report of a newer
// response.
TEST_CASE("an older observation does not replace a newer one") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("read", 1);
  fixture.End(ServerOutcome::kSucceeded, LoadReport{.running = 1, .slots = 4});
  ServerObservation old = ObservationOf("s1", FullReport());
  old.age = Milliseconds(200);
  fixture.Step(ObservationsReceived{{old}});
  CHECK(fixture.state.servers.at("s1").report->waiting == 0);
  // An observation of a server that this entry VM does not know is ignored.
  fixture.Step(ObservationsReceived{{ObservationOf("s9", FullReport())}});
}

// Guards against long work on an object that is not cached, which would delay
// the requests for cached objects.
TEST_CASE("a request for an uncached object does not wait in a queue") {
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

// Guards against servers that appear slow while they handle objects for the
// first time: their work on them was expected to take as long as on cached
// ones.
TEST_CASE("a server that receives new objects does not appear slow") {
  RoutingFixture fixture({MakeServer("s1")});
  for (std::uint64_t object = 1; object <= 20; ++object)
    fixture.Serve("read", object, Milliseconds(280));
  CHECK(fixture.sent.back().inputs.cache_affinity == CacheAffinity::kShared);
  CHECK(fixture.sent.back().inputs.slowness < 1.5);
}

// Guards against callers that are refused at the same time and retry at the
// same time.
TEST_CASE("refused callers receive different retry delays") {
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

// Guards against each of 74 entry VMs losing a request to a server that other
// entry VMs have already found unreachable.
TEST_CASE("a server that others can't reach is in back-off for a while") {
  RoutingFixture fixture({MakeServer("s1"), MakeServer("s22")});
  const std::string preferred = fixture.Serve("read", 1, Milliseconds(100));
  const ServerObservation unreachable{.server = ServerTag(preferred),
                                      .unreachable = true};
  // The server has just responded to this entry VM, so the report is ignored.
  fixture.Step(ObservationsReceived{{unreachable}});
  CHECK(fixture.Serve("read", 1, Milliseconds(100)) == preferred);
  fixture.now += Seconds(2);
  fixture.Step(ObservationsReceived{{unreachable}});
  CHECK(fixture.Serve("read", 1, Milliseconds(1)) != preferred);
  // A response to any entry VM ends the back-off of the server.
  fixture.Step(ObservationsReceived{
      {ObservationOf(preferred, LoadReport{.running = 1, .slots = 4})}});
  CHECK(fixture.Serve("read", 1, Milliseconds(1)) == preferred);
}

TEST_CASE("an unreachable server is reported to other entry VMs") {
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
