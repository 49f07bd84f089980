// Accounting of the room in regions and links.

#include "room.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cicadadrum {

namespace {

bool IsFresh(const ShiftInput& input, TimePoint measured_at, TimePoint now) {
  // A measurement from the future comes from a clock that jumped.
  return measured_at <= now && now - measured_at <= input.max_age;
}

double BoundOf(const PoolMeasurement& pool) {
  std::uint64_t sum = 0;
  std::uint64_t largest = 0;
  for (const DomainCapacity& domain : pool.domains) {
    sum += domain.capacity;
    largest = std::max(largest, domain.capacity);
  }
  return pool.lost ? 0 : static_cast<double>(sum - largest);
}

DemandRoom MakeDemand(const ShiftInput& input,
                      const DemandMeasurement& measured,
                      const ShiftPlan& previous,
                      TimePoint now) {
  DemandRoom demand;
  demand.key = measured.key;
  demand.load = static_cast<double>(measured.load);
  demand.in_force = measured.in_force;
  demand.target = measured.in_force;
  demand.held = measured.in_force;
  const bool may_move = IsFresh(input, measured.measured_at, now) &&
                        IsWholeSplit(measured.in_force);
  demand.cap_left = may_move ? input.limits.cap_parts : 0;
  const auto granted = previous.targets.find(measured.key);
  if (granted == previous.targets.end())
    return demand;
  for (const auto& [region, parts] : granted->second.target) {
    std::uint32_t& held = demand.held[region];
    held = std::max(held, parts);
  }
  return demand;
}

double LoadOfParts(const DemandRoom& demand, std::uint32_t parts) {
  return demand.load * parts / kWholeSplit;
}

// Returns the request and response bits per unit of work of the demand.
std::pair<double, double> BitsOf(const Rooms& rooms, const DemandRoom& demand) {
  const auto found = rooms.traffic.find(demand.key.service);
  if (found == rooms.traffic.end())
    return {0, 0};
  return {static_cast<double>(found->second.request_bits),
          static_cast<double>(found->second.response_bits)};
}

double FreeBits(const Rooms& rooms,
                const std::string& from,
                const std::string& to) {
  const auto found = rooms.links.find({from, to});
  return found == rooms.links.end() ? 0 : found->second;
}

// Takes `load` beyond what was granted before from the room of pool and links.
void TakeRoom(Rooms& rooms,
              const DemandRoom& demand,
              const std::string& region,
              double load) {
  PoolRoom& pool = rooms.pools.at({region, demand.key.service});
  pool.free -= load * pool.cold_cost;
  const std::string& home = demand.key.entry_region;
  if (region == home)
    return;
  const auto [request_bits, response_bits] = BitsOf(rooms, demand);
  rooms.links[{home, region}] -= load * request_bits;
  rooms.links[{region, home}] -= load * response_bits;
}

// The measured use of a link contains the traffic in force; what was granted
// beyond it is still to come.
void TakeGrantedBits(Rooms& rooms) {
  for (const DemandRoom& demand : rooms.demands) {
    const auto [request_bits, response_bits] = BitsOf(rooms, demand);
    for (const auto& [region, parts] : demand.held) {
      const double load =
          LoadOfParts(demand, parts - PartsOf(demand.in_force, region));
      if (region == demand.key.entry_region)
        continue;
      rooms.links[{demand.key.entry_region, region}] -= load * request_bits;
      rooms.links[{region, demand.key.entry_region}] -= load * response_bits;
    }
  }
}

void AddPools(Rooms& rooms, const ShiftInput& input, TimePoint now) {
  std::map<PoolKey, double> in_force;
  std::map<PoolKey, double> held;
  for (const DemandRoom& demand : rooms.demands) {
    for (const auto& [region, parts] : demand.held) {
      const PoolKey key{region, demand.key.service};
      held[key] += LoadOfParts(demand, parts);
      in_force[key] += LoadOfParts(demand, PartsOf(demand.in_force, region));
    }
  }
  for (const PoolMeasurement& measured : input.pools) {
    PoolRoom pool;
    pool.bound = BoundOf(measured);
    pool.load =
        std::max(in_force[measured.pool], static_cast<double>(measured.load));
    pool.cold_cost =
        static_cast<double>(std::max(measured.cold_cost_parts, kWholeSplit)) /
        kWholeSplit;
    // Load that no measured demand explains is in addition to what is granted,
    // and what was granted but has not arrived will arrive with cold caches.
    const double granted = held[measured.pool] - in_force[measured.pool];
    const double committed = pool.load + granted * pool.cold_cost;
    const double warming =
        static_cast<double>(measured.cold_load) * (pool.cold_cost - 1);
    const bool may_grow =
        !measured.lost && IsFresh(input, measured.measured_at, now);
    pool.free = may_grow ? pool.bound - committed - warming : 0;
    rooms.pools[measured.pool] = pool;
  }
}

}  // namespace

