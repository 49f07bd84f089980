// Adjusts the split of LibShift to the load of the servers in each region.

#include "region_shares.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "advice.h"
#include "server_limit.h"
#include "transfers.h"

namespace cicadadrum::routing {

namespace {

// AdvanceSplit must be called at least 32 times per shift window.
constexpr Duration kAdvancePeriod = Milliseconds(50);

// Half-life of the counts of requests and overrides, in ms.
constexpr double kOverrideHalfLifeMs = 1000;
// Half-life of the counts of requests by split, in ms.
constexpr double kRequestsHalfLifeMs = 5000;

// Load limits of this entry VM's region, in requests per slot. Above
// `leave_above`, requests move to a region whose load is smaller by at least
// kLoadMargin; below `return_below`, they move back.
struct LoadLimits {
  double leave_above = 0;
  double return_below = 0;
};
constexpr LoadLimits kDefaultLoadLimits{.leave_above = 0.85,
                                        .return_below = 0.6};
constexpr double kLoadMargin = 0.25;

// Load of a server whose limit allows this entry VM no request at present.
constexpr double kLoadAtLimit = 1;

// Large transfers fill the links between regions, so they leave the region last
// and return first. This holds only while the service has enough other requests
// that can leave before them.
constexpr LoadLimits kLargeTransferLoadLimits{.leave_above = 1.3,
                                              .return_below = 1};
constexpr double kMinShareOfOtherRequests = 0.2;

// A request may run in another region than the split assigns if that makes it
// faster by this many ms or avoids a refusal.
constexpr double kMinOverrideGainMs = 150;
// Maximum share of the requests that may run in another region than the split
// assigns.
constexpr double kMaxOverrideShare = 0.02;

// Share of the shift cap that the split uses. The rest covers overrides, and
// the random variation in how many requests for the objects of each region
// arrive.
constexpr double kSplitCapShare = 0.85;

std::set<std::string> RegionsOf(const RoutingState& state) {
  std::set<std::string> regions;
  for (const auto& [domain, region] : state.options.region_by_domain)
    regions.insert(region);
  return regions;
}

// Converts weights to parts of kPartsPerSplit. The region with the most parts
// receives what is left by rounding.
Split ToSplit(const std::map<std::string, double>& weights) {
  double total = 0;
  for (const auto& [region, weight] : weights)
    total += weight;
  Split split;
  std::uint32_t remaining = kPartsPerSplit;
  std::string largest;
  for (const auto& [region, weight] : weights) {
    const auto parts =
        static_cast<std::uint32_t>(weight / total * kPartsPerSplit);
    split[region] = std::min(parts, remaining);
    remaining -= split[region];
    if (largest.empty() || split[region] > split[largest])
      largest = region;
  }
  split[largest] += remaining;
  return split;
}

// Returns the split to use before any load is observed. It assumes that every
// region has the same demand: this entry VM's region serves its demand up to
// the number of its slots in use, and the rest goes to regions with more slots
// than demand. Requests with large bodies assume half of the demand, because
// the requests of other routes leave the region before them.
Split InitialSplit(const RoutingState& state,
                   const std::string& service,
                   bool has_large_body,
                   TimePoint now) {
  std::map<std::string, double> slots;
  double total = 0;
  const auto found = state.services.find(service);
  if (found != state.services.end()) {
    for (const std::string& id : found->second.servers) {
      const Server& server = state.servers.at(id);
      if (!IsInUse(state, server, now))
        continue;
      slots[server.region] += server.entry.slots;
      total += server.entry.slots;
    }
  }
  const std::string& own_region = state.options.region;
  const auto regions =
      static_cast<double>(std::max<std::size_t>(RegionsOf(state).size(), 1));
  const double demand = total / regions / (has_large_body ? 2 : 1);
  if (total == 0 || slots[own_region] >= demand)
    return {{own_region, kPartsPerSplit}};
  std::map<std::string, double> weights{{own_region, slots[own_region]}};
  double spare = 0;
  for (const auto& [region, count] : slots)
    spare += std::max(0.0, count - demand);
  if (spare == 0)
    return {{own_region, kPartsPerSplit}};
  for (const auto& [region, count] : slots) {
    if (region != own_region)
      weights[region] =
          (demand - slots[own_region]) * std::max(0.0, count - demand) / spare;
  }
  return ToSplit(weights);
}

// Sets the regions and limits of the split at its first use after the start or
// after ResetShiftLimits.
void InitializeSplitState(RoutingState& state) {
  SplitState& split = state.shares.split;
  if (!split.regions.empty())
    return;
  const FleetBounds& bounds = state.options.bounds;
  const std::set<std::string> regions = RegionsOf(state);
  split.self_region = state.options.region;
  split.regions.assign(regions.begin(), regions.end());
  split.limits = MakeShiftLimits(static_cast<std::uint32_t>(std::lround(
                                     bounds.max_shift * 100 * kSplitCapShare)),
                                 bounds.shift_window);
}

// Suffix of the name of a split for large transfers.
constexpr std::string_view kLargeSuffix = " large";

std::string SplitNameOf(const RoutingState& state,
                        const RequestState& request) {
  std::string name = request.service;
  if (IsLargeTransfer(state, request))
    name += kLargeSuffix;
  return name;
}

double RecentRequests(const RegionShares& shares, const std::string& split) {
  const auto found = shares.requests_by_split.find(split);
  return found == shares.requests_by_split.end() ? 0 : found->second;
}

// Returns the limits of the service's split for large transfers.
const LoadLimits& LargeTransferLimits(const RegionShares& shares,
                                      const std::string& service) {
  const double others = RecentRequests(shares, service);
  const double large =
      RecentRequests(shares, service + std::string(kLargeSuffix));
  return others >= (others + large) * kMinShareOfOtherRequests
             ? kLargeTransferLoadLimits
             : kDefaultLoadLimits;
}

// Returns the mean load of the service's servers in use, in requests per slot,
// by region. Regions without such a server have no entry.
std::map<std::string, double> RegionLoads(RoutingState& state,
                                          const std::string& service,
                                          TimePoint now) {
  // Sums of load and slots, by region.
  std::map<std::string, std::pair<double, double>> sums;
  for (const std::string& id : state.services.at(service).servers) {
    Server& server = state.servers.at(id);
    if (!IsInUse(state, server, now))
      continue;
    auto& [load, slots] = sums[server.region];
    // A server that takes no more requests is full, whatever its slots do.
    const double min_load =
        LimitAllowsAt(state, server, now) > now ? kLoadAtLimit : 0;
    load += std::max(server.load, min_load) * server.entry.slots;
    slots += server.entry.slots;
  }
  std::map<std::string, double> loads;
  for (const auto& [region, sum] : sums)
    loads[region] = sum.first / std::max(sum.second, 1.0);
  return loads;
}

// Returns the region with the highest load among those in the split, or an
// empty name. Leaves out this entry VM's region.
std::string MostLoadedOther(const Split& split,
                            const std::map<std::string, double>& loads,
                            const std::string& own_region) {
  std::string most_loaded;
  for (const auto& [region, parts] : split) {
    const auto load = loads.find(region);
    if (region == own_region || parts == 0 || load == loads.end())
      continue;
    if (most_loaded.empty() || load->second > loads.at(most_loaded))
      most_loaded = region;
  }
  return most_loaded;
}

// Returns the region with the lowest load, or an empty name. Leaves out this
// entry VM's region.
std::string LeastLoadedOther(const std::map<std::string, double>& loads,
                             const std::string& own_region) {
  std::string least_loaded;
  for (const auto& [region, load] : loads) {
    if (region != own_region &&
        (least_loaded.empty() || load < loads.at(least_loaded)))
      least_loaded = region;
  }
  return least_loaded;
}

// Moves all parts of region `from` to region `to`.
void MoveParts(Split& split, const std::string& from, const std::string& to) {
  const auto found = split.find(from);
  if (found == split.end())
    return;
  const std::uint32_t parts = found->second;
  split.erase(found);
  split[to] += parts;
}

// Returns the target of the split. The target stays the same over a wide range
// of loads, because each move sends objects to servers that have not cached
// them.
Split ChooseTargetSplit(const Split& current,
                        const std::map<std::string, double>& loads,
                        const LoadLimits& limits,
                        const std::string& own_region) {
  Split target = current;
  const std::string least_loaded = LeastLoadedOther(loads, own_region);
  const auto own_load = loads.find(own_region);
  for (const auto& [region, parts] : current) {
    const bool in_use = loads.contains(region);
    if (!in_use && !loads.empty())
      MoveParts(target, region,
                own_load != loads.end() ? own_region : least_loaded);
  }
  if (own_load == loads.end())
    return target;
  const std::string most_loaded = MostLoadedOther(current, loads, own_region);
  if (!least_loaded.empty() && own_load->second > limits.leave_above &&
      loads.at(least_loaded) + kLoadMargin < own_load->second)
    MoveParts(target, own_region, least_loaded);
  else if (!most_loaded.empty() && own_load->second < limits.return_below)
    MoveParts(target, most_loaded, own_region);
  else if (!most_loaded.empty() &&
           loads.at(least_loaded) + kLoadMargin < loads.at(most_loaded))
    MoveParts(target, most_loaded, least_loaded);
  return target;
}

// Updates the targets and moves the splits towards them, once per
// kAdvancePeriod.
void AdvanceSplits(RoutingState& state, TimePoint now) {
  RegionShares& shares = state.shares;
  if (now < shares.next_advance)
    return;
  const double age_ms =
      static_cast<double>(
          (now - shares.next_advance + kAdvancePeriod).count()) /
      1000;
  shares.next_advance = now + kAdvancePeriod;
  const double decay = std::exp2(-age_ms / kOverrideHalfLifeMs);
  shares.overrides *= decay;
  shares.requests *= decay;
  for (auto& [split, count] : shares.requests_by_split)
    count *= std::exp2(-age_ms / kRequestsHalfLifeMs);
  std::map<std::string, std::uint64_t> demands;
  std::map<std::string, std::map<std::string, double>> loads;  // By service.
  for (const auto& [name, route_split] : shares.split.services) {
    demands[name] = 1;
    const bool is_large = name.ends_with(kLargeSuffix);
    const std::string service =
        is_large ? name.substr(0, name.size() - kLargeSuffix.size()) : name;
    if (!state.services.contains(service))
      continue;
    if (!loads.contains(service))
      loads[service] = RegionLoads(state, service, now);
    const LoadLimits& limits =
        is_large ? LargeTransferLimits(shares, service) : kDefaultLoadLimits;
    SplitTarget target{.target = ChooseTargetSplit(route_split.current,
                                                   loads[service], limits,
                                                   state.options.region)};
    for (const std::string& region : shares.split.regions)
      target.ceiling[region] = kPartsPerSplit;
    shares.split.targets[name] = std::move(target);
  }
  AdvanceSplit(shares.split, demands, now);
}

// Returns null if the region has no usable server.
const RegionCost* FindRegion(const RegionCosts& costs,
                             const std::string& region) {
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

void ResetShiftLimits(RoutingState& state) {
  state.shares.split.regions.clear();
}

std::string ChooseRegion(RoutingState& state,
                         const RequestState& request,
                         const RegionCosts& costs,
                         TimePoint now) {
  RegionShares& shares = state.shares;
  InitializeSplitState(state);
  const std::string name = SplitNameOf(state, request);
  if (!shares.split.services.contains(name))
    shares.split.services[name].current = InitialSplit(
        state, request.service, request.body_bytes >= kLargeTransferBytes, now);
  shares.requests_by_split[name] += 1;
  const RegionCost& best =
      *std::min_element(costs.begin(), costs.end(), IsBetter);
  shares.requests += 1;
  AdvanceSplits(state, now);
  const auto assigned_region = PickRegion(shares.split, name, request.object);
  const RegionCost* assigned =
      assigned_region ? FindRegion(costs, *assigned_region) : nullptr;
  // If the assigned region has no usable server, the request runs elsewhere and
  // does not count as an override.
  if (assigned == nullptr)
    return best.region;
  const bool is_much_better =
      assigned->cost_ms > best.cost_ms + kMinOverrideGainMs ||
      (best.admits && !assigned->admits);
  if (is_much_better &&
      shares.overrides + 1 <= shares.requests * kMaxOverrideShare) {
    shares.overrides += 1;
    return best.region;
  }
  return assigned->region;
}

}  // namespace cicadadrum::routing
