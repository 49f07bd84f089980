// Tests of what is known of a server after its entry was removed, and after the
// server was started again under its id.

#include <doctest/doctest.h>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

ServerEntry MakeIncarnation(std::int64_t started_unix_ms,
                            std::uint64_t row_version) {
  ServerEntry entry = MakeServer("s1");
  entry.started_unix_ms = started_unix_ms;
  entry.row_version = row_version;
  return entry;
}

// The ways in which an entry is replaced.
enum class Replacement : std::uint8_t { kRemoved, kUnlisted, kRestarted };

void Replace(RoutingFixture& fixture,
             Replacement replacement,
             ServerEntry entry) {
  if (replacement == Replacement::kRemoved)
    fixture.Step(ServersChanged{.removed = {entry.id}});
  if (replacement == Replacement::kUnlisted)
    fixture.Step(ServersChanged{.is_full_list = true});
  if (replacement == Replacement::kRestarted)
    ++entry.started_unix_ms;
  ++entry.row_version;
  fixture.Step(ServersChanged{.updated = {entry}});
}

}  // namespace

// Guards against an entry VM that sends its share of the cold rate twice within
// a second.
TEST_CASE("requests to a cold server count after its entry is replaced") {
  for (const Replacement replacement :
       {Replacement::kRemoved, Replacement::kUnlisted,
        Replacement::kRestarted}) {
    CAPTURE(static_cast<int>(replacement));
    ServerEntry cold = MakeIncarnation(5, 1);
    cold.cold_left = Seconds(3);
    RoutingFixture fixture({cold});
    fixture.Step(Members({"entry-1", "entry-2", "entry-3", "entry-4"}));
    const auto send_many = [&] {
      for (std::uint64_t object = 1; object <= 20; ++object)
        fixture.Serve("read", object, Milliseconds(10));
      return fixture.sent.size();
    };
    CHECK(send_many() == 3);
    Replace(fixture, replacement, cold);
    CHECK(send_many() == 3);
    fixture.now = kStart + Seconds(2);
    CHECK(send_many() == 6);
  }
}

// Guards against requests beyond what a server takes, for a row that lapsed.
TEST_CASE("a limit and a cold time outlast the entry of their incarnation") {
  RoutingFixture fixture({MakeIncarnation(5, 1)});
  fixture.Arrive("read");
  fixture.EndAttempt(fixture.sent.back(), {.outcome = ServerOutcome::kSucceeded,
                                           .cold_left = Seconds(2),
                                           .limit = 4});
  Replace(fixture, Replacement::kRemoved, MakeIncarnation(5, 1));
  const Server& server = fixture.state.servers.at("s1");
  REQUIRE(server.limit);
  CHECK(server.limit->requests_per_second == 4);
  CHECK(server.limit_stated_at == fixture.now);
  CHECK(server.cold_until == fixture.now + Seconds(2));
  Replace(fixture, Replacement::kRestarted, MakeIncarnation(5, 2));
  CHECK_FALSE(fixture.state.servers.at("s1").limit);
  CHECK(fixture.state.servers.at("s1").cold_until <= fixture.now);
}

// Guards against a server that looks free because its entry came back.
TEST_CASE("requests at a server count after its entry comes back") {
  RoutingFixture fixture({MakeIncarnation(5, 1)});
  for (int i = 0; i < 3; ++i)
    fixture.Arrive("write");
  const std::vector<SendAttempt> sent = fixture.sent;
  Replace(fixture, Replacement::kRemoved, MakeIncarnation(5, 1));
  CHECK(fixture.state.servers.at("s1").in_flight == 3);
  fixture.Arrive("write");
  for (const SendAttempt& attempt : sent)
    fixture.EndAttempt(attempt, {.outcome = ServerOutcome::kSucceeded});
  CHECK(fixture.state.servers.at("s1").in_flight == 1);
  Replace(fixture, Replacement::kRestarted, MakeIncarnation(5, 2));
  CHECK(fixture.state.servers.at("s1").in_flight == 0);
}

// Guards against taking the load, the cache and the silence of a server for
// those of the next one under its id.
TEST_CASE("observations of another incarnation are ignored") {
  RoutingFixture observer({MakeIncarnation(5, 1)});
  observer.Step(Members({"entry-1", "entry-2"}));
  observer.Arrive("read");
  observer.End(ServerOutcome::kSucceeded, LoadReport{.running = 2, .slots = 4});
  observer.Arrive("write");
  observer.End(ServerOutcome::kNotSent);
  observer.now += Seconds(1);
  observer.Step(TimerExpired{});
  REQUIRE(observer.shared.size() == 1);
  const ObservationsReceived received{observer.shared[0].observations};
  RoutingFixture fixture({MakeIncarnation(6, 2)});
  const Server& server = fixture.state.servers.at("s1");
  fixture.Step(received);
  CHECK_FALSE(server.report);
  CHECK(server.handled_objects.empty());
  CHECK(server.last_response_at == TimePoint{});
  CHECK(server.consecutive_failures == 0);
  RoutingFixture same({MakeIncarnation(5, 1)});
  same.Step(received);
  CHECK(same.state.servers.at("s1").report);
  CHECK(same.state.servers.at("s1").handled_objects.size() == 1);
}

}  // namespace cicadadrum::routing
