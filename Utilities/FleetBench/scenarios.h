// Scenarios of cicadadrum-fleet-bench. Each function returns the figures of one
// run; durations are virtual time unless a comment says otherwise.

#ifndef CICADADRUM_FLEET_BENCH_SCENARIOS_H_
#define CICADADRUM_FLEET_BENCH_SCENARIOS_H_

#include <cstddef>
#include <cstdint>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

// Changes and restarts per day at the design size (docs/design.md,
// section 1.7).
constexpr std::int64_t kChangesPerDay = 1100;
constexpr std::int64_t kRestartsPerDay = 182;
constexpr std::int64_t kMicrosecondsPerDay = 86'400'000'000;

// Returns options with a number of regions and failure domains for the fleet
// size: 3 and 6 for the smallest fleets, 11 and 39 from 1,600 nodes on.
FleetOptions OptionsForSize(std::size_t nodes,
                            Duration region_delay,
                            std::uint64_t seed);

struct PropagationFigures {
  Duration median{};
  Duration longest{};
};

// Measures the time from the write of a configuration to the store until the
// configuration is in force at every node. With `domain_lost`, a failure domain
// crashes at the time of the write.
PropagationFigures MeasurePropagation(FleetOptions options, bool domain_lost);

struct DayFigures {
  Duration window{};
  TrafficTotals traffic{};              // Sum over all nodes.
  double largest_bytes_per_second = 0;  // Of the busiest node, both ways.
  std::uint64_t store_reads = 0;
  std::uint64_t false_suspicions = 0;
  std::uint64_t false_deaths = 0;
  std::size_t state_bytes = 0;  // Largest of all nodes at the end.
  std::uint64_t steps = 0;
  double step_seconds = 0;    // Wall-clock time of all steps.
  double encode_seconds = 0;  // Wall-clock time of encoding.
};

// Runs the fleet for `window` with changes and restarts at the rates of a day.
DayFigures MeasureDay(FleetOptions options, Duration window);

// Time from a crash until every other node lists the crashed nodes as dead.
struct DetectionFigures {
  Duration node_median{};
  Duration node_longest{};
  Duration domain{};  // Until all nodes of a domain are listed as dead.
};

// Crashes 9 nodes one after the other, then a failure domain.
DetectionFigures MeasureDetection(const FleetOptions& options);

struct MassRestartFigures {
  // From the recovery of the store until a configuration is in force
  // everywhere.
  Duration time_to_ready{};
  // From the restart until all member tables agree.
  Duration time_to_agreement{};
  // Largest in any second, with the store up or down.
  double reads_per_second = 0;
  double bytes_per_second = 0;  // Mean per node, in and out.
};

// Restarts all nodes at once while the store is down. The store recovers after
// 30 s.
MassRestartFigures MeasureMassRestart(FleetOptions options);

struct PollingFigures {
  Duration in_force{};
  double reads_per_second = 0;
  double bytes_per_second = 0;  // Per node, in and out.
};

// Calculates the figures of a design without membership: every node polls the
// version row once a second and fetches each body from the store, which serves
// 2,000 reads per second.
PollingFigures MeasurePolling(const FleetOptions& options);

}  // namespace cicadadrum

#endif  // CICADADRUM_FLEET_BENCH_SCENARIOS_H_
