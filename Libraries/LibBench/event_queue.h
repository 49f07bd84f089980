// Queue of events in virtual time. Events that are due at the same time run in
// the order in which they were scheduled.

#ifndef CICADADRUM_BENCH_EVENT_QUEUE_H_
#define CICADADRUM_BENCH_EVENT_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "cicadadrum/base/time.h"

namespace cicadadrum {

struct ScheduledEvent {
  TimePoint at;
  std::uint64_t sequence = 0;  // Order of scheduling.
  std::function<void()> run;
};

struct EventQueue {
  // Heap ordered by RunsLater, with the earliest event first.
  std::vector<ScheduledEvent> heap;
  std::uint64_t next_sequence = 0;
  TimePoint now;  // Current virtual time.
};

inline bool RunsLater(const ScheduledEvent& a, const ScheduledEvent& b) {
  return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
}

// Schedules `run` for the time `at`, or for the current time if `at` has
// passed.
inline void Schedule(EventQueue& queue,
                     TimePoint at,
                     std::function<void()> run) {
  queue.heap.push_back(
      {std::max(at, queue.now), queue.next_sequence++, std::move(run)});
  std::push_heap(queue.heap.begin(), queue.heap.end(), RunsLater);
}

// Advances the time to the earliest event and runs it. Returns false if the
// queue is empty.
inline bool RunNext(EventQueue& queue) {
  if (queue.heap.empty())
    return false;
  std::pop_heap(queue.heap.begin(), queue.heap.end(), RunsLater);
  const ScheduledEvent event = std::move(queue.heap.back());
  queue.heap.pop_back();
  queue.now = event.at;
  event.run();
  return true;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_EVENT_QUEUE_H_
