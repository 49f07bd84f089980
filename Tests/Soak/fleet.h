// Runs cicadadrum-platform, the program of an entry VM, in one child process
// for each entry VM of the soak test.

#ifndef CICADADRUM_TESTS_SOAK_FLEET_H_
#define CICADADRUM_TESTS_SOAK_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fault_proxy.h"

namespace cicadadrum::platform {

// One entry VM and its process.
struct EntryProcess {
  std::string name;
  std::string settings_path;
  std::string caller_address;
  std::string readiness_address;
  // The connections of this entry VM to the store pass through this proxy.
  std::unique_ptr<FaultProxy> store_proxy;
  pid_t pid = 0;  // 0 while the process does not run.
  bool is_paused = false;
  bool is_stopping = false;         // The process has received SIGTERM.
  std::uint64_t process_count = 0;  // Number of processes started so far.
  TimePoint restart_at = kNever;
  TimePoint started_at = kNever;
  // The process received SIGTERM within kLoadTime of its start, possibly before
  // its first instruction.
  bool is_stopped_early = false;
  TimePoint resume_at = kNever;  // When to resume the paused process.
  // Times of all starts and signals.
  std::vector<TimePoint> disturbances;
};

// Memory of an entry VM.
constexpr double kDefaultMemoryMegabytes = 160;

class Fleet {
 public:
  // Writes the settings of `count` entry VMs in the failure domains of
  // SoakFailureDomainOf to files in `folder`.
  Fleet(EventLoop& loop,
        const std::string& program,
        const std::string& folder,
        const std::string& store_address,
        std::size_t count,
        double memory_megabytes = kDefaultMemoryMegabytes);
  // Kills all running processes of the entry VMs.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::vector<EntryProcess>& entries() { return entries_; }
  const std::vector<EntryProcess>& entries() const { return entries_; }

  void Start(EntryProcess& entry);
  void Signal(EntryProcess& entry, int signal_number);
  // Resumes all paused processes.
  void EndPauses();
  // Records which processes have exited, restarts the exited processes and
  // resumes the paused processes that are due at `now`.
  void Advance(TimePoint now);
  // Returns a description, with the name of the entry VM, of each exit that is
  // neither clean nor the effect of a signal that the soak test has sent.
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
