// Tests of the HTTP server with callers that send requests ahead, keep to no
// limit of time, leave, or read slowly.

#include <doctest/doctest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/loop/http_server.h"
#include "raw_caller.h"

namespace cicadadrum {

namespace {

std::string RequestFor(const std::string& method, const std::string& target) {
  return method + " " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// A server that leaves its requests unanswered.
struct ServerFixture {
  EventLoop loop;
  std::vector<std::pair<std::uint64_t, std::string>> requests;
  std::vector<std::uint64_t> closed;
  std::unique_ptr<HttpServer> server;
  std::uint16_t port = 0;

  explicit ServerFixture(const HttpServerOptions& options = {}) {
    server = std::make_unique<HttpServer>(
        loop, options,
        [this](std::uint64_t id, const HttpRequest& request) {
          requests.emplace_back(id, request.target);
        },
        [this](std::uint64_t id) { closed.push_back(id); });
    port = server->Listen("127.0.0.1:0").value();
  }

  void Respond(std::size_t index, HttpFields fields = {}) {
    server->Respond(
        requests[index].first,
        {.headers = std::move(fields), .body = "to " + requests[index].second});
  }
};

}  // namespace

// Guards against answers that reach the wrong request, and against requests
// that wait although nothing keeps them from running.
TEST_CASE("GET requests run side by side and are answered in order") {
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.port);
  caller.Send(RequestFor("GET", "/a") + RequestFor("HEAD", "/b") +
              RequestFor("GET", "/c"));
  REQUIRE(caller.WaitUntil([&] { return fixture.requests.size() == 3; }));
  fixture.Respond(2);
  fixture.Respond(1);
  CHECK(!caller.WaitUntil([&] { return !caller.received().empty(); },
                          Milliseconds(20)));
  fixture.Respond(0);
  REQUIRE(caller.WaitUntil([&] { return caller.Statuses().size() == 12; }));
  const std::size_t first = caller.received().find("to /a");
  const std::size_t third = caller.received().find("to /c");
  CHECK(first < third);
  CHECK(third != std::string::npos);
  CHECK(caller.received().find("to /b") == std::string::npos);
}

// Guards against a request that must not be repeated and runs although the
// caller has to take it as not read.
TEST_CASE("a POST request waits for earlier answers and later ones for it") {
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.port);
  caller.Send(RequestFor("GET", "/a") + RequestFor("POST", "/b") +
              RequestFor("GET", "/c"));
  REQUIRE(caller.WaitUntil([&] { return fixture.requests.size() == 1; }));
  CHECK(!caller.WaitUntil([&] { return fixture.requests.size() > 1; },
                          Milliseconds(20)));
  fixture.Respond(0);
  REQUIRE(caller.WaitUntil([&] { return fixture.requests.size() == 2; }));
  CHECK(!caller.WaitUntil([&] { return fixture.requests.size() > 2; },
                          Milliseconds(20)));
  fixture.Respond(1);
  CHECK(caller.WaitUntil([&] { return fixture.requests.size() == 3; }));
}

TEST_CASE("a closing answer ends the connection after the running requests") {
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.port);
  caller.Send(RequestFor("GET", "/a") + RequestFor("GET", "/b") +
              RequestFor("POST", "/c"));
  REQUIRE(caller.WaitUntil([&] { return fixture.requests.size() == 2; }));
  fixture.Respond(0, {{"Connection", "close"}});
  CHECK(
      !caller.WaitUntil([&] { return caller.has_ended(); }, Milliseconds(20)));
  CHECK(caller.received().find("close") == std::string::npos);
  fixture.Respond(1);
  REQUIRE(caller.WaitUntil([&] { return caller.has_ended(); }));
  CHECK(caller.Statuses() == "200 200 ");
  CHECK(caller.received().find("Connection: close") >
        caller.received().find("to /a"));
  CHECK(fixture.requests.size() == 2);
}

// Guards against memory that grows with what a caller sends ahead.
TEST_CASE("a bounded number of requests is read ahead") {
  ServerFixture fixture({.max_requests_ahead = 4});
  RawCaller caller(fixture.loop, fixture.port);
  for (int i = 0; i < 100; ++i)
    caller.Send(RequestFor("GET", "/a"));
  caller.WaitUntil([] { return false; }, Milliseconds(50));
  CHECK(fixture.requests.size() == 4);
  // The response is larger than the buffers of the kernel.
  fixture.server->Respond(fixture.requests[0].first,
                          {.body = std::string(std::size_t{16} << 20, 'x')});
  for (int i = 0; i < 50; ++i)
    event_base_loop(fixture.loop.base(), EVLOOP_NONBLOCK);
  CHECK(fixture.requests.size() == 4);
}

TEST_CASE("late heads and bodies get 408 and idle connections end") {
  ServerFixture fixture({.limits = {.header_timeout = Milliseconds(100),
                                    .idle_timeout = Milliseconds(600)},
                         .body_timeout_of = [](const HttpRequest&) {
                           return Milliseconds(100);
                         }});
  for (const std::string bytes :
       {"GET /a HTTP/1.1\r\n", "\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx"}) {
    CAPTURE(bytes);
    RawCaller caller(fixture.loop, fixture.port);
    caller.Send(bytes);
    CHECK(caller.WaitUntil([&] { return caller.has_ended(); }));
    CHECK(caller.Statuses() == "408 ");
  }
  RawCaller caller(fixture.loop, fixture.port);
  CHECK(caller.WaitUntil([&] { return caller.has_ended(); }));
  CHECK(caller.Statuses().empty());
  CHECK(fixture.requests.empty());
}

