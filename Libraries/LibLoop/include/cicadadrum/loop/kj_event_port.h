// Runs KJ promises on a libevent loop, so that Cap'n Proto RPC and all other
// I/O of a process share one loop on one thread.

#ifndef CICADADRUM_LOOP_KJ_EVENT_PORT_H_
#define CICADADRUM_LOOP_KJ_EVENT_PORT_H_

#include <kj/async.h>

#include <cstdint>
#include <memory>

struct event_base;

namespace cicadadrum {

// Connects a KJ event loop to a libevent loop. While the KJ loop has work, a
// libevent event is active whose handler runs the KJ loop. While the KJ loop
// has none, the port schedules no event and the libevent loop can sleep.
class KjEventPort final : public kj::EventPort {
 public:
  // `base` must outlive the port.
  explicit KjEventPort(event_base* base);
  ~KjEventPort();

  KjEventPort(const KjEventPort&) = delete;
  KjEventPort& operator=(const KjEventPort&) = delete;

  // Sets the KJ loop that the handler runs. Must be called exactly once, before
  // the KJ loop has work.
  void Attach(kj::EventLoop& loop);

  // Sleeps until libevent has handled at least one event. Called by
  // kj::Promise::wait(), which must not be called from a libevent callback; in
  // a callback kj::Promise::wait() throws a KJ exception.
  bool wait() override;

  // Handles the libevent events that are ready, without sleeping.
  bool poll() override;

  // Called by the KJ loop when it gets work and when it has none left.
  void setRunnable(bool runnable) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The KJ loop of a process. All promises, and all objects that contain
// promises, must be destroyed before the KjLoop.
class KjLoop {
 public:
  // `base` must outlive the loop. Makes the process ignore SIGPIPE.
  explicit KjLoop(event_base* base);
  ~KjLoop();

  KjLoop(const KjLoop&) = delete;
  KjLoop& operator=(const KjLoop&) = delete;

  // Returns the libevent base that was passed to the constructor.
  event_base* base() const;

  // Returns the scope for kj::Promise::wait(), which tests and programs use to
  // block until a promise is fulfilled.
  kj::WaitScope& wait_scope();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_KJ_EVENT_PORT_H_
