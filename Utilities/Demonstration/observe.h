// Observation of entry VMs and backend servers during the run.

#ifndef CICADADRUM_DEMONSTRATION_OBSERVE_H_
#define CICADADRUM_DEMONSTRATION_OBSERVE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cicadadrum/loop/event_loop.h"
#include "mix.h"

namespace cicadadrum {

struct ServerObservation {
  bool reached = false;
  std::uint64_t requests_started = 0;
  std::uint64_t shed = 0;
  std::uint64_t cancelled = 0;
  std::uint32_t in_flight = 0;
  Duration since_last_start{};
  std::map<std::string, std::uint32_t> executions;  // By request key.
};

struct EntryObservation {
  bool reached = false;
  std::uint64_t configuration_version = 0;
  bool ready = false;
};

// These functions run the loop until all answers are there or two seconds have
// passed.
std::map<std::string, ServerObservation> ObserveServers(
    EventLoop& loop,
    const std::vector<BackendServer>& servers);
std::map<std::string, EntryObservation> ObserveEntries(
    EventLoop& loop,
    const std::vector<EntryVm>& entries);

// Marks a server as leaving through the first entry VM that answers.
// Returns that entry VM's name.
std::optional<std::string> MarkLeaving(EventLoop& loop,
                                       const std::vector<EntryVm>& entries,
                                       const std::string& server);

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_OBSERVE_H_
