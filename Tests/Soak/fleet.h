// The real programs of the entry VMs as processes of the soak.

#ifndef CICADADRUM_TESTS_SOAK_FLEET_H_
#define CICADADRUM_TESTS_SOAK_FLEET_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.h"

namespace cicadadrum::platform {

struct EntryProcess {
  std::string name;
  std::string settings_path;
  std::string caller_address;
  std::string readiness_address;
  std::unique_ptr<FaultProxy>
      store_proxy;  // Between this entry VM and the store.
  pid_t pid = 0;    // 0 while it does not run.
  bool is_paused = false;
  TimePoint restart_at = kNever;  // When to start it again.
  TimePoint started_at = kNever;
  bool is_stopped_early = false;  // By SIGTERM, maybe before its first step.
  TimePoint resume_at = kNever;
};

class Fleet {
 public:
  // Writes settings for `count` entry VMs into `folder`.
  Fleet(EventLoop& loop,
        const std::string& program,
        const std::string& folder,
        const std::string& store_address,
        std::size_t count);
  // Kills the processes that it started.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::vector<EntryProcess>& entries() { return entries_; }

  void Start(EntryProcess& entry);
  void Signal(EntryProcess& entry, int signal_number);
  // Notes processes that have ended, starts and resumes those that are due.
  void Advance(TimePoint now);
  // Ends that nobody asked for, with the name of the entry VM.
  const std::vector<std::string>& unexpected_exits() const {
    return unexpected_exits_;
  }

 private:
  EventLoop& loop_;
  std::string program_;
  std::vector<EntryProcess> entries_;
  std::vector<std::string> unexpected_exits_;
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_FLEET_H_
