// Tests of the HTTP server and client on loopback.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <event2/event.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <optional>

#include "cicadadrum/loop/address.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/loop/http_server.h"

namespace cicadadrum {

namespace {

struct Fixture {
  EventLoop loop;
  std::vector<std::pair<std::uint64_t, HttpRequest>> requests;
  std::vector<std::uint64_t> closed;
  std::function<void(std::uint64_t)> on_request = [](std::uint64_t) {};
  HttpServer server;
  HttpClient client;
  std::string address;

  Fixture()
      : server(
            loop,
            {.limits = {.max_header_bytes = 2000, .max_body_bytes = 1000}},
            [this](std::uint64_t id, HttpRequest request) {
              requests.emplace_back(id, std::move(request));
              on_request(id);
            },
            [this](std::uint64_t id) {
              closed.push_back(id);
              server.Respond(id, {});
              loop.Stop();
            }),
        client(loop, {.max_connections_per_address = 2}) {
    const auto port = server.Listen("127.0.0.1:0");
    REQUIRE(port);
    address = "127.0.0.1:" + std::to_string(*port);
  }

  // Sends a request and runs the loop until its outcome is known.
  std::pair<HttpOutcome, HttpResponse> Call(const std::string& target_address,
                                            const HttpRequest& request,
                                            Duration timeout = Seconds(20)) {
    std::pair<HttpOutcome, HttpResponse> result;
    client.Send(target_address, request, loop.Now() + timeout,
                [&](HttpOutcome outcome, HttpResponse response) {
                  result = {outcome, std::move(response)};
                  loop.Stop();
                });
    loop.Run();
    return result;
  }

  // Writes raw bytes to the server and returns the first 12 bytes of the
  // response, the protocol version and the status code.
  std::string SendRaw(const std::string& bytes) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{.sin_family = AF_INET,
                       .sin_port = htons(ParseAddress(address)->port)};
    inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&target),
                    sizeof(target)) == 0);
    REQUIRE(write(fd, bytes.data(), bytes.size()) ==
            static_cast<ssize_t>(bytes.size()));
    // The server answers this valid request only after it has handled the raw
    // bytes.
    on_request = [this](std::uint64_t id) { server.Respond(id, {}); };
    Call(address, {.target = "/good"});
    std::string line(12, '\0');
    const ssize_t count = recv(fd, line.data(), line.size(), MSG_DONTWAIT);
    close(fd);
    return line.substr(0,
                       static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  }
};

}  // namespace

// Guards against reporting a request that may have been sent as not sent, and
// the reverse.
TEST_CASE(
    "the client distinguishes a failed connection attempt from a lost "
    "connection") {
  Fixture fixture;
  CHECK(fixture.Call("127.0.0.1:1", {.target = "/"}).first ==
        HttpOutcome::kNotConnected);
  CHECK(fixture.Call("nonsense", {.target = "/"}).first ==
        HttpOutcome::kConnectionUnavailable);
  fixture.on_request = [&](std::uint64_t id) { fixture.server.Abort(id); };
  CHECK(fixture.Call(fixture.address, {.target = "/"}).first ==
        HttpOutcome::kLost);
  fixture.on_request = [](std::uint64_t) {};
  CHECK(
      fixture.Call(fixture.address, {.target = "/"}, Milliseconds(30)).first ==
      HttpOutcome::kTimedOut);
}

// Guards against delivering a response to another request to the same server.
TEST_CASE("requests can be answered in any order") {
  Fixture fixture;
  std::map<std::string, std::string> responses;
  fixture.on_request = [&](std::uint64_t) {
    if (fixture.requests.size() < 2)
      return;
    for (auto request = fixture.requests.rbegin();
         request != fixture.requests.rend(); ++request)
      fixture.server.Respond(request->first, {.body = request->second.path});
  };
  for (const std::string target : {"/a", "/b"}) {
    fixture.client.Send(fixture.address, {.target = target},
                        fixture.loop.Now() + Seconds(20),
                        [&, target](HttpOutcome, const HttpResponse& response) {
                          responses[target] = response.body;
                          if (responses.size() == 2)
                            fixture.loop.Stop();
                        });
  }
  fixture.loop.Run();
  CHECK(responses ==
        std::map<std::string, std::string>{{"/a", "/a"}, {"/b", "/b"}});
}

