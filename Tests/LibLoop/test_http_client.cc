// Tests of the HTTP client against servers that break the protocol.

#include <doctest/doctest.h>

#include "cicadadrum/loop/http_client.h"
#include "scripted_server.h"

namespace cicadadrum {

namespace {

std::string MakeResponse(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct ClientFixture {
  EventLoop loop;
  ScriptedServer server;
  HttpClient client;

  explicit ClientFixture(std::vector<ScriptedResponse> responses)
      : server(loop, std::move(responses)),
        client(loop, {.echoed_header = "Request-Id"}) {}

  std::pair<HttpOutcome, HttpResponse> Call(const std::string& id) {
    std::pair<HttpOutcome, HttpResponse> result;
    const HttpRequest request{.target = "/", .headers = {{"Request-Id", id}}};
    client.Send(server.address(), request, loop.Now() + Seconds(5),
                [&](HttpOutcome outcome, HttpResponse response) {
                  result = {outcome, std::move(response)};
                  loop.Stop();
                });
    loop.Run();
    return result;
  }

  void RunFor(Duration time) {
    Timer timer(loop, [this] { loop.Stop(); });
    timer.Schedule(loop.Now() + time);
    loop.Run();
  }
};

}  // namespace

// Guards against handing a surplus response to the next request.
TEST_CASE("a second response in the same write belongs to no request") {
  ClientFixture fixture(
      {{MakeResponse("a", "first") + MakeResponse("x", "surplus")},
       {MakeResponse("b", "second")},
       {MakeResponse("c", "third")}});
  CHECK(fixture.Call("a").second.body == "first");
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.Call("c").second.body == "third");
}

// Guards against reading bytes that arrived on an idle connection as the
// response to the next request.
TEST_CASE("bytes on an idle connection close it") {
  ClientFixture fixture(
      {{MakeResponse("a", "first")}, {MakeResponse("b", "second")}});
  CHECK(fixture.Call("a").second.body == "first");
  fixture.server.WriteUnsolicited(MakeResponse("a", "first"));
  fixture.RunFor(Milliseconds(20));
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.server.connection_count() == 2);
}

// Guards against a late surplus response that crosses the next request.
TEST_CASE("a response that repeats another request's id is skipped") {
  ClientFixture fixture(
      {{MakeResponse("a", "first")},
       {MakeResponse("a", "late") + MakeResponse("b", "second")},
       {MakeResponse("c", "third")}});
  CHECK(fixture.Call("a").second.body == "first");
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.Call("c").second.body == "third");
  CHECK(fixture.server.connection_count() == 2);
}

// Guards against delivering part of a body as a whole response.
TEST_CASE("a response that ends early is lost") {
  const std::string full_response = MakeResponse("a", "0123456789");
  const std::string truncated_response =
      full_response.substr(0, full_response.size() - 4);
  ClientFixture closed({{.bytes = truncated_response, .then_close = true}});
  CHECK(closed.Call("a").first == HttpOutcome::kLost);
  ClientFixture reset({{.bytes = truncated_response, .then_reset = true}});
  CHECK(reset.Call("a").first == HttpOutcome::kLost);
}

// A response without a length ends with its connection, and only a close, not
// a reset, is such an end.
TEST_CASE("a response without a length ends with a close") {
  const std::string unframed =
      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole body";
  ClientFixture closed({{.bytes = unframed, .then_close = true}});
  const auto [outcome, response] = closed.Call("a");
  CHECK(outcome == HttpOutcome::kAnswered);
  CHECK(response.body == "whole body");
  ClientFixture reset({{.bytes = unframed, .then_reset = true}});
  CHECK(reset.Call("a").first == HttpOutcome::kLost);
}

TEST_CASE("bytes that are no HTTP response are lost") {
  ClientFixture fixture({{.bytes = "garbage\r\n\r\n"}});
  CHECK(fixture.Call("a").first == HttpOutcome::kLost);
}

// Guards against sending on a connection that the server said it would close.
TEST_CASE("a connection that the server closes is not used again") {
  ClientFixture fixture(
      {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n"},
       {MakeResponse("b", "second")}});
  CHECK(fixture.Call("a").first == HttpOutcome::kAnswered);
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.server.connection_count() == 2);
}

}  // namespace cicadadrum
