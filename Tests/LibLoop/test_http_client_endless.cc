// Tests of the HTTP client against servers that send bytes without end.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <algorithm>

#include "cicadadrum/loop/http_server.h"
#include "endless_responses.h"
#include "http_client_fixture.h"

namespace cicadadrum {

namespace {

// Upper bound of the endless bytes that a server gets rid of before the client
// closes: those that the client reads, and the socket buffers of both sides.
constexpr std::size_t kMaxEndlessBytes = 16 << 20;

const std::string kIdentification = "Request-Id: a\r\n";

void CheckEndsAsLost(const EndlessResponse& endless_case) {
  CAPTURE(endless_case.name);
  ClientFixture fixture({endless_case.response});
  CHECK(fixture.Call("a").first == HttpOutcome::kMalformed);
  while (fixture.server.open_count() > 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  CHECK(fixture.server.endless_byte_count() < kMaxEndlessBytes);
  CHECK(fixture.client.counters().buffered_bytes == 0);
}

}  // namespace

// Guards against a call that lasts until its deadline and a connection that
// reads all the time.
TEST_CASE("a head without end is lost and the connection is closed") {
  for (const EndlessResponse& endless_case : EndlessHeads(kIdentification))
    CheckEndsAsLost(endless_case);
}

TEST_CASE("a body without end is lost and the connection is closed") {
  for (const EndlessResponse& endless_case : EndlessBodies(kIdentification))
    CheckEndsAsLost(endless_case);
}

TEST_CASE("bytes without end behind a response don't change it") {
  ClientFixture fixture(
      {{.bytes = MakeResponse("a", "first"), .endless_bytes = "behind"},
       {MakeResponse("b", "second")}});
  CHECK(fixture.Call("a").second.body == "first");
  while (fixture.server.open_count() > 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.server.endless_byte_count() < kMaxEndlessBytes);
}

// The head tells that the length is too large, so no body is waited for.
TEST_CASE("a length beyond the limit is lost at its head") {
  ClientFixture fixture(
      {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
        "Content-Length: 99999999999\r\n\r\n"}});
  CHECK(fixture.Call("a").first == HttpOutcome::kMalformed);
}

// Guards against an entry VM that runs out of memory. Each response alone is
// within its limit.
TEST_CASE("endless bodies on many connections hold a bounded number of bytes") {
  constexpr std::size_t kCalls = 12;
  constexpr std::uint64_t kLimit = 8 << 20;
  EventLoop loop;
  const ScriptedResponse endless{.bytes = "HTTP/1.1 200 OK\r\n\r\n",
                                 .endless_bytes = "body"};
  ScriptedServer faulty(loop, std::vector(kCalls, endless));
  const std::string body(100'000, 'x');
  ScriptedServer ordinary(
      loop, std::vector(kCalls, ScriptedResponse{MakeResponse("a", body)}));
  HttpClient client(
      loop, {.max_response_bytes = 64 << 20, .max_buffered_bytes = kLimit});
  std::size_t lost = 0;
  std::size_t answered = 0;
  const auto record = [&](HttpOutcome outcome, const HttpResponse& response) {
    if (outcome == HttpOutcome::kMalformed)
      ++lost;
    if (outcome == HttpOutcome::kAnswered && response.body == body)
      ++answered;
  };
  for (std::size_t i = 0; i < kCalls; ++i)
    client.Send(faulty.address(), {.target = "/"}, loop.Now() + kCallTimeout,
                record);
  std::uint64_t most_buffered = 0;
  std::size_t sent_ordinary = 0;
  while (lost + answered < 2 * kCalls) {
    event_base_loop(loop.base(), EVLOOP_ONCE);
    most_buffered = std::max(most_buffered, client.counters().buffered_bytes);
    // Each ordinary request is sent while endless responses fill the limit.
    if (sent_ordinary < kCalls && sent_ordinary <= lost) {
      ++sent_ordinary;
      client.Send(ordinary.address(), {.target = "/"},
                  loop.Now() + kCallTimeout, record);
    }
  }
  CHECK(lost == kCalls);
  CHECK(answered == kCalls);
  CHECK(most_buffered > kLimit / 2);
  CHECK(most_buffered <= kLimit);
  CHECK(client.counters().buffered_bytes == 0);
  CHECK(faulty.endless_byte_count() < kCalls * kMaxEndlessBytes);
}

// A response as large as the limits allow, twice on the same client.
TEST_CASE("the largest response passes while nothing else is buffered") {
  constexpr std::uint64_t kMaxResponse = 4 << 20;
  EventLoop loop;
  const std::string body(kMaxResponse, 'x');
  HttpServer server(
      loop, {},
      [&](std::uint64_t id, const HttpRequest& /*request*/) {
        server.Respond(id, {.body = body});
      },
      [](std::uint64_t /*id*/) {});
  const std::string address =
      "127.0.0.1:" + std::to_string(server.Listen("127.0.0.1:0").value());
  HttpClient client(loop, {.max_response_bytes = kMaxResponse,
                           .max_buffered_bytes = kMaxResponse + 1024});
  for (int i = 0; i < 2; ++i) {
    client.Send(address, {.target = "/"}, loop.Now() + kCallTimeout,
                [&](HttpOutcome outcome, const HttpResponse& response) {
                  CHECK(outcome == HttpOutcome::kAnswered);
                  CHECK(response.body.size() == body.size());
                  loop.Stop();
                });
    loop.Run();
    CHECK(client.counters().buffered_bytes == 0);
  }
}

TEST_CASE("a cancelled call holds no bytes") {
  ClientFixture fixture({{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody"}});
  const std::uint64_t call = fixture.client.Send(
      fixture.server.address(),
      {.target = "/", .headers = {{"Request-Id", "a"}}},
      fixture.loop.Now() + kCallTimeout,
      [](HttpOutcome, const HttpResponse&) { FAIL("the call was cancelled"); });
  while (fixture.client.counters().buffered_bytes == 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  fixture.client.Cancel(call);
  CHECK(fixture.client.counters().buffered_bytes == 0);
}

}  // namespace cicadadrum
