// What regions and links can still take while a plan is made.

#ifndef CICADADRUM_SHIFT_CAPACITY_MODEL_H_
#define CICADADRUM_SHIFT_CAPACITY_MODEL_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/shift/planner.h"

namespace cicadadrum {

struct PoolState {
  double bound = 0;  // Capacity without the largest failure domain; 0 if lost.
  double load = 0;   // With the moves of this plan.
  double free_capacity = 0;  // For growth beyond what was granted before.
  double cold_cost = 1;
};

struct DemandState {
  SplitKey key;
  double load = 0;
  std::uint32_t remaining_cap = 0;  // Parts that may still move in this plan.
  Split in_force;
  Split target;
  Split reserved;  // Larger of the split in force and the previous target.
};

struct CapacityModel {
  std::vector<std::string> regions;
  std::map<PoolKey, PoolState> pools;
  std::map<std::pair<std::string, std::string>, double>
      free_bits;                                  // Free bits.
  std::map<std::string, ServiceTraffic> traffic;  // By service.
  std::vector<DemandState> demands;
  double service_count = 1;
};

CapacityModel MakeCapacityModel(const ShiftInput& input,
                                const ShiftPlan& previous,
                                TimePoint now);

// Returns the work of `demand` that `region` can take beyond what it holds.
double FreeCapacity(const CapacityModel& model,
                    const DemandState& demand,
                    const std::string& region);

// Moves up to `load` of the demand, as far as cap, pool and links permit.
void MoveLoad(CapacityModel& model,
              DemandState& demand,
              const std::string& from,
              const std::string& to,
              double load);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_CAPACITY_MODEL_H_
