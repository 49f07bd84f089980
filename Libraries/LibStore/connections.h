// A bounded pool of persistent HTTP connections to the platform.

#ifndef CICADADRUM_STORE_CONNECTIONS_H_
#define CICADADRUM_STORE_CONNECTIONS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/store/policy.h"

namespace cicadadrum {

struct StoreHttpRequest {
  bool put = false;   // PUT instead of GET or POST.
  bool post = false;  // POST instead of GET.
  std::string path;
  std::string body;
};

struct StoreHttpResponse {
  int status = 0;
  std::string body;
};

// Sends at most `max_connections` requests at a time, each on a persistent
// connection of its own. Further requests wait in order of arrival. A response
// that arrives before its request has been sent in full ends the request, but
// its connection sends the rest.
class Connections {
 public:
  // Called from the event loop with the outcome of request `id`. kAnswered
  // means a complete response with any status below 500.
  using DoneCallback = std::function<void(std::uint64_t id,
                                          StoreAttemptOutcome outcome,
                                          const StoreHttpResponse& response)>;

  // `address` is IP:port of the platform. `loop` must outlive this object. A
  // response body of more than `max_response_bytes` counts as lost.
  Connections(EventLoop& loop,
              const std::string& address,
              std::size_t max_connections,
              std::size_t max_response_bytes,
              DoneCallback done);
  ~Connections();
  Connections(const Connections&) = delete;
  Connections& operator=(const Connections&) = delete;

  // Queues a request. `id` identifies the request in Cancel and in the callback
  // and must be unique.
  void Send(std::uint64_t id, const StoreHttpRequest& request);

  // Cancels request `id`; the callback is not called for it. A request that is
  // already sent may still take effect.
  void Cancel(std::uint64_t id);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_CONNECTIONS_H_
