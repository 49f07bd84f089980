// Runs one scenario from the start to the last answer.

#include "cicadadrum/bench/simulation.h"

#include <algorithm>
#include <cmath>

#include "world.h"

namespace cicadadrum {

namespace {

constexpr std::uint32_t kCustomers = 24;
constexpr std::uint32_t kBacklog = 16;
// Time after the last arrival at which requests without an answer are counted
// as missing; longer than every deadline.
constexpr Duration kDrainTime = Seconds(30);

constexpr Duration kSameDomainDelay = Microseconds(100);

}  // namespace

Duration DelayBetween(const World& world,
                      const std::string& region_a,
                      const std::string& domain_a,
                      const std::string& region_b,
                      const std::string& domain_b) {
  if (region_a != region_b)
    return world.deployment->deployment.region_delay;
  if (domain_a != domain_b)
    return world.deployment->deployment.domain_delay;
  return kSameDomainDelay;
}

SimulationResult Simulate(const Scenario& scenario,
                          const BenchDeployment& deployment,
                          const SimulationOptions& options) {
  World world;
  world.scenario = &scenario;
  world.deployment = &deployment;
  world.options = options;
  world.random.state = options.seed;
  world.choices.state = ~options.seed;
  for (std::uint32_t i = 0; i < kCustomers; ++i)
    world.customers.push_back("customer-" + std::to_string(i));
  for (const BackendServer& server : deployment.servers) {
    world.server_index[server.name] = world.servers.size();
    world.servers.push_back({.description = server,
                             .slots = server.slots,
                             .backlog_limit = kBacklog});
  }
  StartEntries(world);
  StartDisturbances(world);
  StartReports(world);
  StartStreams(world);
  const TimePoint end(scenario.end);
  while (Now(world) < end + kDrainTime &&
         (Now(world) < end || world.open > 0) && RunNext(world.queue)) {
  }
  world.result.answers_missing += world.open;
  return std::move(world.result);
}

std::int64_t Percentile(std::vector<std::int64_t> values, double fraction) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(values.size())));
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(
                                        std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace cicadadrum
