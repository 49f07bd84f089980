// Computes one step of a movement of work between regions. Moves are chosen
// greedily in several orders, and the planner uses the order that leaves the
// least work above the capacity bounds: a single order can fill the only region
// that a later demand could move to.

#include "cicadadrum/shift/planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "capacity_model.h"
#include "move_order.h"

namespace cicadadrum {

namespace {

// Returns the pools of `model` with more work than their bound, sorted by
// decreasing relative excess.
std::vector<PoolKey> SortedOverloadedPools(const CapacityModel& model) {
  std::vector<std::pair<double, PoolKey>> found;
  for (const auto& [key, pool] : model.pools) {
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

// A region that a demand's work could move to.
struct RegionCandidate {
  std::string region;
  bool is_home = false;
  double free_capacity = 0;
};

// Returns the regions in the order in which work of `demand` is moved to them.
std::vector<RegionCandidate> SortedCandidates(const CapacityModel& model,
                                              const DemandState& demand,
                                              RegionOrder order) {
  std::vector<RegionCandidate> regions;
  regions.reserve(model.regions.size());
  for (const std::string& region : model.regions)
    regions.push_back({region, region == demand.key.entry_region,
                       FreeCapacity(model, demand, region)});
  std::stable_sort(
      regions.begin(), regions.end(),
      [order](const RegionCandidate& a, const RegionCandidate& b) {
        if (order == RegionOrder::kHomeFirst && a.is_home != b.is_home)
          return a.is_home;
        return order == RegionOrder::kLeastFreeCapacity
                   ? a.free_capacity < b.free_capacity
                   : a.free_capacity > b.free_capacity;
      });
  return regions;
}

// Moves work of `demand` out of `pool` until the pool is within its bound or no
// region has free capacity.
void MoveOutOfPool(CapacityModel& model,
                   DemandState& demand,
                   const PoolKey& pool,
                   RegionOrder order) {
  const PoolState& source = model.pools.at(pool);
  // Most demands have no share in the pool or have no remaining cap.
  if (demand.remaining_cap == 0 || source.load <= source.bound ||
      PartsOf(demand.target, pool.region) == 0)
    return;
  for (const RegionCandidate& candidate :
       SortedCandidates(model, demand, order)) {
    if (candidate.region != pool.region && source.load > source.bound)
      MoveLoad(model, demand, pool.region, candidate.region,
               source.load - source.bound);
  }
}

void RelieveOverloadedPools(CapacityModel& model, const MoveOrder& order) {
  const bool local_first = order.demands == DemandOrder::kLocalFirst;
  for (const PoolKey& pool : SortedOverloadedPools(model)) {
    for (const bool is_local : {local_first, !local_first}) {
      for (DemandState& demand : model.demands) {
        if (demand.key.service == pool.service &&
            (demand.key.entry_region == pool.region) == is_local)
          MoveOutOfPool(model, demand, pool, order.regions);
      }
    }
  }
}

double OverloadedWork(const CapacityModel& model) {
  double sum = 0;
  for (const auto& [key, pool] : model.pools)
    sum += std::max(0.0, pool.load - pool.bound);
  return sum;
}

CapacityModel RelieveInBestOrder(const CapacityModel& model) {
  CapacityModel best = model;
  RelieveOverloadedPools(best, kMoveOrders[0]);
  for (std::size_t i = 1; i < kMoveOrders.size(); ++i) {
    // Without work above the bounds the moves can't be improved.
    if (OverloadedWork(best) <= 0)
      break;
    CapacityModel other = model;
    RelieveOverloadedPools(other, kMoveOrders[i]);
    if (OverloadedWork(other) < OverloadedWork(best))
      best = std::move(other);
  }
  return best;
}

// Moves work that other regions serve back to the region of its entry VMs.
void ReturnHome(CapacityModel& model) {
  for (DemandState& demand : model.demands) {
    const std::string& home = demand.key.entry_region;
    const auto pool = model.pools.find({home, demand.key.service});
    if (demand.remaining_cap == 0 || pool == model.pools.end() ||
        pool->second.load >= pool->second.bound)
      continue;
    for (const std::string& region : model.regions) {
      if (region != home)
        MoveLoad(model, demand, region, home, demand.load);
    }
  }
}

// Returns the ceilings of the demand: its target plus its share of the
// remaining free capacity. The free capacity is divided between the demands of
// a service by their load, and evenly between services.
Split MakeCeiling(const CapacityModel& model, const DemandState& demand) {
  double service_load = 0;
  for (const DemandState& other : model.demands)
    service_load += other.key.service == demand.key.service ? other.load : 0;
  Split ceiling = demand.target;
  if (demand.load <= 0)
    return ceiling;
  for (const std::string& region : model.regions) {
    const double free_capacity = FreeCapacity(model, demand, region) *
                                 (demand.load / service_load) /
                                 model.service_count;
    const double parts =
        std::floor(free_capacity / demand.load * kPartsPerSplit);
    const std::uint32_t base = std::max(PartsOf(demand.target, region),
                                        PartsOf(demand.reserved, region));
    const std::uint32_t sum =
        base +
        static_cast<std::uint32_t>(std::min<double>(parts, kPartsPerSplit));
    if (sum > 0)
      ceiling[region] = std::min(sum, kPartsPerSplit);
  }
  return ceiling;
}

}  // namespace

ShiftPlan PlanShift(const ShiftInput& input,
                    const ShiftPlan& previous,
                    TimePoint now) {
  CapacityModel model =
      RelieveInBestOrder(MakeCapacityModel(input, previous, now));
  ReturnHome(model);
  ShiftPlan plan;
  for (const DemandState& demand : model.demands) {
    plan.targets[demand.key] = {demand.in_force, demand.target,
                                MakeCeiling(model, demand)};
  }
  return plan;
}

}  // namespace cicadadrum
