// Polls the load reports of the backend servers whose pools this entry VM owns.

#ifndef CICADADRUM_ENTRY_LOAD_POLLER_H_
#define CICADADRUM_ENTRY_LOAD_POLLER_H_

#include <functional>
#include <vector>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

// Requests the load report of each server once per second over HTTP. Failed
// requests and malformed reports are ignored.
class LoadPoller {
 public:
  // `loop` must outlive the object. `servers` returns the servers to poll;
  // `sink` receives LoadReported for each valid report.
  LoadPoller(EventLoop& loop,
             std::function<std::vector<BackendServer>()> servers,
             std::function<void(const LoadReported&)> sink);

  // Sends the first requests and schedules the next poll. Must be called once.
  void Start();

 private:
  void Poll();
  void RequestLoadReport(const BackendServer& server);

  EventLoop& loop_;
  std::function<std::vector<BackendServer>()> servers_;
  std::function<void(const LoadReported&)> sink_;
  HttpClient client_;
  Timer timer_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_LOAD_POLLER_H_
