// The shift planner computes one step of a movement of work between regions.
//
// The planner fills a region only up to the capacity that the region has
// without its largest failure domain. Movement between the failure domains of a
// region needs no plan: the pool owner binds each request to a server of any
// failure domain only when a slot is free.

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

// Work is measured in units per second. The callers of this library define the
// unit, for example as milliseconds of slot time.

// The servers of one pool in one failure domain, without servers that are
// leaving.
struct DomainCapacity {
  std::string failure_domain;
  std::uint64_t capacity = 0;  // Units per second.
};

// Measured load of one pool.
struct PoolMeasurement {
  PoolKey pool;
  std::vector<DomainCapacity> domains;
  std::uint64_t load = 0;  // Units per second from all entry VMs.
  // Part of the work, in units per second, that earlier steps moved to this
  // pool and whose caches are still cold according to the pool's hit rate.
  std::uint64_t cold_load = 0;
  // Cost of work with cold caches relative to its cost with warm caches, in
  // 1/kPartsPerSplit; at least kPartsPerSplit.
  std::uint32_t cold_cost_parts = kPartsPerSplit;
  bool is_lost = false;  // The pool can't serve requests at present.
  TimePoint measured_at;
};

// Measured use of the network in one direction between two regions. All traffic
// between the regions shares this capacity.
struct LinkMeasurement {
  std::string from;
  std::string to;
  std::uint64_t capacity_bits = 0;  // Per second.
  std::uint64_t used_bits = 0;      // Per second, all traffic.
  TimePoint measured_at;
};

// Network traffic that one unit of work of a service causes.
struct ServiceTraffic {
  std::string service;
  std::uint64_t request_bits = 0;   // Per unit, entry VM to server.
  std::uint64_t response_bits = 0;  // Per unit, server to entry VM.
};

// Work that callers send to the entry VMs of one region for one service.
struct DemandMeasurement {
  SplitKey key;
  std::uint64_t load = 0;  // Units per second that callers request.
  Split in_force;          // Load-weighted split of the entry VMs.
  TimePoint measured_at;
};

// Everything that one plan is computed from.
struct ShiftInput {
  std::vector<std::string> regions;
  std::vector<PoolMeasurement> pools;
  std::vector<LinkMeasurement> links;
  std::vector<ServiceTraffic> services;
  std::vector<DemandMeasurement> demands;
  ShiftLimits limits;
  Duration max_age{};  // Older measurements permit no growth.
  // Usable part of a link's capacity, in 1/kPartsPerSplit.
  std::uint32_t link_parts = kPartsPerSplit * 8 / 10;
};

// Returns the next plan. The planner first moves work out of pools that are
// lost or above their capacity bound, and then back to the region of the work's
// entry VMs, as far as that region has free capacity. In one plan each demand
// moves at most the shift cap.
//
// The free capacity of a region or link accounts, for each demand, for the
// larger of the split in force and the target of `previous`, because entry VMs
// may still be moving their splits towards that target. A region or link whose
// measurements are older than `max_age` gets no more work than it has or was
// granted before; a demand whose measurement is that old is not moved. The
// caller sets the number and the fencing token of the plan.
ShiftPlan PlanShift(const ShiftInput& input,
                    const ShiftPlan& previous,
                    TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_PLANNER_H_
