// Reads the load reports of the backend servers whose pools this entry VM owns.

#ifndef CICADADRUM_ENTRY_LOAD_POLLER_H_
#define CICADADRUM_ENTRY_LOAD_POLLER_H_

#include <functional>
#include <vector>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

class LoadPoller {
 public:
  // `servers` returns the servers to ask; `sink` receives LoadReported.
  LoadPoller(EventLoop& loop,
             std::function<std::vector<BackendServer>()> servers,
             std::function<void(const LoadReported&)> sink);

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
