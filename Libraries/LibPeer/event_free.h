// Owner of a libevent event.

#ifndef LIBRARIES_LIBPEER_EVENT_FREE_H_
#define LIBRARIES_LIBPEER_EVENT_FREE_H_

#include <event2/event.h>

#include <memory>

namespace cicadadrum {

struct EventFree {
  void operator()(event* owned) const { event_free(owned); }
};

using EventPtr = std::unique_ptr<event, EventFree>;

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_EVENT_FREE_H_
