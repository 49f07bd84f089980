// The body of cicadadrum-entry: connects the decision core with callers,
// backend servers, other entry VMs and the platform.

#ifndef CICADADRUM_ENTRY_ENTRY_SERVER_H_
#define CICADADRUM_ENTRY_ENTRY_SERVER_H_

#include <functional>
#include <memory>

#include <boost/leaf.hpp>

#include "cicadadrum/claim/request_key.h"
#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/loop/event_loop.h"

namespace cicadadrum {

class EntryServer {
 public:
  // `incarnation` must be random: no other process may ever have the same one.
  EntryServer(EventLoop& loop,
              const EntrySettings& settings,
              const Incarnation& incarnation);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  // Listens and begins to follow the platform. Errors: kAddressInvalid,
  // kBindFailed.
  boost::leaf::result<void> Start();

  // Accepts no new requests, lets those in progress finish, then calls
  // `on_stopped`.
  void RequestStop(std::function<void()> on_stopped);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_ENTRY_SERVER_H_
