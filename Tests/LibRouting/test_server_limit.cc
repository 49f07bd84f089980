// Tests of servers that state how many requests they take from all entry VMs.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kStep = Milliseconds(20);
// The window in which the users count requests, and how much more than the
// limit they accept in it.
constexpr Duration kWindow = Seconds(4);
constexpr double kAcceptedFactor = 1.5;
constexpr double kAcceptedExtra = 5;

AttemptEnded Answer(double limit,
                    ServerOutcome outcome = ServerOutcome::kSucceeded) {
  return {.outcome = outcome, .limit = limit};
}

// Entry VMs in two regions whose callers always have more requests than one
// limited server in the region "north" takes.
struct LimitedFleet {
  std::vector<std::unique_ptr<RoutingFixture>> entries;
  std::vector<TimePoint> arrivals;  // At the server, since the limit is known.
  TimePoint now = kStart;

  LimitedFleet(std::size_t north, std::size_t south) {
    MembersChanged members;
    for (std::size_t i = 0; i < north + south; ++i)
      members.entries.push_back({"entry-" + std::to_string(i),
                                 i < north ? "north" : "south",
                                 i < north ? "north-a" : "south-a"});
    for (const FleetMember& member : members.entries) {
      entries.push_back(std::make_unique<RoutingFixture>(
          std::vector<ServerEntry>{MakeServer("s-1")}));
      entries.back()->state.options.name = member.name;
      entries.back()->state.options.region = member.region;
      entries.back()->state.options.failure_domain = member.failure_domain;
      entries.back()->state.members = {member};
      entries.back()->Step(members);
    }
  }

  // Lets every entry VM learn the limit from a response.
  void State(double limit) {
    for (auto& entry : entries) {
      entry->now = now;
      entry->state.servers.at("s-1").limit.reset();
      entry->Arrive("read");
      entry->EndAttempt(entry->sent.back(), Answer(limit));
    }
    arrivals.clear();
  }

  // Sends requests from all entry VMs to the server, whose responses state the
  // limit.
  void Run(Duration duration, double limit) {
    for (const TimePoint end = now + duration; now < end; now += kStep) {
      for (auto& entry : entries) {
        entry->now = now;
        const std::size_t before = entry->sent.size();
        entry->Arrive("read");
        if (entry->sent.size() == before)
          continue;
        arrivals.push_back(now);
        entry->EndAttempt(entry->sent.back(), Answer(limit));
      }
    }
  }

  // Returns the largest number of arrivals in a window.
  std::size_t LargestWindow() const {
    std::size_t largest = 0;
    auto begin = arrivals.begin();
    for (auto end = arrivals.begin(); end != arrivals.end(); ++end) {
      while (*begin + kWindow <= *end)
        ++begin;
      largest = std::max(largest, static_cast<std::size_t>(end - begin) + 1);
    }
    return largest;
  }
};

double AcceptedInWindow(double limit) {
  return limit * kAcceptedFactor *
             std::chrono::duration<double>(kWindow).count() +
         kAcceptedExtra;
}

}  // namespace

// Guards against entry VMs that together send a multiple of what a server in
// need takes, and against a server that is left with a small part of it.
TEST_CASE("entry VMs together send what a limited server takes") {
  struct Case {
    std::size_t north;
    std::size_t south;
    double limit;
  };
  for (const Case& c :
       {Case{1, 0, 5}, Case{3, 6, 0.5}, Case{3, 6, 7.2}, Case{3, 6, 60},
        Case{25, 50, 0.5}, Case{25, 50, 6}, Case{25, 50, 60}}) {
    CAPTURE(c.north);
    CAPTURE(c.limit);
    LimitedFleet fleet(c.north, c.south);
    fleet.State(c.limit);
    fleet.Run(Seconds(30), c.limit);
    CHECK(static_cast<double>(fleet.LargestWindow()) <=
          AcceptedInWindow(c.limit));
    const double rate = static_cast<double>(fleet.arrivals.size()) / 30;
    CHECK(rate >= c.limit * 0.75);
    // The limit, and the requests that check whether it still holds.
    CHECK(rate <= c.limit * 1.1 + 1);
  }
}

