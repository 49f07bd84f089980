// HTTP/1.1 server on evhttp.

#ifndef CICADADRUM_LOOP_HTTP_SERVER_H_
#define CICADADRUM_LOOP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

struct HttpServerOptions {
  std::uint64_t max_body_bytes = 262144;  // Larger bodies are answered 413.
  std::uint64_t max_header_bytes = 16384;
  int idle_timeout_seconds = 60;
};

struct HttpServerCounters {
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;  // Answered by the server itself with 400.
};

// Accepts requests and lets them be answered later, in any order.
class HttpServer {
 public:
  using RequestHandler =
      std::function<void(std::uint64_t id, HttpRequest request)>;
  using CloseHandler = std::function<void(std::uint64_t id)>;

  // `on_request` is called for each request. `on_close` is called if the client
  // closes its connection before the request with this id is answered; Respond
  // must still be called for it.
  HttpServer(EventLoop& loop,
             const HttpServerOptions& options,
             RequestHandler on_request,
             CloseHandler on_close);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on `address` (IP:port; port 0 chooses one) and returns the port.
  // Errors: kAddressInvalid, kBindFailed.
  boost::leaf::result<std::uint16_t> Listen(const std::string& address);

  // Stops accepting connections. Requests in progress can still be answered.
  void StopListening();

  // Answers the request `id`. An unknown id is ignored.
  void Respond(std::uint64_t id, const HttpResponse& response);

  // Closes the connection of the request `id` without an answer.
  void Abort(std::uint64_t id);

  // Calls `callback` once all responses have been handed to the kernel, at most
  // after half a second.
  void WhenFlushed(std::function<void()> callback);

  const HttpServerCounters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_SERVER_H_
