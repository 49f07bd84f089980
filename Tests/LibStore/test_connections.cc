// Tests of the store's connections against a platform that stops in the middle
// of a response or sends bytes without end.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <optional>
#include <vector>

#include "connections.h"
#include "scripted_server.h"

namespace cicadadrum {

namespace {

constexpr std::size_t kMaxResponseBytes = 1 << 20;
// Upper bound of the endless bytes that the platform gets rid of before the
// connection is closed.
constexpr std::size_t kMaxEndlessBytes = 16 << 20;

// Returns the outcome of one request to a platform that responds with
// `response`.
std::optional<StoreAttemptOutcome> OutcomeOf(const ScriptedResponse& response,
                                             std::size_t* endless = nullptr) {
  EventLoop loop;
  ScriptedServer server(loop, {response});
  std::optional<StoreAttemptOutcome> result;
  Connections connections(loop.base(), server.address(), 1, kMaxResponseBytes,
                          [&](std::uint64_t /*id*/, StoreAttemptOutcome outcome,
                              const StoreHttpResponse& /*response*/) {
                            result = outcome;
                            loop.Stop();
                          });
  connections.Send(1, {.path = "/rows"});
  Timer timer(loop, [&] { loop.Stop(); });
  timer.Schedule(loop.Now() + Seconds(3));
  loop.Run();
  if (endless != nullptr)
    *endless = server.endless_byte_count();
  return result;
}

}  // namespace

// Guards against a cut response that is taken for a whole one, or for a request
// that was not sent.
TEST_CASE("a store response that is cut anywhere is lost") {
  for (const std::string response :
       {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 10\r\n\r\n0123456789",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"}) {
    CHECK(OutcomeOf({.bytes = response}) == StoreAttemptOutcome::kAnswered);
    for (std::size_t size = 0; size < response.size(); ++size) {
      CAPTURE(response.substr(0, size));
      for (const bool reset : {false, true})
        CHECK(OutcomeOf({.bytes = response.substr(0, size),
                         .then_close = !reset,
                         .then_reset = reset}) == StoreAttemptOutcome::kLost);
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
    std::size_t endless = 0;
    CHECK(OutcomeOf(response, &endless) == StoreAttemptOutcome::kLost);
    CHECK(endless < kMaxEndlessBytes);
  }
}

// Guards against a write that is taken as refused although the platform may
// perform it.
TEST_CASE("bytes behind a store response are not the next request's response") {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  for (const bool same_write : {true, false}) {
    CAPTURE(same_write);
    EventLoop loop;
    ScriptedServer server(loop,
                          {{same_write ? refusal + refusal : refusal},
                           {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}});
    std::vector<StoreAttemptOutcome> outcomes;
    Connections connections(
        loop.base(), server.address(), 1, kMaxResponseBytes,
        [&](std::uint64_t /*id*/, StoreAttemptOutcome outcome,
            const StoreHttpResponse& /*response*/) {
          outcomes.push_back(outcome);
          loop.Stop();
        });
    connections.Send(1, {.path = "/rows"});
    loop.Run();
    if (!same_write)
      server.WriteUnsolicited(refusal);
    connections.Send(2, {.path = "/rows"});
    loop.Run();
    CHECK(outcomes == std::vector{StoreAttemptOutcome::kRefused,
                                  StoreAttemptOutcome::kAnswered});
    CHECK(server.request_count() == 2);
  }
}

}  // namespace cicadadrum
