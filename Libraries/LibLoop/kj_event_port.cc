// KJ event port on libevent.

#include "cicadadrum/loop/kj_event_port.h"

#include <event2/event.h>
#include <kj/debug.h>
#include <spdlog/spdlog.h>

#include <csignal>

namespace cicadadrum {

namespace {

// Maximum number of KJ turns before libevent polls sockets and timers again, so
// that promises that continuously produce new work can't starve sockets and
// timers.
constexpr unsigned kTurnsPerRun = 1000;

}  // namespace

struct KjEventPort::Impl {
  event_base* base = nullptr;
  event* run_event = nullptr;
  kj::EventLoop* loop = nullptr;
  bool runnable = false;
  // Invariant: true while kj::Promise::wait() or poll() drives the KJ loop. The
  // handler does not run the KJ loop then, because running the KJ loop inside
  // itself would hide that a callback calls wait().
  bool driven_by_wait = false;

  static void HandleRunnable(evutil_socket_t, short, void* context) {
    static_cast<Impl*>(context)->Run();
  }

  void Run() {
    if (loop == nullptr || driven_by_wait)
      return;
    // Promises store the exceptions of their continuations. An exception that
    // reaches this point was thrown by a destructor and must not propagate
    // through libevent's stack frames.
    const auto thrown =
        kj::runCatchingExceptions([this] { loop->run(kTurnsPerRun); });
    KJ_IF_MAYBE (exception, thrown) {
      spdlog::error("[loop] exception in a KJ event: {}",
                    exception->getDescription().cStr());
    }
    if (runnable)
      ScheduleAfterPoll();
  }

  // With a timeout of zero libevent polls sockets before it calls the handler;
  // with event_active() it would not.
  void ScheduleAfterPoll() const {
    const timeval at_once{0, 0};
    event_add(run_event, &at_once);
  }

  void RunBase(int flags) {
    driven_by_wait = true;
    const int result = event_base_loop(base, flags);
    driven_by_wait = false;
    // The caller runs the work that arrived in the meantime. The event is
    // needed for the remaining work if the caller stops before all work is
    // done.
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
  // Without EVLOOP_NO_EXIT_ON_EMPTY a loop without events would return
  // immediately and wait() would spin.
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
  // libevent writes with writev(), which raises SIGPIPE if the peer has closed
  // the connection. Unless ignored, this signal would terminate the process.
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
