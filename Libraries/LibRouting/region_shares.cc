// Follows the load of the regions with the split of LibShift.

#include "region_shares.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cicadadrum::routing {

namespace {

// AdvanceSplit is to be called at least 32 times a window.
constexpr Duration kAdvancePeriod = Milliseconds(50);

// Counts of requests lose half of their weight in this time.
constexpr double kOverridesHalfLifeMs = 1000;

// Above `busy`, requests leave their own region for one whose load is smaller
// by the margin; below `calm` they come back.
struct LoadLimits {
  double busy = 0;
  double calm = 0;
};
constexpr LoadLimits kUsualLimits{.busy = 0.85, .calm = 0.6};
constexpr double kLoadMargin = 0.25;

// Large bodies fill the links between regions, so they leave last and come back
// first.
constexpr LoadLimits kHeavyLimits{.busy = 1.3, .calm = 1};
constexpr std::uint64_t kHeavyBytes = 16384;

// A request may leave the split if that makes it this much faster or saves it
// from a refusal, ...
constexpr double kOverrideMs = 150;
// ... but only this share of the requests may.
constexpr double kMaxOverrides = 0.02;

// Share of the cap that the split uses. The rest is for overrides and for the
// chance with which requests for objects of either region arrive.
constexpr double kSplitShare = 0.85;

bool IsHeavy(const RequestState& request) {
  return request.body_bytes >= kHeavyBytes;
}

std::set<std::string> RegionsOf(const RoutingState& state) {
  std::set<std::string> regions;
  for (const auto& [domain, region] : state.options.region_of)
    regions.insert(region);
  return regions;
}

Split ToSplit(const std::map<std::string, double>& weights) {
  double total = 0;
  for (const auto& [region, weight] : weights)
    total += weight;
  Split split;
  std::uint32_t left = kPartsPerSplit;
  std::string largest;
  for (const auto& [region, weight] : weights) {
    const auto parts =
        static_cast<std::uint32_t>(weight / total * kPartsPerSplit);
    split[region] = std::min(parts, left);
    left -= split[region];
    if (largest.empty() || split[region] > split[largest])
      largest = region;
  }
  split[largest] += left;
  return split;
}

// Before anything is observed, a region takes what it would if every region had
// the same demand: its own up to its share of the slots, and the rest where
// there are more slots than that. Large bodies count on half of the demand, as
// the other routes leave before them.
Split InitialSplit(const RoutingState& state,
                   const std::string& service,
                   bool is_heavy) {
  std::map<std::string, double> slots;
  double total = 0;
  const auto found = state.services.find(service);
  if (found != state.services.end()) {
    for (const std::string& id : found->second.servers) {
      const Server& server = state.servers.at(id);
      slots[server.region] += server.entry.slots;
      total += server.entry.slots;
    }
  }
  const std::string& own = state.options.region;
  const auto regions =
      static_cast<double>(std::max<std::size_t>(RegionsOf(state).size(), 1));
  const double demand = total / regions / (is_heavy ? 2 : 1);
  if (total == 0 || slots[own] >= demand)
    return {{own, kPartsPerSplit}};
  std::map<std::string, double> weights{{own, slots[own]}};
  double spare = 0;
  for (const auto& [region, count] : slots)
    spare += std::max(0.0, count - demand);
  for (const auto& [region, count] : slots) {
    if (region != own && spare > 0)
      weights[region] =
          (demand - slots[own]) * std::max(0.0, count - demand) / spare;
  }
  return ToSplit(weights);
}

void Prepare(RoutingState& state) {
  SplitState& split = state.shares.split;
  if (!split.regions.empty())
    return;
  const FleetBounds& bounds = state.options.bounds;
  const std::set<std::string> regions = RegionsOf(state);
  split.self_region = state.options.region;
  split.regions.assign(regions.begin(), regions.end());
  split.limits = MakeShiftLimits(static_cast<std::uint32_t>(std::lround(
                                     bounds.max_shift * 100 * kSplitShare)),
                                 bounds.shift_window);
}

// A route that moves to another service starts like the other routes there.
Split StartingSplit(const RoutingState& state, const RequestState& request) {
  const std::string suffix = " " + request.service;
  const bool is_heavy = IsHeavy(request);
  for (const auto& [name, present] : state.shares.split.services) {
    if (name.ends_with(suffix) && state.shares.heavy.contains(name) == is_heavy)
      return present.current;
  }
  return InitialSplit(state, request.service, is_heavy);
}

// Mean load of the servers of a service in each region that has one in use.
std::map<std::string, double> LoadsOf(const RoutingState& state,
                                      const std::string& service,
                                      TimePoint now) {
  std::map<std::string, std::pair<double, double>> sums;  // Load and slots.
  for (const std::string& id : state.services.at(service).servers) {
    const Server& server = state.servers.at(id);
    if (server.entry.phase != ServerPhase::kReady || server.rests_until > now ||
        state.evacuated.contains(server.entry.failure_domain))
      continue;
    auto& [load, slots] = sums[server.region];
    load += std::max(server.load, 0.0) * server.entry.slots;
    slots += server.entry.slots;
  }
  std::map<std::string, double> loads;
  for (const auto& [region, sum] : sums)
    loads[region] = sum.first / std::max(sum.second, 1.0);
  return loads;
}

// Returns the region of the split that has the largest load, this entry VM's
// own region aside, or an empty name.
std::string FullestOther(const Split& split,
                         const std::map<std::string, double>& loads,
                         const std::string& own) {
  std::string fullest;
  for (const auto& [region, parts] : split) {
    const auto load = loads.find(region);
    if (region == own || parts == 0 || load == loads.end())
      continue;
    if (fullest.empty() || load->second > loads.at(fullest))
      fullest = region;
  }
  return fullest;
}

std::string EmptiestOther(const std::map<std::string, double>& loads,
                          const std::string& own) {
  std::string emptiest;
  for (const auto& [region, load] : loads) {
    if (region != own && (emptiest.empty() || load < loads.at(emptiest)))
      emptiest = region;
  }
  return emptiest;
}

void MoveAll(Split& split, const std::string& from, const std::string& to) {
  const auto found = split.find(from);
  if (found == split.end())
    return;
  const std::uint32_t parts = found->second;
  split.erase(found);
  split[to] += parts;
}

// Returns where the split should move. It stands still over a wide range of
// loads, because each move takes objects to servers that don't know them.
Split TargetFor(const Split& current,
                const std::map<std::string, double>& loads,
                const LoadLimits& limits,
                const std::string& own) {
  Split target = current;
  const std::string emptiest = EmptiestOther(loads, own);
  const auto own_load = loads.find(own);
  for (const auto& [region, parts] : current) {
    const bool in_use = loads.contains(region);
    if (!in_use && !loads.empty())
      MoveAll(target, region, own_load != loads.end() ? own : emptiest);
  }
  if (own_load == loads.end())
    return target;
  const std::string fullest = FullestOther(current, loads, own);
  if (!emptiest.empty() && own_load->second > limits.busy &&
      loads.at(emptiest) + kLoadMargin < own_load->second)
    MoveAll(target, own, emptiest);
  else if (!fullest.empty() && own_load->second < limits.calm)
    MoveAll(target, fullest, own);
  else if (!fullest.empty() &&
           loads.at(emptiest) + kLoadMargin < loads.at(fullest))
    MoveAll(target, fullest, emptiest);
  return target;
}

void Advance(RoutingState& state, TimePoint now) {
  RegionShares& shares = state.shares;
  if (now < shares.next_advance)
    return;
  const double age_ms =
      static_cast<double>(
          (now - shares.next_advance + kAdvancePeriod).count()) /
      1000;
  shares.next_advance = now + kAdvancePeriod;
  const double kept = std::exp2(-age_ms / kOverridesHalfLifeMs);
  shares.overrides *= kept;
  shares.requests *= kept;
  std::map<std::string, std::uint64_t> demands;
  std::map<std::string, std::map<std::string, double>> loads;  // By service.
  for (const auto& [name, present] : shares.split.services) {
    demands[name] = 1;
    const std::string service = name.substr(name.rfind(' ') + 1);
    if (!state.services.contains(service))
      continue;
    if (!loads.contains(service))
      loads[service] = LoadsOf(state, service, now);
    const LoadLimits& limits =
        shares.heavy.contains(name) ? kHeavyLimits : kUsualLimits;
    SplitTarget target{.target = TargetFor(present.current, loads[service],
                                           limits, state.options.region)};
    for (const std::string& region : shares.split.regions)
      target.ceiling[region] = kPartsPerSplit;
    shares.split.targets[name] = std::move(target);
  }
  AdvanceSplit(shares.split, demands, now);
}

const RegionCost* Find(const RegionCosts& costs, const std::string& region) {
  for (const RegionCost& cost : costs) {
    if (cost.region == region)
      return &cost;
  }
  return nullptr;
}

bool IsBetter(const RegionCost& a, const RegionCost& b) {
  if (a.admits != b.admits)
    return a.admits;
  return a.cost_ms < b.cost_ms;
}

}  // namespace

std::string PickRegionFor(RoutingState& state,
                          const RequestState& request,
                          const RegionCosts& costs,
                          TimePoint now) {
  RegionShares& shares = state.shares;
  Prepare(state);
  const std::string name = request.route.name + " " + request.service;
  if (!shares.split.services.contains(name)) {
    shares.split.services[name].current = StartingSplit(state, request);
    if (IsHeavy(request))
      shares.heavy.insert(name);
  }
  const RegionCost& best =
      *std::min_element(costs.begin(), costs.end(), IsBetter);
  shares.requests += 1;
  Advance(state, now);
  const auto picked = PickRegion(shares.split, name, request.object);
  const RegionCost* usual = picked ? Find(costs, *picked) : nullptr;
  // A region without a usable server is no matter of the split.
  if (usual == nullptr)
    return best.region;
  const bool much_better = usual->cost_ms > best.cost_ms + kOverrideMs ||
                           (best.admits && !usual->admits);
  if (much_better && shares.overrides + 1 <= shares.requests * kMaxOverrides) {
    shares.overrides += 1;
    return best.region;
  }
  return usual->region;
}

}  // namespace cicadadrum::routing