// Guards against unused shares that are all used at once when load returns.
TEST_CASE("a burst after a quiet time stays within what a server accepts") {
  for (const double limit : {0.5, 6.0, 60.0}) {
    CAPTURE(limit);
    LimitedFleet fleet(25, 50);
    fleet.State(limit);
    fleet.now += Seconds(60);
    fleet.Run(Seconds(8), limit);
    CHECK(static_cast<double>(fleet.LargestWindow()) <=
          AcceptedInWindow(limit));
  }
}

TEST_CASE("a limit ends with the first response that states none") {
  RoutingFixture fixture({MakeServer("s-1")});
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), Answer(1));
  REQUIRE(fixture.reported_limits.size() == 1);
  CHECK(fixture.reported_limits[0].limit == 1);
  CHECK(fixture.Serve("read", 1, Milliseconds(10)).empty());
  fixture.now += Seconds(2);
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), Answer(kUnlimited));
  REQUIRE(fixture.reported_limits.size() == 2);
  CHECK(fixture.reported_limits[1].limit == kUnlimited);
  for (int i = 0; i < 10; ++i)
    CHECK_FALSE(fixture.Serve("read", 1, Milliseconds(10)).empty());
}

// Guards against a limit that ends because of a failure or of bytes that are no
// response of the server.
TEST_CASE("an attempt without a response does not end a limit") {
  RoutingFixture fixture({MakeServer("s-1")});
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), Answer(1));
  fixture.now += Seconds(2);
  fixture.Arrive("write");
  fixture.EndAttempt(fixture.sent.back(), {.outcome = ServerOutcome::kLost});
  CHECK(fixture.state.servers.at("s-1").limit);
}

// Guards against what is left of a higher limit when it falls.
TEST_CASE("a lower limit holds at once") {
  LimitedFleet fleet(9, 0);
  fleet.State(50);
  fleet.Run(Seconds(5), 50);
  fleet.Run(Milliseconds(500), 5);
  fleet.arrivals.clear();
  fleet.Run(Seconds(10), 5);
  CHECK(static_cast<double>(fleet.LargestWindow()) <= AcceptedInWindow(5));
}

TEST_CASE("a higher limit is used") {
  LimitedFleet fleet(9, 0);
  fleet.State(5);
  fleet.Run(Seconds(5), 5);
  fleet.arrivals.clear();
  fleet.Run(Seconds(10), 50);
  CHECK(fleet.arrivals.size() > 350);
}

// Guards against a limit that is kept for the next server under the same id.
TEST_CASE("a restarted server has no limit") {
  ServerEntry entry = MakeServer("s-1");
  RoutingFixture fixture({entry});
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), Answer(1));
  entry.started_unix_ms = 5;
  entry.row_version = 2;
  fixture.Step(ServersChanged{.updated = {entry}});
  CHECK_FALSE(fixture.state.servers.at("s-1").limit);
  CHECK_FALSE(fixture.Serve("read", 1, Milliseconds(10)).empty());
}

// Guards against an entry VM that takes the whole limit because it does not
// know the others yet.
TEST_CASE("an entry VM that has just started uses a small part of a limit") {
  RoutingFixture fixture({MakeServer("s-1")});
  fixture.state.started_at = fixture.now;
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), Answer(20));
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    fixture.now += Milliseconds(20);
    const std::size_t before = fixture.sent.size();
    fixture.Arrive("read");
    if (fixture.sent.size() == before)
      continue;
    ++sent;
    fixture.EndAttempt(fixture.sent.back(), Answer(20));
  }
  CHECK(sent <= 4);
  CHECK(sent >= 2);
}

