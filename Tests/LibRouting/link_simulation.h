// Simulates a burst of downloads on entry VMs with fast and slow links in
// virtual time. Servers are never the bottleneck.

#ifndef CICADADRUM_TESTS_LIBROUTING_LINK_SIMULATION_H_
#define CICADADRUM_TESTS_LIBROUTING_LINK_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// How callers choose an entry VM.
enum class EntryChoice : std::uint8_t {
  kUniform,     // All entry VMs alike.
  kByCapacity,  // Those that lookups name.
};

struct LinkScenario {
  EntryChoice choice = EntryChoice::kByCapacity;
  // Entry VMs know the speed of their links and refuse what these can't carry.
  bool limits_links = true;
  std::size_t strong_entries = 4;
  std::size_t weak_entries = 17;
  double strong_megabits_per_second = 200;
  double weak_megabits_per_second = 10;
  std::uint64_t response_bytes = 90'000;
  double requests_per_second = 80;
  double burst_requests_per_second = 400;
  Duration burst_begin = Seconds(4);
  Duration burst_end = Seconds(9);
  Duration objective = Milliseconds(500);
  Duration deadline = Seconds(4);
};

struct LinkResult {
  double sent = 0;
  double in_time = 0;  // Responses that callers had within the objective.
  double late = 0;
  double refused = 0;
  // Longest time that the responses in the queue of a weak entry VM's link
  // take.
  Duration longest_weak_queue{};
};

// Plays the scenario for `time`. Equal scenarios and seeds give equal results.
LinkResult SimulateLinks(const LinkScenario& scenario,
                         std::uint64_t seed,
                         Duration time);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_TESTS_LIBROUTING_LINK_SIMULATION_H_
