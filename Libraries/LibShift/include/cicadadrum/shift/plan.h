// Splits of traffic between regions and the plan that states their targets.

#ifndef CICADADRUM_SHIFT_PLAN_H_
#define CICADADRUM_SHIFT_PLAN_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace cicadadrum {

// Shares are counted in parts of kWholeSplit, so that sums are exact.
constexpr std::uint32_t kPartsPerSplit = 1'000'000;

// Parts per region. A valid split sums to kWholeSplit; an absent region has 0.
using Split = std::map<std::string, std::uint32_t>;

// The traffic that the entry VMs of one region receive for one service.
struct SplitKey {
  std::string entry_region;
  std::string service;
  auto operator<=>(const SplitKey&) const = default;
};

struct SplitTarget {
  Split in_force;  // Load-weighted split when the plan was made.
  Split target;
  // Parts per region that the plan permits at most. An entry VM that has to
  // replace a lost region stays below it without asking.
  Split ceiling;
  bool operator==(const SplitTarget&) const = default;
};

// Value of the table row shift/plan. Number 0 means that no plan is known.
struct ShiftPlan {
  std::uint64_t number = 0;  // Grows by one with each plan.
  std::uint64_t fence = 0;   // Fencing token of the lease it was written under.
  std::map<SplitKey, SplitTarget> targets;
  bool operator==(const ShiftPlan&) const = default;
};

// Returns the parts of `region`, 0 if it is absent.
std::uint32_t PartsOf(const Split& split, const std::string& region);

// Returns the parts that differ: the traffic that has to move to turn one split
// into the other, 0 to kWholeSplit.
std::uint32_t SplitDistance(const Split& a, const Split& b);

// Returns whether the parts sum to kWholeSplit.
bool IsCompleteSplit(const Split& split);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_PLAN_H_
