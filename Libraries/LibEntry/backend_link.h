// Sending of attempts to backend servers.

#ifndef CICADADRUM_ENTRY_BACKEND_LINK_H_
#define CICADADRUM_ENTRY_BACKEND_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

// Returns the request as a backend server gets it.
HttpRequest MakeBackendRequest(const HttpRequest& request,
                               const RequestArrived& arrived,
                               Duration remaining);

// Returns how an attempt ended.
AttemptOutcome OutcomeOf(HttpOutcome outcome, const HttpResponse& response);

// Returns what is kept of a response for repeats of a non-idempotent request.
StoredAnswer MakeStoredAnswer(const HttpResponse& response);

// The attempts under way, by request and attempt number.
class BackendLink {
 public:
  using Callback =
      std::function<void(AttemptOutcome outcome, HttpResponse response)>;

  BackendLink(EventLoop& loop, std::uint32_t max_connections_per_server);

  void Send(const SendToBackend& send,
            const HttpRequest& request,
            Callback callback);
  // Closes the attempt's connection, which cancels it at the server.
  void Cancel(const CancelAtBackend& cancel);

 private:
  using AttemptId = std::pair<std::uint64_t, std::uint32_t>;

  HttpClient client_;
  std::map<AttemptId, std::uint64_t>
      calls_;  // Client's id of each attempt that has no outcome.
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_BACKEND_LINK_H_
