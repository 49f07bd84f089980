// Steps of the split of traffic between regions.

#include "split_flow.h"

#include <algorithm>
#include <set>

#include "routing.h"

namespace cicadadrum {

namespace {

// AdvanceSplit must be called at least 32 times per window.
constexpr int kStepsPerWindow = 40;
// Unit of the load, which is a moving average over about one window, in
// thousandths of requests per step. Single steps differ randomly, and each
// difference would count against the cap.
constexpr std::uint64_t kLoadUnit = 1000;

bool HasLiveEntry(const EntryState& state, const std::string& region) {
  return std::any_of(
      state.live.begin(), state.live.end(),
      [&](const EntryVm& entry) { return entry.region == region; });
}

// Returns the regions that are lost to a service: those without a usable server
// of the service and those without a live entry VM.
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
  // Without a cap, traffic may move at once; see ChoosePool.
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

void CountArrival(EntryState& state, const std::string& service) {
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
