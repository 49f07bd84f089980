// One step of a movement of work between regions, greedily: the fullest pool
// first, and for each of its demands the region with the most room.

#include "cicadadrum/shift/planner.h"

#include <algorithm>
#include <cmath>

#include "room.h"

namespace cicadadrum {

namespace {

// The pools of `rooms` with more work than their bound, the largest part above
// it first.
std::vector<PoolKey> OverloadedPools(const Rooms& rooms) {
  std::vector<std::pair<double, PoolKey>> found;
  for (const auto& [key, pool] : rooms.pools) {
    if (pool.load > pool.bound)
      found.emplace_back((pool.load - pool.bound) / (pool.bound + 1), key);
  }
  std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<PoolKey> keys;
  keys.reserve(found.size());
  for (auto& entry : found)
    keys.push_back(std::move(entry.second));
  return keys;
}

// Moves work of `demand` out of `pool` until the pool is within its bound or no
// region has room.
void Relieve(Rooms& rooms, DemandRoom& demand, const PoolKey& pool) {
  const auto remaining = [&rooms, &pool] {
    const PoolRoom& here = rooms.pools.at(pool);
    return std::max(0.0, here.load - here.bound);
  };
  std::vector<std::string> regions = rooms.regions;
  while (!regions.empty() && remaining() > 0) {
    // Home first: it needs no link. Then the region with the most room.
    const auto best = std::max_element(
        regions.begin(), regions.end(),
        [&](const std::string& a, const std::string& b) {
          const bool a_home = a == demand.key.entry_region;
          const bool b_home = b == demand.key.entry_region;
          if (a_home != b_home)
            return b_home;
          return FreeLoad(rooms, demand, a) < FreeLoad(rooms, demand, b);
        });
    const std::string region = *best;
    regions.erase(best);
    if (region != pool.region)
      MoveLoad(rooms, demand, pool.region, region, remaining());
  }
}

void RelievePools(Rooms& rooms) {
  for (const PoolKey& pool : OverloadedPools(rooms)) {
    // Demands from other regions leave first; they also free a link.
    for (const bool from_home : {false, true}) {
      for (DemandRoom& demand : rooms.demands) {
        if (demand.key.service == pool.service &&
            (demand.key.entry_region == pool.region) == from_home)
          Relieve(rooms, demand, pool);
      }
    }
  }
}

// Moves work that is served elsewhere back to the region of its entry VMs.
void ReturnHome(Rooms& rooms) {
  for (DemandRoom& demand : rooms.demands) {
    const std::string& home = demand.key.entry_region;
    const auto pool = rooms.pools.find({home, demand.key.service});
    if (pool == rooms.pools.end() || pool->second.load > pool->second.bound)
      continue;
    for (const std::string& region : rooms.regions) {
      if (region != home)
        MoveLoad(rooms, demand, region, home, demand.load);
    }
  }
}

// Divides the room that is left between the demands of a service by their load.
Split CeilingOf(const Rooms& rooms, const DemandRoom& demand) {
  double service_load = 0;
  for (const DemandRoom& other : rooms.demands)
    service_load += other.key.service == demand.key.service ? other.load : 0;
  Split ceiling = demand.target;
  if (demand.load <= 0)
    return ceiling;
  for (const std::string& region : rooms.regions) {
    const double free = FreeLoad(rooms, demand, region) *
                        (demand.load / service_load) / rooms.services;
    const double parts = std::floor(free / demand.load * kWholeSplit);
    const std::uint32_t base =
        std::max(PartsOf(demand.target, region), PartsOf(demand.held, region));
    const std::uint32_t sum =
        base + static_cast<std::uint32_t>(std::min<double>(parts, kWholeSplit));
    if (sum > 0)
      ceiling[region] = std::min(sum, kWholeSplit);
  }
  return ceiling;
}

}  // namespace

ShiftPlan PlanShift(const ShiftInput& input,
                    const ShiftPlan& previous,
                    TimePoint now) {
  Rooms rooms = MakeRooms(input, previous, now);
  RelievePools(rooms);
  ReturnHome(rooms);
  ShiftPlan plan;
  for (const DemandRoom& demand : rooms.demands) {
    plan.targets[demand.key] = {demand.in_force, demand.target,
                                CeilingOf(rooms, demand)};
  }
  return plan;
}

}  // namespace cicadadrum
