// Tests of the store's connections against a platform that stops in the middle
// of a response or sends bytes without end.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <optional>
#include <vector>

#include "connections.h"
#include "response_forms.h"
#include "scripted_server.h"

namespace cicadadrum {

namespace {

constexpr std::size_t kMaxResponseBytes = 1 << 20;
// Upper bound of the endless bytes that the platform gets rid of before the
// connection is closed.
constexpr std::size_t kMaxEndlessBytes = 16 << 20;
constexpr Duration kCallTimeout = Seconds(3);

// A platform and the connections to it on one loop.
struct ConnectionsFixture {
  EventLoop loop;
  ScriptedServer server;
  std::uint64_t last_id = 0;
  std::optional<StoreAttemptOutcome> outcome;
  StoreHttpResponse response;
  Connections connections{loop, server.address(), 1, kMaxResponseBytes,
                          [this](std::uint64_t /*id*/,
                                 StoreAttemptOutcome ended,
                                 const StoreHttpResponse& received) {
                            outcome = ended;
                            response = received;
                            loop.Stop();
                          }};

  explicit ConnectionsFixture(std::vector<ScriptedResponse> responses)
      : server(loop, std::move(responses)) {}

  // Returns the outcome of one request, or nothing if it does not end.
  std::optional<StoreAttemptOutcome> Call() {
    outcome.reset();
    connections.Send(++last_id, {.path = "/rows"});
    Timer timer(loop, [this] { loop.Stop(); });
    timer.Schedule(loop.Now() + kCallTimeout);
    loop.Run();
    return outcome;
  }
};

}  // namespace

// Guards against a cut response that is taken for a whole one, or for a request
// that was not sent.
TEST_CASE("a store response that is cut anywhere is lost") {
  for (const std::string response :
       {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 10\r\n\r\n0123456789",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"}) {
    std::vector<ScriptedResponse> responses{{response}};
    for (std::size_t size = 0; size < response.size(); ++size) {
      const std::string prefix = response.substr(0, size);
      responses.push_back({.bytes = prefix, .then_close = true});
      responses.push_back({.bytes = prefix, .then_reset = true});
    }
    ConnectionsFixture fixture(responses);
    CHECK(fixture.Call() == StoreAttemptOutcome::kAnswered);
    for (std::size_t i = 1; i < responses.size(); ++i) {
      CAPTURE(responses[i].bytes);
      CAPTURE(responses[i].then_reset);
      CHECK(fixture.Call() == StoreAttemptOutcome::kLost);
      CHECK(fixture.server.request_count() == i + 1);
    }
  }
}

TEST_CASE("a store response without end is lost") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  for (const ScriptedResponse& response : std::vector<ScriptedResponse>{
           {.endless_bytes = "x"},
           {.endless_bytes = "\r\n"},
           {.bytes = "HTTP/1.1 200 ", .endless_bytes = "O"},
           {.bytes = head, .endless_bytes = "N"},
           {.bytes = head + "Name: ", .endless_bytes = "v"},
           {.bytes = head, .endless_bytes = "A: 1\r\n"},
           {.endless_bytes = "HTTP/1.1 100 Continue\r\n\r\n"},
           {.bytes = head + "\r\n", .endless_bytes = "b"},
           {.bytes = head + chunked, .endless_bytes = "4\r\nbody\r\n"},
           {.bytes = head + chunked, .endless_bytes = "0"},
           {.bytes = head + chunked + "4;", .endless_bytes = "x"},
           {.bytes = head + chunked + "0\r\n", .endless_bytes = "T: 1\r\n"}}) {
    CAPTURE(response.bytes);
    CAPTURE(response.endless_bytes);
    ConnectionsFixture fixture({response});
    CHECK(fixture.Call() == StoreAttemptOutcome::kLost);
    CHECK(fixture.server.endless_byte_count() < kMaxEndlessBytes);
  }
}

// Guards against a row or an object that the platform did not send in full and
// well-formed.
TEST_CASE("a store response has one verdict in each form and at each reset") {
  for (const ResponseForm& form : ResponseForms()) {
    if (form.method == HttpMethod::kHead)
      continue;
    CAPTURE(form.name);
    CAPTURE(form.bytes);
    const bool until_close = form.verdict == FormVerdict::kUntilClose;
    std::vector<ScriptedResponse> responses{
        {.bytes = form.bytes, .then_close = until_close}};
    const std::size_t complete_size = form.bytes.size() - form.excess_bytes;
    const std::size_t resets = complete_size + (until_close ? 1 : 0);
    for (std::size_t size = 0; size < resets; ++size)
      responses.push_back(
          {.bytes = form.bytes.substr(0, size), .then_reset = true});
    ConnectionsFixture fixture(responses);
    // The platform's own errors leave the effect of a request open.
    const bool answered =
        form.verdict != FormVerdict::kRefused && form.status < 500;
    CHECK(fixture.Call() == (answered ? StoreAttemptOutcome::kAnswered
                                      : StoreAttemptOutcome::kLost));
    if (answered) {
      CHECK(fixture.response.status == form.status);
      CHECK(fixture.response.body == form.body);
    }
    for (std::size_t size = 0; size < resets; ++size) {
      CAPTURE(size);
      CHECK(fixture.Call() == StoreAttemptOutcome::kLost);
    }
  }
}

// Guards against a write that is taken as refused although the platform may
// perform it.
TEST_CASE("bytes behind a store response are not the next request's response") {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  for (const bool same_write : {true, false}) {
    CAPTURE(same_write);
    ConnectionsFixture fixture(
        {{same_write ? refusal + refusal : refusal},
         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}});
    CHECK(fixture.Call() == StoreAttemptOutcome::kRefused);
    if (!same_write)
      fixture.server.WriteUnsolicited(refusal);
    CHECK(fixture.Call() == StoreAttemptOutcome::kAnswered);
    CHECK(fixture.server.request_count() == 2);
  }
}

}  // namespace cicadadrum
