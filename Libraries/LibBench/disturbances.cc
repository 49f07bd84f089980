// Starts and ends the disturbances of a scenario.

#include <cmath>

#include "world.h"

namespace cicadadrum {

namespace {

// Time until the live entry VMs have detected the loss of other entry VMs.
constexpr Duration kMemberLossDetectionTime = Seconds(3);
// Time until restarted entry VMs are among the members of all entry VMs.
constexpr Duration kMembersUpdateDelay = Milliseconds(300);
constexpr Duration kCrashingRequestWork = Milliseconds(10);

// Returns the servers that the disturbance affects: the share
// Disturbance::fraction of the servers of its service.
std::vector<std::size_t> ChooseServers(const World& world,
                                       const Disturbance& disturbance) {
  const std::string& service =
      world.deployment->deployment
          .services[static_cast<std::size_t>(disturbance.service)]
          .name;
  std::vector<std::size_t> servers;
  for (std::size_t i = 0; i < world.servers.size(); ++i) {
    if (world.servers[i].description.service == service)
      servers.push_back(i);
  }
  // The servers of a service alternate between the regions, so that any prefix
  // of the list is spread evenly over them.
  servers.resize(static_cast<std::size_t>(
      std::lround(disturbance.fraction * static_cast<double>(servers.size()))));
  return servers;
}

TimePoint EndTime(const World& world, const Disturbance& disturbance) {
  return std::min(disturbance.to, TimePoint(world.scenario->end));
}

// Crashes the server once per period; it restarts half a period later.
void CrashRepeatedly(World& world,
                     std::size_t server,
                     const Disturbance& disturbance) {
  if (Now(world) >= EndTime(world, disturbance))
    return;
  CrashServer(world, server);
  Schedule(world.queue, Now(world) + disturbance.period / 2,
           [&world, server] { RestartServer(world, server); });
  Schedule(world.queue, Now(world) + disturbance.period,
           [&world, server, disturbance] {
             CrashRepeatedly(world, server, disturbance);
           });
}

// Sends a request that crashes its server once per period, with the same
// fingerprint each time.
void SendCrashingRequest(World& world, const Disturbance& disturbance) {
  if (Now(world) >= EndTime(world, disturbance))
    return;
  const Stream stream{.service = disturbance.service,
                      .request_class = RequestClass::kRoutine,
                      .service_time = kCrashingRequestWork};
  const std::string& region =
      world.deployment->deployment.regions[disturbance.region].name;
  const std::size_t index = CreateRequest(world, stream, region);
  CallerRequest& caller = world.callers[index];
  caller.client_account = world.client_accounts.front();
  caller.fingerprint = 1;
  caller.crashes_server = true;
  SendCallerAttempt(world, index);
  Schedule(world.queue, Now(world) + disturbance.period,
           [&world, disturbance] { SendCrashingRequest(world, disturbance); });
}

void StopRegion(World& world, const std::string& region) {
  for (std::size_t i = 0; i < world.servers.size(); ++i) {
    if (world.servers[i].description.region == region)
      CrashServer(world, i);
  }
  for (std::size_t i = 0; i < world.entries.size(); ++i) {
    SimulatedEntry& entry = world.entries[i];
    if (entry.description.region != region || !entry.up)
      continue;
    entry.up = false;
    ++entry.generation;
    FailCallerAttemptsAt(world, i);
    Schedule(world.queue, Now(world) + kMemberLossDetectionTime, [&world, i] {
      if (world.entries[i].up)
        return;
      FailPendingSlotRequests(world, i);
      for (std::size_t peer = 0; peer < world.entries.size(); ++peer)
        Deliver(world, peer, PeerLost{world.entries[i].description.name});
    });
  }
  Schedule(world.queue, Now(world) + kMemberLossDetectionTime,
           [&world] { AnnounceMembers(world); });
}

void RestoreRegion(World& world, const std::string& region) {
  for (std::size_t i = 0; i < world.servers.size(); ++i) {
    if (world.servers[i].description.region == region)
      RestartServer(world, i);
  }
  for (std::size_t i = 0; i < world.entries.size(); ++i) {
    if (world.entries[i].description.region == region && !world.entries[i].up)
      StartEntry(world, i);
  }
  Schedule(world.queue, Now(world) + kMembersUpdateDelay,
           [&world] { AnnounceMembers(world); });
}

void ApplyDisturbance(World& world, const Disturbance& disturbance) {
  const std::vector<std::size_t> servers = ChooseServers(world, disturbance);
  const std::string& region =
      world.deployment->deployment.regions[disturbance.region].name;
  switch (disturbance.kind) {
    case DisturbanceKind::kSlow:
      return;
    case DisturbanceKind::kShedding:
      for (const std::size_t i : servers) {
        FakeServer& server = world.servers[i];
        server.slots = static_cast<std::uint32_t>(std::max(
            1.0, std::floor(server.description.slots * disturbance.factor)));
        server.backlog_limit = 0;
      }
      return;
    case DisturbanceKind::kCrash:
      for (const std::size_t i : servers)
        CrashServer(world, i);
      return;
    case DisturbanceKind::kCrashLoop:
      for (const std::size_t i : servers)
        CrashRepeatedly(world, i, disturbance);
      return;
    case DisturbanceKind::kPoison:
      return SendCrashingRequest(world, disturbance);
    case DisturbanceKind::kRegionLost:
      return StopRegion(world, region);
    case DisturbanceKind::kReportsLate:
      world.report_delay = disturbance.period;
      return;
    case DisturbanceKind::kReportsStopped:
      world.reports_stopped = true;
      return;
    case DisturbanceKind::kReportsFalse:
      for (const std::size_t i : servers)
        world.servers[i].reports_idle = true;
      return;
  }
}

void EndDisturbance(World& world, const Disturbance& disturbance) {
  if (disturbance.kind == DisturbanceKind::kRegionLost)
    RestoreRegion(
        world, world.deployment->deployment.regions[disturbance.region].name);
  if (disturbance.kind == DisturbanceKind::kCrash) {
    for (const std::size_t i : ChooseServers(world, disturbance))
      RestartServer(world, i);
  }
}

}  // namespace

void StartDisturbances(World& world) {
  for (const Disturbance& disturbance : world.scenario->disturbances) {
    if (disturbance.kind == DisturbanceKind::kSlow) {
      for (const std::size_t i : ChooseServers(world, disturbance))
        world.servers[i].slow_periods.push_back(
            {disturbance.from, disturbance.to, disturbance.factor});
      continue;
    }
    Schedule(world.queue, disturbance.from,
             [&world, &disturbance] { ApplyDisturbance(world, disturbance); });
    if (disturbance.to != kNever)
      Schedule(world.queue, disturbance.to,
               [&world, &disturbance] { EndDisturbance(world, disturbance); });
  }
}

}  // namespace cicadadrum
