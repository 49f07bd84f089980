// Short simulations of a deployment with faults.

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>

#include "cicadadrum/bench/simulation.h"

namespace cicadadrum {

namespace {

Scenario LoadOrFail(const std::string& name) {
  const std::string folder =
      std::string(CICADADRUM_SOURCE_DIR) + "/Tests/Scenarios";
  return boost::leaf::try_handle_all(
      [&] { return LoadScenario(folder, name); },
      [&] {
        FAIL("scenario " << name << " can't be read");
        return Scenario{};
      });
}

SimulationResult RunShort(const std::string& name,
                          Policy policy,
                          Duration end = Seconds(4)) {
  Scenario scenario = LoadOrFail(name);
  scenario.end = end;
  return Simulate(scenario, MakeBenchDeployment(DeploymentName::kAndesoft),
                  {.policy = policy, .load = 0.5, .seed = 7});
}

}  // namespace

// Guards against a write that runs twice and a request without exactly one
// answer, while servers crash, a region is lost, and one request crashes
// servers.
TEST_CASE("writes run at most once and each request has one answer") {
  for (const char* name :
       {"crash-loop", "region-lost", "crash-request", "shedding"}) {
    CAPTURE(name);
    const SimulationResult result = RunShort(name, Policy::kPoolOwner);
    CHECK(result.requests > 0);
    CHECK(result.repeated_writes == 0);
    CHECK(result.answers_missing == 0);
  }
}

// Guards against a crashing request that reaches more servers than are needed
// to recognize it.
TEST_CASE("a crashing request crashes exactly three servers") {
  const SimulationResult result = RunShort("crash-request", Policy::kPoolOwner);
  CHECK(result.crashes == 3);
}

// Guards against results that depend on anything but the arguments.
TEST_CASE("the same seed gives the same result") {
  const SimulationResult first =
      RunShort("slow-25-10", Policy::kPoolOwner, Seconds(2));
  const SimulationResult second =
      RunShort("slow-25-10", Policy::kPoolOwner, Seconds(2));
  CHECK(first.attempts == second.attempts);
  CHECK(first.busy_time == second.busy_time);
  CHECK(first.classes[0].latencies == second.classes[0].latencies);
}

}  // namespace cicadadrum
