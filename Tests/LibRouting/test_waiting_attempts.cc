// Tests of attempts that wait for their connection or its check.

#include <doctest/doctest.h>

#include <functional>
#include <string>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kWait = Milliseconds(700);

// Something that happens while an attempt at `server` waits.
struct Change {
  std::string name;
  std::function<void(RoutingFixture&, const std::string& server)> apply;
};

std::vector<Change> ChangesThatWithhold() {
  return {
      {"removed",
       [](RoutingFixture& fixture, const std::string& server) {
         fixture.Step(ServersChanged{.removed = {server}});
       }},
      {"draining",
       [](RoutingFixture& fixture, const std::string& server) {
         ServerEntry row = MakeServer(server);
         row.row_version = 2;
         row.phase = ServerPhase::kDraining;
         fixture.Step(ServersChanged{.updated = {row}});
       }},
      {"restarted",
       [](RoutingFixture& fixture, const std::string& server) {
         ServerEntry row = MakeServer(server);
         row.row_version = 2;
         row.started_unix_ms = 1;
         fixture.Step(ServersChanged{.updated = {row}});
       }},
      {"leaving",
       [](RoutingFixture& fixture, const std::string& server) {
         fixture.Step(ObservationsReceived{
             {{.server = ServerTag(server), .leaving = true}}});
       }},
      {"paused",
       [](RoutingFixture& fixture, const std::string& server) {
         fixture.state.servers.at(server).advice.paused_until =
             fixture.now + Seconds(5);
       }},
      {"cold without a share of its rate",
       [](RoutingFixture& fixture, const std::string& server) {
         fixture.state.started_at = fixture.now;
         fixture.state.servers.at(server).cold_until = fixture.now + Seconds(3);
       }},
      {"limited to nothing",
       [](RoutingFixture& fixture, const std::string& server) {
         fixture.Step(
             ObservationsReceived{{{.server = ServerTag(server), .limit = 0}}});
       }},
      {"evacuated",
       [](RoutingFixture& fixture, const std::string& /*server*/) {
         fixture.Step(EvacuationsChanged{{"north-a"}});
       }},
      {"moved to another service",
       [](RoutingFixture& fixture, const std::string& /*server*/) {
         RoutingConfiguration configuration = fixture.state.table.configuration;
         configuration.version = 2;
         configuration.routes[0].shares = {{"other", 1}};
         fixture.Step(ConfigurationAdopted{configuration});
       }},
  };
}

}  // namespace

// Guards against a server that works on a request after its caller has left.
TEST_CASE("an attempt that waits is sent with the time that is left") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("read");
  REQUIRE(fixture.sent.size() == 1);
  const SendAttempt attempt = fixture.sent[0];
  fixture.now += kWait;
  REQUIRE(fixture.IsTransmitted(attempt));
  CHECK(fixture.transmitted[0].server_timeout ==
        attempt.server_timeout - kWait);
  fixture.End(ServerOutcome::kSucceeded);
  CHECK(fixture.delivered.size() == 1);
}

// Guards against a request that reaches a server because of what was known
// before the request waited.
TEST_CASE("an attempt that waits is withheld if its server is out of use") {
  for (const Change& change : ChangesThatWithhold()) {
    CAPTURE(change.name);
    RoutingFixture fixture({MakeServer("s1")});
    fixture.state.options.bounds.retry_ratio = 0;
    fixture.state.options.bounds.retry_extra = 0;
    fixture.Arrive("read");
    REQUIRE(fixture.sent.size() == 1);
    change.apply(fixture, "s1");
    fixture.now += kWait;
    REQUIRE_FALSE(fixture.IsTransmitted(fixture.sent[0]));
    fixture.Step(ServersChanged{.updated = {MakeServer("s22", "north-b")}});
    fixture.End(ServerOutcome::kWithheld);
    if (fixture.sent.size() == 1) {
      // Only a route without a server leaves the request nowhere to go.
      CHECK(change.name == "moved to another service");
      REQUIRE(fixture.refused.size() == 1);
      CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
      continue;
    }
    CHECK(fixture.sent[1].server == "s22");
    CHECK(fixture.state.services.at("desk").retries_in_window == 0);
  }
}

TEST_CASE("an attempt whose time is over or whose caller left is withheld") {
  RoutingFixture fixture({MakeServer("s1")});
  fixture.Arrive("read");
  const SendAttempt late = fixture.sent[0];
  fixture.now += late.server_timeout;
  CHECK_FALSE(fixture.IsTransmitted(late));
  const std::uint64_t left = fixture.Arrive("read");
  fixture.Step(CallerDisconnected{left});
  CHECK_FALSE(fixture.IsTransmitted(fixture.sent[1]));
}

// Guards against a cold rate that is exceeded because attempts are counted long
// before they reach the server.
TEST_CASE("an attempt that waits counts at the cold server when it is sent") {
  ServerEntry cold = MakeServer("s1");
  cold.cold_left = Seconds(30);
  RoutingFixture fixture({cold});
  fixture.Arrive("read", 1, Seconds(20));
  REQUIRE(fixture.sent.size() == 1);
  fixture.now += kWait;
  CHECK(fixture.IsTransmitted(fixture.sent[0]));
  const Server& server = fixture.state.servers.at("s1");
  REQUIRE(server.recent_sends.size() == 1);
  CHECK(server.recent_sends[0] == fixture.now);
}

}  // namespace cicadadrum::routing
