// Movement of splits towards their targets.

#include "cicadadrum/shift/split.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

// A window is divided into slices; split.h has the argument. The time since the
// last call counts as at most one slice, and a window of 32 slices may contain
// the steps of 34 slices.
constexpr std::int64_t kSlices = 32;
constexpr std::int64_t kSlicesWithBorders = kSlices + 2;

Duration SliceOf(const ShiftLimits& limits) {
  return std::max(limits.window / kSlices, Duration(1));
}

// Returns the load change over the last window in 1/kPartsPerSplit: the larger
// of the rise from the lowest and the fall from the highest sample.
std::uint64_t LoadChange(const ServiceSplit& service) {
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t highest = 1;
  for (const LoadSample& sample : service.loads) {
    lowest = std::min(lowest, sample.lowest);
    highest = std::max(highest, sample.highest);
  }
  lowest = std::clamp<std::uint64_t>(lowest, 1, highest);
  const double change =
      (static_cast<double>(highest) / static_cast<double>(lowest) - 1) *
      kPartsPerSplit;
  return static_cast<std::uint64_t>(std::ceil(std::min(change, 1e12)));
}

// Adds a load to the samples, one of which covers a slice, and drops samples
// that are older than the window and two slices.
void AddLoad(SplitState& state, ServiceSplit& service, std::uint64_t load) {
  const Duration slice = SliceOf(state.limits);
  if (service.loads.empty() || state.elapsed - service.loads.back().at >= slice)
    service.loads.push_back({state.elapsed, load, load});
  LoadSample& last = service.loads.back();
  last.lowest = std::min(last.lowest, load);
  last.highest = std::max(last.highest, load);
  while (state.elapsed - service.loads.front().at >
         state.limits.window + 2 * slice)
    service.loads.pop_front();
}

// Returns the number of parts that the split may move in a full window. The
// result is reduced by two parts, one for the remainder of an earlier step and
// one for rounding.
std::uint64_t MovementLimit(const ShiftLimits& limits,
                            std::uint64_t load_change) {
  const std::uint64_t change =
      std::max<std::uint64_t>(load_change, limits.load_reserve_parts);
  if (change + 2 >= limits.cap_parts)
    return 0;
  const std::uint64_t remaining = limits.cap_parts - change;
  const std::uint64_t cap =
      remaining * kPartsPerSplit / (kPartsPerSplit + change);
  return cap > 2 ? cap - 2 : 0;
}

// Returns the number of whole parts that the counted time permits to move, and
// saves the remainder for the next call.
std::uint64_t AccrueParts(const ShiftLimits& limits,
                          ServiceSplit& service,
                          Duration counted) {
  const std::uint64_t cap = MovementLimit(limits, LoadChange(service));
  const auto divisor = static_cast<std::uint64_t>(limits.window.count()) *
                       static_cast<std::uint64_t>(kSlicesWithBorders);
  const std::uint64_t accrued =
      cap * static_cast<std::uint64_t>(counted.count()) *
          static_cast<std::uint64_t>(kSlices) +
      service.remainder;
  service.remainder = accrued % divisor;
  return accrued / divisor;
}

// Subtracts `total` parts from the regions, or adds them if `add`, in
// proportion to `differences` and by at most the difference of each region.
void Distribute(Split& split,
                const Split& differences,
                std::uint64_t total,
                bool add) {
  std::uint64_t sum = 0;
  for (const auto& [region, parts] : differences)
    sum += parts;
  std::uint64_t remaining = std::min(total, sum);
  const std::uint64_t wanted = remaining;
  for (int round = 0; round < 2 && remaining > 0; ++round) {
    for (const auto& [region, parts] : differences) {
      // The second round distributes the parts that rounding left over.
      const std::uint64_t share = wanted * parts / sum;
      const std::uint64_t amount =
          std::min(remaining, round == 0 ? share : parts - share);
      std::uint32_t& here = split[region];
      here = static_cast<std::uint32_t>(add ? here + amount : here - amount);
      remaining -= amount;
    }
  }
}

// Moves at most `parts` parts of `split` towards `target`.
void MoveTowards(Split& split, const Split& target, std::uint64_t parts) {
  Split gains;
  Split losses;
  for (const auto& [region, wanted] : target) {
    if (wanted > PartsOf(split, region))
      gains[region] = wanted - PartsOf(split, region);
  }
  for (const auto& [region, present] : split) {
    if (present > PartsOf(target, region))
      losses[region] = present - PartsOf(target, region);
  }
  const std::uint64_t amount =
      std::min<std::uint64_t>(parts, SplitDistance(split, target));
  Distribute(split, losses, amount, false);
  Distribute(split, gains, amount, true);
  std::erase_if(split, [](const auto& entry) { return entry.second == 0; });
}

// Returns the load-weighted mean of the complete splits that peers report for
// the region, or nothing if there is none.
std::optional<Split> RegionMean(const std::vector<ReportedSplit>& reports,
                                const std::string& region,
                                const std::string& service) {
  std::map<std::string, double> sums;
  double total = 0;
  for (const ReportedSplit& peer : reports) {
    if (peer.entry_region != region || peer.service != service ||
        !IsCompleteSplit(peer.split))
      continue;
    const double weight =
        static_cast<double>(std::max<std::uint64_t>(peer.load, 1));
    total += weight;
    for (const auto& [name, parts] : peer.split)
      sums[name] += weight * parts;
  }
  if (total == 0)
    return std::nullopt;
  Split mean;
  std::uint32_t remaining = kPartsPerSplit;
  for (const auto& [name, sum] : sums) {
    mean[name] = std::min(remaining, static_cast<std::uint32_t>(sum / total));
    remaining -= mean[name];
  }
  mean.begin()->second += remaining;
  return mean;
}

