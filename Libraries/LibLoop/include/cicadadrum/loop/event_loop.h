// The one event loop of a process, on libevent, with timers and signals.

#ifndef CICADADRUM_LOOP_EVENT_LOOP_H_
#define CICADADRUM_LOOP_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "cicadadrum/base/time.h"

struct event_base;

namespace cicadadrum {

// Owns an event_base. All callbacks run on the thread that called Run.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs callbacks until Stop is called.
  void Run();

  // Lets Run return after the present callback.
  void Stop();

  // Returns the present time of the steady clock, counted from the clock's own
  // origin.
  TimePoint Now() const;

  // The same, but the time for which the VM was suspended counts too, and the
  // origin is another one.
  TimePoint NowWithSuspensions() const;

  // Returns the libevent base, which stays valid as long as this object.
  event_base* base() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Calls a function once at a given time. Scheduling again replaces the earlier
// time.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Calls the function at `at`, or in the next round of the loop if `at` has
  // passed. kNever cancels.
  void Schedule(TimePoint at);
  void Cancel();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Calls a function on the loop whenever the process receives a signal.
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
