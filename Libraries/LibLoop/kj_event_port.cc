// KJ event port over libevent.

#include "cicadadrum/loop/kj_event_port.h"

#include <event2/event.h>
#include <kj/debug.h>
#include <spdlog/spdlog.h>

#include <csignal>

namespace cicadadrum {

namespace {

// Turns of the KJ loop before libevent polls sockets and timers again, so that
// promises that always produce new work can't starve them.
constexpr unsigned kTurnsPerRun = 1000;

}  // namespace

struct KjEventPort::Impl {
  event_base* base = nullptr;
  event* run_event = nullptr;
  kj::EventLoop* loop = nullptr;
  bool runnable = false;
  // Invariant: true while kj::Promise::wait() drives the KJ loop; the handler
  // then leaves the KJ loop alone, because running it inside itself would let
  // callbacks call wait() unnoticed.
  bool driven_by_wait = false;

  static void HandleRunnable(evutil_socket_t, short, void* context) {
    static_cast<Impl*>(context)->Run();
  }

  void Run() {
    if (loop == nullptr || driven_by_wait)
      return;
    // Promises keep their exceptions; what gets here was thrown by a destructor
    // and must not cross the libevent frames.
    const auto thrown =
        kj::runCatchingExceptions([this] { loop->run(kTurnsPerRun); });
    KJ_IF_MAYBE (exception, thrown) {
      spdlog::error("[loop] exception in a KJ event: {}",
                    exception->getDescription().cStr());
    }
    if (runnable)
      ScheduleAfterPoll();
  }

  // A timeout of zero, unlike event_active(), lets libevent poll first.
  void ScheduleAfterPoll() const {
    const timeval at_once{0, 0};
    event_add(run_event, &at_once);
  }

  void RunBase(int flags) {
    driven_by_wait = true;
    const int result = event_base_loop(base, flags);
    driven_by_wait = false;
    // Work that arrived meanwhile is run by the caller; the event is needed if
    // the caller stops before all of it is done.
    if (runnable)
      event_active(run_event, EV_TIMEOUT, 0);
    KJ_REQUIRE(result >= 0, "the libevent loop failed or is already running");
  }
};

KjEventPort::KjEventPort(event_base* base) : impl_(std::make_unique<Impl>()) {
  impl_->base = base;
  impl_->run_event = event_new(base, -1, 0, &Impl::HandleRunnable, impl_.get());
  KJ_REQUIRE(impl_->run_event != nullptr, "event_new failed");
}

KjEventPort::~KjEventPort() {
  event_free(impl_->run_event);
}

void KjEventPort::Attach(kj::EventLoop& loop) {
  impl_->loop = &loop;
}

bool KjEventPort::wait() {
  // Without EVLOOP_NO_EXIT_ON_EMPTY a loop that has no events would return at
  // once and wait() would spin.
  impl_->RunBase(EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
  return false;
}

bool KjEventPort::poll() {
  impl_->RunBase(EVLOOP_NONBLOCK);
  return false;
}

void KjEventPort::setRunnable(bool runnable) {
  impl_->runnable = runnable;
  if (runnable)
    event_active(impl_->run_event, EV_TIMEOUT, 0);
  else
    event_del(impl_->run_event);
}

struct KjLoop::Impl {
  explicit Impl(event_base* event_base)
      : base(event_base), port(event_base), loop(port), wait_scope(loop) {
    port.Attach(loop);
  }

  event_base* base;
  KjEventPort port;
  kj::EventLoop loop;
  kj::WaitScope wait_scope;
};

KjLoop::KjLoop(event_base* base) : impl_(std::make_unique<Impl>(base)) {
  // libevent writes with writev(), which would end the process when the other
  // side has closed the connection.
  std::signal(SIGPIPE, SIG_IGN);
}

KjLoop::~KjLoop() = default;

event_base* KjLoop::base() const {
  return impl_->base;
}

kj::WaitScope& KjLoop::wait_scope() {
  return impl_->wait_scope;
}

}  // namespace cicadadrum
