// One process of cicadadrum-platform whose memory is measured.

#ifndef CICADADRUM_UTILITIES_TRANSFERBENCH_MEASURED_ENTRY_H_
#define CICADADRUM_UTILITIES_TRANSFERBENCH_MEASURED_ENTRY_H_

#include <sys/types.h>

#include <functional>
#include <string>

#include <boost/leaf.hpp>

#include "fleet.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

// Returns the path of a new folder. Error: kFileUnreadable.
boost::leaf::result<std::string> MakeFolder();

// Returns a figure of /proc/PID/status, in megabytes; 0 if the process has
// ended.
double ReadMemory(pid_t pid, const std::string& key);

// Runs the loop until the condition is true or the time is over, and returns
// whether the condition is true.
bool WaitUntil(EventLoop& loop,
               const std::function<bool()>& condition,
               Duration timeout);

// A store and an entry VM. The process ends with the object.
struct MeasuredEntry {
  MeasuredEntry(EventLoop& event_loop,
                const std::string& program,
                const std::string& folder,
                double memory_megabytes);

  // Starts the process and waits until it is ready for callers.
  void Start();
  EntryProcess& process() { return fleet.entries().front(); }

  EventLoop& loop;
  StoreStandIn store;
  Fleet fleet;
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_UTILITIES_TRANSFERBENCH_MEASURED_ENTRY_H_
