// The walk of a split towards its target.

#include "cicadadrum/shift/split.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

// A window is counted in slices; see the header for the argument. A call earns
// at most one slice, and a window of 32 slices may hold the steps of 34.
constexpr std::int64_t kSlices = 32;
constexpr std::int64_t kSlicesWithBorders = kSlices + 2;

Duration SliceOf(const ShiftLimits& limits) {
  return std::max(limits.window / kSlices, Duration(1));
}

// Returns the load change over the last window in parts: the larger of the rise
// from the lowest and the fall from the highest sample.
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
      kWholeSplit;
  return static_cast<std::uint64_t>(std::ceil(std::min(change, 1e12)));
}

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

// Returns the parts that the split may move in a whole window. Two parts are
// held back, one for the remainder of an earlier step and one for rounding.
std::uint64_t MoveCap(const ShiftLimits& limits, std::uint64_t load_change) {
  const std::uint64_t change =
      std::max<std::uint64_t>(load_change, limits.load_reserve_parts);
  if (change + 2 >= limits.cap_parts)
    return 0;
  const std::uint64_t left = limits.cap_parts - change;
  const std::uint64_t cap = left * kWholeSplit / (kWholeSplit + change);
  return cap > 2 ? cap - 2 : 0;
}

// Turns counted time into whole parts and keeps the rest.
std::uint64_t EarnParts(const ShiftLimits& limits,
                        ServiceSplit& service,
                        Duration counted) {
  const std::uint64_t cap = MoveCap(limits, LoadChange(service));
  const auto divisor = static_cast<std::uint64_t>(limits.window.count()) *
                       static_cast<std::uint64_t>(kSlicesWithBorders);
  const std::uint64_t earned = cap *
                                   static_cast<std::uint64_t>(counted.count()) *
                                   static_cast<std::uint64_t>(kSlices) +
                               service.remainder;
  service.remainder = earned % divisor;
  return earned / divisor;
}

// Takes `total` parts from or adds them to the regions in proportion to
// `differences`, at most the difference of each.
void Distribute(Split& split,
                const Split& differences,
                std::uint64_t total,
                bool add) {
  std::uint64_t sum = 0;
  for (const auto& [region, parts] : differences)
    sum += parts;
  std::uint64_t left = std::min(total, sum);
  const std::uint64_t wanted = left;
  for (int round = 0; round < 2 && left > 0; ++round) {
    for (const auto& [region, parts] : differences) {
      // The second round hands out what rounding left over.
      const std::uint64_t share = wanted * parts / sum;
      const std::uint64_t amount =
          std::min(left, round == 0 ? share : parts - share);
      std::uint32_t& here = split[region];
      here = static_cast<std::uint32_t>(add ? here + amount : here - amount);
      left -= amount;
    }
  }
}

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

std::optional<Split> MeanOfRegion(const std::vector<KnownSplit>& known,
                                  const std::string& region,
                                  const std::string& service) {
  std::map<std::string, double> sums;
  double total = 0;
  for (const KnownSplit& peer : known) {
    if (peer.entry_region != region || peer.service != service ||
        !IsWholeSplit(peer.split))
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
  std::uint32_t left = kWholeSplit;
  for (const auto& [name, sum] : sums) {
    mean[name] = std::min(left, static_cast<std::uint32_t>(sum / total));
    left -= mean[name];
  }
  mean.begin()->second += left;
  return mean;
}

Split FirstSplit(const SplitState& state,
                 const std::string& self,
                 const std::string& service,
                 const std::vector<KnownSplit>& known) {
  for (const KnownSplit& own : known) {
    if (own.entry == self && own.service == service && IsWholeSplit(own.split))
      return own.split;
  }
  if (const auto mean = MeanOfRegion(known, state.self_region, service))
    return *mean;
  const auto planned = state.targets.find(service);
  if (planned != state.targets.end() && IsWholeSplit(planned->second.in_force))
    return planned->second.in_force;
  return {{state.self_region, kWholeSplit}};
}

// Puts `lost_parts` on the other regions in proportion to their room; returns
// what has none.
std::uint32_t FillRoom(Split& target,
                       const Split& room,
                       std::uint32_t lost_parts) {
  std::uint64_t total = 0;
  for (const auto& [region, parts] : room)
    total += parts;
  const auto filled =
      static_cast<std::uint32_t>(std::min<std::uint64_t>(total, lost_parts));
  Distribute(target, room, filled, true);
  return lost_parts - filled;
}

}  // namespace

ShiftLimits MakeShiftLimits(std::uint32_t cap_percent, Duration window) {
  const std::uint32_t cap = cap_percent * (kWholeSplit / 100);
  return {.cap_parts = cap, .window = window, .load_reserve_parts = cap / 4};
}

void StartSplit(SplitState& state,
                const std::string& self,
                const std::vector<std::string>& services,
                const std::vector<KnownSplit>& known,
                const ShiftPlan& plan,
                TimePoint now) {
  AdoptPlan(state, plan);
  for (const std::string& service : services)
    state.services[service] = {FirstSplit(state, self, service, known), 0, {}};
  state.last_call = now;
  state.hold_until = state.elapsed + state.limits.window;
}

void AdoptPlan(SplitState& state, const ShiftPlan& plan) {
  if (plan.number <= state.plan_number)
    return;
  state.plan_number = plan.number;
  state.targets.clear();
  for (const auto& [key, target] : plan.targets) {
    if (key.entry_region == state.self_region && IsWholeSplit(target.target))
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
    const std::uint64_t parts = EarnParts(state.limits, service, counted);
    if (state.elapsed <= state.hold_until)
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
  Split room;
  for (const std::string& region : state.regions) {
    if (state.lost.contains(region))
      continue;
    const std::uint32_t present = PartsOf(target, region);
    const std::uint32_t ceiling =
        has_plan ? PartsOf(planned->second.ceiling, region) : kWholeSplit;
    if (ceiling > present)
      room[region] = ceiling - present;
  }
  for (const std::string& region : state.lost) {
    const auto parts = target.find(region);
    if (parts == target.end())
      continue;
    const std::uint32_t lost_parts = parts->second;
    parts->second = 0;
    const Split before = target;
    const std::uint32_t left = FillRoom(target, room, lost_parts);
    target[region] = left;
    for (auto& [name, free] : room)
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
  if (winner == nullptr || state.lost.contains(*winner))
    return std::nullopt;
  return *winner;
}

}  // namespace cicadadrum