// Guards against work for callers that are gone, also while nothing is read
// from them.
TEST_CASE("callers that leave are noticed, also with a reset") {
  for (const bool resets : {false, true}) {
    for (const std::size_t ahead : {0, 3000}) {
      CAPTURE(resets);
      CAPTURE(ahead);
      ServerFixture fixture;
      RawCaller observer(fixture.loop, fixture.port);
      {
        RawCaller caller(fixture.loop, fixture.port);
        if (resets)
          caller.ResetAtEnd();
        caller.Send(RequestFor("POST", "/a"));
        for (std::size_t i = 0; i < ahead; ++i)
          caller.Send(RequestFor("GET", "/b"));
        REQUIRE(caller.WaitUntil([&] { return fixture.requests.size() == 1; }));
      }
      CHECK(observer.WaitUntil([&] { return fixture.closed.size() == 1; }));
    }
  }
}

// Guards against callers of a planned stop whose response is cut although they
// read it.
TEST_CASE("the end waits for responses that are being read") {
  ServerFixture fixture;
  RawCaller caller(fixture.loop, fixture.port);
  caller.Send(RequestFor("GET", "/a"));
  REQUIRE(caller.WaitUntil([&] { return fixture.requests.size() == 1; }));
  constexpr std::size_t kBytes = std::size_t{32} << 20;
  fixture.server->Respond(
      fixture.requests[0].first,
      {.headers = {{"Connection", "close"}}, .body = std::string(kBytes, 'x')});
  bool flushed = false;
  fixture.server->WhenFlushed([&] { flushed = true; }, Seconds(20));
  CHECK(!caller.WaitUntil([&] { return flushed; }, Milliseconds(1)));
  REQUIRE(caller.WaitUntil([&] { return flushed; }, Seconds(20)));
  fixture.server.reset();
  CHECK(caller.WaitUntil([&] { return caller.has_ended(); }));
  CHECK(caller.received().size() > kBytes);
}

// Guards against requests on kept connections that are read at a planned stop
// and never answered.
TEST_CASE("requests that come while the end waits are passed on") {
  ServerFixture fixture;
  RawCaller slow(fixture.loop, fixture.port);
  RawCaller kept(fixture.loop, fixture.port);
  slow.Send(RequestFor("GET", "/slow"));
  kept.Send(RequestFor("GET", "/first"));
  REQUIRE(kept.WaitUntil([&] { return fixture.requests.size() == 2; }));
  fixture.server->Respond(fixture.requests[0].first,
                          {.body = std::string(std::size_t{32} << 20, 'x')});
  fixture.Respond(1);
  REQUIRE(kept.WaitUntil([&] { return kept.Statuses() == "200 "; }));
  bool flushed = false;
  fixture.server->WhenFlushed([&] { flushed = true; }, Seconds(20));
  kept.Send(RequestFor("POST", "/second"));
  REQUIRE(kept.WaitUntil([&] { return fixture.requests.size() == 3; }));
  fixture.Respond(2, {{"Connection", "close"}});
  CHECK(kept.WaitUntil([&] { return kept.has_ended(); }));
  CHECK(kept.Statuses() == "200 200 ");
  CHECK(!flushed);
}

TEST_CASE("the oldest idle connection makes way for a new one") {
  ServerFixture fixture({.max_connections = 3});
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(std::make_unique<RawCaller>(fixture.loop, fixture.port));
    callers.back()->Send(RequestFor("GET", "/a"));
    REQUIRE(callers.back()->WaitUntil(
        [&] { return std::cmp_equal(fixture.requests.size(), i + 1); }));
    if (i == 1) {
      fixture.Respond(1);
      REQUIRE(callers.back()->WaitUntil(
          [&] { return callers[1]->Statuses() == "200 "; }));
    }
  }
  CHECK(callers[1]->WaitUntil([&] { return callers[1]->has_ended(); }));
  CHECK(fixture.closed.empty());
}

// Guards against a burst of callers that takes all descriptors of the process.
TEST_CASE("connections that make way free their descriptors at once") {
  constexpr std::size_t kMaxConnections = 8;
  constexpr std::size_t kCallers = 100;
  ServerFixture fixture({.max_connections = kMaxConnections});
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i)
    callers.push_back(std::make_unique<RawCaller>(fixture.loop, fixture.port));
  const int next = dup(STDERR_FILENO);
  close(next);
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  // The connections, and the one that is being accepted.
  const rlimit lowered{.rlim_cur = next + kMaxConnections + 1,
                       .rlim_max = before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &lowered);
  for (int i = 0; i < 4; ++i)
    event_base_loop(fixture.loop.base(), EVLOOP_NONBLOCK);
  setrlimit(RLIMIT_NOFILE, &before);
  CHECK(fixture.server->counters().displaced == kCallers - kMaxConnections);
}

}  // namespace cicadadrum
