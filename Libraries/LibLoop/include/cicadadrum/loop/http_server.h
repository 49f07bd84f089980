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
  // A request with a larger body is answered with status 413.
  std::uint64_t max_body_bytes = 262144;
  std::uint64_t max_header_bytes = 16384;
  int idle_timeout_seconds = 60;
  // Called with the new number of unsent bytes whenever it changes. May be
  // empty.
  std::function<void(std::uint64_t unsent_bytes)> unsent_changed;
};

struct HttpServerCounters {
  std::uint64_t requests = 0;  // Requests passed to the request handler.
  // Requests with an unusable method or target, which the server answers with
  // status 400 without calling the request handler.
  std::uint64_t malformed = 0;
};

// Accepts requests and passes each to a handler under an id. The responses can
// be sent later and in any order.
class HttpServer {
 public:
  using RequestHandler =
      std::function<void(std::uint64_t id, HttpRequest request)>;
  using CloseHandler = std::function<void(std::uint64_t id)>;

  // `on_request` is called for each request. `on_close` is called if the client
  // closes its connection before the request with this id is answered; Respond
  // must still be called for this id. `loop` must outlive the server.
  HttpServer(EventLoop& loop,
             const HttpServerOptions& options,
             RequestHandler on_request,
             CloseHandler on_close);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on `address` (IP:port; with port 0 the kernel chooses a free port)
  // and returns the bound port. Errors: kAddressInvalid, kBindFailed.
  boost::leaf::result<std::uint16_t> Listen(const std::string& address);

  // Stops accepting connections. Requests in progress can still be answered.
  void StopListening();

  // Sends the response to the request `id`. An unknown id is ignored.
  void Respond(std::uint64_t id, HttpResponse response);

  // Closes the connection of the request `id` without sending a response. An
  // unknown id is ignored.
  void Abort(std::uint64_t id);

  // Calls `callback` once all responses have been written to the kernel's
  // socket buffers, or after half a second at the latest.
  void WhenFlushed(std::function<void()> callback);

  // Size of the bodies of responses that hold memory: their clients have not
  // read them yet.
  std::uint64_t unsent_bytes() const;

  const HttpServerCounters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_SERVER_H_
