// End-to-end tests with a server that restarts under its id and is cold.

#include <optional>
#include <string>
#include <vector>

#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

constexpr Duration kColdTime = Seconds(3);
// Requests per second that a cold server tolerates from all entry VMs together
// by the configuration of the deployment.
constexpr std::size_t kColdBound = 10;
constexpr Duration kRequestInterval = Milliseconds(1000) / 60;
// Time within which a warm server receives some of these requests.
constexpr Duration kUseTime = Milliseconds(700);
// Objects of the requests, whose holders the entry VMs know.
constexpr std::uint64_t kObjects = 40;

struct RestartCase {
  std::string name;
  std::uint64_t entry_count = 1;
  // The deployment has a second server, which stays warm.
  bool has_warm_server = false;
  bool has_requests_in_flight = false;  // At the restart.
  // Time from the first restart to each further one.
  std::vector<Duration> further_restarts;
  // Time from the first restart to the server's new row, if it is written.
  std::optional<Duration> row_delay;
};

std::vector<RestartCase> RestartCases() {
  return {
      {.name = "one entry VM"},
      {.name = "requests in flight",
       .entry_count = 3,
       .has_requests_in_flight = true},
      {.name = "another server", .entry_count = 3, .has_warm_server = true},
      {.name = "again while cold",
       .entry_count = 3,
       .further_restarts = {Milliseconds(700), Milliseconds(1300)}},
      {.name = "row written late",
       .entry_count = 3,
       .row_delay = Milliseconds(600)},
  };
}

struct ColdDeployment : FleetDeployment {
  std::uint64_t next_id = 1;

  explicit ColdDeployment(const RestartCase& restart) {
    if (restart.has_warm_server)
      store.Put("servers", server_two.id(), server_two.Row("ready"));
    StartEntries(restart.entry_count);
  }

  // Sends requests to all entry VMs in turn.
  void SendRequestsUntil(TimePoint end) {
    TimePoint next = loop.Now();
    WaitUntil([&] {
      for (; next <= loop.Now(); next += kRequestInterval)
        SendRequest();
      return loop.Now() >= end;
    });
  }

  void SendRequest() {
    const std::string number = std::to_string(next_id++);
    client.Send(settings[next_id % settings.size()].self.caller_address,
                Request("/read/" + number, "id-" + number, HttpMethod::kGet,
                        std::to_string(next_id % kObjects)),
                loop.Now() + kTestTimeout,
                [](HttpOutcome, const HttpResponse&) {});
  }
};

}  // namespace

// Guards against tests of cold servers that pass because the server substitute
// keeps idle connections over a restart, or does not state its cold time.
TEST_CASE(
    "a restarted server closes idle connections and states that it is cold") {
  Deployment deployment;
  ServerStandIn& server = deployment.server_one;
  server.SetBehaviour(ServerBehaviour::kHangs);
  const auto cold_time = [&] {
    const auto [outcome, response] =
        deployment.Call(server.address(), {.target = std::string(kHealthPath)});
    CHECK(response.status == 200);
    CHECK(FindField(response.headers, kServerId) == server.id());
    return std::string(FindField(response.headers, kColdLeft));
  };
  CHECK(cold_time().empty());
  const std::string row = server.Row("ready");
  server.RestartCold(kColdTime);
  deployment.WaitUntil([] { return false; }, Milliseconds(20));
  const int cold_ms = std::stoi(cold_time());
  CHECK(cold_ms > 0);
  CHECK(cold_ms < kColdTime / Milliseconds(1));
  CHECK(deployment.client.counters().connections == 2);
  CHECK(server.Row("ready", 0, 4) != row);
  CHECK(server.health_check_count() == 2);
  CHECK(server.arrivals().empty());
}

// Guards against a flood of a server that is cold after a restart, because the
// entry VMs still take it for the warm incarnation before.
TEST_CASE("a server that restarts cold under its id is not flooded") {
  for (const RestartCase& restart : RestartCases()) {
    CAPTURE(restart.name);
    ColdDeployment deployment(restart);
    ServerStandIn& server = deployment.server_one;
    deployment.SendRequestsUntil(deployment.loop.Now() + kUseTime);
    REQUIRE(server.arrivals().size() > kColdBound);
    if (restart.has_requests_in_flight) {
      server.SetBehaviour(ServerBehaviour::kHangs);
      deployment.SendRequestsUntil(deployment.loop.Now() + Milliseconds(100));
      server.SetBehaviour(ServerBehaviour::kAnswers);
    }
    server.RestartCold(kColdTime);
    const TimePoint restarted_at = deployment.loop.Now();
    for (const Duration delay : restart.further_restarts) {
      deployment.SendRequestsUntil(restarted_at + delay);
      server.RestartCold(kColdTime);
    }
    if (restart.row_delay) {
      deployment.SendRequestsUntil(restarted_at + *restart.row_delay);
      deployment.store.Put("servers", server.id(), server.Row("ready"));
    }
    deployment.SendRequestsUntil(deployment.loop.Now() + server.ColdTimeLeft() +
                                 kUseTime);
    CHECK(server.CountColdArrivals() <= kColdBound);
    CHECK(server.arrivals().back().at >= deployment.loop.Now() - kUseTime);
    CHECK(!server.arrivals().back().is_at_cold_server);
  }
}

}  // namespace cicadadrum::platform
