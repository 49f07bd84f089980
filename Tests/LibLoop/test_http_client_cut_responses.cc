// Tests of the HTTP client against servers that stop in the middle of a
// response and close or reset the connection.

#include <doctest/doctest.h>

#include "http_client_fixture.h"

namespace cicadadrum {

namespace {

enum class Framing : std::uint8_t { kLength, kChunked, kUntilClose };

std::string MakeFramedResponse(Framing framing) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nSeal: 3e1b.07\r\n";
  switch (framing) {
    case Framing::kLength:
      return head + "Content-Length: 10\r\n\r\n0123456789";
    case Framing::kChunked:
      return head +
             "Transfer-Encoding: chunked\r\n\r\n"
             "4\r\n0123\r\n6;x=1\r\n456789\r\n0\r\nTrailer: 1\r\n\r\n";
    case Framing::kUntilClose:
      return head + "\r\n0123456789";
  }
  return {};
}

// Sends the first `size` bytes of `response` as the response to request b, for
// each size from 0 to `end` - 1, ends the connection and checks the outcome.
// One server sends them all, because each one leaves a port in TIME_WAIT.
void CheckPrefixesAreLost(const std::string& response,
                          std::size_t end,
                          bool reset) {
  CAPTURE(reset);
  for (const bool kept : {false, true}) {
    CAPTURE(kept);
    std::vector<ScriptedResponse> responses;
    for (std::size_t size = 0; size < end; ++size) {
      if (kept)
        responses.push_back({MakeResponse("a", "first")});
      responses.push_back({.bytes = response.substr(0, size),
                           .then_close = !reset,
                           .then_reset = reset});
    }
    ClientFixture fixture(std::move(responses));
    for (std::size_t size = 0; size < end; ++size) {
      CAPTURE(size);
      if (kept)
        CHECK(fixture.Call("a").second.body == "first");
      const HttpOutcome expected =
          size == 0 && kept ? HttpOutcome::kLostUnused : HttpOutcome::kLost;
      CHECK(fixture.Call("b").first == expected);
      CHECK(fixture.server.connection_count() == size + 1);
    }
  }
}

HttpOutcome OutcomeBeforeClose(const std::string& bytes) {
  ClientFixture fixture({{.bytes = bytes, .then_close = true}});
  return fixture.Call("b").first;
}

}  // namespace

TEST_CASE("a response that is cut anywhere is not delivered as whole") {
  for (const Framing framing : {Framing::kLength, Framing::kChunked}) {
    const std::string response = MakeFramedResponse(framing);
    CHECK(OutcomeBeforeClose(response) == HttpOutcome::kAnswered);
    CheckPrefixesAreLost(response, response.size(), false);
    CheckPrefixesAreLost(response, response.size(), true);
  }
}

TEST_CASE("a response until the close is not delivered after a cut head") {
  const std::string response = MakeFramedResponse(Framing::kUntilClose);
  const std::size_t head_size = response.find("\r\n\r\n") + 4;
  CheckPrefixesAreLost(response, head_size, false);
  CheckPrefixesAreLost(response, response.size() + 1, true);
}

TEST_CASE("an interim response before a cut head completes nothing") {
  for (const std::string status : {"100 Continue", "103 Early Hints"}) {
    CAPTURE(status);
    for (const std::string rest : {"", "HTTP/1.1 200 OK\r\nRequest-Id: b\r\n"})
      CHECK(OutcomeBeforeClose("HTTP/1.1 " + status + "\r\n\r\n" + rest) ==
            HttpOutcome::kLost);
  }
}

}  // namespace cicadadrum