Rooms MakeRooms(const ShiftInput& input,
                const ShiftPlan& previous,
                TimePoint now) {
  Rooms rooms;
  rooms.regions = input.regions;
  rooms.services =
      static_cast<double>(std::max<std::size_t>(input.services.size(), 1));
  for (const ServiceTraffic& service : input.services)
    rooms.traffic[service.service] = service;
  for (const DemandMeasurement& measured : input.demands)
    rooms.demands.push_back(MakeDemand(input, measured, previous, now));
  AddPools(rooms, input, now);
  for (const LinkMeasurement& link : input.links) {
    const double usable = static_cast<double>(link.capacity_bits) *
                          input.link_parts / kWholeSplit;
    const bool fresh = IsFresh(input, link.measured_at, now);
    rooms.links[{link.from, link.to}] =
        fresh ? usable - static_cast<double>(link.used_bits) : 0;
  }
  TakeGrantedBits(rooms);
  return rooms;
}

double FreeLoad(const Rooms& rooms,
                const DemandRoom& demand,
                const std::string& region) {
  const auto pool = rooms.pools.find({region, demand.key.service});
  if (pool == rooms.pools.end())
    return 0;
  double free = pool->second.free / pool->second.cold_cost;
  const std::string& home = demand.key.entry_region;
  if (region != home) {
    const auto [request_bits, response_bits] = BitsOf(rooms, demand);
    const double out = FreeBits(rooms, home, region);
    const double back = FreeBits(rooms, region, home);
    // Without a known link there is no way to the region at all.
    if (out <= 0 || back <= 0)
      return 0;
    if (request_bits > 0)
      free = std::min(free, out / request_bits);
    if (response_bits > 0)
      free = std::min(free, back / response_bits);
  }
  return std::max(free, 0.0);
}

void MoveLoad(Rooms& rooms,
              DemandRoom& demand,
              const std::string& from,
              const std::string& to,
              double load) {
  const auto to_pool = rooms.pools.find({to, demand.key.service});
  const auto from_pool = rooms.pools.find({from, demand.key.service});
  if (to_pool == rooms.pools.end() || demand.load <= 0 ||
      demand.cap_left == 0 || PartsOf(demand.target, from) == 0)
    return;
  const std::uint32_t held = PartsOf(demand.held, to);
  const std::uint32_t present = PartsOf(demand.target, to);
  // Growth up to what was granted before is counted already.
  const std::uint32_t counted = held > present ? held - present : 0;
  const double free = FreeLoad(rooms, demand, to);
  const double below_bound = to_pool->second.bound - to_pool->second.load;
  const double wanted =
      std::min({load, below_bound, free + LoadOfParts(demand, counted)}) /
      demand.load;
  if (wanted <= 0)
    return;
  const auto parts = static_cast<std::uint32_t>(std::min<double>(
      std::floor(wanted * kWholeSplit),
      std::min(demand.cap_left, PartsOf(demand.target, from))));
  if (parts == 0)
    return;
  demand.target[from] -= parts;
  demand.target[to] += parts;
  demand.cap_left -= parts;
  to_pool->second.load += LoadOfParts(demand, parts);
  if (from_pool != rooms.pools.end())
    from_pool->second.load -= LoadOfParts(demand, parts);
  if (parts > counted)
    TakeRoom(rooms, demand, to, LoadOfParts(demand, parts - counted));
  if (demand.target[from] == 0)
    demand.target.erase(from);
}

}  // namespace cicadadrum
