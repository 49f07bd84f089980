// Runs KJ promises on a libevent loop, so that Cap'n Proto RPC and all other
// input and output of a process share one loop on one thread.

#ifndef CICADADRUM_LOOP_KJ_EVENT_PORT_H_
#define CICADADRUM_LOOP_KJ_EVENT_PORT_H_

#include <kj/async.h>

#include <cstdint>
#include <memory>

struct event_base;

namespace cicadadrum {

// Connects a KJ event loop to a libevent loop. While the KJ loop has work, a
// libevent event is active whose handler runs it; otherwise nothing is
// scheduled and the libevent loop sleeps.
class KjEventPort final : public kj::EventPort {
 public:
  // `base` must outlive the port.
  explicit KjEventPort(event_base* base);
  ~KjEventPort();

  KjEventPort(const KjEventPort&) = delete;
  KjEventPort& operator=(const KjEventPort&) = delete;

  // Sets the loop that the handler runs. Called once, before the loop has work.
  void Attach(kj::EventLoop& loop);

  // Sleeps until libevent has handled at least one event. Called by
  // kj::Promise::wait(), which must not be called from a libevent callback;
  // there it throws a KJ exception.
  bool wait() override;

  // Handles the libevent events that are ready, without sleeping.
  bool poll() override;

  void setRunnable(bool runnable) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The KJ loop of a process. All promises, and all objects that hold promises,
// must be destroyed before it.
class KjLoop {
 public:
  // `base` must outlive the loop. Makes the process ignore SIGPIPE.
  explicit KjLoop(event_base* base);
  ~KjLoop();

  KjLoop(const KjLoop&) = delete;
  KjLoop& operator=(const KjLoop&) = delete;

  event_base* base() const;

  // For tests and programs that wait for one promise.
  kj::WaitScope& wait_scope();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_KJ_EVENT_PORT_H_
