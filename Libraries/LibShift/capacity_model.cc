// Accounting of the free capacity of regions and links.

#include "capacity_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cicadadrum {

namespace {

bool IsFresh(const ShiftInput& input, TimePoint measured_at, TimePoint now) {
  // A measurement from the future means that a clock has jumped.
  return measured_at <= now && now - measured_at <= input.max_age;
}

// Returns the capacity of the pool without its largest failure domain, or 0 if
// the pool is lost.
double CapacityBound(const PoolMeasurement& pool) {
  std::uint64_t sum = 0;
  std::uint64_t largest = 0;
  for (const DomainCapacity& domain : pool.domains) {
    sum += domain.capacity;
    largest = std::max(largest, domain.capacity);
  }
  return pool.is_lost ? 0 : static_cast<double>(sum - largest);
}

DemandState MakeDemandState(const ShiftInput& input,
                            const DemandMeasurement& measured,
                            const ShiftPlan& previous,
                            TimePoint now) {
  DemandState demand;
  demand.key = measured.key;
  demand.load = static_cast<double>(measured.load);
  demand.in_force = measured.in_force;
  demand.target = measured.in_force;
  demand.reserved = measured.in_force;
  const bool may_move = IsFresh(input, measured.measured_at, now) &&
                        IsCompleteSplit(measured.in_force);
  demand.remaining_cap = may_move ? input.limits.cap_parts : 0;
  const auto granted = previous.targets.find(measured.key);
  if (granted == previous.targets.end())
    return demand;
  for (const auto& [region, parts] : granted->second.target) {
    std::uint32_t& reserved = demand.reserved[region];
    reserved = std::max(reserved, parts);
  }
  return demand;
}

double LoadOfParts(const DemandState& demand, std::uint32_t parts) {
  return demand.load * parts / kPartsPerSplit;
}

// Returns the bits of request and of response per unit of the demand's work.
std::pair<double, double> BitsPerUnit(const CapacityModel& model,
                                      const DemandState& demand) {
  const auto found = model.traffic.find(demand.key.service);
  if (found == model.traffic.end())
    return {0, 0};
  return {static_cast<double>(found->second.request_bits),
          static_cast<double>(found->second.response_bits)};
}

double FreeBandwidth(const CapacityModel& model,
                     const std::string& from,
                     const std::string& to) {
  const auto found = model.free_bits.find({from, to});
  return found == model.free_bits.end() ? 0 : found->second;
}

// Subtracts `load`, which exceeds the reserved share, from the free capacity of
// the pool and of the links.
void ReserveCapacity(CapacityModel& model,
                     const DemandState& demand,
                     const std::string& region,
                     double load) {
  PoolState& pool = model.pools.at({region, demand.key.service});
  pool.free_capacity -= load * pool.cold_cost;
  const std::string& home = demand.key.entry_region;
  if (region == home)
    return;
  const auto [request_bits, response_bits] = BitsPerUnit(model, demand);
  model.free_bits[{home, region}] -= load * request_bits;
  model.free_bits[{region, home}] -= load * response_bits;
}

// Subtracts the traffic that was granted beyond the split in force from the
// free bits of links. The measured use of a link does not contain this traffic,
// because it has not arrived yet.
void ReserveGrantedBandwidth(CapacityModel& model) {
  for (const DemandState& demand : model.demands) {
    const auto [request_bits, response_bits] = BitsPerUnit(model, demand);
    for (const auto& [region, parts] : demand.reserved) {
      const double load =
          LoadOfParts(demand, parts - PartsOf(demand.in_force, region));
      if (region == demand.key.entry_region)
        continue;
      model.free_bits[{demand.key.entry_region, region}] -= load * request_bits;
      model.free_bits[{region, demand.key.entry_region}] -=
          load * response_bits;
    }
  }
}

void AddPoolStates(CapacityModel& model,
                   const ShiftInput& input,
                   TimePoint now) {
  std::map<PoolKey, double> in_force;
  std::map<PoolKey, double> reserved;
  for (const DemandState& demand : model.demands) {
    for (const auto& [region, parts] : demand.reserved) {
      const PoolKey key{region, demand.key.service};
      reserved[key] += LoadOfParts(demand, parts);
      in_force[key] += LoadOfParts(demand, PartsOf(demand.in_force, region));
    }
  }
  for (const PoolMeasurement& measured : input.pools) {
    PoolState pool;
    pool.bound = CapacityBound(measured);
    pool.load =
        std::max(in_force[measured.pool], static_cast<double>(measured.load));
    pool.cold_cost = static_cast<double>(
                         std::max(measured.cold_cost_parts, kPartsPerSplit)) /
                     kPartsPerSplit;
    // Load that no measured demand explains adds to the granted load. Load that
    // was granted but has not arrived will arrive with cold caches.
    const double granted = reserved[measured.pool] - in_force[measured.pool];
    const double committed = pool.load + granted * pool.cold_cost;
    const double warming =
        static_cast<double>(measured.cold_load) * (pool.cold_cost - 1);
    const bool may_grow =
        !measured.is_lost && IsFresh(input, measured.measured_at, now);
    pool.free_capacity = may_grow ? pool.bound - committed - warming : 0;
    model.pools[measured.pool] = pool;
  }
}

}  // namespace

