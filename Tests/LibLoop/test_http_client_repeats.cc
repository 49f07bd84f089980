// Tests of the HTTP client against servers that write an earlier refusal once
// more on a kept connection.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <optional>

#include "http_client_fixture.h"

namespace cicadadrum {

namespace {

std::string MakeRefusal(const std::string& id) {
  const std::string echo = id.empty() ? "" : "Request-Id: " + id + "\r\n";
  return "HTTP/1.1 503 Service Unavailable\r\n" + echo +
         "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull";
}

}  // namespace

// The refusal is repeated before the request was read, once and twice.
TEST_CASE("a repeated refusal without an id does not refuse the next request") {
  for (const std::size_t count : {1, 2}) {
    CAPTURE(count);
    std::string bytes;
    for (std::size_t i = 0; i < count; ++i)
      bytes += MakeRefusal("");
    ClientFixture fixture({{MakeRefusal("")},
                           {bytes + MakeResponse("b", "second")},
                           {MakeResponse("c", "third")}});
    CHECK(fixture.Call("a").second.status == 503);
    const auto [outcome, response] = fixture.Call("b");
    CHECK(outcome == HttpOutcome::kAnswered);
    CHECK(response.status == 200);
    CHECK(response.body == "second");
    CHECK(fixture.Call("c").second.body == "third");
    CHECK(fixture.server.connection_count() == 2);
  }
}

TEST_CASE("a repeated refusal that arrives in pieces refuses no request") {
  for (const std::string id : {"", "a"}) {
    CAPTURE(id);
    ClientFixture fixture({{MakeRefusal(id)}, {""}});
    CHECK(fixture.Call("a").second.status == 503);
    std::optional<std::string> body;
    fixture.client.Send(
        fixture.server.address(),
        {.target = "/", .headers = {{"Request-Id", "b"}}},
        fixture.loop.Now() + kCallTimeout,
        [&](HttpOutcome /*outcome*/, const HttpResponse& response) {
          body = response.body;
        });
    while (fixture.server.request_count() < 2)
      event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    for (const char byte : MakeRefusal(id) + MakeResponse("b", "second")) {
      CHECK(!body);
      fixture.server.WriteUnsolicited({byte});
      event_base_loop(fixture.loop.base(), EVLOOP_NONBLOCK);
      event_base_loop(fixture.loop.base(), EVLOOP_NONBLOCK);
    }
    while (!body)
      event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
    CHECK(*body == "second");
  }
}

// Only the end of the connection follows, so the server may have run the
// request.
TEST_CASE("a repeated refusal and a close have the outcome kLost") {
  for (const std::string id : {"", "a"}) {
    CAPTURE(id);
    for (const bool reset : {false, true}) {
      ClientFixture fixture({{MakeRefusal(id)},
                             {.bytes = MakeRefusal(id),
                              .then_close = !reset,
                              .then_reset = reset}});
      CHECK(fixture.Call("a").second.status == 503);
      CHECK(fixture.Call("b").first == HttpOutcome::kLost);
    }
  }
}

TEST_CASE("a refusal with the request's id on a kept connection is believed") {
  ClientFixture fixture({{MakeResponse("a", "first")}, {MakeRefusal("b")}});
  CHECK(fixture.Call("a").second.body == "first");
  CHECK(fixture.Call("b").second.status == 503);
  CHECK(fixture.server.connection_count() == 1);
}

TEST_CASE("a refusal without an id on a new connection is believed") {
  ClientFixture fixture({{MakeRefusal("")}});
  CHECK(fixture.Call("a").second.status == 503);
}

// The first response on a new connection is of another request; the second may
// be a repeat of a refusal too.
TEST_CASE("a refusal without an id after a skipped response is not believed") {
  ClientFixture fixture(
      {{MakeRefusal("x") + MakeRefusal("") + MakeResponse("a", "first")}});
  CHECK(fixture.Call("a").second.body == "first");
}

// The bytes are in the socket before the request is written.
TEST_CASE("bytes that arrived before a request are not its response") {
  ClientFixture fixture(
      {{MakeResponse("a", "first")}, {MakeResponse("b", "second")}});
  CHECK(fixture.Call("a").second.body == "first");
  fixture.server.WriteUnsolicited(MakeRefusal("b"));
  const auto [outcome, response] = fixture.Call("b");
  CHECK(outcome == HttpOutcome::kAnswered);
  CHECK(response.body == "second");
  CHECK(fixture.server.connection_count() == 2);
  CHECK(fixture.server.request_count() == 2);
}

// A retry at the same server has the id of the attempt that the server refused.
TEST_CASE("a repeated refusal does not refuse a retry with the same id") {
  ClientFixture fixture({{MakeRefusal("a")},
                         {MakeResponse("b", "other")},
                         {.bytes = MakeResponse("a", "retry"),
                          .bytes_before_if_reused = MakeRefusal("a")}});
  CHECK(fixture.Call("a").second.status == 503);
  CHECK(fixture.Call("b").second.body == "other");
  CHECK(fixture.Call("a").second.body == "retry");
  CHECK(fixture.server.connection_count() == 2);
}

// A response without an id can be told from a repeated one only on a new
// connection.
TEST_CASE("a request without an id is not sent on a kept connection") {
  ClientFixture fixture(
      {{MakeResponse("a", "first")},
       {.bytes = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
        .bytes_before_if_reused = MakeRefusal("")}});
  CHECK(fixture.Call("a").second.body == "first");
  CHECK(fixture.Call(HttpRequest{.target = "/"}).second.status == 400);
  CHECK(fixture.server.connection_count() == 2);
}

// The ids that a connection has carried are kept, so their number is limited.
TEST_CASE("a connection carries a limited number of requests") {
  constexpr std::size_t kRequests = 600;
  std::vector<ScriptedResponse> responses;
  for (std::size_t i = 0; i < kRequests; ++i)
    responses.push_back({MakeResponse(std::to_string(i), "body")});
  ClientFixture fixture(std::move(responses));
  for (std::size_t i = 0; i < kRequests; ++i)
    CHECK(fixture.Call(std::to_string(i)).second.body == "body");
  CHECK(fixture.server.connection_count() == 2);
}

// The limit of connections counts idle ones too.
TEST_CASE("an idle connection that can't be reused makes way for a new one") {
  EventLoop loop;
  ScriptedServer server(loop,
                        {{MakeRefusal("a")}, {MakeResponse("a", "retry")}});
  HttpClient client(
      loop, {.max_connections_per_address = 1, .echoed_header = "Request-Id"});
  std::vector<std::uint16_t> statuses;
  for (int i = 0; i < 2; ++i) {
    client.Send(server.address(),
                {.target = "/", .headers = {{"Request-Id", "a"}}},
                loop.Now() + kCallTimeout,
                [&](HttpOutcome outcome, const HttpResponse& response) {
                  CHECK(outcome == HttpOutcome::kAnswered);
                  statuses.push_back(response.status);
                  loop.Stop();
                });
    loop.Run();
  }
  CHECK(statuses == std::vector<std::uint16_t>{503, 200});
}

}  // namespace cicadadrum
