// HTTP/1.1 server on bufferevents, with bounded memory. Callers may send GET
// and HEAD requests before earlier ones are answered; these run side by side
// and are answered in the order in which they came.

#ifndef CICADADRUM_LOOP_HTTP_SERVER_H_
#define CICADADRUM_LOOP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

// Limits on callers, which can change while the server runs.
struct HttpServerLimits {
  // A request with a larger head is answered with status 431. Empty lines
  // before a request count as part of its head.
  std::uint64_t max_header_bytes = 16384;
  // A request with a larger body is answered with status 413.
  std::uint64_t max_body_bytes = 262144;
  // Time from the first byte of a head to its last one. A head that takes
  // longer is answered with status 408.
  Duration header_timeout = Seconds(10);
  // A connection without a request is closed after this time.
  Duration idle_timeout = Seconds(60);
};

struct HttpServerOptions {
  HttpServerLimits limits;
  // Time for a request's body, if `body_timeout_of` does not state less. A body
  // that takes longer is answered with status 408.
  Duration body_timeout = Seconds(60);
  // Returns the time for the body of a request that has none yet. May be empty.
  std::function<std::optional<Duration>(const HttpRequest& head)>
      body_timeout_of;
  // Returns the fields of the server's own responses to a request whose head
  // has been read. May be empty.
  std::function<HttpFields(const HttpRequest& head)> refusal_fields_of;
  // A connection with responses is closed if the caller has read nothing of
  // them for this long.
  Duration unread_timeout = Seconds(30);
  // Memory for requests, and for responses that have not been sent.
  std::uint64_t max_held_bytes = std::uint64_t{64} << 20;
  // Beyond this number the connection that has been idle for the longest time
  // is closed for a new one. One whose body or whose responses have made no
  // progress for 5 s counts as idle, unless a request of it is handled.
  std::size_t max_connections = 4096;
  // Requests of one connection that are handled at a time.
  std::size_t max_requests_ahead = 16;
  // Called with the new number of unsent bytes whenever it changes. May be
  // empty.
  std::function<void(std::uint64_t unsent_bytes)> unsent_changed;
};

struct HttpServerCounters {
  std::uint64_t requests = 0;  // Requests passed to the request handler.
  // Requests that the server answers itself, without the request handler:
  // malformed or ambiguous ones (400, 417, 501, 505), too large heads (431) and
  // bodies (413), and heads and bodies that came too late (408).
  std::uint64_t malformed = 0;
  std::uint64_t too_large = 0;
  std::uint64_t timed_out = 0;
  // Connections that were closed because memory was short; an incomplete
  // request on one is answered with status 503.
  std::uint64_t evicted = 0;
  // Connections whose callers read no response for too long.
  std::uint64_t unread = 0;
  // Times that reading a connection was paused, because memory was short.
  std::uint64_t pauses = 0;
  // Connections that were closed for new ones.
  std::uint64_t displaced = 0;
  std::uint64_t connections = 0;  // Open at this moment.
  // Requests, input and queued responses at this moment.
  std::uint64_t held_bytes = 0;
};

// Accepts requests and passes each to a handler under an id. The responses can
// be sent later and in any order. While a request with another method than GET
// and HEAD is handled, the connection's later requests wait, and it waits
// itself until all earlier ones are answered.
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

  // Replaces the limits on callers. Requests that are being read keep to the
  // limits of before.
  void SetLimits(const HttpServerLimits& limits);

  // Sends the response to the request `id`, after those to earlier requests of
  // the same connection. With the field "Connection: close", no further request
  // is read from the connection, and the response to the last one that was read
  // closes it. An unknown id is ignored.
  void Respond(std::uint64_t id, HttpResponse response);

  // Closes the connection of the request `id` without sending a response. An
  // unknown id is ignored.
  void Abort(std::uint64_t id);

  // Calls `callback` once all responses have been written to the kernel's
  // socket buffers, except those whose callers have stopped reading, or after
  // `max_wait` at the latest. Requests that come meanwhile are still passed on.
  void WhenFlushed(std::function<void()> callback,
                   Duration max_wait = Milliseconds(500));

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
