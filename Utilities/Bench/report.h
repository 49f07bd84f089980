// Runs the benchmark and prints its table.

#ifndef CICADADRUM_UTILITIES_BENCH_REPORT_H_
#define CICADADRUM_UTILITIES_BENCH_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/bench/simulation.h"

namespace cicadadrum {

struct ReportOptions {
  std::string folder;                  // Folder of the scenario files.
  std::vector<std::string> scenarios;  // Names without ".json".
  std::vector<DeploymentName> deployments;
  std::vector<Policy> policies;
  std::uint64_t seed = 1;
  double load = 1;       // Factor on all arrival rates.
  bool headroom = true;  // Run the sweep over loads.
};

// Runs every scenario in every deployment under every policy of `options` and
// prints the table to standard output. Returns false, with a message on
// standard error, if a scenario can't be read.
bool PrintReport(const ReportOptions& options);

}  // namespace cicadadrum

#endif  // CICADADRUM_UTILITIES_BENCH_REPORT_H_
