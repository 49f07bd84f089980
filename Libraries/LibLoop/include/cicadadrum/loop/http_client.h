// HTTP/1.1 client on bufferevents with kept and bounded connections.
//
// evhttp's client reads bytes that follow a response as the response to the
// next request, so responses are parsed with http_parser instead.

#ifndef CICADADRUM_LOOP_HTTP_CLIENT_H_
#define CICADADRUM_LOOP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

enum class HttpOutcome : std::uint8_t {
  kAnswered,      // A whole response arrived.
  kNotConnected,  // No connection was made, so no byte of the request was sent.
  kConnectionUnavailable,  // The bound on connections to this address is
                           // reached; nothing was sent.
  kLost,        // The connection ended or the response was malformed after the
                // request was sent.
  kLostUnused,  // A kept connection ended before any byte of a response; the
                // server may have closed it while it was idle.
  kTimedOut,    // No whole response within the time; the connection was closed.
};

template <>
struct EnumNames<HttpOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<HttpOutcome>>({
      {HttpOutcome::kAnswered, "answered"},
      {HttpOutcome::kNotConnected, "not-connected"},
      {HttpOutcome::kConnectionUnavailable, "no-connection"},
      {HttpOutcome::kLost, "lost"},
      {HttpOutcome::kLostUnused, "lost-unused"},
      {HttpOutcome::kTimedOut, "timed-out"},
  });
};

struct HttpClientOptions {
  std::uint32_t max_connections_per_address = 64;
  std::uint64_t max_response_bytes = 8'388'608;
  Duration connect_timeout = Seconds(2);
  // An idle connection older than this is closed instead of used again. A
  // shorter time in the server's Keep-Alive header goes first.
  Duration idle_timeout = Seconds(50);
  // A connection on which sent bytes stay unacknowledged for this long is lost.
  Duration unacknowledged_timeout = Seconds(10);
  // Header whose value a server repeats in its response. A response with
  // another value belongs to another request and is skipped. Empty for none.
  std::string echoed_header;
};

struct HttpClientCounters {
  std::uint64_t connections = 0;  // Opened.
  std::uint64_t requests = 0;
  std::uint64_t unsolicited_responses =
      0;  // Responses or bytes that nobody asked for.
};

class HttpClient {
 public:
  using Callback =
      std::function<void(HttpOutcome outcome, HttpResponse response)>;

  HttpClient(EventLoop& loop, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request to `address` (IP:port) and calls `callback` once, never
  // before Send has returned. Returns an id for Cancel.
  std::uint64_t Send(const std::string& address,
                     const HttpRequest& request,
                     TimePoint deadline,
                     Callback callback);

  // Closes the connection of the request `id` and drops its callback. An
  // unknown id is ignored.
  void Cancel(std::uint64_t id);

  const HttpClientCounters& counters() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_CLIENT_H_
