// The single event loop of a process, built on libevent, with timers and signal
// handlers.

#ifndef CICADADRUM_LOOP_EVENT_LOOP_H_
#define CICADADRUM_LOOP_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "cicadadrum/base/time.h"

struct event_base;

namespace cicadadrum {

// Owns an event_base. All callbacks run on the thread that called Run. Every
// object that was created with an EventLoop must be destroyed before that loop.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs callbacks until Stop is called.
  void Run();

  // Makes Run return after the callback that is currently running.
  void Stop();

  // Returns the current time of the steady clock, which does not advance while
  // the VM is suspended.
  TimePoint Now() const;

  // Returns the current time of a clock that also advances while the VM is
  // suspended (CLOCK_BOOTTIME). The origin differs from that of Now, so a time
  // of one function must not be compared with a time of the other.
  TimePoint NowWithSuspensions() const;

  // Returns the libevent base, which is valid for the lifetime of this object.
  event_base* base() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Calls a function once at a given time. Scheduling the timer again replaces
// the earlier time. The function may destroy the timer.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls the function at the time `at`, or in the next iteration of the loop
  // if `at` has passed. `at` is a time of EventLoop::Now; kNever cancels the
  // timer.
  void Schedule(TimePoint at);

  // Prevents a scheduled call. Has no effect if no call is scheduled.
  void Cancel();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Calls a function on the loop whenever the process receives the given signal.
// The function must not destroy the watcher.
class SignalWatcher {
 public:
  SignalWatcher(EventLoop& loop,
                int signal_number,
                std::function<void()> callback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_EVENT_LOOP_H_
