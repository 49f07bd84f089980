// The shift planner: one step of a movement of work between regions.
//
// A region is filled only up to what it can take without its largest failure
// domain. Movement between the failure domains of a region needs no plan: the
// pool owner binds each request late to a server of any of them.

#ifndef CICADADRUM_SHIFT_PLANNER_H_
#define CICADADRUM_SHIFT_PLANNER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/shift/plan.h"
#include "cicadadrum/shift/split.h"

namespace cicadadrum {

// Work is measured in units per second. A unit is what callers of this library
// agree on, for example milliseconds of slot time.

// The servers of one pool in one failure domain that are not leaving.
struct DomainCapacity {
  std::string failure_domain;
  std::uint64_t capacity = 0;
};

struct PoolMeasurement {
  PoolKey pool;
  std::vector<DomainCapacity> domains;
  std::uint64_t load = 0;  // Work that arrives from all entry VMs.
  // Work that arrived by earlier steps and whose caches are still cold, as
  // measured by the pool's hit rate.
  std::uint64_t cold_load = 0;
  // Cost of work with cold caches in parts of its cost with warm ones; at least
  // kWholeSplit.
  std::uint32_t cold_cost_parts = kPartsPerSplit;
  bool is_lost = false;
  TimePoint measured_at;
};

// One direction between two regions, shared by all traffic.
struct LinkMeasurement {
  std::string from;
  std::string to;
  std::uint64_t capacity_bits = 0;  // Per second.
  std::uint64_t used_bits = 0;      // Per second, all traffic.
  TimePoint measured_at;
};

struct ServiceTraffic {
  std::string service;
  std::uint64_t request_bits = 0;   // Per unit of work, entry to server.
  std::uint64_t response_bits = 0;  // Per unit of work, server to entry.
};

struct DemandMeasurement {
  SplitKey key;
  std::uint64_t load = 0;  // Work that callers ask of these entry VMs.
  Split in_force;          // Load-weighted split of these entry VMs.
  TimePoint measured_at;
};

struct ShiftInput {
  std::vector<std::string> regions;
  std::vector<PoolMeasurement> pools;
  std::vector<LinkMeasurement> links;
  std::vector<ServiceTraffic> services;
  std::vector<DemandMeasurement> demands;
  ShiftLimits limits;
  Duration max_age{};  // Older measurements permit no growth.
  std::uint32_t link_parts =
      kPartsPerSplit * 8 / 10;  // Of a link that may be used.
};

// Returns the next plan. Moves work out of pools that are lost or above their
// bound, then back to the region of its entry VMs where there is room. In one
// plan each demand moves at most the cap. The room of a region or link counts,
// for each demand, the larger of the split in force and the target of
// `previous`, because entry VMs may still be walking to that target. A region
// or link whose measurements are older than `max_age` gets no more than it has
// or was granted; a demand that old is not moved. Number and fence are not set.
ShiftPlan PlanShift(const ShiftInput& input,
                    const ShiftPlan& previous,
                    TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_PLANNER_H_
