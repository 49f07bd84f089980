// The two deployments that docs/design.md, section 1.6, describes.

#include <string>

#include "cicadadrum/bench/simulation.h"

namespace cicadadrum {

namespace {

constexpr std::uint32_t kEntriesPerRegion = 3;
// The shift limits have the values of the files in Settings/.
constexpr std::uint32_t kShiftCapPercent = 10;
constexpr Duration kShiftWindow = Seconds(30);

struct ServiceSize {
  std::string name;
  std::uint32_t servers = 0;
  std::vector<RequestClass> classes;
};

// Sizes from which a deployment is built. The slots of the servers cycle from
// `min_slots` to `max_slots`.
struct DeploymentSize {
  std::string name;
  std::vector<std::string> regions;
  Duration domain_delay{};
  Duration region_delay{};
  std::uint32_t link_megabits = 0;
  std::vector<ServiceSize> services;
  std::uint32_t min_slots = 0;
  std::uint32_t max_slots = 0;
};

DeploymentSize SizeOf(DeploymentName name) {
  const std::vector<RequestClass> all{
      RequestClass::kUrgent, RequestClass::kRoutine, RequestClass::kWrite,
      RequestClass::kBulk};
  switch (name) {
    case DeploymentName::kAndesoft:
      break;
    case DeploymentName::kHuon:
      return {.name = "huon",
              .regions = {"hobart", "launceston", "burnie"},
              .domain_delay = Microseconds(500),
              .region_delay = Milliseconds(55),
              .link_megabits = 300,
              .services = {{"lookup-svc", 16, all},
                           {"issue-svc", 12, all},
                           {"register-svc", 12, all}},
              .min_slots = 3,
              .max_slots = 7};
  }
  return {.name = "andesoft",
          .regions = {"cusco", "junin", "puno"},
          .domain_delay = Microseconds(1500),
          .region_delay = Milliseconds(12),
          .link_megabits = 4000,
          .services = {{"status-board", 16, all},
                       {"activation-desk", 12, all},
                       {"pass-archive", 12, all}},
          .min_slots = 3,
          .max_slots = 5};
}

}  // namespace

BenchDeployment MakeBenchDeployment(DeploymentName name) {
  const DeploymentSize size = SizeOf(name);
  BenchDeployment result;
  Deployment& deployment = result.deployment;
  deployment.name = size.name;
  deployment.domain_delay = size.domain_delay;
  deployment.region_delay = size.region_delay;
  deployment.link_megabits_per_second = size.link_megabits;
  deployment.shift_cap_percent = kShiftCapPercent;
  deployment.shift_window = kShiftWindow;
  for (const std::string& region : size.regions) {
    deployment.regions.push_back({region, {region + "-a", region + "-b"}});
    for (std::uint32_t i = 0; i < kEntriesPerRegion; ++i)
      deployment.entries.push_back(
          {.name = "entry-" + region + std::to_string(i),
           .region = region,
           .failure_domain = region + (i % 2 ? "-b" : "-a")});
  }
  for (const ServiceSize& service : size.services) {
    deployment.services.push_back({service.name, service.classes});
    for (std::uint32_t i = 0; i < service.servers; ++i) {
      const std::string& region = size.regions[i % size.regions.size()];
      const std::uint32_t index_in_region = i / size.regions.size();
      result.servers.push_back(
          {.name = service.name + "-" + std::to_string(i),
           .service = service.name,
           .region = region,
           .failure_domain = region + (index_in_region % 2 ? "-b" : "-a"),
           .address = "127.0.0.1:" + std::to_string(1 + result.servers.size()),
           .slots = size.min_slots +
                    index_in_region % (size.max_slots - size.min_slots + 1),
           .connections = 400});
    }
  }
  return result;
}

}  // namespace cicadadrum
