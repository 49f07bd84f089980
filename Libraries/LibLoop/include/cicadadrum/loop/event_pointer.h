// Smart pointer for libevent events, and conversion of durations to timeval.

#ifndef CICADADRUM_LOOP_EVENT_POINTER_H_
#define CICADADRUM_LOOP_EVENT_POINTER_H_

#include <event2/event.h>
#include <sys/time.h>

#include <algorithm>
#include <memory>

#include "cicadadrum/base/time.h"

namespace cicadadrum {

struct EventDeleter {
  void operator()(event* pointer) const { event_free(pointer); }
};

using EventPointer = std::unique_ptr<event, EventDeleter>;

// Converts a duration in microseconds. A negative duration becomes zero.
inline timeval ToTimeval(Duration duration) {
  const std::int64_t microseconds = std::max<std::int64_t>(duration.count(), 0);
  return {.tv_sec = microseconds / 1'000'000,
          .tv_usec = microseconds % 1'000'000};
}

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_EVENT_POINTER_H_
