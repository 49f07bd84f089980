// Free capacity of regions and links while the planner computes a plan.

#ifndef CICADADRUM_SHIFT_CAPACITY_MODEL_H_
#define CICADADRUM_SHIFT_CAPACITY_MODEL_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/shift/planner.h"

namespace cicadadrum {

// Load and capacity of one pool, in units of work per second.
struct PoolState {
  double bound = 0;  // Capacity without the largest failure domain; 0 if lost.
  double load = 0;   // Including the moves of this plan.
  double free_capacity = 0;  // For growth beyond reserved shares.
  double cold_cost = 1;      // Relative to work with warm caches.
};

// A demand and its moves in this plan.
struct DemandState {
  SplitKey key;
  double load = 0;
  std::uint32_t remaining_cap = 0;  // Parts that may still move in this plan.
  Split in_force;
  Split target;
  Split reserved;  // Larger of in force and previous target.
};

// Free capacity that remains after the moves made so far.
struct CapacityModel {
  std::vector<std::string> regions;
  std::map<PoolKey, PoolState> pools;
  std::map<std::pair<std::string, std::string>, double>
      free_bits;                                  // Per second, by link.
  std::map<std::string, ServiceTraffic> traffic;  // By service.
  std::vector<DemandState> demands;
  double service_count = 1;  // At least 1.
};

// Returns the model before any move of the new plan.
CapacityModel MakeCapacityModel(const ShiftInput& input,
                                const ShiftPlan& previous,
                                TimePoint now);

// Returns the work of `demand`, in units per second, that `region` can accept
// beyond the shares that are reserved there.
double FreeCapacity(const CapacityModel& model,
                    const DemandState& demand,
                    const std::string& region);

// Moves up to `load` units per second of the demand, as far as the shift cap,
// the pool and the links permit.
void MoveLoad(CapacityModel& model,
              DemandState& demand,
              const std::string& from,
              const std::string& to,
              double load);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_CAPACITY_MODEL_H_
