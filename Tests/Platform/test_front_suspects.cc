// End-to-end tests with requests that crash the servers which run them.

#include <memory>

#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

constexpr std::string_view kCrashingPath = "/read/crash";
constexpr std::size_t kServers = 6;
// Servers that a request may crash before it is blocked.
constexpr std::size_t kAllowedCrashes = 3;

// Two entry VMs that know each other, and six servers.
struct CrashDeployment : FleetDeployment {
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  std::size_t next_id = 1;

  CrashDeployment() {
    store.Remove("servers", "s-one");
    for (std::size_t i = 0; i < kServers; ++i) {
      servers.push_back(
          std::make_unique<ServerStandIn>(loop, "c-" + std::to_string(i)));
      store.Put("servers", servers[i]->id(), servers[i]->Row("ready"));
    }
    StartEntries(2);
  }

  HttpRequest NewRequest(const std::string& path) {
    return Request(path, "id-" + std::to_string(next_id++));
  }

  HttpResponse Send(std::size_t entry, const std::string& path) {
    return Call(settings[entry].self.caller_address, NewRequest(path)).second;
  }

  // Sends a request whose response is put into `statuses`.
  void SendInBackground(std::size_t entry,
                        const std::string& path,
                        std::vector<std::uint16_t>& statuses) {
    client.Send(settings[entry].self.caller_address, NewRequest(path),
                loop.Now() + kTestTimeout,
                [&](HttpOutcome, const HttpResponse& response) {
                  statuses.push_back(response.status);
                });
  }

  // Leaves idle connections of both entry VMs to all servers.
  void OpenConnections() {
    std::vector<std::uint16_t> statuses;
    for (const auto& server : servers)
      server->SetBehaviour(ServerBehaviour::kHangs);
    const std::size_t count = 4 * kServers;
    const std::size_t before = CountArrivals("/read/open-");
    for (std::size_t i = 0; i < count; ++i)
      SendInBackground(i % 2, "/read/open-" + std::to_string(i), statuses);
    REQUIRE(WaitUntil(
        [&] { return CountArrivals("/read/open-") >= before + count / 2; }));
    for (const auto& server : servers) {
      server->RespondToAll();
      server->SetBehaviour(ServerBehaviour::kAnswers);
    }
    REQUIRE(WaitUntil([&] { return statuses.size() == count; }));
  }

  std::size_t CountArrivals(std::string_view prefix) const {
    std::size_t count = 0;
    for (const auto& server : servers) {
      for (const ServerArrival& arrival : server->arrivals())
        count += arrival.path.starts_with(prefix) ? 1 : 0;
    }
    return count;
  }
};

}  // namespace

// Guards against a request that crashes one server after another, because the
// crash of a server on a reused connection is not counted, and because two
// entry VMs do not add up what they have seen.
TEST_CASE("a request that crashes servers over kept connections is blocked") {
  CrashDeployment deployment;
  for (const auto& server : deployment.servers)
    server->SetCrashingPath(std::string(kCrashingPath));
  for (int i = 0; i < 8; ++i) {
    deployment.OpenConnections();
    CHECK(deployment.Send(i % 2, std::string(kCrashingPath)).status != 200);
  }
  CHECK(deployment.CountArrivals(kCrashingPath) <= kAllowedCrashes);
  const HttpResponse refused = deployment.Send(0, std::string(kCrashingPath));
  CHECK(refused.status == 503);
  CHECK(!FindField(refused.headers, kRetryAfter).empty());
  CHECK(deployment.HasMetric(1, "cicadadrum_blocked_fingerprints 1"));
  CHECK(deployment.Send(0, "/read/other").status == 200);
}

// Guards against an operator who can't lift a block.
TEST_CASE("an operator lists suspects and clears them at all entry VMs") {
  CrashDeployment deployment;
  for (const auto& server : deployment.servers)
    server->SetCrashingPath(std::string(kCrashingPath));
  for (int i = 0; i < 6; ++i)
    deployment.Send(i % 2, std::string(kCrashingPath));
  REQUIRE(deployment.WaitUntil([&] {
    return deployment.HasMetric(0, "cicadadrum_blocked_fingerprints 1") &&
           deployment.HasMetric(1, "cicadadrum_blocked_fingerprints 1");
  }));
  const std::string& address = deployment.settings[0].metrics_address;
  const std::string list =
      deployment.Call(address, {.target = "/suspects"}).second.body;
  const std::size_t end = list.find(" lost_servers=3 blocked_ms=");
  REQUIRE(end != std::string::npos);
  const auto clear = [&](const std::string& query) {
    return deployment
        .Call(address,
              {.method = HttpMethod::kDelete, .target = "/suspects" + query})
        .second.status;
  };
  CHECK(clear("") == 400);
  CHECK(clear("?fingerprint=none") == 400);
  CHECK(clear("?fingerprint=" + list.substr(0, end)) == 204);
  for (const auto& server : deployment.servers)
    server->SetCrashingPath("");
  CHECK(deployment.WaitUntil([&] {
    return deployment.HasMetric(0, "cicadadrum_suspect_fingerprints 0") &&
           deployment.HasMetric(1, "cicadadrum_suspect_fingerprints 0");
  }));
  CHECK(deployment.Send(1, std::string(kCrashingPath)).status == 200);
}

// Guards against a harmless request that is refused for good, because each of
// several attempts that were in flight at one lost server counted as a crash.
TEST_CASE("a crash does not block harmless requests that were in flight") {
  CrashDeployment deployment;
  std::vector<std::uint16_t> statuses;
  constexpr std::size_t kEqualRequests = 40;
  for (const auto& server : deployment.servers)
    server->SetBehaviour(ServerBehaviour::kHangs);
  for (std::size_t i = 0; i < kEqualRequests; ++i)
    deployment.SendInBackground(i % 2, "/read/popular", statuses);
  REQUIRE(deployment.WaitUntil(
      [&] { return deployment.CountArrivals("/read/popular") >= kServers; }));
  for (const auto& server : deployment.servers)
    server->SetBehaviour(ServerBehaviour::kAnswers);
  for (const auto& server : deployment.servers)
    server->Crash();
  REQUIRE(
      deployment.WaitUntil([&] { return statuses.size() == kEqualRequests; }));
  for (int i = 0; i < 20; ++i)
    CHECK(deployment.Send(i % 2, "/read/popular").status == 200);
  CHECK(deployment.HasMetric(0, "cicadadrum_blocked_fingerprints 0"));
}

}  // namespace cicadadrum::platform
