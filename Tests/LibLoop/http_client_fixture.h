// An HTTP client and a scripted server on one loop.

#ifndef CICADADRUM_TESTS_LIBLOOP_HTTP_CLIENT_FIXTURE_H_
#define CICADADRUM_TESTS_LIBLOOP_HTTP_CLIENT_FIXTURE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/loop/http_client.h"
#include "scripted_server.h"

namespace cicadadrum {

constexpr Duration kCallTimeout = Seconds(5);

// Returns a complete response with the echoed id of a request.
inline std::string MakeResponse(const std::string& id,
                                const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct ClientFixture {
  EventLoop loop;
  ScriptedServer server;
  HttpClient client;

  explicit ClientFixture(
      std::vector<ScriptedResponse> responses,
      const HttpClientOptions& options = {.echoed_header = "Request-Id"})
      : server(loop, std::move(responses)), client(loop, options) {}

  // Sends a request and runs the loop until its outcome is known.
  std::pair<HttpOutcome, HttpResponse> Call(const std::string& id) {
    const HttpRequest request{.target = "/", .headers = {{"Request-Id", id}}};
    return Call(request);
  }

  std::pair<HttpOutcome, HttpResponse> Call(
      const HttpRequest& request,
      const std::optional<ConnectionCheck>& check = std::nullopt,
      const HttpClient::ReadyHandler& on_ready = nullptr) {
    std::pair<HttpOutcome, HttpResponse> result;
    client.Send(
        server.address(), request, loop.Now() + kCallTimeout,
        [&](HttpOutcome outcome, HttpResponse response) {
          result = {outcome, std::move(response)};
          loop.Stop();
        },
        check, on_ready);
    loop.Run();
    return result;
  }

  void RunFor(Duration time) {
    Timer timer(loop, [this] { loop.Stop(); });
    timer.Schedule(loop.Now() + time);
    loop.Run();
  }
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_LIBLOOP_HTTP_CLIENT_FIXTURE_H_
