// Arithmetic on splits.

#include "cicadadrum/shift/plan.h"

namespace cicadadrum {

std::uint32_t PartsOf(const Split& split, const std::string& region) {
  const auto found = split.find(region);
  return found == split.end() ? 0 : found->second;
}

std::uint32_t SplitDistance(const Split& a, const Split& b) {
  std::uint32_t gained = 0;
  std::uint32_t lost = 0;
  for (const auto& [region, parts] : a) {
    const std::uint32_t other = PartsOf(b, region);
    lost += parts > other ? parts - other : 0;
  }
  for (const auto& [region, parts] : b) {
    const std::uint32_t other = PartsOf(a, region);
    gained += parts > other ? parts - other : 0;
  }
  return gained > lost ? gained : lost;
}

bool IsCompleteSplit(const Split& split) {
  std::uint64_t sum = 0;
  for (const auto& [region, parts] : split)
    sum += parts;
  return sum == kPartsPerSplit;
}

}  // namespace cicadadrum