// Guards against both sides of a cut that take the whole limit each.
TEST_CASE("members that are no longer seen keep their share of a limit") {
  LimitedFleet fleet(8, 0);
  MembersChanged half;
  for (int i = 0; i < 4; ++i)
    half.entries.push_back({"entry-" + std::to_string(i), "north", "north-a"});
  for (auto& entry : fleet.entries)
    entry->Step(half);
  fleet.entries.resize(4);
  fleet.State(8);
  fleet.Run(Seconds(10), 8);
  CHECK(fleet.arrivals.size() <= 50);
}

// Guards against refused callers that all return at the same time.
TEST_CASE("callers that a limit refuses retry at different times") {
  RoutingFixture fixture({MakeServer("s-1")});
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), Answer(1));
  std::set<Duration> delays;
  for (int i = 0; i < 10; ++i) {
    fixture.Arrive("read");
    CHECK(fixture.refused.back().reason == RefusalReason::kOverloaded);
    CHECK(fixture.refused.back().verdict == Verdict::kNotRun);
    delays.insert(fixture.refused.back().retry_after);
  }
  CHECK(delays.size() >= 8);
}

// Guards against requests that are refused although another server is free.
TEST_CASE("requests beyond a limit go to other servers") {
  RoutingFixture fixture({MakeServer("s-1"), MakeServer("s-2")});
  std::set<std::string> used;
  for (std::uint64_t i = 0; i < 40; ++i) {
    fixture.Arrive("read", i);
    REQUIRE(fixture.refused.empty());
    const std::string server = fixture.sent.back().server;
    if (i >= 10)
      used.insert(server);
    fixture.EndAttempt(fixture.sent.back(),
                       Answer(server == "s-1" ? 0.1 : kUnlimited));
    fixture.now += Milliseconds(5);
  }
  CHECK(used == std::set<std::string>{"s-2"});
}

// Guards against other entry VMs that learn a limit only by exceeding it.
TEST_CASE("limits and their end are shared with other entry VMs") {
  RoutingFixture sender({MakeServer("s-1")});
  sender.Step(Members({"entry-1", "entry-2"}));
  RoutingFixture receiver({MakeServer("s-1")});
  for (const double limit : {2.0, kUnlimited}) {
    sender.Arrive("read");
    sender.EndAttempt(sender.sent.back(), Answer(limit));
    sender.now += Seconds(1);
    sender.Step(TimerExpired{});
    receiver.now = sender.now;
    receiver.Step(ObservationsReceived{sender.shared.back().observations});
    CHECK(receiver.state.servers.at("s-1").limit.has_value() ==
          (limit != kUnlimited));
  }
}

// Guards against an old observation that replaces what a later response stated.
TEST_CASE("an older statement of a limit is ignored") {
  RoutingFixture fixture({MakeServer("s-1")});
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), Answer(kUnlimited));
  fixture.Step(ObservationsReceived{
      {{.server = ServerTag("s-1"), .limit = 1, .age = Milliseconds(50)}}});
  CHECK_FALSE(fixture.state.servers.at("s-1").limit);
  // So is a statement of another incarnation.
  fixture.now += Seconds(1);
  fixture.Step(ObservationsReceived{
      {{.server = ServerTag("s-1"), .incarnation = 9, .limit = 1}}});
  CHECK_FALSE(fixture.state.servers.at("s-1").limit);
}

// Guards against entry VMs without a share of a limit that go on to keep to it
// after its end.
TEST_CASE("every entry VM finds out that a limit has ended") {
  LimitedFleet fleet(3, 6);
  fleet.State(1);
  fleet.Run(Seconds(10), 1);
  fleet.Run(Seconds(20), kUnlimited);
  for (const auto& entry : fleet.entries)
    CHECK_FALSE(entry->state.servers.at("s-1").limit);
}

}  // namespace cicadadrum::routing
