// Runs the scenarios of cicadadrum-fleet-bench.

#include "scenarios.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cicadadrum {

namespace {

constexpr Duration kSettlingTime = Seconds(12);
// New processes send longer messages for 30 s. With kSettlingTime, this time
// lets the messages become short before the traffic is counted.
constexpr Duration kLongMessageWait = Seconds(20);
constexpr Duration kTimeLimit = Seconds(120);
constexpr int kChangeCount = 5;
constexpr int kCrashCount = 9;

Fleet MakeSteadyFleet(const FleetOptions& options) {
  Fleet fleet = MakeFleet(options);
  PublishConfiguration(fleet);
  StartAllWithFullTables(fleet);
  RunFleet(fleet, kSettlingTime);
  return fleet;
}

Duration Median(std::vector<Duration> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::uint64_t NodeBytes(const FleetNode& node) {
  std::uint64_t bytes = 0;
  for (const TrafficCount& count : node.traffic)
    bytes += count.bytes_in + count.bytes_out;
  return bytes;
}

double InSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

void ClearCounters(Fleet& fleet) {
  fleet.counters = {};
  fleet.store.row_reads = 0;
  fleet.store.body_reads = 0;
  for (FleetNode& node : fleet.nodes)
    node.traffic = {};
}

std::uint64_t StoreReads(const Fleet& fleet) {
  return fleet.store.row_reads + fleet.store.body_reads;
}

// Publishes the changes and restarts the nodes that fall into `window`, at the
// rates of a day and in order of time.
void SimulateDay(Fleet& fleet, Duration window) {
  const Duration change_period =
      Microseconds(kMicrosecondsPerDay / kChangesPerDay);
  const Duration restart_period =
      Microseconds(kMicrosecondsPerDay / kRestartsPerDay);
  const TimePoint end = fleet.now + window;
  TimePoint change_at = fleet.now + change_period / 2;
  TimePoint restart_at = fleet.now + restart_period / 2;
  while (true) {
    const TimePoint next = std::min(change_at, restart_at);
    if (next > end)
      break;
    RunFleet(fleet, next - fleet.now);
    if (change_at <= restart_at) {
      PublishConfiguration(fleet);
      change_at += change_period;
      continue;
    }
    const std::size_t node = RandomBelow(fleet.random, fleet.nodes.size());
    LeaveNode(fleet, node);
    RunFleet(fleet, Seconds(2));
    StartNode(fleet, node);
    restart_at += restart_period;
  }
  RunFleet(fleet, end - fleet.now);
}

bool DomainListedAsDead(const Fleet& fleet, std::size_t domain) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.nodes[i].failure_domain == domain &&
        !ListedAsDeadEverywhere(fleet, i))
      return false;
  }
  return true;
}

void CrashDomain(Fleet& fleet, std::size_t domain) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.nodes[i].failure_domain == domain)
      CrashNode(fleet, i);
  }
}

}  // namespace

FleetOptions OptionsForSize(std::size_t nodes,
                            Duration region_delay,
                            std::uint64_t seed) {
  FleetOptions options{
      .nodes = nodes, .region_delay = region_delay, .seed = seed};
  if (nodes >= 1600) {
    options.regions = 11;
    options.failure_domains = 39;
  } else if (nodes >= 100) {
    options.regions = nodes >= 400 ? 8 : 5;
    options.failure_domains = nodes >= 400 ? 24 : 12;
  }
  return options;
}

PropagationFigures MeasurePropagation(FleetOptions options, bool domain_lost) {
  options.count_bytes = false;
  Fleet fleet = MakeSteadyFleet(options);
  std::vector<Duration> times;
  for (int i = 0; i < kChangeCount; ++i) {
    const std::size_t domain = static_cast<std::size_t>(i) + 1;
    if (domain_lost)
      CrashDomain(fleet, domain);
    const std::uint64_t version = PublishConfiguration(fleet);
    times.push_back(RunFleetUntil(fleet, kTimeLimit, [version](const Fleet& f) {
      return InForceEverywhere(f, version);
    }));
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
      if (!fleet.nodes[n].up)
        StartNode(fleet, n);
    }
    // The random part lets the changes meet the periodic readers at different
    // phases.
    RunFleet(fleet, (domain_lost ? Seconds(15) : Seconds(3)) +
                        Milliseconds(static_cast<std::int64_t>(
                            RandomBelow(fleet.random, 1000))));
  }
  return {.median = Median(times),
          .longest = *std::max_element(times.begin(), times.end())};
}

