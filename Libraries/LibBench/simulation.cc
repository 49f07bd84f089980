// Runs one scenario from the start to the last response.

#include "cicadadrum/bench/simulation.h"

#include <algorithm>
#include <cmath>

#include "world.h"

namespace cicadadrum {

namespace {

constexpr std::uint32_t kClientAccountCount = 24;
constexpr std::uint32_t kBacklogLimit = 16;
// A request without a response this long after the last arrival counts as
// missing. The time is longer than every deadline.
constexpr Duration kResponseTimeout = Seconds(30);

// One-way network delay inside a failure domain.
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
  world.arrival_random.state = options.seed;
  world.direct_choice_random.state = ~options.seed;
  for (std::uint32_t i = 0; i < kClientAccountCount; ++i)
    world.client_accounts.push_back("account-" + std::to_string(i));
  for (const BackendServer& server : deployment.servers) {
    world.server_index[server.name] = world.servers.size();
    world.servers.push_back({.description = server,
                             .slots = server.slots,
                             .backlog_limit = kBacklogLimit});
  }
  StartEntries(world);
  StartDisturbances(world);
  StartReports(world);
  StartStreams(world);
  const TimePoint end(scenario.end);
  while (Now(world) < end + kResponseTimeout &&
         (Now(world) < end || world.requests_without_response > 0) &&
         RunNext(world.queue)) {
  }
  world.result.answers_missing += world.requests_without_response;
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
