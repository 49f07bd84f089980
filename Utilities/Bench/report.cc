// Runs the scenarios under each policy and prints one table of results and the
// targets that the pool owner has to meet.

#include "report.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

namespace {

constexpr std::size_t kPolicies = EnumNames<Policy>::kTable.size();
// Loads of the sweep, as factors on all arrival rates.
constexpr double kFirstLoad = 0.4;
constexpr double kLastLoad = 2.4;
constexpr double kLoadStep = 0.2;
// End of the runs of the sweep over loads. They are shorter than the runs of
// the scenarios, because under overload each request causes more events.
constexpr Duration kSweepEnd = Seconds(4);

using PolicyResults = std::map<Policy, SimulationResult>;

double ToMilliseconds(std::int64_t microseconds) {
  return static_cast<double>(microseconds) / 1000;
}

double UrgentP99(const SimulationResult& result) {
  return ToMilliseconds(
      Percentile(result.classes[0].latencies_with_refusals, 0.99));
}

template <typename Format>
void PrintRow(const std::string& label,
              const std::string& row,
              const PolicyResults& results,
              Format format) {
  std::printf("%-40s %-26s", label.c_str(), row.c_str());
  for (const auto& [policy, result] : results) {
    std::array<char, 64> text{};
    format(result, text);
    std::printf(" %22s", text.data());
  }
  std::printf("\n");
}

void PrintClassRows(const std::string& label, const PolicyResults& results) {
  for (const auto& [request_class, name] : EnumNames<RequestClass>::kTable) {
    const auto index = static_cast<std::size_t>(request_class);
    PrintRow(label, std::string(name) + " p50/p99/p99.9 ms", results,
             [index](const SimulationResult& result, auto& text) {
               const auto& values = result.classes[index].latencies;
               std::snprintf(text.data(), text.size(), "%.1f/%.1f/%.1f",
                             ToMilliseconds(Percentile(values, 0.5)),
                             ToMilliseconds(Percentile(values, 0.99)),
                             ToMilliseconds(Percentile(values, 0.999)));
             });
  }
}

void PrintCountRows(const std::string& label, const PolicyResults& results) {
  PrintRow(label, "short behind long p99 ms", results,
           [](const SimulationResult& result, auto& text) {
             std::snprintf(
                 text.data(), text.size(), "%.2f",
                 ToMilliseconds(Percentile(result.waits_for_bulk, 0.99)));
           });
  PrintRow(label, "refused u/r/w/b", results,
           [](const SimulationResult& result, auto& text) {
             const auto& classes = result.classes;
             std::snprintf(text.data(), text.size(), "%lu/%lu/%lu/%lu",
                           classes[0].refused, classes[1].refused,
                           classes[2].refused, classes[3].refused);
           });
  PrintRow(label, "repeated executions", results,
           [](const SimulationResult& result, auto& text) {
             std::snprintf(text.data(), text.size(), "%lu",
                           result.repeated_writes);
           });
  PrintRow(label, "wasted work %", results,
           [](const SimulationResult& result, auto& text) {
             const auto busy = static_cast<double>(
                 std::max<std::int64_t>(result.busy_time, 1));
             std::snprintf(
                 text.data(), text.size(), "%.2f",
                 100 * (1 - static_cast<double>(result.useful_time) / busy));
           });
  PrintRow(label, "attempts per request", results,
           [](const SimulationResult& result, auto& text) {
             std::snprintf(text.data(), text.size(), "%.3f",
                           static_cast<double>(result.attempts) /
                               static_cast<double>(result.requests));
           });
  PrintRow(label, "crashes/answers missing", results,
           [](const SimulationResult& result, auto& text) {
             std::snprintf(text.data(), text.size(), "%lu/%lu", result.crashes,
                           result.answers_missing);
           });
}

PolicyResults RunPolicies(const Scenario& scenario,
                          DeploymentName deployment,
                          const ReportOptions& options,
                          double load) {
  const BenchDeployment bench_deployment = MakeBenchDeployment(deployment);
  PolicyResults results;
  for (const Policy policy : options.policies)
    results[policy] =
        Simulate(scenario, bench_deployment, {policy, load, options.seed});
  return results;
}

void PrintTarget(const std::string& label,
                 const char* text,
                 double value,
                 double limit,
                 bool at_most) {
  const bool passed = at_most ? value <= limit : value >= limit;
  std::printf("%-40s %-52s %8.3f  (target %s %.2f)  %s\n", label.c_str(), text,
              value, at_most ? "at most" : "at least", limit,
              passed ? "pass" : "missed");
}

// For each policy, the loads of the sweep with the 99th percentile of the
// latency of each request class in milliseconds. Refused requests are included.
using SweepResults = std::map<
    Policy,
    std::vector<std::pair<double, std::array<double, kRequestClassCount>>>>;

SweepResults RunSweep(Scenario scenario,
                      DeploymentName deployment,
                      const ReportOptions& options) {
  scenario.end = std::min(scenario.end, kSweepEnd);
  SweepResults sweep;
  for (double load = kFirstLoad; load < kLastLoad; load += kLoadStep) {
    for (const auto& [policy, result] :
         RunPolicies(scenario, deployment, options, load)) {
      std::array<double, kRequestClassCount> values{};
      for (std::size_t i = 0; i < values.size(); ++i)
        values[i] = ToMilliseconds(
            Percentile(result.classes[i].latencies_with_refusals, 0.99));
      sweep[policy].emplace_back(load, values);
    }
  }
  return sweep;
}

// Returns the load at which the 99th percentile of the class `index` reaches
// `limit` milliseconds, by linear interpolation between the loads of the sweep.
// Returns the last load if the percentile stays below `limit`.
double LoadAtLatency(const SweepResults& sweep,
                     Policy policy,
                     std::size_t index,
                     double limit) {
  const auto& points = sweep.at(policy);
  for (std::size_t i = 1; i < points.size(); ++i) {
    const double before = points[i - 1].second[index];
    const double after = points[i].second[index];
    if (after < limit)
      continue;
    if (before >= limit)
      return points[i - 1].first;
    return points[i - 1].first + ((points[i].first - points[i - 1].first) *
                                  (limit - before) / (after - before));
  }
  return points.back().first;
}

void PrintHeadroom(const std::string& label,
                   const SweepResults& sweep,
                   const ReportOptions& options) {
  for (const auto& [request_class, name] : EnumNames<RequestClass>::kTable) {
    const auto index = static_cast<std::size_t>(request_class);
    std::printf("%-40s %-26s", label.c_str(),
                (std::string(name) + " load at double p99").c_str());
    for (const Policy policy : options.policies)
      std::printf(" %22.2f",
                  LoadAtLatency(sweep, policy, index,
                                2 * sweep.at(policy).front().second[index]));
    std::printf("\n");
  }
  if (!sweep.contains(Policy::kRoundRobin) ||
      !sweep.contains(Policy::kPoolOwner))
    return;
  for (const std::size_t index : {0U, 1U, 2U}) {
    const double limit =
        2 * sweep.at(Policy::kRoundRobin).front().second[index];
    const std::string text =
        std::string(NameOf(static_cast<RequestClass>(index))) +
        " headroom, pool owner / naive, same p99";
    PrintTarget(label, text.c_str(),
                LoadAtLatency(sweep, Policy::kPoolOwner, index, limit) /
                    LoadAtLatency(sweep, Policy::kRoundRobin, index, limit),
                1.3, false);
  }
}

void PrintTargets(
    const std::string& label,
    const std::map<std::string, SimulationResult>& pool_owner_results) {
  const auto calm = pool_owner_results.find("calm");
  const auto ratio = [&](const char* name, const char* text, double limit) {
    const auto found = pool_owner_results.find(name);
    if (calm != pool_owner_results.end() && found != pool_owner_results.end())
      PrintTarget(label, text,
                  UrgentP99(found->second) / UrgentP99(calm->second), limit,
                  true);
  };
  ratio("slow-25-10", "urgent p99, 25% slowed tenfold / none", 1.5);
  ratio("bulk-burst", "urgent p99, bulk burst / without", 1.2);
  const auto region_lost = pool_owner_results.find("region-lost");
  if (region_lost != pool_owner_results.end())
    PrintTarget(label, "attempts per request, region lost",
                static_cast<double>(region_lost->second.attempts) /
                    static_cast<double>(region_lost->second.requests),
                1.1, true);
  double repeated = 0;
  double missing = 0;
  for (const auto& [name, result] : pool_owner_results) {
    repeated += static_cast<double>(result.repeated_writes);
    missing += static_cast<double>(result.answers_missing);
  }
  PrintTarget(label, "repeated executions, all scenarios", repeated, 0, true);
  PrintTarget(label, "requests without exactly one answer", missing, 0, true);
}

void PrintHeader(const ReportOptions& options) {
  std::printf("%-40s %-26s", "deployment/scenario", "row");
  for (const Policy policy : options.policies)
    std::printf(" %22s", std::string(NameOf(policy)).c_str());
  std::printf("\n");
}

void PrintDeployment(const ReportOptions& options,
                     DeploymentName deployment,
                     const std::vector<Scenario>& scenarios) {
  const std::string prefix = std::string(NameOf(deployment));
  std::map<std::string, SimulationResult> pool_owner_results;
  for (const Scenario& scenario : scenarios) {
    PolicyResults results =
        RunPolicies(scenario, deployment, options, options.load);
    const std::string label = prefix + "/" + scenario.name;
    PrintClassRows(label, results);
    PrintCountRows(label, results);
    if (results.contains(Policy::kPoolOwner))
      pool_owner_results[scenario.name] =
          std::move(results[Policy::kPoolOwner]);
    if (options.headroom && scenario.name == "calm")
      PrintHeadroom(label, RunSweep(scenario, deployment, options), options);
  }
  PrintTargets(prefix, pool_owner_results);
}

}  // namespace

bool PrintReport(const ReportOptions& options) {
  std::vector<Scenario> scenarios;
  for (const std::string& name : options.scenarios) {
    const bool loaded = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_AUTO(scenario, LoadScenario(options.folder, name));
          scenarios.push_back(std::move(scenario));
          return true;
        },
        [](const Error& error) {
          std::fprintf(stderr, "%s\n", error.detail.c_str());
          return false;
        },
        [] { return false; });
    if (!loaded)
      return false;
  }
  PrintHeader(options);
  for (const DeploymentName deployment : options.deployments)
    PrintDeployment(options, deployment, scenarios);
  return true;
}

}  // namespace cicadadrum
