// Reads the state of entry VMs and backend servers during a demonstration run.

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

// Counters of a backend server. All other members are zero or empty if
// `reached` is false.
struct ServerObservation {
  bool reached = false;  // Whether the server returned its counters.
  std::uint64_t requests_started = 0;
  std::uint64_t shed = 0;       // Requests refused because no slot was free.
  std::uint64_t cancelled = 0;  // Requests cancelled while they ran.
  std::uint32_t in_flight = 0;
  Duration since_last_start{};
  std::map<std::string, std::uint32_t>
      executions;  // Number of runs by request key.
};

// Status of an entry VM. All other members are zero or false if `reached` is
// false.
struct EntryObservation {
  bool reached = false;  // Whether the entry VM returned its status.
  std::uint64_t configuration_version = 0;
  bool ready = false;
};

// ObserveServers and ObserveEntries run the loop until all responses have
// arrived or two seconds have passed, and return one observation per name.
std::map<std::string, ServerObservation> ObserveServers(
    EventLoop& loop,
    const std::vector<BackendServer>& servers);
std::map<std::string, EntryObservation> ObserveEntries(
    EventLoop& loop,
    const std::vector<EntryVm>& entries);

// Marks a server as leaving through the first entry VM that accepts the mark.
// Returns the name of that entry VM, or nothing if no entry VM accepts the
// mark. Runs the loop for up to two seconds per entry VM.
std::optional<std::string> MarkLeaving(EventLoop& loop,
                                       const std::vector<EntryVm>& entries,
                                       const std::string& server);

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_OBSERVE_H_
