// Tests of large responses: reading that is paused while memory is short, and
// responses that their clients do not read.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <list>
#include <string>
#include <vector>

#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/loop/http_server.h"

namespace cicadadrum {

namespace {

constexpr std::size_t kBodyBytes = 1'000'000;
constexpr Duration kTestTimeout = Seconds(20);

// A server of large responses and a client on one loop.
struct TransferFixture {
  EventLoop loop;
  std::uint64_t unsent_seen = 0;
  HttpServer server{
      loop,
      {.unsent_changed = [this](std::uint64_t bytes) { unsent_seen = bytes; }},
      [this](std::uint64_t id, const HttpRequest& request) {
        server.Respond(id, {.body = BodyOf(request.target)});
      },
      [this](std::uint64_t id) { server.Abort(id); }};
  std::string address =
      "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0").value());
  HttpClient client{loop, {}};

  static std::string BodyOf(const std::string& target) {
    std::string body = target;
    body.resize(kBodyBytes, 'x');
    return body;
  }
};

}  // namespace

// Guards against responses of many servers that fill the memory together.
TEST_CASE("large responses are read one after another while memory is short") {
  constexpr std::size_t kCalls = 12;
  constexpr std::uint64_t kLimit = kBodyBytes;
  TransferFixture fixture;
  fixture.client.LimitReading(kLimit);
  std::size_t complete = 0;
  std::size_t ended = 0;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const std::string target = "/" + std::to_string(i);
    fixture.client.Send(fixture.address, {.target = target},
                        fixture.loop.Now() + kTestTimeout,
                        [&, target](HttpOutcome, const HttpResponse& response) {
                          ++ended;
                          if (response.body == TransferFixture::BodyOf(target))
                            ++complete;
                        });
  }
  std::uint64_t most_buffered = 0;
  while (ended < kCalls) {
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    most_buffered =
        std::max(most_buffered, fixture.client.counters().buffered_bytes);
  }
  CHECK(complete == kCalls);
  CHECK(fixture.client.counters().pauses > 0);
  // The response that goes on, and what the others had read before.
  CHECK(most_buffered < kLimit + kBodyBytes);
  CHECK(fixture.client.counters().buffered_bytes == 0);
}

TEST_CASE(
    "paused responses go on when the limit rises or a call is cancelled") {
  for (const bool cancels : {false, true}) {
    TransferFixture fixture;
    fixture.client.LimitReading(0);
    std::size_t ended = 0;
    std::vector<std::uint64_t> calls;
    calls.reserve(3);
    for (int i = 0; i < 3; ++i)
      calls.push_back(fixture.client.Send(
          fixture.address, {.target = "/"}, fixture.loop.Now() + kTestTimeout,
          [&](HttpOutcome outcome, const HttpResponse&) {
            CHECK(outcome == HttpOutcome::kAnswered);
            ++ended;
          }));
    while (fixture.client.counters().pauses == 0 && ended == 0)
      event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    if (cancels)
      fixture.client.Cancel(calls[0]);
    else
      fixture.client.LimitReading(100 * kBodyBytes);
    while (ended < (cancels ? 2 : 3))
      event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    CHECK(fixture.client.counters().buffered_bytes == 0);
  }
}

// Guards against memory that stays counted after its client is gone.
TEST_CASE("unsent bytes are counted until they are read or the client leaves") {
  TransferFixture fixture;
  std::size_t ended = 0;
  for (int i = 0; i < 4; ++i)
    fixture.client.Send(fixture.address, {.target = "/"},
                        fixture.loop.Now() + kTestTimeout,
                        [&](HttpOutcome, const HttpResponse&) { ++ended; });
  std::uint64_t most_unsent = 0;
  while (ended < 4) {
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    CHECK(fixture.unsent_seen == fixture.server.unsent_bytes());
    most_unsent = std::max(most_unsent, fixture.unsent_seen);
  }
  CHECK(most_unsent >= kBodyBytes);
  while (fixture.server.unsent_bytes() > 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  const std::uint64_t call = fixture.client.Send(
      fixture.address, {.target = "/"}, fixture.loop.Now() + kTestTimeout,
      [](HttpOutcome, const HttpResponse&) { FAIL("the call was cancelled"); });
  while (fixture.server.unsent_bytes() == 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  fixture.client.Cancel(call);
  while (fixture.server.unsent_bytes() > 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  CHECK(fixture.unsent_seen == 0);
}

TEST_CASE("a server that ends with unsent responses frees them") {
  EventLoop loop;
  HttpClient client{loop, {}};
  {
    HttpServer server(
        loop, {},
        [&](std::uint64_t id, const HttpRequest& /*request*/) {
          server.Respond(id, {.body = std::string(20 * kBodyBytes, 'x')});
          loop.Stop();
        },
        [](std::uint64_t /*id*/) {});
    const std::string address =
        "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0").value());
    client.Send(address, {.target = "/"}, loop.Now() + kTestTimeout,
                [](HttpOutcome, const HttpResponse&) {});
    loop.Run();
    CHECK(server.unsent_bytes() > 0);
  }
  // The sanitizers report memory that is used or kept after the server's end.
  event_base_loop(loop.base(), EVLOOP_NONBLOCK);
}

}  // namespace cicadadrum