DayFigures MeasureDay(FleetOptions options, Duration window) {
  options.measure_time = true;
  Fleet fleet = MakeSteadyFleet(options);
  RunFleet(fleet, kLongMessageWait);
  ClearCounters(fleet);
  SimulateDay(fleet, window);
  DayFigures figures{.window = window,
                     .store_reads = StoreReads(fleet),
                     .false_suspicions = fleet.counters.false_suspicions.size(),
                     .false_deaths = fleet.counters.false_deaths.size(),
                     .steps = fleet.counters.steps};
  figures.step_seconds =
      static_cast<double>(fleet.counters.step_nanoseconds) / 1e9;
  figures.encode_seconds =
      static_cast<double>(fleet.counters.encode_nanoseconds) / 1e9;
  for (const FleetNode& node : fleet.nodes) {
    figures.state_bytes = std::max(figures.state_bytes, StateBytes(node.state));
    figures.largest_bytes_per_second =
        std::max(figures.largest_bytes_per_second,
                 static_cast<double>(NodeBytes(node)) / InSeconds(window));
    for (std::size_t k = 0; k < kTrafficKindCount; ++k) {
      figures.traffic[k].messages_out += node.traffic[k].messages_out;
      figures.traffic[k].bytes_out += node.traffic[k].bytes_out;
      figures.traffic[k].bytes_in += node.traffic[k].bytes_in;
    }
  }
  return figures;
}

DetectionFigures MeasureDetection(const FleetOptions& options) {
  FleetOptions options_without_counts = options;
  options_without_counts.count_bytes = false;
  Fleet fleet = MakeSteadyFleet(options_without_counts);
  std::vector<Duration> times;
  for (int i = 0; i < kCrashCount; ++i) {
    const std::size_t crashed_node =
        RandomBelow(fleet.random, fleet.nodes.size());
    CrashNode(fleet, crashed_node);
    times.push_back(
        RunFleetUntil(fleet, kTimeLimit, [crashed_node](const Fleet& f) {
          return ListedAsDeadEverywhere(f, crashed_node);
        }));
    StartNode(fleet, crashed_node);
    RunFleet(fleet, Seconds(8));
  }
  constexpr std::size_t kDomain = 2;
  CrashDomain(fleet, kDomain);
  const Duration domain = RunFleetUntil(fleet, kTimeLimit, [](const Fleet& f) {
    return DomainListedAsDead(f, kDomain);
  });
  return {.node_median = Median(times),
          .node_longest = *std::max_element(times.begin(), times.end()),
          .domain = domain};
}

MassRestartFigures MeasureMassRestart(FleetOptions options) {
  Fleet fleet = MakeSteadyFleet(options);
  fleet.store.up = false;
  ClearCounters(fleet);
  StartAll(fleet);
  MassRestartFigures figures;
  std::uint64_t reads = 0;
  const auto run_second = [&] {
    RunFleet(fleet, Seconds(1));
    figures.reads_per_second =
        std::max(figures.reads_per_second,
                 static_cast<double>(StoreReads(fleet) - reads));
    reads = StoreReads(fleet);
  };
  const TimePoint start = fleet.now;
  figures.time_to_agreement = kTimeLimit;
  for (int second = 1; second <= 30; ++second) {
    run_second();
    if (figures.time_to_agreement == kTimeLimit && MembersAgree(fleet))
      figures.time_to_agreement = Seconds(second);
  }
  fleet.store.up = true;
  figures.time_to_ready = RunFleetUntil(fleet, kTimeLimit, [](const Fleet& f) {
    return InForceEverywhere(f, 1);
  });
  reads = std::min(reads, StoreReads(fleet));
  run_second();
  std::uint64_t bytes = 0;
  for (const FleetNode& node : fleet.nodes)
    bytes += NodeBytes(node);
  figures.bytes_per_second = static_cast<double>(bytes) /
                             static_cast<double>(fleet.nodes.size()) /
                             InSeconds(fleet.now - start);
  return figures;
}

PollingFigures MeasurePolling(const FleetOptions& options) {
  // 2,000 reads per second.
  constexpr Duration kStoreReadTime = Microseconds(500);
  constexpr double kPollBytes = kHttpRequestBytes + kHttpResponseBytes + 60;
  Random random{.state = options.seed};
  std::vector<Duration> polls;
  for (std::size_t i = 0; i < options.nodes; ++i)
    polls.push_back(Microseconds(
        static_cast<std::int64_t>(RandomBelow(random, 1'000'000))));
  // Every poll returns the new version and is followed by a fetch of the body.
  std::vector<Duration> arrivals = polls;
  for (const Duration poll : polls)
    arrivals.push_back(poll + options.region_delay * 2);
  std::sort(arrivals.begin(), arrivals.end());
  Duration free_at{};
  for (const Duration arrival : arrivals)
    free_at = std::max(free_at, arrival) + kStoreReadTime;
  const double changes_per_second = static_cast<double>(kChangesPerDay) / 86400;
  const double body = kHttpRequestBytes + kHttpResponseBytes +
                      static_cast<double>(options.body_bytes);
  return {.in_force = free_at + options.region_delay * 2,
          .reads_per_second =
              static_cast<double>(options.nodes) * (1 + changes_per_second),
          .bytes_per_second = kPollBytes + changes_per_second * body};
}

}  // namespace cicadadrum
