// Simulation of a deployment in virtual time.
//
// The entry VMs run the shipped request core (Step); backend servers, the table
// service and callers are small fakes. Messages take the deployment's one-way
// delays. The same arguments give the same result.

#ifndef CICADADRUM_BENCH_SIMULATION_H_
#define CICADADRUM_BENCH_SIMULATION_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/bench/scenario.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

// Who chooses the backend server of an attempt.
enum class Policy : std::uint8_t {
  kRoundRobin,     // Each entry VM in turn, without limits.
  kLeastInFlight,  // Each entry VM by its own requests in progress.
  kPowerOfTwo,     // Each entry VM: the less loaded of two by load reports.
  kPoolOwner,      // The owner of the pool (LibSteering).
};

template <>
struct EnumNames<Policy> {
  static constexpr auto kTable = std::to_array<EnumName<Policy>>({
      {Policy::kRoundRobin, "round-robin"},
      {Policy::kLeastInFlight, "least-in-flight"},
      {Policy::kPowerOfTwo, "power-of-two"},
      {Policy::kPoolOwner, "pool-owner"},
  });
};

enum class DeploymentName : std::uint8_t { kAndesoft, kHuon };

template <>
struct EnumNames<DeploymentName> {
  static constexpr auto kTable = std::to_array<EnumName<DeploymentName>>({
      {DeploymentName::kAndesoft, "andesoft"},
      {DeploymentName::kHuon, "huon"},
  });
};

struct BenchDeployment {
  Deployment deployment;
  std::vector<BackendServer> servers;
};

// Returns the deployment of docs/design.md section 1.6 with 9 entry VMs.
BenchDeployment MakeBenchDeployment(DeploymentName name);

struct SimulationOptions {
  Policy policy = Policy::kPoolOwner;
  double load = 1;  // Factor on all arrival rates.
  std::uint64_t seed = 1;
};

// Times are measured at the entry VM, from the arrival of a caller's first try
// to the answer.
struct ClassResult {
  std::vector<std::int64_t> latencies;  // Of answered requests, microseconds.
  // The same, with the deadline's length for each refused request.
  std::vector<std::int64_t> latencies_with_refusals;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
};

struct SimulationResult {
  std::array<ClassResult, kRequestClassCount> classes;
  // Waiting of short work caused by long work: the part of the time before the
  // start during which bulk held the slots of the server that ran it.
  std::vector<std::int64_t> waits_for_bulk;
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;         // Requests sent to backend servers.
  std::uint64_t answers_missing = 0;  // Requests without exactly one answer.
  std::uint64_t repeated_writes = 0;  // Keys that were run more than once.
  std::uint64_t crashes = 0;          // By the crashing request.
  std::int64_t busy_time = 0;         // Of all slots, microseconds.
  std::int64_t useful_time = 0;  // Of runs whose response reached the caller.
};

SimulationResult Simulate(const Scenario& scenario,
                          const BenchDeployment& deployment,
                          const SimulationOptions& options);

// Returns the value below which `fraction` of `values` lie; 0 if there are
// none.
std::int64_t Percentile(std::vector<std::int64_t> values, double fraction);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_SIMULATION_H_
