// Tests of the HTTP client against servers that send bytes without end.

#include <doctest/doctest.h>
#include <event2/event.h>

#include "http_client_fixture.h"

namespace cicadadrum {

namespace {

// Upper bound of the endless bytes that a server gets rid of before the client
// closes: those that the client reads, and the socket buffers of both sides.
constexpr std::size_t kMaxEndlessBytes = 16 << 20;

struct EndlessCase {
  std::string name;
  ScriptedResponse response;
};

std::vector<EndlessCase> EndlessHeads() {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  return {
      {"zeros", {.endless_bytes = std::string(64, '\0')}},
      {"empty lines", {.endless_bytes = "\r\n"}},
      {"status line", {.bytes = "HTTP/1.1 200 ", .endless_bytes = "O"}},
      {"header name", {.bytes = head, .endless_bytes = "N"}},
      {"header value", {.bytes = head + "Name: ", .endless_bytes = "v"}},
      {"spaces before a value",
       {.bytes = head + "Name:", .endless_bytes = " "}},
      {"headers", {.bytes = head, .endless_bytes = "A:\r\n"}},
      {"interim responses", {.endless_bytes = "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"interim responses with headers",
       {.endless_bytes = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}},
      {"responses with another id",
       {.endless_bytes = MakeResponse("x", "surplus")}},
      {"responses without an id",
       {.endless_bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}},
  };
}

std::vector<EndlessCase> EndlessBodies() {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string long_extension(1000, 'x');
  return {
      {"body without a length", {.bytes = head + "\r\n", .endless_bytes = "b"}},
      {"chunks", {.bytes = head + chunked, .endless_bytes = "4\r\nbody\r\n"}},
      {"chunk size", {.bytes = head + chunked, .endless_bytes = "0"}},
      {"chunk extension",
       {.bytes = head + chunked + "4;", .endless_bytes = "x"}},
      {"chunks with long extensions",
       {.bytes = head + chunked,
        .endless_bytes = "1;" + long_extension + "\r\nb\r\n"}},
      {"trailers",
       {.bytes = head + chunked + "0\r\n", .endless_bytes = "T: 1\r\n"}},
      {"length beyond the limit",
       {.bytes = head + "Content-Length: 99999999999\r\n\r\n",
        .endless_bytes = "b"}},
      {"chunk beyond the limit",
       {.bytes = head + chunked + "fffffffff\r\n", .endless_bytes = "b"}},
      {"body of a response with another id",
       {.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: x\r\n\r\n",
        .endless_bytes = "b"}},
  };
}

void CheckEndsAsLost(const EndlessCase& endless_case) {
  CAPTURE(endless_case.name);
  ClientFixture fixture({endless_case.response});
  CHECK(fixture.Call("a").first == HttpOutcome::kLost);
  while (fixture.server.open_count() > 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  CHECK(fixture.server.endless_byte_count() < kMaxEndlessBytes);
}

}  // namespace

// Guards against a call that lasts until its deadline and a connection that
// reads all the time.
TEST_CASE("a head without end is lost and the connection is closed") {
  for (const EndlessCase& endless_case : EndlessHeads())
    CheckEndsAsLost(endless_case);
}

TEST_CASE("a body without end is lost and the connection is closed") {
  for (const EndlessCase& endless_case : EndlessBodies())
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
  CHECK(fixture.Call("a").first == HttpOutcome::kLost);
}

}  // namespace cicadadrum
