// End-to-end tests with servers that send responses without end.

#include <algorithm>
#include <memory>

#include "endless_responses.h"
#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

constexpr std::size_t kEndlessServers = 8;
// Responses that one server can send, with those for retries.
constexpr std::size_t kResponsesPerServer = 8;
constexpr std::uint64_t kMemoryBytes = 10'000'000;
// All requests carry the same id, so that every response names it.
constexpr std::string_view kSharedId = "endless";

std::string Identification() {
  return std::string(kRequestId) + ": " + std::string(kSharedId) + "\r\n";
}

double IncompleteBytes(Deployment& deployment, const Settings& settings) {
  return MetricOf(deployment, settings, "cicadadrum_incomplete_response_bytes");
}

}  // namespace

// Guards against an entry VM that runs out of memory, with the requests of all
// its callers, because several servers send bytes without end at once.
TEST_CASE("responses without end hold no more than the VM's memory for them") {
  for (const EndlessResponse& endless : AllEndlessResponses(Identification())) {
    CAPTURE(endless.name);
    Deployment deployment;
    deployment.store.Remove("servers", "s-one");
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    for (std::size_t i = 0; i < kEndlessServers; ++i) {
      const std::string id = "e-" + std::to_string(i);
      servers.push_back(std::make_unique<ScriptedServer>(
          deployment.loop, std::vector(kResponsesPerServer, endless.response)));
      servers.back()->AlwaysRespond(HealthRequestBegin(), HealthResponse(id));
      deployment.store.Put(
          "servers", id,
          deployment.server_one.RowAt(servers.back()->address(), "ready"));
    }
    Settings settings = deployment.MakeSettings("entry-1");
    settings.routing.response_memory_bytes = kMemoryBytes;
    Front front(deployment.loop, deployment.kj_loop, settings,
                {.high = 1, .low = 1});
    REQUIRE(front.Start());
    REQUIRE(deployment.WaitUntil([&] { return deployment.IsReady(settings); }));
    std::vector<std::uint16_t> statuses;
    for (std::size_t i = 0; i < kEndlessServers; ++i)
      deployment.client.Send(
          settings.self.caller_address,
          Request("/read/" + std::to_string(i), std::string(kSharedId)),
          deployment.loop.Now() + kTestTimeout,
          [&](HttpOutcome, const HttpResponse& response) {
            statuses.push_back(response.status);
          });
    double most_held = 0;
    REQUIRE(deployment.WaitUntil([&] {
      most_held = std::max(most_held, IncompleteBytes(deployment, settings));
      return statuses.size() == kEndlessServers;
    }));
    CHECK(most_held <= static_cast<double>(kMemoryBytes));
    for (const std::uint16_t status : statuses)
      CHECK((status == 502 || status == 504));
    CHECK(deployment.WaitUntil(
        [&] { return IncompleteBytes(deployment, settings) == 0; }));
    CHECK(deployment.WaitUntil([&] {
      return std::ranges::all_of(servers, [](const auto& server) {
        return server->open_count() == 0;
      });
    }));
  }
}

}  // namespace cicadadrum::platform
