// Tests of the HTTP client with checks of new connections.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <algorithm>

#include "endless_responses.h"
#include "http_client_fixture.h"

namespace cicadadrum {

namespace {

constexpr Duration kConnectTimeout = Milliseconds(300);
// Age from which on connections need no check.
constexpr Duration kSufficientAge = Milliseconds(200);
// Time for which a call may take longer than its limit.
constexpr Duration kTolerance = Milliseconds(150);

const std::string kWarm = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm";
const std::string kCold = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncold";
const std::string kWarmAndCloses =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nwarm";
const std::string kErrorWithoutId =
    "HTTP/1.1 503 Unavailable\r\nContent-Length: 4\r\n\r\nfull";

ConnectionCheck Check() {
  return {.request = {.target = "/health"},
          .sufficient_age = kSufficientAge,
          .accepts = [](const HttpResponse& response) {
            return response.body != "cold";
          }};
}

HttpRequest RequestOf(const std::string& id,
                      HttpMethod method = HttpMethod::kGet) {
  return {.method = method,
          .target = "/" + id,
          .headers = {{"Request-Id", id}},
          .body = method == HttpMethod::kPost ? "body" : ""};
}

struct CheckFixture : ClientFixture {
  explicit CheckFixture(std::vector<ScriptedResponse> responses)
      : ClientFixture(std::move(responses),
                      {.connect_timeout = kConnectTimeout,
                       .echoed_header = "Request-Id"}) {}

  auto CallChecked(const std::string& id,
                   HttpMethod method = HttpMethod::kGet) {
    return Call(RequestOf(id, method), Check());
  }

  // Returns the methods and targets of all requests.
  std::vector<std::string> RequestLines() const {
    std::vector<std::string> lines;
    for (const std::string& request : server.requests())
      lines.push_back(request.substr(0, request.find(" HTTP")));
    return lines;
  }