// Returns the split that a service starts from; see StartSplit.
Split InitialSplit(const SplitState& state,
                   const std::string& self,
                   const std::string& service,
                   const std::vector<ReportedSplit>& reports) {
  for (const ReportedSplit& report : reports) {
    if (report.entry == self && report.service == service &&
        IsCompleteSplit(report.split))
      return report.split;
  }
  if (const auto mean = RegionMean(reports, state.self_region, service))
    return *mean;
  const auto planned = state.targets.find(service);
  if (planned != state.targets.end() &&
      IsCompleteSplit(planned->second.in_force))
    return planned->second.in_force;
  return {{state.self_region, kPartsPerSplit}};
}

// Distributes `lost_parts` to the other regions in proportion to `free_parts`;
// returns the number of parts that exceed the free parts.
std::uint32_t FillFreeParts(Split& target,
                            const Split& free_parts,
                            std::uint32_t lost_parts) {
  std::uint64_t total = 0;
  for (const auto& [region, parts] : free_parts)
    total += parts;
  const auto filled =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(total, lost_parts));
  Distribute(target, free_parts, filled, true);
  return lost_parts - filled;
}

}  // namespace

ShiftLimits MakeShiftLimits(std::uint32_t cap_percent, Duration window) {
  const std::uint32_t cap = cap_percent * (kPartsPerSplit / 100);
  return {.cap_parts = cap, .window = window, .load_reserve_parts = cap / 4};
}

void StartSplit(SplitState& state,
                const std::string& self,
                const std::vector<std::string>& services,
                const std::vector<ReportedSplit>& reports,
                const ShiftPlan& plan,
                TimePoint now) {
  AdoptPlan(state, plan);
  for (const std::string& service : services)
    state.services[service] = {
        InitialSplit(state, self, service, reports), 0, {}};
  state.last_call = now;
  state.frozen_until = state.elapsed + state.limits.window;
}

void AdoptPlan(SplitState& state, const ShiftPlan& plan) {
  if (plan.number <= state.plan_number)
    return;
  state.plan_number = plan.number;
  state.targets.clear();
  for (const auto& [key, target] : plan.targets) {
    if (key.entry_region == state.self_region && IsCompleteSplit(target.target))
      state.targets[key.service] = target;
  }
}

void AdvanceSplit(SplitState& state,
                  const std::map<std::string, std::uint64_t>& loads,
                  TimePoint now) {
  const Duration counted =
      std::clamp(now - state.last_call, Duration(0), SliceOf(state.limits));
  state.last_call = now;
  state.elapsed += counted;
  for (auto& [name, service] : state.services) {
    const auto load = loads.find(name);
    AddLoad(state, service, load == loads.end() ? 0 : load->second);
    const std::uint64_t parts = AccrueParts(state.limits, service, counted);
    if (state.elapsed <= state.frozen_until)
      continue;
    MoveTowards(service.current, EffectiveTarget(state, name), parts);
  }
}

Split EffectiveTarget(const SplitState& state, const std::string& service) {
  const auto planned = state.targets.find(service);
  const bool has_plan = planned != state.targets.end();
  const auto found = state.services.find(service);
  Split target = has_plan                        ? planned->second.target
                 : found != state.services.end() ? found->second.current
                                                 : Split{};
  Split free_parts;
  for (const std::string& region : state.regions) {
    if (state.lost_regions.contains(region))
      continue;
    const std::uint32_t present = PartsOf(target, region);
    const std::uint32_t ceiling =
        has_plan ? PartsOf(planned->second.ceiling, region) : kPartsPerSplit;
    if (ceiling > present)
      free_parts[region] = ceiling - present;
  }
  for (const std::string& region : state.lost_regions) {
    const auto parts = target.find(region);
    if (parts == target.end())
      continue;
    const std::uint32_t lost_parts = parts->second;
    parts->second = 0;
    const Split before = target;
    const std::uint32_t remaining =
        FillFreeParts(target, free_parts, lost_parts);
    target[region] = remaining;
    for (auto& [name, free] : free_parts)
      free -= PartsOf(target, name) - PartsOf(before, name);
  }
  return target;
}

std::optional<std::string> PickRegion(const SplitState& state,
                                      const std::string& service,
                                      std::uint64_t point) {
  const auto found = state.services.find(service);
  if (found == state.services.end())
    return std::nullopt;
  const std::string* winner = nullptr;
  double best = 0;
  for (const auto& [region, parts] : found->second.current) {
    if (parts == 0)
      continue;
    const double unit =
        (static_cast<double>(HashBytes(region, point) >> 11) + 1) * 0x1.0p-53;
    const double score = -std::log(unit) / parts;
    if (winner == nullptr || score < best) {
      winner = &region;
      best = score;
    }
  }
  if (winner == nullptr || state.lost_regions.contains(*winner))
    return std::nullopt;
  return *winner;
}

}  // namespace cicadadrum
