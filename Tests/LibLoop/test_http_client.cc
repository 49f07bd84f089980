// Tests of the HTTP client against servers that violate the protocol.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <optional>

#include "http_client_fixture.h"

namespace cicadadrum {

// Guards against delivering an unsolicited response to the next request.
TEST_CASE(
    "a second response in the same write is not delivered to any request") {
  ClientFixture fixture(
      {{MakeResponse("a", "first") + MakeResponse("x", "surplus")},
       {MakeResponse("b", "second")},
       {MakeResponse("c", "third")}});
  CHECK(fixture.Call("a").second.body == "first");
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.Call("c").second.body == "third");
}

// Guards against parsing bytes that arrived on an idle connection as the
// response to the next request.
TEST_CASE("the client closes an idle connection on which bytes arrive") {
  ClientFixture fixture(
      {{MakeResponse("a", "first")}, {MakeResponse("b", "second")}});
  CHECK(fixture.Call("a").second.body == "first");
  fixture.server.WriteUnsolicited(MakeResponse("a", "first"));
  fixture.RunFor(Milliseconds(20));
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.server.connection_count() == 2);
}

// Guards against delivering an unsolicited response that arrives after the next
// request was sent.
TEST_CASE("a response with the id of another request is skipped") {
  ClientFixture fixture(
      {{MakeResponse("a", "first")},
       {MakeResponse("a", "late") + MakeResponse("b", "second")},
       {MakeResponse("c", "third")}});
  CHECK(fixture.Call("a").second.body == "first");
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.Call("c").second.body == "third");
  CHECK(fixture.server.connection_count() == 2);
}

// Guards against delivering a truncated body as a complete response.
TEST_CASE("a truncated response has the outcome kLost") {
  const std::string full_response = MakeResponse("a", "0123456789");
  const std::string truncated_response =
      full_response.substr(0, full_response.size() - 4);
  ClientFixture closed({{.bytes = truncated_response, .then_close = true}});
  CHECK(closed.Call("a").first == HttpOutcome::kLost);
  ClientFixture reset({{.bytes = truncated_response, .then_reset = true}});
  CHECK(reset.Call("a").first == HttpOutcome::kLost);
}

// A response without a length ends when the server closes the connection. A
// reset does not complete the response.
TEST_CASE(
    "a response without a length is complete when the connection is closed") {
  const std::string unframed =
      "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nwhole body";
  ClientFixture closed({{.bytes = unframed, .then_close = true}});
  const auto [outcome, response] = closed.Call("a");
  CHECK(outcome == HttpOutcome::kAnswered);
  CHECK(response.body == "whole body");
  ClientFixture reset({{.bytes = unframed, .then_reset = true}});
  CHECK(reset.Call("a").first == HttpOutcome::kLost);
}

TEST_CASE("bytes that are not an HTTP response have the outcome kMalformed") {
  ClientFixture fixture({{.bytes = "garbage\r\n\r\n"}});
  CHECK(fixture.Call("a").first == HttpOutcome::kMalformed);
}

// Guards against sending a request on a connection after the server announced
// that it will close the connection.
TEST_CASE("a connection that the server announced to close is not reused") {
  ClientFixture fixture(
      {{"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n"},
       {MakeResponse("b", "second")}});
  CHECK(fixture.Call("a").first == HttpOutcome::kAnswered);
  CHECK(fixture.Call("b").second.body == "second");
  CHECK(fixture.server.connection_count() == 2);
}

// Guards against reporting a request as not sent when its deadline passes in
// the turn of the loop in which the connection was made and the request
// written.
TEST_CASE("a request that the server receives is not reported as not sent") {
  ClientFixture fixture({});
  std::optional<HttpOutcome> result;
  fixture.client.Send(
      fixture.server.address(), {.target = "/"}, fixture.loop.Now(),
      [&](HttpOutcome outcome, const HttpResponse&) { result = outcome; });
  while (!result || fixture.server.connection_count() == 0 ||
         fixture.server.open_count() > 0)
    event_base_loop(fixture.loop.base(), EVLOOP_ONCE);
  CHECK((*result == HttpOutcome::kNotConnected) !=
        (fixture.server.received_bytes() > 0));
}

// Guards against a configuration that is never received because it takes longer
// over a slow link than the timeout of the call.
TEST_CASE("a response that is still arriving at the deadline is received") {
  EventLoop loop;
  const std::string response = MakeResponse("a", std::string(3000, 'x'));
  ScriptedServer server(loop, {{.bytes = response.substr(0, 1000)}});
  HttpClient client(loop, {.arrival_extension = Milliseconds(200),
                           .echoed_header = "Request-Id"});
  std::optional<HttpOutcome> outcome;
  client.Send(server.address(),
              {.target = "/", .headers = {{"Request-Id", "a"}}},
              loop.Now() + Milliseconds(100),
              [&](HttpOutcome ended, const HttpResponse& /*response*/) {
                outcome = ended;
                loop.Stop();
              });
  Timer second(loop,
               [&] { server.WriteUnsolicited(response.substr(1000, 1000)); });
  second.Schedule(loop.Now() + Milliseconds(200));
  Timer third(loop, [&] { server.WriteUnsolicited(response.substr(2000)); });
  third.Schedule(loop.Now() + Milliseconds(400));
  loop.Run();
  CHECK(outcome == HttpOutcome::kAnswered);
}

// Guards against a call that never ends because of a response that has stalled.
TEST_CASE("a response that has stopped arriving is timed out") {
  EventLoop loop;
  ScriptedServer server(
      loop,
      {{.bytes = MakeResponse("a", std::string(3000, 'x')).substr(0, 9)}});
  HttpClient client(loop, {.arrival_extension = Milliseconds(100),
                           .echoed_header = "Request-Id"});
  const TimePoint sent_at = loop.Now();
  client.Send(server.address(),
              {.target = "/", .headers = {{"Request-Id", "a"}}},
              sent_at + Milliseconds(100),
              [&](HttpOutcome ended, const HttpResponse& /*response*/) {
                CHECK(ended == HttpOutcome::kTimedOut);
                loop.Stop();
              });
  loop.Run();
  CHECK(loop.Now() - sent_at < Seconds(1));
}

}  // namespace cicadadrum
