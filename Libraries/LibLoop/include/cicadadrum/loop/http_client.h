// HTTP/1.1 client on bufferevents. The client reuses idle connections and
// limits the number of connections per address.
//
// evhttp's client is not used, because it interprets bytes that follow a
// response as the response to the next request. Responses are parsed with
// http_parser instead.

#ifndef CICADADRUM_LOOP_HTTP_CLIENT_H_
#define CICADADRUM_LOOP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

enum class HttpOutcome : std::uint8_t {
  // A complete response arrived.
  kAnswered,
  // No connection was established, so no byte of the request was sent.
  kNotConnected,
  // No connection could be opened, because the limit of connections to this
  // address is reached, the address is invalid or no socket is available.
  // Nothing was sent.
  kConnectionUnavailable,
  // The connection ended after the request was sent.
  kLost,
  // The client closed the connection, because the response was malformed or
  // exceeded a limit of received bytes. The server is alive.
  kMalformed,
  // A reused connection ended before any byte of a response arrived. The server
  // may have closed the connection while it was idle.
  kLostUnused,
  // No complete response arrived before the deadline, and the client closed the
  // connection.
  kTimedOut,
  // ConnectionCheck::accepts turned the response to the check down. The call's
  // request was not sent; the response is the one to the check.
  kCheckFailed,
  // The connection was established, but the check got no response within
  // ConnectionCheck::max_wait. The call's request was not sent.
  kCheckTimedOut,
  // HttpClient::ReadyHandler did not confirm the request. Nothing of it was
  // sent.
  kWithheld,
};

template <>
struct EnumNames<HttpOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<HttpOutcome>>({
      {HttpOutcome::kAnswered, "answered"},
      {HttpOutcome::kNotConnected, "not-connected"},
      {HttpOutcome::kConnectionUnavailable, "no-connection"},
      {HttpOutcome::kLost, "lost"},
      {HttpOutcome::kMalformed, "malformed"},
      {HttpOutcome::kLostUnused, "lost-unused"},
      {HttpOutcome::kTimedOut, "timed-out"},
      {HttpOutcome::kCheckFailed, "check-failed"},
      {HttpOutcome::kCheckTimedOut, "check-timed-out"},
      {HttpOutcome::kWithheld, "withheld"},
  });
};

// Maximum number of times that HttpClientOptions::arrival_extension applies to
// one call.
constexpr std::uint32_t kMaxExtensions = 10;

struct HttpClientOptions {
  std::uint32_t max_connections_per_address = 64;
  // A response with a larger body is treated as malformed.
  std::uint64_t max_response_bytes = 8'388'608;
  // Limit of the headers and bodies of all incomplete responses together. While
  // it is exceeded, the call with the largest incomplete response ends as
  // kMalformed.
  std::uint64_t max_buffered_bytes = 67'108'864;
  // A call ends as kMalformed if more bytes arrive for it that are no part of
  // its response's body: heads, the framing of chunks, interim responses and
  // responses to other requests.
  std::uint64_t max_discarded_bytes = 1'048'576;
  // If bytes of the response have arrived since the last check, a call whose
  // deadline has passed goes on for this time, up to kMaxExtensions times.
  // Otherwise a response that takes longer than the deadline over a slow link
  // would never arrive, however often it is requested. Zero disables it.
  Duration arrival_extension{};
  Duration connect_timeout = Seconds(2);
  // A connection that has been idle for longer is closed instead of reused. A
  // shorter timeout in the server's Keep-Alive header takes precedence.
  Duration idle_timeout = Seconds(50);
  // A connection fails if bytes that were sent on it remain unacknowledged for
  // this long.
  Duration unacknowledged_timeout = Seconds(10);
  // Name of a request header whose value the server repeats in its response. A
  // response with another value belongs to another request and is skipped, and
  // so is a response without the header, except an error that is the first
  // response on a connection. A request without the header, or with a value
  // that a connection has carried before, is sent on another connection. An
  // empty name disables these checks.
  std::string echoed_header;
};

// A request that is sent before the call's own one on a new connection, to find
// out about the process at its other end. While a connection is open, this
// process has not been replaced by another one, so a connection is checked
// once.
struct ConnectionCheck {
  HttpRequest request;  // Must not have the echoed header.
  // A connection that has been open for this long needs no check.
  Duration sufficient_age{};
  // Time for the response to the check, the connection attempt included, if it
  // is longer than the connect timeout. A busy server may answer late.
  Duration max_wait{};
  // Returns whether the call's own request may be sent after this response.
  std::function<bool(const HttpResponse&)> accepts;
};

struct HttpClientCounters {
  std::uint64_t connections = 0;  // Connections opened.
  std::uint64_t requests = 0;     // Calls of Send.
  std::uint64_t checks = 0;       // Checks of connections that were sent.
  // Responses, or bytes after a response, that match no request.
  std::uint64_t unsolicited_responses = 0;
  // Size of the incomplete responses at this moment.
  std::uint64_t buffered_bytes = 0;
  // Responses whose reading was paused (see LimitReading).
  std::uint64_t pauses = 0;
};

class HttpClient {
 public:
  using Callback =
      std::function<void(HttpOutcome outcome, HttpResponse response)>;
  // Returns the request as it is to be written now, or nothing if it must not
  // be sent any more. The method and the echoed header must be those of the
  // request that was passed to Send.
  using ReadyHandler = std::function<std::optional<HttpRequest>()>;

  HttpClient(EventLoop& loop, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request to `address` (IP:port) and calls `callback` once, but never
  // before Send has returned. If no response has arrived by `deadline`, a time
  // of EventLoop::Now, and none is arriving (see arrival_extension), the
  // outcome is kTimedOut or kNotConnected. Returns an id for Cancel.
  //
  // With a `check`, the request is sent only on a connection that has passed a
  // check or is old enough. A check that gets no response has the outcome
  // kCheckTimedOut if ConnectionCheck::max_wait is longer than the connect
  // timeout and the connection is open at its end, and kNotConnected otherwise.
  //
  // A request that has to wait for its connection or for the check may be out
  // of date when it can be written. `on_ready`, if set, is called then. It is
  // not called for a request that is written before Send returns.
  std::uint64_t Send(const std::string& address,
                     const HttpRequest& request,
                     TimePoint deadline,
                     Callback callback,
                     std::optional<ConnectionCheck> check = std::nullopt,
                     ReadyHandler on_ready = nullptr);

  // Closes the connection of the request `id` and discards the callback of the
  // request. An unknown id is ignored.
  void Cancel(std::uint64_t id);

  // While incomplete responses hold more than `bytes`, only one of the large
  // responses is read; the servers of the others have to wait. Without a call,
  // nothing is paused.
  void LimitReading(std::uint64_t bytes);

  const HttpClientCounters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_CLIENT_H_
