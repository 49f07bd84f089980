// Scenarios of the fleet bench. Each returns figures of one run in virtual
// time.

#ifndef CICADADRUM_FLEET_BENCH_SCENARIOS_H_
#define CICADADRUM_FLEET_BENCH_SCENARIOS_H_

#include <cstddef>
#include <cstdint>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

// Events per day at the size to design for (docs/design.md, section 1.7).
constexpr std::int64_t kChangesPerDay = 1100;
constexpr std::int64_t kRestartsPerDay = 182;
constexpr std::int64_t kMicrosecondsPerDay = 86'400'000'000;

// Returns options with regions and failure domains that suit the size: 3 and 6
// for today's fleets, 11 and 39 for 1,600 nodes.
FleetOptions OptionsForSize(std::size_t nodes,
                            Duration region_delay,
                            std::uint64_t seed);

struct PropagationFigures {
  Duration median{};
  Duration longest{};
};

// Time from the write of a configuration to the store until it is in force at
// every node. `domain_lost` crashes a failure domain together with the write.
PropagationFigures MeasurePropagation(FleetOptions options, bool domain_lost);

struct DayFigures {
  Duration window{};
  TrafficTotals traffic{};              // Sum over all nodes.
  double largest_bytes_per_second = 0;  // In and out, of the busiest node.
  std::uint64_t store_reads = 0;
  std::uint64_t false_suspicions = 0;
  std::uint64_t false_deaths = 0;
  std::size_t state_bytes = 0;  // Largest of any node at the end.
  std::uint64_t steps = 0;
  double step_seconds = 0;    // Measured processor time of the steps.
  double encode_seconds = 0;  // Measured processor time of encoding.
};

// Runs the fleet for `window` with changes and restarts at the rate of a day.
DayFigures MeasureDay(FleetOptions options, Duration window);

struct DetectionFigures {
  Duration node_median{};
  Duration node_longest{};
  Duration domain{};  // Until all its nodes are held for dead everywhere.
};

DetectionFigures MeasureDetection(const FleetOptions& options);

struct MassRestartFigures {
  // From the store's return until all are ready.
  Duration time_to_ready{};
  Duration time_to_agreement{};  // From the restart until all tables agree.
  double reads_per_second = 0;   // Largest in any second, store down or up.
  double bytes_per_second = 0;   // Mean per node, in and out.
};

// Restarts all nodes at once while the store is down; it returns after 30 s.
MassRestartFigures MeasureMassRestart(FleetOptions options);

struct PollingFigures {
  Duration in_force{};
  double reads_per_second = 0;
  double bytes_per_second = 0;  // Per node, in and out.
};

// Every node polls the version row once a second and fetches each body from
// the store, which serves 2,000 reads per second.
PollingFigures MeasurePolling(const FleetOptions& options);

}  // namespace cicadadrum

#endif  // CICADADRUM_FLEET_BENCH_SCENARIOS_H_
