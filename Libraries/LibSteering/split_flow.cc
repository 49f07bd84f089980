// The split of traffic between regions.

#include "split_flow.h"

#include <algorithm>
#include <set>

#include "routing.h"

namespace cicadadrum {

namespace {

// AdvanceSplit has to be called at least 32 times a window.
constexpr int kStepsPerWindow = 40;
// The load is a moving average over about one window, in thousandths of
// requests a step. Single steps differ by chance, and each difference would be
// counted against the cap.
constexpr std::uint64_t kLoadUnit = 1000;

bool HasLiveEntry(const EntryState& state, const std::string& region) {
  return std::any_of(
      state.live.begin(), state.live.end(),
      [&](const EntryVm& entry) { return entry.region == region; });
}

// A region is lost to a service if it has no server for it, or if none of its
// entry VMs is live.
std::set<std::string> LostRegions(const EntryState& state,
                                  const std::string& service) {
  std::set<std::string> lost;
  for (const Region& region : state.deployment.regions) {
    if (!HasUsableServer(state, region.name, service) ||
        !HasLiveEntry(state, region.name))
      lost.insert(region.name);
  }
  return lost;
}

}  // namespace

void StartSplits(EntryState& state) {
  // Without a cap there is nothing to walk under; see ChoosePool.
  if (state.deployment.shift_cap_percent == 0)
    return;
  for (const Service& service : state.deployment.services) {
    SplitState& split = state.splits[service.name].split;
    split.self_region = state.self.region;
    for (const Region& region : state.deployment.regions)
      split.regions.push_back(region.name);
    split.limits = MakeShiftLimits(state.deployment.shift_cap_percent,
                                   state.deployment.shift_window);
    StartSplit(split, state.self.name, {service.name}, {}, {}, TimePoint{});
  }
}

void CountForSplit(EntryState& state, const std::string& service) {
  const auto found = state.splits.find(service);
  if (found != state.splits.end())
    ++found->second.arrivals;
}

void AdvanceSplits(EntryState& state, TimePoint now, Actions& actions) {
  if (state.splits.empty() || !state.servers_known || now < state.next_split_at)
    return;
  state.next_split_at = now + state.deployment.shift_window / kStepsPerWindow;
  actions.push_back(WakeAt{state.next_split_at});
  for (auto& [service, entry] : state.splits) {
    entry.split.lost_regions = LostRegions(state, service);
    entry.load += entry.arrivals * kLoadUnit / kStepsPerWindow;
    entry.load -= entry.load / kStepsPerWindow;
    entry.arrivals = 0;
    AdvanceSplit(entry.split, {{service, entry.load}}, now);
  }
}

}  // namespace cicadadrum
