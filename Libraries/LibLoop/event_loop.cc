// Event loop, timers and signal watchers on libevent.

#include "cicadadrum/loop/event_loop.h"

#include <event2/event.h>

#include <ctime>

#include "cicadadrum/loop/event_pointer.h"

namespace cicadadrum {

struct EventLoop::Impl {
  event_base* base = nullptr;
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {
  impl_->base = event_base_new();
}

EventLoop::~EventLoop() {
  // A bufferevent that was freed while one of its callbacks was deferred is
  // deallocated only once the loop has processed that callback.
  event_base_loop(impl_->base, EVLOOP_NONBLOCK);
  event_base_free(impl_->base);
}

void EventLoop::Run() {
  event_base_loop(impl_->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  event_base_loopbreak(impl_->base);
}

TimePoint EventLoop::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

TimePoint EventLoop::NowWithSuspensions() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Seconds(now.tv_sec) + Microseconds(now.tv_nsec / 1000));
}

event_base* EventLoop::base() const {
  return impl_->base;
}

struct Timer::Impl {
  EventLoop& loop;
  std::function<void()> callback;
  EventPointer event;
};

Timer::Timer(EventLoop& loop, std::function<void()> callback)
    : impl_(new Impl{loop, std::move(callback), nullptr}) {
  const auto fire = [](evutil_socket_t /*fd*/, short /*what*/, void* argument) {
    // The copy remains valid if the callback destroys the timer.
    const std::function<void()> callback_copy =
        static_cast<Impl*>(argument)->callback;
    callback_copy();
  };
  impl_->event.reset(event_new(loop.base(), -1, 0, fire, impl_.get()));
}

Timer::~Timer() = default;

void Timer::Schedule(TimePoint at) {
  if (at == kNever)
    return Cancel();
  const timeval delay = ToTimeval(at - impl_->loop.Now());
  event_add(impl_->event.get(), &delay);
}

void Timer::Cancel() {
  event_del(impl_->event.get());
}

struct SignalWatcher::Impl {
  std::function<void()> callback;
  EventPointer event;
};

SignalWatcher::SignalWatcher(EventLoop& loop,
                             int signal_number,
                             std::function<void()> callback)
    : impl_(new Impl{std::move(callback), nullptr}) {
  const auto fire = [](evutil_socket_t /*fd*/, short /*what*/, void* argument) {
    static_cast<Impl*>(argument)->callback();
  };
  impl_->event.reset(
      evsignal_new(loop.base(), signal_number, fire, impl_.get()));
  event_add(impl_->event.get(), nullptr);
}

SignalWatcher::~SignalWatcher() = default;

}  // namespace cicadadrum
