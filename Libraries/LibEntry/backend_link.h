// Sends attempts to backend servers.

#ifndef CICADADRUM_ENTRY_BACKEND_LINK_H_
#define CICADADRUM_ENTRY_BACKEND_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

// Returns the HTTP request to send to a backend server for `request`.
// `remaining` is the time until the deadline of the attempt.
HttpRequest MakeBackendRequest(const HttpRequest& request,
                               const RequestArrived& arrived,
                               Duration remaining);

// Returns the outcome of an attempt. `response` matters only if `outcome` is
// kAnswered.
AttemptOutcome OutcomeOf(HttpOutcome outcome, const HttpResponse& response);

// Returns the parts of a response that are stored for repeats of a
// non-idempotent request. The body is omitted if it exceeds kMaxStoredBody.
StoredAnswer MakeStoredAnswer(const HttpResponse& response);

// Sends attempts over HTTP and tracks those in progress by request id and
// attempt number.
class BackendLink {
 public:
  using Callback =
      std::function<void(AttemptOutcome outcome, HttpResponse response)>;

  // `loop` must outlive the object.
  BackendLink(EventLoop& loop, std::uint32_t max_connections_per_server);

  // Sends an attempt. `callback` is called once, unless Cancel() is called for
  // the attempt first.
  void Send(const SendToBackend& send,
            const HttpRequest& request,
            Callback callback);
  // Closes the attempt's connection, which cancels the attempt at the server.
  // Does nothing if the attempt has ended.
  void Cancel(const CancelAtBackend& cancel);

 private:
  using AttemptId = std::pair<std::uint64_t, std::uint32_t>;

  HttpClient client_;
  std::map<AttemptId, std::uint64_t>
      calls_;  // Call id of client_ for each attempt that has no outcome yet.
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_BACKEND_LINK_H_
