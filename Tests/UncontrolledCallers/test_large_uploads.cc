// The largest body that a configuration allows, on the smallest VM.

#include <algorithm>
#include <optional>
#include <string>

#include "entry_process.h"
#include "front_fixture.h"
#include "http_codec.h"

namespace cicadadrum::platform {

namespace {

constexpr double kSmallestMemoryMegabytes = 160;
constexpr std::uint64_t kDescriptors = 256;
constexpr std::size_t kLargestBody = 67'108'864;

}  // namespace

// Guards against copies of a body, with which one upload exceeds the memory of
// the smallest VM.
TEST_CASE("a body of the largest size is served with the least memory") {
  Deployment deployment;
  std::size_t received = 0;
  HttpServer server(
      deployment.loop,
      {.limits = {.max_body_bytes = kLargestBody},
       .max_held_bytes = 4 * kLargestBody},
      [&](std::uint64_t id, const HttpRequest& request) {
        received = std::max(received, request.body.size());
        server.Respond(id, {.headers = {{std::string(kRequestId),
                                         std::string(RequestIdOf(request))},
                                        {std::string(kServerId), "s-one"},
                                        {std::string(kServerLoad), "1,0,4,100"},
                                        {std::string(kSeal), "seal"}}});
      },
      [&](std::uint64_t id) { server.Abort(id); });
  const std::string address =
      "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0").value());
  deployment.store.Put("op", "config",
                       ConfigurationBody(2, {{.name = "r2",
                                              .prefix = "/write/",
                                              .kind = "unsafe",
                                              .timeout_ms = 15'000}}));
  deployment.store.Put("servers", "s-one",
                       deployment.server_one.RowAt(address, "ready"));
  EntryProcess entry({.store_address = deployment.store.address(),
                      .memory_megabytes = kSmallestMemoryMegabytes,
                      .max_descriptors = kDescriptors});
  REQUIRE(deployment.WaitUntil([&] {
    const auto [outcome, response] =
        deployment.Call(entry.readiness_address(), {.target = "/readiness"});
    return outcome == HttpOutcome::kAnswered && response.status == 200;
  }));
  HttpRequest request = Request("/write/a", "large", HttpMethod::kPost);
  request.headers[2].second = "15000";
  request.body = std::string(kLargestBody, 'x');
  std::optional<std::pair<HttpOutcome, HttpResponse>> result;
  deployment.client.Send(entry.caller_address(), request,
                         deployment.loop.Now() + kTestTimeout,
                         [&](HttpOutcome outcome, HttpResponse response) {
                           result = {outcome, std::move(response)};
                         });
  std::uint64_t most_resident = 0;
  REQUIRE(deployment.WaitUntil([&] {
    most_resident = std::max(most_resident, entry.ResidentBytes());
    return result.has_value();
  }));
  MESSAGE("resident bytes at most ", most_resident);
  CHECK(result->first == HttpOutcome::kAnswered);
  CHECK(result->second.status == 200);
  CHECK(received == kLargestBody);
  // The memory of the sanitizers is not counted.
#if !defined(__SANITIZE_ADDRESS__)
  CHECK(most_resident < 160'000'000);
#endif
}

}  // namespace cicadadrum::platform