CapacityModel MakeCapacityModel(const ShiftInput& input,
                                const ShiftPlan& previous,
                                TimePoint now) {
  CapacityModel model;
  model.regions = input.regions;
  model.service_count =
      static_cast<double>(std::max<std::size_t>(input.services.size(), 1));
  for (const ServiceTraffic& service : input.services)
    model.traffic[service.service] = service;
  for (const DemandMeasurement& measured : input.demands)
    model.demands.push_back(MakeDemandState(input, measured, previous, now));
  AddPoolStates(model, input, now);
  for (const LinkMeasurement& link : input.links) {
    const double usable = static_cast<double>(link.capacity_bits) *
                          input.link_parts / kPartsPerSplit;
    const bool fresh = IsFresh(input, link.measured_at, now);
    model.free_bits[{link.from, link.to}] =
        fresh ? usable - static_cast<double>(link.used_bits) : 0;
  }
  ReserveGrantedBandwidth(model);
  return model;
}

double FreeCapacity(const CapacityModel& model,
                    const DemandState& demand,
                    const std::string& region) {
  const auto pool = model.pools.find({region, demand.key.service});
  if (pool == model.pools.end())
    return 0;
  double free_capacity = pool->second.free_capacity / pool->second.cold_cost;
  const std::string& home = demand.key.entry_region;
  if (region != home) {
    const auto [request_bits, response_bits] = BitsPerUnit(model, demand);
    const double outbound_bits = FreeBandwidth(model, home, region);
    const double return_bits = FreeBandwidth(model, region, home);
    // Without a known link the region can't be reached.
    if (outbound_bits <= 0 || return_bits <= 0)
      return 0;
    if (request_bits > 0)
      free_capacity = std::min(free_capacity, outbound_bits / request_bits);
    if (response_bits > 0)
      free_capacity = std::min(free_capacity, return_bits / response_bits);
  }
  return std::max(free_capacity, 0.0);
}

void MoveLoad(CapacityModel& model,
              DemandState& demand,
              const std::string& from,
              const std::string& to,
              double load) {
  const auto to_pool = model.pools.find({to, demand.key.service});
  const auto from_pool = model.pools.find({from, demand.key.service});
  if (to_pool == model.pools.end() || demand.load <= 0 ||
      demand.remaining_cap == 0 || PartsOf(demand.target, from) == 0)
    return;
  const std::uint32_t reserved = PartsOf(demand.reserved, to);
  const std::uint32_t current = PartsOf(demand.target, to);
  // The free capacity already accounts for growth up to the reserved share.
  const std::uint32_t already_reserved =
      reserved > current ? reserved - current : 0;
  const double free_capacity = FreeCapacity(model, demand, to);
  const double pool_headroom = to_pool->second.bound - to_pool->second.load;
  const double movable_share =
      std::min({load, pool_headroom,
                free_capacity + LoadOfParts(demand, already_reserved)}) /
      demand.load;
  if (movable_share <= 0)
    return;
  const auto parts = static_cast<std::uint32_t>(std::min<double>(
      std::floor(movable_share * kPartsPerSplit),
      std::min(demand.remaining_cap, PartsOf(demand.target, from))));
  if (parts == 0)
    return;
  demand.target[from] -= parts;
  demand.target[to] += parts;
  demand.remaining_cap -= parts;
  to_pool->second.load += LoadOfParts(demand, parts);
  if (from_pool != model.pools.end())
    from_pool->second.load -= LoadOfParts(demand, parts);
  if (parts > already_reserved)
    ReserveCapacity(model, demand, to,
                    LoadOfParts(demand, parts - already_reserved));
  if (demand.target[from] == 0)
    demand.target.erase(from);
}

}  // namespace cicadadrum
