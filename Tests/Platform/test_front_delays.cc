// End-to-end tests of requests that wait between the choice of their server and
// the moment at which they are sent.

#include <algorithm>
#include <cstdint>
#include <string>

#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

constexpr Duration kCheckDelay = Milliseconds(700);
// Of the caller, stated by Request().
constexpr Duration kCallerTime = Milliseconds(3000);
constexpr std::uint32_t kRouteTimeMs = 5000;

// Returns the value of a header of a request as it arrived.
std::string HeaderOf(const std::string& request, std::string_view name) {
  const std::string begin = "\r\n" + std::string(name) + ": ";
  const std::size_t found = request.find(begin);
  if (found == std::string::npos)
    return {};
  const std::size_t value = found + begin.size();
  return request.substr(value, request.find("\r\n", value) - value);
}

// An entry VM with one server, which answers the first check late.
struct LateCheckDeployment : Deployment {
  ScriptedServer server{loop, {ScriptedResponse{}}};
  Settings settings = MakeSettings("entry-1");
  Front front{loop, kj_loop, settings, {.high = 1, .low = 1}};
  Timer answer_check{
      loop, [this] { server.WriteUnsolicited(HealthResponse("s-one")); }};

  LateCheckDeployment() {
    store.Put(
        "op", "config",
        ConfigurationBody(
            1,
            {{.name = "r1", .prefix = "/read/", .timeout_ms = kRouteTimeMs}}));
    store.Put("servers", "s-one", server_one.RowAt(server.address(), "ready"));
    REQUIRE(front.Start());
    REQUIRE(WaitUntil([this] { return IsReady(settings); }));
  }

  // Sends a request and returns when its check has arrived.
  void SendUntilCheck() {
    client.Send(settings.self.caller_address, Request("/read/a", "late"),
                loop.Now() + kTestTimeout,
                [](HttpOutcome, const HttpResponse&) {});
    REQUIRE(WaitUntil([this] { return server.requests().size() == 1; }));
  }

  std::size_t CountSent() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        server.requests(), [](const std::string& request) {
          return request.starts_with("GET /read/a ");
        }));
  }
};

}  // namespace

// Guards against a server that works on a request after its caller has left.
TEST_CASE("a request that waits for a check states the time that is left") {
  LateCheckDeployment entry;
  entry.SendUntilCheck();
  entry.answer_check.Schedule(entry.loop.Now() + kCheckDelay);
  REQUIRE(entry.WaitUntil([&] { return entry.CountSent() == 1; }));
  const std::string time = HeaderOf(entry.server.requests().back(), kDeadline);
  REQUIRE(!time.empty());
  CHECK(Milliseconds(std::stoi(time)) <= kCallerTime - kCheckDelay);
}

// Guards against a request that reaches a server which is no longer listed.
TEST_CASE("a request that waits for a check isn't sent to a removed server") {
  LateCheckDeployment entry;
  entry.SendUntilCheck();
  entry.store.Remove("servers", "s-one");
  entry.answer_check.Schedule(entry.loop.Now() + kCheckDelay);
  entry.WaitUntil([] { return false; }, kCheckDelay + Milliseconds(300));
  CHECK(entry.CountSent() == 0);
}

}  // namespace cicadadrum::platform