  std::ptrdiff_t CountRequests(const std::string& line) const {
    return std::ranges::count(RequestLines(), line);
  }
};

using Lines = std::vector<std::string>;

}  // namespace

// Guards against a request that reaches a process which nobody has checked.
TEST_CASE("the check goes first and once a connection") {
  CheckFixture fixture(
      {{kWarm}, {MakeResponse("a", "first")}, {MakeResponse("b", "second")}});
  CHECK(fixture.CallChecked("a").second.body == "first");
  CHECK(fixture.CallChecked("b").second.body == "second");
  CHECK(fixture.RequestLines() == Lines{"GET /health", "GET /a", "GET /b"});
  CHECK(fixture.server.connection_count() == 1);
  CHECK(fixture.client.counters().checks == 1);
}

// Guards against the use of a connection that has not passed the check, and
// against the loss of the connection for other calls.
TEST_CASE("a connection that fails the check is left for other calls") {
  CheckFixture fixture({{kCold},
                        {MakeResponse("b", "unchecked")},
                        {kCold},
                        {MakeResponse("d", "old enough")}});
  const auto [outcome, response] = fixture.CallChecked("a");
  CHECK(outcome == HttpOutcome::kCheckFailed);
  CHECK(response.body == "cold");
  CHECK(fixture.Call("b").second.body == "unchecked");
  CHECK(fixture.server.connection_count() == 1);
  CHECK(fixture.CallChecked("c").first == HttpOutcome::kCheckFailed);
  CHECK(fixture.server.connection_count() == 2);
  fixture.RunFor(kSufficientAge);
  CHECK(fixture.CallChecked("d").second.body == "old enough");
  CHECK(fixture.server.connection_count() == 2);
  CHECK(fixture.RequestLines() ==
        Lines{"GET /health", "GET /", "GET /health", "GET /d"});
}

// Guards against taking a server that answers health requests late for one
// that can't be reached.
TEST_CASE("a check that waits longer than a connection attempt may succeed") {
  ConnectionCheck check = Check();
  check.max_wait = kConnectTimeout * 3;
  CheckFixture fixture({{}, {MakeResponse("a", "late")}});
  Timer respond(fixture.loop, [&] { fixture.server.WriteUnsolicited(kWarm); });
  respond.Schedule(fixture.loop.Now() + kConnectTimeout * 2);
  CHECK(fixture.Call(RequestOf("a"), check).second.body == "late");
  HttpRequest request = RequestOf("b");
  request.fresh_connection = true;
  CHECK(fixture.Call(request, check).first == HttpOutcome::kCheckTimedOut);
  CHECK(fixture.CountRequests("GET /b") == 0);
  CHECK(fixture.Call(request, Check()).first == HttpOutcome::kNotConnected);
}

// Guards against a request that is written as it was before it waited.
TEST_CASE("a request that waits is written as it is confirmed") {
  for (const bool is_checked : {false, true}) {
    CAPTURE(is_checked);
    CheckFixture fixture(
        is_checked ? std::vector<ScriptedResponse>{{kWarm},
                                                   {MakeResponse("a", "ok")},
                                                   {MakeResponse("b", "ok")}}
                   : std::vector<ScriptedResponse>{{MakeResponse("a", "ok")},
                                                   {MakeResponse("b", "ok")}});
    int confirmed = 0;
    const auto confirm = [&] {
      ++confirmed;
      HttpRequest request = RequestOf("a");
      request.headers.emplace_back("Deadline", "2");
      return std::optional(request);
    };
    const auto check =
        is_checked ? std::optional(Check()) : std::optional<ConnectionCheck>();
    CHECK(fixture.Call(RequestOf("a"), check, confirm).second.body == "ok");
    CHECK(confirmed == 1);
    CHECK(fixture.server.requests().back().find("Deadline: 2") !=
          std::string::npos);
    // The connection is open, so the request doesn't wait.
    CHECK(fixture.Call(RequestOf("b"), check, confirm).second.body == "ok");
    CHECK(confirmed == 1);
  }
}

TEST_CASE("a request that is not confirmed is withheld") {
  CheckFixture fixture({{kWarm}, {MakeResponse("b", "other call")}});
  const auto withhold = [] { return std::optional<HttpRequest>(); };
  CHECK(fixture.Call(RequestOf("a"), Check(), withhold).first ==
        HttpOutcome::kWithheld);
  CHECK(fixture.Call(RequestOf("b"), Check()).second.body == "other call");
  CHECK(fixture.server.connection_count() == 1);
  HttpRequest fresh = RequestOf("c");
  fresh.fresh_connection = true;
  CHECK(fixture.Call(fresh, std::nullopt, withhold).first ==
        HttpOutcome::kWithheld);
  CHECK(fixture.CountRequests("GET /a") == 0);
  CHECK(fixture.CountRequests("GET /c") == 0);
}

// Guards against a use of the call after its owner has cancelled it.
TEST_CASE("a call can be cancelled while it is confirmed") {
  CheckFixture fixture({{kWarm}});
  std::uint64_t id = 0;
  bool is_completed = false;
  id = fixture.client.Send(
      fixture.server.address(), RequestOf("a"),
      fixture.loop.Now() + kCallTimeout,
      [&](HttpOutcome, const HttpResponse&) { is_completed = true; }, Check(),
      [&] {
        fixture.client.Cancel(id);
        return std::optional(RequestOf("a"));
      });
  fixture.RunFor(Milliseconds(100));
  CHECK_FALSE(is_completed);
  CHECK(fixture.RequestLines() == Lines{"GET /health"});
}

// Guards against a request that is sent behind a check whose connection can't
// carry it, that is sent twice, or whose sender is told that it may have run.
TEST_CASE("a check without a usable response sends nothing of the request") {
  struct Case {
    std::string name;
    ScriptedResponse response;
  };
  const std::vector<Case> cases = {
      {"closes", {kWarmAndCloses}},
      {"closes after a time", {.bytes = kWarmAndCloses, .then_close = true}},
      {"extra bytes", {kWarm + "extra"}},
      {"extra response", {kWarm + kWarm}},
      {"cut off", {.bytes = kWarm.substr(0, 40), .then_close = true}},
      {"head cut off", {.bytes = kWarm.substr(0, 20), .then_close = true}},
      {"reset", {.then_reset = true}},
      {"malformed", {"no response\r\n\r\n"}},
      {"never arrives", {}},
      {"never completed", {kWarm.substr(0, 40)}},
  };
  for (const auto& unusable : cases) {
    CAPTURE(unusable.name);
    CheckFixture fixture(std::vector(4, unusable.response));
    const TimePoint begin = fixture.loop.Now();
    CHECK(fixture.CallChecked("a", HttpMethod::kPost).first ==
          HttpOutcome::kNotConnected);
    CHECK(fixture.loop.Now() - begin < kConnectTimeout + kTolerance);
    CHECK(fixture.CountRequests("POST /a") == 0);
    CHECK(fixture.server.request_count() <= 2);
  }
}

TEST_CASE("a POST is sent once after a connection that closes at the check") {
  for (const std::string& unusable : {kWarmAndCloses, kWarm + kWarm}) {
    CheckFixture fixture(
        {{unusable}, {kWarm}, {MakeResponse("a", "run")}, {kCold}});
    CHECK(fixture.CallChecked("a", HttpMethod::kPost).second.body == "run");
    CHECK(fixture.RequestLines() ==
          Lines{"GET /health", "GET /health", "POST /a"});
    CHECK(fixture.server.requests().back().ends_with("\r\n\r\nbody"));
    CHECK(fixture.server.connection_count() == 2);
  }
}

// Guards against a check that reads for as long as the server sends.
TEST_CASE("a check without end ends at the limit of its time or size") {
  for (const EndlessResponse& endless : AllEndlessResponses("")) {
    CAPTURE(endless.name);
    CheckFixture fixture({endless.response, endless.response});
    const TimePoint begin = fixture.loop.Now();
    CHECK(fixture.CallChecked("a").first == HttpOutcome::kNotConnected);
    CHECK(fixture.loop.Now() - begin < 2 * kConnectTimeout + kTolerance);
    CHECK(fixture.CountRequests("GET /a") == 0);
    while (fixture.server.open_count() > 0)
      event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    CHECK(fixture.client.counters().buffered_bytes == 0);
  }
}

// Guards against a check that each byte of a slow response extends.
TEST_CASE("a check that arrives byte by byte ends at the connect timeout") {
  CheckFixture fixture({{""}});
  std::size_t written = 0;
  Timer writer(fixture.loop, [&] {
    if (fixture.server.request_count() > 0 && fixture.server.open_count() > 0)
      fixture.server.WriteUnsolicited({kWarm[written++ % kWarm.size()]});
    writer.Schedule(fixture.loop.Now() + Milliseconds(50));
  });
  writer.Schedule(fixture.loop.Now());
  const TimePoint begin = fixture.loop.Now();
  CHECK(fixture.CallChecked("a").first == HttpOutcome::kNotConnected);
  CHECK(fixture.loop.Now() - begin < kConnectTimeout + kTolerance);
}

// Guards against a second copy of the response to the check that is taken for
// the response to the request, which may be an error without an id.
TEST_CASE("a late copy of the response to the check answers no request") {
  for (const std::string& check_response : {kWarm, kErrorWithoutId}) {
    for (const bool is_late : {false, true}) {
      CAPTURE(check_response);
      CAPTURE(is_late);
      const std::string first = MakeResponse("a", "first");
      const std::string second = MakeResponse("b", "second");
      CheckFixture fixture({{check_response},
                            {is_late ? first : check_response + first},
                            {is_late ? check_response + second : second},
                            {second}});
      const auto [outcome, response] = fixture.CallChecked("a");
      CHECK(outcome == HttpOutcome::kAnswered);
      CHECK(response.body == "first");
      if (is_late)
        CHECK(fixture.CallChecked("b").second.body == "second");
    }
  }
}

// Guards against a response to HEAD whose body is waited for, or a check whose
// body is taken for the response to HEAD.
TEST_CASE("a HEAD request follows a check that has a body") {
  CheckFixture fixture({{kWarm},
                        {"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                         "Content-Length: 9\r\n\r\n"}});
  const auto [outcome, response] = fixture.CallChecked("a", HttpMethod::kHead);
  CHECK(outcome == HttpOutcome::kAnswered);
  CHECK(FindField(response.headers, "Content-Length") == "9");
  CHECK(fixture.RequestLines() == Lines{"GET /health", "HEAD /a"});
}

// Guards against a request that follows although its caller has left, or is
// told that it may have run although only the check was sent.
TEST_CASE("nothing follows a check during which the call ends") {
  for (const bool is_cancelled : {false, true}) {
    CAPTURE(is_cancelled);
    CheckFixture fixture({{""}, {kWarm}});
    std::optional<HttpOutcome> outcome;
    const std::uint64_t id = fixture.client.Send(
        fixture.server.address(), RequestOf("a"),
        fixture.loop.Now() + kConnectTimeout / 3,
        [&](HttpOutcome ended, const HttpResponse&) { outcome = ended; },
        Check());
    while (fixture.server.request_count() == 0)
      event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    if (is_cancelled)
      fixture.client.Cancel(id);
    else
      fixture.RunFor(kConnectTimeout / 2);
    while (fixture.server.open_count() > 0)
      event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    fixture.RunFor(kConnectTimeout);
    CHECK(outcome == (is_cancelled
                          ? std::nullopt
                          : std::optional(HttpOutcome::kNotConnected)));
    CHECK(fixture.RequestLines() == Lines{"GET /health"});
  }
}

}  // namespace cicadadrum
