// Applies the disturbances of a scenario.

#include <cmath>

#include "world.h"

namespace cicadadrum {

namespace {

// Time until the entry VMs agree that others were lost, and that they are back.
constexpr Duration kDetectionTime = Seconds(3);
constexpr Duration kJoinTime = Milliseconds(300);
constexpr Duration kPoisonWork = Milliseconds(10);

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
  // The servers alternate between the regions, so a prefix is even.
  servers.resize(static_cast<std::size_t>(
      std::lround(disturbance.fraction * static_cast<double>(servers.size()))));
  return servers;
}

TimePoint LastMoment(const World& world, const Disturbance& disturbance) {
  return std::min(disturbance.to, TimePoint(world.scenario->end));
}

void LoopCrashes(World& world, std::size_t server, const Disturbance& loop) {
  if (Now(world) >= LastMoment(world, loop))
    return;
  CrashServer(world, server);
  Schedule(world.queue, Now(world) + loop.period / 2,
           [&world, server] { RestartServer(world, server); });
  Schedule(world.queue, Now(world) + loop.period,
           [&world, server, loop] { LoopCrashes(world, server, loop); });
}

void SendPoison(World& world, const Disturbance& poison) {
  if (Now(world) >= LastMoment(world, poison))
    return;
  const Stream stream{.service = poison.service,
                      .request_class = RequestClass::kRoutine,
                      .service_time = kPoisonWork};
  const std::string& region =
      world.deployment->deployment.regions[poison.region].name;
  const std::size_t index = CreateRequest(world, stream, region);
  CallerRequest& caller = world.callers[index];
  caller.customer = world.customers.front();
  caller.fingerprint = 1;
  caller.crashes_server = true;
  SendTry(world, index);
  Schedule(world.queue, Now(world) + poison.period,
           [&world, poison] { SendPoison(world, poison); });
}

void LoseRegion(World& world, const std::string& region) {
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
    LoseTriesAt(world, i);
    Schedule(world.queue, Now(world) + kDetectionTime, [&world, i] {
      if (world.entries[i].up)
        return;
      FailPendingAsks(world, i);
      for (std::size_t peer = 0; peer < world.entries.size(); ++peer)
        Deliver(world, peer, PeerLost{world.entries[i].description.name});
    });
  }
  Schedule(world.queue, Now(world) + kDetectionTime,
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
  Schedule(world.queue, Now(world) + kJoinTime,
           [&world] { AnnounceMembers(world); });
}

void Begin(World& world, const Disturbance& disturbance) {
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
        LoopCrashes(world, i, disturbance);
      return;
    case DisturbanceKind::kPoison:
      return SendPoison(world, disturbance);
    case DisturbanceKind::kRegionLost:
      return LoseRegion(world, region);
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

void End(World& world, const Disturbance& disturbance) {
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
        world.servers[i].spells.push_back(
            {disturbance.from, disturbance.to, disturbance.factor});
      continue;
    }
    Schedule(world.queue, disturbance.from,
             [&world, &disturbance] { Begin(world, disturbance); });
    if (disturbance.to != kNever)
      Schedule(world.queue, disturbance.to,
               [&world, &disturbance] { End(world, disturbance); });
  }
}

}  // namespace cicadadrum
