// Simulation of a deployment in virtual time.
//
// The entry VMs run the shipped request core (Step); backend servers, the table
// service and callers are small fakes. Messages arrive after the deployment's
// one-way network delays. The same arguments give the same result.

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

// How the backend server of an attempt is chosen.
enum class Policy : std::uint8_t {
  // Each entry VM cycles through the servers of the pool, without limits.
  kRoundRobin,
  // Each entry VM chooses the server with the fewest open requests of this
  // entry VM.
  kLeastInFlight,
  // Each entry VM draws two random servers and chooses the one with less load,
  // from the load reports and its own open requests.
  kPowerOfTwo,
  // The owner of the pool grants slots of its servers (LibSteering).
  kPoolOwner,
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

// A deployment with its backend servers.
struct BenchDeployment {
  Deployment deployment;
  std::vector<BackendServer> servers;
};

// Returns the deployment as in docs/design.md, section 1.6, with 9 entry VMs.
BenchDeployment MakeBenchDeployment(DeploymentName name);

struct SimulationOptions {
  Policy policy = Policy::kPoolOwner;
  double load = 1;  // Factor on all arrival rates.
  std::uint64_t seed = 1;
};

// Result for one request class. A latency is the time from the arrival of the
// caller's first attempt at an entry VM to the response that an entry VM sends.
struct ClassResult {
  std::vector<std::int64_t> latencies;  // Of served requests, microseconds.
  // The latencies of served requests and, for each refused request, the length
  // of its deadline, in microseconds.
  std::vector<std::int64_t> latencies_with_refusals;
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
};

// Result of one run. Requests that arrive during the warm-up count only in
// `answers_missing`, `repeated_writes`, `crashes` and the times.
struct SimulationResult {
  std::array<ClassResult, kRequestClassCount> classes;
  // For each execution of another class, the part of its waiting time that bulk
  // requests caused: the share of the server's slots that ran bulk requests,
  // integrated over the wait, in microseconds.
  std::vector<std::int64_t> waits_for_bulk;
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;         // Requests sent to backend servers.
  std::uint64_t answers_missing = 0;  // Requests without exactly one response.
  std::uint64_t repeated_writes = 0;  // Keys executed more than once.
  std::uint64_t crashes = 0;          // Caused by crashing requests.
  std::int64_t busy_time = 0;         // Sum over all slots, microseconds.
  // Part of `busy_time` that went into responses that reached their callers.
  std::int64_t useful_time = 0;
};

// Runs the scenario until all requests have a response, at most 30 s beyond its
// end. The deployment must have the three services that ServiceRole names.
SimulationResult Simulate(const Scenario& scenario,
                          const BenchDeployment& deployment,
                          const SimulationOptions& options);

// Returns the smallest of `values` that is not exceeded by the share `fraction`
// (0 to 1) of them; 0 if `values` is empty.
std::int64_t Percentile(std::vector<std::int64_t> values, double fraction);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_SIMULATION_H_
