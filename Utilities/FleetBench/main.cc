// cicadadrum-fleet-bench: measures the cost and speed of membership at several
// fleet sizes in virtual time. The same seed prints the same tables, except for
// the table of processor time.

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <sstream>
#include <string>
#include <vector>

#include "scenarios.h"

namespace cicadadrum {

namespace {

// Budgets per node (docs/design.md, section 1.7), except for the store reads of
// the whole fleet.
constexpr double kPropagationBudget = 6;           // Seconds.
constexpr double kTrafficBudget = 5000;            // Per second, in and out.
constexpr double kCoreBudget = 0.028;              // Share of one core.
constexpr double kMemoryBudget = 32e6;             // Bytes.
constexpr double kStoreReadBudget = 2000.0 / 3.0;  // Per second, whole fleet.

struct BenchOptions {
  std::vector<std::size_t> sizes;
  std::int64_t window_seconds = 0;
  std::int64_t region_delay_ms = 0;
  std::uint64_t seed = 1;
  std::string part;
};

double InSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

const char* PassOrMissed(bool passed) {
  return passed ? "pass" : "missed";
}

FleetOptions FleetOptionsFor(const BenchOptions& bench, std::size_t nodes) {
  return OptionsForSize(nodes, Milliseconds(bench.region_delay_ms), bench.seed);
}

bool IsSelected(const BenchOptions& bench, const std::string& part) {
  return bench.part == "all" || bench.part == part;
}

void PrintPropagation(const BenchOptions& bench) {
  std::printf(
      "\nchange in force everywhere, s (5 changes: median / longest)\n");
  std::printf("%6s %15s %15s %15s %10s %7s\n", "nodes", "no loss", "2% loss",
              "domain gone", "polling", "6 s");
  for (const std::size_t nodes : bench.sizes) {
    const FleetOptions options = FleetOptionsFor(bench, nodes);
    FleetOptions lossy = options;
    lossy.loss = 0.02;
    const PropagationFigures plain = MeasurePropagation(options, false);
    const PropagationFigures loss = MeasurePropagation(lossy, false);
    const PropagationFigures domain = MeasurePropagation(options, true);
    const Duration longest =
        std::max({plain.longest, loss.longest, domain.longest});
    std::printf("%6zu %7.2f /%6.2f %7.2f /%6.2f %7.2f /%6.2f %10.2f %7s\n",
                nodes, InSeconds(plain.median), InSeconds(plain.longest),
                InSeconds(loss.median), InSeconds(loss.longest),
                InSeconds(domain.median), InSeconds(domain.longest),
                InSeconds(MeasurePolling(options).in_force),
                PassOrMissed(InSeconds(longest) <= kPropagationBudget));
    std::fflush(stdout);
  }
}

void PrintTraffic(const DayFigures& day, std::size_t nodes) {
  const double node_seconds =
      InSeconds(day.window) * static_cast<double>(nodes);
  for (std::size_t k = 0; k < kTrafficKindCount; ++k) {
    const TrafficCount& count = day.traffic[k];
    const std::string name(NameOf(static_cast<TrafficKind>(k)));
    std::printf("%6zu %-13s %12.3f %12.1f %12.1f\n", nodes, name.c_str(),
                static_cast<double>(count.messages_out) / node_seconds,
                static_cast<double>(count.bytes_out) / node_seconds,
                static_cast<double>(count.bytes_in) / node_seconds);
  }
}

void PrintDay(const BenchOptions& bench) {
  std::vector<DayFigures> days;
  std::printf(
      "\nper node and second at 1,100 changes and 182 restarts a day\n");
  std::printf("%6s %-13s %12s %12s %12s\n", "nodes", "kind", "messages out",
              "bytes out", "bytes in");
  for (const std::size_t nodes : bench.sizes) {
    days.push_back(MeasureDay(FleetOptionsFor(bench, nodes),
                              Seconds(bench.window_seconds)));
    PrintTraffic(days.back(), nodes);
    std::fflush(stdout);
  }
  std::printf("\n%6s %9s %8s %7s %9s %7s %9s %7s %9s %11s %7s %10s\n", "nodes",
              "bytes/s", "polling", "5 KB/s", "busiest", "MB", "32 MB",
              "reads/s", "polling", "a third", "false/h", "deaths");
  for (std::size_t i = 0; i < days.size(); ++i) {
    const DayFigures& day = days[i];
    const std::size_t nodes = bench.sizes[i];
    const PollingFigures polling =
        MeasurePolling(FleetOptionsFor(bench, nodes));
    const double seconds = InSeconds(day.window);
    double bytes = 0;
    for (const TrafficCount& count : day.traffic)
      bytes += static_cast<double>(count.bytes_in + count.bytes_out);
    bytes /= seconds * static_cast<double>(nodes);
    const double reads = static_cast<double>(day.store_reads) / seconds;
    std::printf(
        "%6zu %9.0f %8.0f %7s %9.0f %7.2f %9s %7.1f %9.0f %11s %7.1f %10llu\n",
        nodes, bytes, polling.bytes_per_second,
        PassOrMissed(bytes <= kTrafficBudget), day.largest_bytes_per_second,
        static_cast<double>(day.state_bytes) / 1e6,
        PassOrMissed(static_cast<double>(day.state_bytes) <= kMemoryBudget),
        reads, polling.reads_per_second,
        PassOrMissed(reads <= kStoreReadBudget),
        static_cast<double>(day.false_suspicions) * 3600 / seconds,
        static_cast<unsigned long long>(day.false_deaths));
  }
  std::printf("\nmeasured processor time (not repeatable)\n");
  std::printf("%6s %12s %14s %14s %14s %7s\n", "nodes", "steps/s",
              "us per step", "us to encode", "% of a core", "2.8%");
  for (std::size_t i = 0; i < days.size(); ++i) {
    const DayFigures& day = days[i];
    const double node_seconds =
        InSeconds(day.window) * static_cast<double>(bench.sizes[i]);
    const double core_share =
        (day.step_seconds + day.encode_seconds) / node_seconds;
    const auto steps = static_cast<double>(day.steps);
    std::printf("%6zu %12.2f %14.2f %14.2f %14.4f %7s\n", bench.sizes[i],
                steps / node_seconds, day.step_seconds * 1e6 / steps,
                day.encode_seconds * 1e6 / steps, core_share * 100,
                PassOrMissed(core_share <= kCoreBudget));
  }
}

void PrintDetection(const BenchOptions& bench) {
  std::printf(
      "\ndetection everywhere, s (9 dead nodes: median / longest; a domain), "
      "and false alarms at 2%% loss in 240 s\n");
  std::printf("%6s %8s %8s %8s %14s %8s\n", "nodes", "median", "longest",
              "domain", "suspicions/h", "deaths");
  for (const std::size_t nodes : bench.sizes) {
    const DetectionFigures figures =
        MeasureDetection(FleetOptionsFor(bench, nodes));
    FleetOptions lossy = FleetOptionsFor(bench, nodes);
    lossy.loss = 0.02;
    lossy.count_bytes = false;
    const DayFigures day = MeasureDay(lossy, Seconds(240));
    std::printf("%6zu %8.2f %8.2f %8.2f %14.1f %8llu\n", nodes,
                InSeconds(figures.node_median), InSeconds(figures.node_longest),
                InSeconds(figures.domain),
                static_cast<double>(day.false_suspicions) * 3600 / 240,
                static_cast<unsigned long long>(day.false_deaths));
    std::fflush(stdout);
  }
}

void PrintMassRestart(const BenchOptions& bench) {
  std::printf(
      "\nrestart of all nodes, store down for 30 s, then up (120 = never)\n");
  std::printf("%6s %14s %16s %12s %12s\n", "nodes", "tables agree s",
              "ready after up s", "reads/s max", "bytes/s");
  for (const std::size_t nodes : bench.sizes) {
    const MassRestartFigures figures =
        MeasureMassRestart(FleetOptionsFor(bench, nodes));
    std::printf("%6zu %14.1f %16.2f %12.0f %12.0f\n", nodes,
                InSeconds(figures.time_to_agreement),
                InSeconds(figures.time_to_ready), figures.reads_per_second,
                figures.bytes_per_second);
    std::fflush(stdout);
  }
}

bool ParseOptions(int argc, char** argv, BenchOptions& bench) {
  namespace po = boost::program_options;
  po::options_description description("cicadadrum-fleet-bench");
  description.add_options()("help", "print this text")(
      "nodes",
      po::value(&bench.sizes)
          ->multitoken()
          ->default_value({9, 100, 400, 1600}, "9 100 400 1600"),
      "fleet sizes")("window",
                     po::value(&bench.window_seconds)->default_value(475),
                     "seconds of the day that are simulated")(
      "region-delay-ms", po::value(&bench.region_delay_ms)->default_value(55),
      "one-way delay between regions")(
      "seed", po::value(&bench.seed)->default_value(20261204), "seed")(
      "part", po::value(&bench.part)->default_value("all"),
      "all, spread, day, detection or storm");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.count("help") == 0)
    return true;
  std::string text = (std::ostringstream() << description).str();
  std::printf("%s", text.c_str());
  return false;
}

void Run(const BenchOptions& bench) {
  std::printf("seed %llu, %lld ms between regions, bodies of %zu bytes\n",
              static_cast<unsigned long long>(bench.seed),
              static_cast<long long>(bench.region_delay_ms),
              FleetOptions{}.body_bytes);
  if (IsSelected(bench, "spread"))
    PrintPropagation(bench);
  if (IsSelected(bench, "detection"))
    PrintDetection(bench);
  if (IsSelected(bench, "storm"))
    PrintMassRestart(bench);
  if (IsSelected(bench, "day"))
    PrintDay(bench);
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  cicadadrum::BenchOptions bench;
  try {
    if (cicadadrum::ParseOptions(argc, argv, bench))
      cicadadrum::Run(bench);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "[bench] %s\n", error.what());
    return 2;
  }
  return 0;
}
