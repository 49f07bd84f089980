// What regions and links can still take while a plan is made.

#ifndef CICADADRUM_SHIFT_ROOM_H_
#define CICADADRUM_SHIFT_ROOM_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/shift/planner.h"

namespace cicadadrum {

struct PoolRoom {
  double bound = 0;  // Capacity without the largest failure domain; 0 if lost.
  double load = 0;   // With the moves of this plan.
  double free = 0;   // For growth beyond what was granted before.
  double cold_cost = 1;
};

struct DemandRoom {
  SplitKey key;
  double load = 0;
  std::uint32_t cap_left = 0;  // Parts that may still move in this plan.
  Split in_force;
  Split target;
  Split held;  // Larger of the split in force and the previous target.
};

struct Rooms {
  std::vector<std::string> regions;
  std::map<PoolKey, PoolRoom> pools;
  std::map<std::pair<std::string, std::string>, double> links;  // Free bits.
  std::map<std::string, ServiceTraffic> traffic;                // By service.
  std::vector<DemandRoom> demands;
  double services = 1;
};

Rooms MakeRooms(const ShiftInput& input,
                const ShiftPlan& previous,
                TimePoint now);

// Returns the work of `demand` that `region` can take beyond what it holds.
double FreeLoad(const Rooms& rooms,
                const DemandRoom& demand,
                const std::string& region);

// Moves up to `load` of the demand, as far as cap, pool and links permit.
void MoveLoad(Rooms& rooms,
              DemandRoom& demand,
              const std::string& from,
              const std::string& to,
              double load);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_ROOM_H_