// Guards against work for a client that has disconnected.
TEST_CASE("the server reports that a client closed its connection") {
  Fixture fixture;
  std::uint64_t call = 0;
  fixture.on_request = [&](std::uint64_t) { fixture.client.Cancel(call); };
  call = fixture.client.Send(
      fixture.address, {.target = "/"}, fixture.loop.Now() + Seconds(20),
      [](HttpOutcome, const HttpResponse&) { FAIL("cancelled"); });
  fixture.loop.Run();
  REQUIRE(fixture.requests.size() == 1);
  CHECK(fixture.closed ==
        std::vector<std::uint64_t>{fixture.requests[0].first});
}

// Guards against an unlimited number of connections to a slow server.
TEST_CASE("the number of connections to one address is limited") {
  Fixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.client.Send(fixture.address, {.target = "/held"},
                        fixture.loop.Now() + Seconds(20),
                        [](HttpOutcome, const HttpResponse&) {});
  }
  CHECK(fixture.Call(fixture.address, {.target = "/third"}).first ==
        HttpOutcome::kConnectionUnavailable);
}

// Guards against malformed input that terminates the process, reaches the
// request handler, or uses memory without limit.
TEST_CASE("malformed and oversized requests are rejected") {
  Fixture fixture;
  CHECK(fixture.SendRaw("GARBAGE\r\n\r\n") == "HTTP/1.1 400");
  CHECK(fixture.SendRaw("GET / HTTP/1.1\r\nX: " + std::string(4000, 'x') +
                        "\r\n\r\n") == "HTTP/1.1 431");
  CHECK(fixture.SendRaw("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n") ==
        "HTTP/1.1 413");
  CHECK(fixture.SendRaw("GET /?%zz=1&& HTTP/1.1\r\n\r\n").substr(0, 9) ==
        "HTTP/1.1 ");
  for (const auto& [id, request] : fixture.requests)
    CHECK((request.path == "/good" || request.path == "/"));
}

// Guards against a process that terminates, or never accepts connections again,
// after it ran out of file descriptors. The callback for a failed accept once
// used the argument of another callback.
TEST_CASE(
    "a server that ran out of file descriptors resumes accepting connections") {
  Fixture fixture;
  const int waiting = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in target{.sin_family = AF_INET,
                     .sin_port = htons(ParseAddress(fixture.address)->port)};
  inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
  REQUIRE(connect(waiting, reinterpret_cast<const sockaddr*>(&target),
                  sizeof(target)) == 0);
  rlimit original_limit{};
  getrlimit(RLIMIT_NOFILE, &original_limit);
  const rlimit no_descriptors{.rlim_cur = 0,
                              .rlim_max = original_limit.rlim_max};
  setrlimit(RLIMIT_NOFILE, &no_descriptors);
  Timer stop(fixture.loop, [&] { fixture.loop.Stop(); });
  stop.Schedule(fixture.loop.Now() + Milliseconds(20));
  fixture.loop.Run();
  setrlimit(RLIMIT_NOFILE, &original_limit);
  fixture.on_request = [&](std::uint64_t id) {
    fixture.server.Respond(id, {});
  };
  CHECK(fixture.Call(fixture.address, {.target = "/"}).first ==
        HttpOutcome::kAnswered);
  close(waiting);
}

// Guards against a short body that the caller takes as whole.
TEST_CASE("a response of a server that ends while it writes is lost") {
  const std::string body(16 << 20, 'x');
  EventLoop loop;
  HttpClient client(loop, {.max_response_bytes = body.size()});
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      loop, HttpServerOptions{},
      [&](std::uint64_t id, const HttpRequest& /*request*/) {
        server->Respond(id, {.body = body});
      },
      [](std::uint64_t /*id*/) {});
  const std::string address =
      "127.0.0.1:" + std::to_string(server->Listen("127.0.0.1:0").value());
  std::optional<HttpOutcome> result;
  client.Send(address, {.target = "/"}, loop.Now() + Seconds(20),
              [&](HttpOutcome outcome, const HttpResponse& /*response*/) {
                result = outcome;
              });
  while (client.counters().buffered_bytes == 0)
    event_base_loop(loop.base(), EVLOOP_ONCE);
  server.reset();
  while (!result)
    event_base_loop(loop.base(), EVLOOP_ONCE);
  CHECK(*result == HttpOutcome::kLost);
}

}  // namespace cicadadrum
