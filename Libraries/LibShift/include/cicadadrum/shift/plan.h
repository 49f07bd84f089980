// Splits of traffic between regions, and the shift plan with their targets.

#ifndef CICADADRUM_SHIFT_PLAN_H_
#define CICADADRUM_SHIFT_PLAN_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cicadadrum {

// Number of parts that all traffic of a split is divided into. Shares are
// integers of these parts, so that their sums are exact.
constexpr std::uint32_t kPartsPerSplit = 1'000'000;

// Number of parts per region. The parts of a valid split sum to kPartsPerSplit;
// a region that is absent has 0 parts.
using Split = std::map<std::string, std::uint32_t>;

// The traffic that the entry VMs of one region receive for one service.
struct SplitKey {
  std::string entry_region;
  std::string service;
  auto operator<=>(const SplitKey&) const = default;
};

// What a plan states for the traffic of one SplitKey.
struct SplitTarget {
  Split in_force;  // Load-weighted split when planned.
  Split target;
  // Largest number of parts per region that the plan permits. Up to these
  // ceilings, an entry VM may move the traffic of a lost region to other
  // regions without a new plan.
  Split ceiling;
  bool operator==(const SplitTarget&) const = default;
};

// Value of the table row shift/plan. Number 0 means that no plan is known.
struct ShiftPlan {
  std::uint64_t number = 0;  // Raised by one with each plan.
  std::uint64_t fence = 0;   // Fencing token of the write.
  std::map<SplitKey, SplitTarget> targets;
  bool operator==(const ShiftPlan&) const = default;
};

// Returns the parts of `region`, or 0 if the region is absent.
std::uint32_t PartsOf(const Split& split, const std::string& region);

// Returns the number of parts that have to move between regions to turn one
// split into the other, from 0 to kPartsPerSplit.
std::uint32_t SplitDistance(const Split& a, const Split& b);

// Returns whether the parts sum to kPartsPerSplit.
bool IsCompleteSplit(const Split& split);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_PLAN_H_
