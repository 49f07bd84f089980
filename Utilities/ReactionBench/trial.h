// One trial of the reaction bench: entry VM processes with a small share of a
// processor, callers that send requests to them, and changes of the
// configuration and of a server's state.

#ifndef CICADADRUM_UTILITIES_REACTIONBENCH_TRIAL_H_
#define CICADADRUM_UTILITIES_REACTIONBENCH_TRIAL_H_

#include <cstdint>
#include <string>

#include "cicadadrum/base/time.h"

namespace cicadadrum::platform {

struct TrialOptions {
  std::string program;  // Path of cicadadrum-platform.
  std::string folder;   // For settings and logs of the processes.
  std::size_t routes = 10;
  std::size_t servers = 2;  // At least two; the others receive no requests.
  // Requests per second and entry VM, without the probes of the bench.
  std::uint32_t load = 0;
  std::size_t entry_count = 1;
  std::uint32_t processor_percent = 10;  // Of one core, for each entry VM.
  // Time for which the entry VMs stand still from just before each change.
  Duration pause{};
  std::uint32_t repeats = 3;
};

// The slowest reactions of a trial. Times count from the change, or from the
// end of the pause.
struct TrialResult {
  bool completed = false;  // Every change took effect within kTrialTimeout.
  // Of the last request that an entry VM handled by the older configuration,
  // by the time at which the caller sent it.
  Duration outdated{};
  // Of the first response by the newer configuration.
  Duration in_force{};
  // Of the last request that reached the server after it was listed as leaving.
  Duration leaving{};
  // Bytes that the busiest entry VM wrote for one change of the configuration.
  std::uint64_t configuration_bytes = 0;
};

// Longest time that a change may take to be in force.
constexpr Duration kTrialTimeout = Seconds(30);

TrialResult RunTrial(const TrialOptions& options);

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_UTILITIES_REACTIONBENCH_TRIAL_H_
