// The server of cicadadrum-entry. It connects the decision logic of LibSteering
// with callers, backend servers, other entry VMs and the platform.

#ifndef CICADADRUM_ENTRY_ENTRY_SERVER_H_
#define CICADADRUM_ENTRY_ENTRY_SERVER_H_

#include <functional>
#include <memory>

#include <boost/leaf.hpp>

#include "cicadadrum/claim/request_key.h"
#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/loop/event_loop.h"

namespace cicadadrum {

// Serves callers and operators over HTTP and peers over the peer protocol. All
// member functions must be called on the thread of the event loop.
class EntryServer {
 public:
  // `loop` must outlive the server; `settings` is copied. `incarnation` must be
  // random, because no two processes may ever have the same incarnation.
  EntryServer(EventLoop& loop,
              const EntrySettings& settings,
              const Incarnation& incarnation);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  // Listens on the caller address and the peer address of the settings and
  // starts reading the platform's state. Must be called once. Errors:
  // kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Start();

  // Directs callers to other entry VMs, refuses new requests after a grace
  // period of 2 seconds and lets requests in progress finish. Then calls
  // `on_stopped` once the responses have been written, at most half a second
  // later. The server must exist until then.
  void RequestStop(std::function<void()> on_stopped);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_ENTRY_SERVER_H_
