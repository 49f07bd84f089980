// One step of a movement of work between regions. Moves are chosen greedily in
// a few orders, and the order that leaves the least work above the bounds wins:
// a single order can fill the only region that a later demand could go to.

#include "cicadadrum/shift/planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "move_order.h"
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

struct RegionRoom {
  std::string region;
  bool is_home = false;
  double free = 0;
};

// The regions in the order in which `demand` tries them.
std::vector<RegionRoom> RegionsInOrder(const Rooms& rooms,
                                       const DemandRoom& demand,
                                       RegionOrder order) {
  std::vector<RegionRoom> regions;
  regions.reserve(rooms.regions.size());
  for (const std::string& region : rooms.regions)
    regions.push_back({region, region == demand.key.entry_region,
                       FreeLoad(rooms, demand, region)});
  std::stable_sort(
      regions.begin(), regions.end(),
      [order](const RegionRoom& a, const RegionRoom& b) {
        if (order == RegionOrder::kHomeFirst && a.is_home != b.is_home)
          return a.is_home;
        return order == RegionOrder::kLeastRoom ? a.free < b.free
                                                : a.free > b.free;
      });
  return regions;
}

// Moves work of `demand` out of `pool` until the pool is within its bound or no
// region has room.
void Relieve(Rooms& rooms,
             DemandRoom& demand,
             const PoolKey& pool,
             RegionOrder order) {
  const PoolRoom& here = rooms.pools.at(pool);
  // Most demands have no share in the pool or have moved their cap already.
  if (demand.cap_left == 0 || here.load <= here.bound ||
      PartsOf(demand.target, pool.region) == 0)
    return;
  for (const RegionRoom& room : RegionsInOrder(rooms, demand, order)) {
    if (room.region != pool.region && here.load > here.bound)
      MoveLoad(rooms, demand, pool.region, room.region, here.load - here.bound);
  }
}

void RelievePools(Rooms& rooms, const MoveOrder& order) {
  const bool local_first = order.demands == DemandOrder::kLocalFirst;
  for (const PoolKey& pool : OverloadedPools(rooms)) {
    for (const bool is_local : {local_first, !local_first}) {
      for (DemandRoom& demand : rooms.demands) {
        if (demand.key.service == pool.service &&
            (demand.key.entry_region == pool.region) == is_local)
          Relieve(rooms, demand, pool, order.regions);
      }
    }
  }
}

double WorkAboveBounds(const Rooms& rooms) {
  double sum = 0;
  for (const auto& [key, pool] : rooms.pools)
    sum += std::max(0.0, pool.load - pool.bound);
  return sum;
}

Rooms RelieveInBestOrder(const Rooms& rooms) {
  Rooms best = rooms;
  RelievePools(best, kMoveOrders[0]);
  for (std::size_t i = 1; i < kMoveOrders.size(); ++i) {
    // A plan that leaves nothing to move can't be improved.
    if (WorkAboveBounds(best) <= 0)
      break;
    Rooms other = rooms;
    RelievePools(other, kMoveOrders[i]);
    if (WorkAboveBounds(other) < WorkAboveBounds(best))
      best = std::move(other);
  }
  return best;
}

// Moves work that is served elsewhere back to the region of its entry VMs.
void ReturnHome(Rooms& rooms) {
  for (DemandRoom& demand : rooms.demands) {
    const std::string& home = demand.key.entry_region;
    const auto pool = rooms.pools.find({home, demand.key.service});
    if (demand.cap_left == 0 || pool == rooms.pools.end() ||
        pool->second.load >= pool->second.bound)
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
  Rooms rooms = RelieveInBestOrder(MakeRooms(input, previous, now));
  ReturnHome(rooms);
  ShiftPlan plan;
  for (const DemandRoom& demand : rooms.demands) {
    plan.targets[demand.key] = {demand.in_force, demand.target,
                                CeilingOf(rooms, demand)};
  }
  return plan;
}

}  // namespace cicadadrum
