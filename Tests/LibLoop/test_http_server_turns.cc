// Tests of the HTTP server with callers that send many requests ahead.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "cicadadrum/loop/http_server.h"
#include "raw_caller.h"

namespace cicadadrum {

namespace {

// Requests sent ahead that may be handled before one that comes meanwhile.
constexpr std::size_t kMaxTurns = 64;

std::string Requests(const std::string& target, std::size_t count) {
  std::string requests;
  for (std::size_t i = 0; i < count; ++i)
    requests += "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  return requests;
}

// A server that answers at once.
struct AnsweringServer {
  EventLoop loop;
  std::vector<std::string> targets;
  std::unique_ptr<HttpServer> server;
  std::uint16_t port = 0;

  explicit AnsweringServer(const HttpServerOptions& options = {}) {
    server = std::make_unique<HttpServer>(
        loop, options,
        [this](std::uint64_t id, const HttpRequest& request) {
          targets.push_back(request.target);
          server->Respond(id, {});
        },
        [](std::uint64_t) {});
    port = server->Listen("127.0.0.1:0").value();
  }

  std::size_t CountBefore(const std::string& target) const {
    return static_cast<std::size_t>(std::ranges::find(targets, target) -
                                    targets.begin());
  }
};

}  // namespace

// Guards against connections whose requests ahead keep others from being read.
TEST_CASE("a request does not wait for those that others have sent ahead") {
  AnsweringServer fixture;
  constexpr std::size_t kCallers = 40;
  constexpr std::size_t kRequestsAhead = 200;
  std::vector<std::unique_ptr<RawCaller>> crowd;
  for (std::size_t i = 0; i < kCallers; ++i) {
    crowd.push_back(std::make_unique<RawCaller>(fixture.loop, fixture.port));
    crowd.back()->Send(Requests("/ahead", kRequestsAhead));
  }
  RawCaller ordinary(fixture.loop, fixture.port);
  ordinary.Send(Requests("/ordinary", 1));
  REQUIRE(ordinary.WaitUntil([&] { return !ordinary.received().empty(); }));
  CHECK(fixture.CountBefore("/ordinary") <= kCallers + kMaxTurns);
  CHECK(ordinary.WaitUntil(
      [&] { return fixture.targets.size() == kCallers * kRequestsAhead + 1; }));
}

// Guards against requests ahead that fill the memory and wait for it.
TEST_CASE("requests ahead that fill the memory make way") {
  AnsweringServer fixture({.max_held_bytes = 100'000});
  std::vector<std::unique_ptr<RawCaller>> crowd;
  for (std::size_t i = 0; i < 40; ++i) {
    crowd.push_back(std::make_unique<RawCaller>(fixture.loop, fixture.port));
    crowd.back()->Send(Requests("/ahead", 200));
  }
  RawCaller ordinary(fixture.loop, fixture.port);
  ordinary.Send(Requests("/ordinary", 1));
  CHECK(ordinary.WaitUntil([&] { return ordinary.Statuses() == "200 "; }));
}

TEST_CASE("requests ahead are answered after the sending half was closed") {
  AnsweringServer fixture;
  constexpr std::size_t kRequestsAhead = 200;
  RawCaller caller(fixture.loop, fixture.port);
  caller.Send(Requests("/ahead", kRequestsAhead));
  caller.Shutdown();
  REQUIRE(caller.WaitUntil([&] { return caller.has_ended(); }));
  CHECK(fixture.targets.size() == kRequestsAhead);
  CHECK(caller.Statuses().size() == kRequestsAhead * 4);
}

TEST_CASE("a caller that resets its connection ends its requests ahead") {
  AnsweringServer fixture;
  {
    RawCaller caller(fixture.loop, fixture.port);
    caller.Send(Requests("/ahead", 200));
    caller.WaitUntil([&] { return !fixture.targets.empty(); });
    caller.ResetAtEnd();
  }
  RawCaller ordinary(fixture.loop, fixture.port);
  ordinary.Send(Requests("/ordinary", 1));
  CHECK(ordinary.WaitUntil([&] { return ordinary.Statuses() == "200 "; }));
  CHECK(fixture.CountBefore("/ordinary") <= 200);
}

}  // namespace cicadadrum
