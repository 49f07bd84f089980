// Compares what callers and servers saw with the configurations and with what
// servers announced.

#include "checks.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "configurations.h"

namespace cicadadrum::platform {

namespace {

constexpr std::uint16_t kNotFound = 404;

// An effect of a decision: a request reached a server, or the entry VM refused
// it with status 404.
struct Effect {
  const RequestRecord* request = nullptr;
  const ArrivalRecord* arrival = nullptr;  // Null for a refusal.
  TimePoint at;
};

// Range of versions of configurations.
struct VersionRange {
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
};

const ConfiguredRoute* FindRoute(const ConfigurationRecord& configuration,
                                 const RequestRecord& request) {
  const ConfiguredRoute* longest = nullptr;
  for (const ConfiguredRoute& route : configuration.routes) {
    if (route.host == request.host && request.path.starts_with(route.prefix) &&
        (longest == nullptr || route.prefix.size() > longest->prefix.size()))
      longest = &route;
  }
  return longest;
}

bool Allows(const ConfigurationRecord& configuration, const Effect& effect) {
  const ConfiguredRoute* route = FindRoute(configuration, *effect.request);
  if (effect.arrival == nullptr || route == nullptr)
    return (effect.arrival == nullptr) == (route == nullptr);
  const std::vector<std::string>& homes = route->home_regions;
  return homes.empty() || std::find(homes.begin(), homes.end(),
                                    effect.arrival->region) != homes.end();
}

std::vector<Effect> EffectsInOrder(const SoakRecords& records) {
  std::vector<Effect> effects;
  for (const ArrivalRecord& arrival : records.arrivals) {
    const auto request = records.requests.find(arrival.request_id);
    if (request != records.requests.end())
      effects.push_back({&request->second, &arrival, arrival.at});
  }
  for (const auto& [id, request] : records.requests) {
    if (request.status == kNotFound)
      effects.push_back({&request, nullptr, request.answered_at});
  }
  std::stable_sort(
      effects.begin(), effects.end(),
      [](const Effect& a, const Effect& b) { return a.at < b.at; });
  return effects;
}

// Returns the oldest version that an entry VM in touch may use at `time`.
std::uint64_t OldestVersionInForce(const SoakRecords& records, TimePoint time) {
  const TimePoint due = time - kConfigurationBound - kMachineAllowance;
  std::uint64_t oldest = 0;
  for (const ConfigurationRecord& configuration : records.configurations) {
    if (configuration.acknowledged_at <= due)
      oldest = configuration.version;
  }
  return oldest;
}

// Returns the versions from `oldest` on that allow the effect and were written
// before it, or nothing if there is none.
std::optional<VersionRange> AllowingVersions(const SoakRecords& records,
                                             const Effect& effect,
                                             std::uint64_t oldest) {
  std::optional<VersionRange> range;
  for (const ConfigurationRecord& configuration : records.configurations) {
    if (configuration.version < oldest ||
        configuration.acknowledged_at > effect.at ||
        !Allows(configuration, effect))
      continue;
    if (!range)
      range = {.oldest = configuration.version};
    range->newest = configuration.version;
  }
  return range;
}

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

std::string Describe(const SoakRecords& records,
                     const Effect& effect,
                     std::uint64_t oldest) {
  const RequestRecord& request = *effect.request;
  std::string text = request.host + request.path + " from " + request.entry +
                     " (process " + std::to_string(request.process) +
                     (request.is_in_touch ? ", in touch)" : ")");
  text += effect.arrival == nullptr ? " was answered 404"
                                    : " reached " + effect.arrival->server +
                                          " in " + effect.arrival->region;
  text +=
      " " + FormatMilliseconds(effect.at - request.sent_at) + " after sending";
  const auto allowing = AllowingVersions(records, effect, 0);
  text += allowing
              ? ", as version " + std::to_string(allowing->newest) + " allows"
              : ", as no version allows";
  text += "; oldest version in force: " + std::to_string(oldest);
  for (const ConfigurationRecord& configuration : records.configurations) {
    if (configuration.version == oldest)
      text +=
          ", acknowledged " +
          FormatMilliseconds(request.sent_at - configuration.acknowledged_at) +
          " before sending";
  }
  return text;
}

// Returns the rule that an effect breaks which no version from `oldest` on
// allows.
Rule BrokenRule(const SoakRecords& records,
                const Effect& effect,
                std::uint64_t oldest) {
  for (const ConfigurationRecord& configuration : records.configurations) {
    if (effect.arrival != nullptr && configuration.version >= oldest &&
        configuration.acknowledged_at <= effect.at &&
        FindRoute(configuration, *effect.request) != nullptr)
      return Rule::kHome;
  }
  return Rule::kConfiguration;
}

// The oldest version that a process may still use after a time.
struct VersionFloor {
  TimePoint seen_at;
  std::uint64_t version = 0;
};

// Returns the floor that applies to a request sent at `sent_at`.
std::uint64_t FloorAt(const std::vector<VersionFloor>& floors,
                      TimePoint sent_at) {
  std::uint64_t version = 0;
  for (const VersionFloor& floor : floors) {
    if (floor.seen_at + kDowngradeBound <= sent_at)
      version = floor.version;
  }
  return version;
}

// A request that a server received from an entry VM.
struct EntryArrival {
  const RequestRecord* request = nullptr;
  const ArrivalRecord* arrival = nullptr;
};

// Requests in the order of arrival, by server and entry VM.
using ArrivalsByLink =
    std::map<std::pair<std::string, std::string>, std::vector<EntryArrival>>;

ArrivalsByLink GroupByLink(const SoakRecords& records) {
  ArrivalsByLink links;
  for (const ArrivalRecord& arrival : records.arrivals) {
    const auto request = records.requests.find(arrival.request_id);
    if (request != records.requests.end())
      links[{arrival.server, request->second.entry}].push_back(
          {&request->second, &arrival});
  }
  return links;
}

bool IsDisturbed(const SoakRecords& records,
                 const std::string& entry,
                 TimePoint begin,
                 TimePoint end) {
  const auto times = records.disturbances.find(entry);
  return times != records.disturbances.end() &&
         std::any_of(times->second.begin(), times->second.end(),
                     [&](TimePoint at) { return begin <= at && at <= end; });
}

std::string DescribeArrival(const EntryArrival& arrival) {
  const RequestRecord& request = *arrival.request;
  return request.host + request.path + " from " + request.entry + " (process " +
         std::to_string(request.process) + ") reached " +
         arrival.arrival->server;
}

std::size_t CountRequestsInPause(const std::vector<EntryArrival>& arrivals,
                                 TimePoint begin) {
  return static_cast<std::size_t>(std::count_if(
      arrivals.begin(), arrivals.end(), [&](const EntryArrival& arrival) {
        return arrival.arrival->at > begin + kPauseGrace &&
               arrival.arrival->at < begin + kServerPause;
      }));
}

}  // namespace

std::vector<Violation> FindOutdatedDecisions(const SoakRecords& records) {
  std::vector<Violation> violations;
  for (const Effect& effect : EffectsInOrder(records)) {
    const std::uint64_t oldest =
        effect.request->is_in_touch
            ? OldestVersionInForce(records, effect.request->sent_at)
            : 0;
    if (!AllowingVersions(records, effect, oldest))
      violations.push_back({BrokenRule(records, effect, oldest),
                            effect.request->id,
                            Describe(records, effect, oldest)});
  }
  return violations;
}

std::vector<Violation> FindOutdatedRetries(const SoakRecords& records) {
  std::vector<Violation> violations;
  for (const Effect& effect : EffectsInOrder(records)) {
    if (effect.arrival == nullptr || effect.arrival->may_be_held_up ||
        !effect.request->is_in_touch)
      continue;
    const std::uint64_t at_sending =
        OldestVersionInForce(records, effect.request->sent_at);
    const std::uint64_t at_arrival = OldestVersionInForce(records, effect.at);
    if (AllowingVersions(records, effect, at_sending) &&
        !AllowingVersions(records, effect, at_arrival))
      violations.push_back({BrokenRule(records, effect, at_arrival),
                            effect.request->id,
                            Describe(records, effect, at_arrival)});
  }
  return violations;
}

std::vector<Violation> FindOutdatedDecisionsOutOfTouch(
    const SoakRecords& records) {
  std::vector<Violation> violations;
  for (const Effect& effect : EffectsInOrder(records)) {
    const std::uint64_t oldest =
        OldestVersionInForce(records, effect.request->sent_at);
    if (effect.request->is_in_touch || effect.request->is_cut_off)
      continue;
    if (AllowingVersions(records, effect, 0) &&
        !AllowingVersions(records, effect, oldest))
      violations.push_back({BrokenRule(records, effect, oldest),
                            effect.request->id,
                            Describe(records, effect, oldest)});
  }
  return violations;
}

std::vector<Violation> FindDowngrades(const SoakRecords& records) {
  std::vector<Violation> violations;
  std::map<std::pair<std::string, std::uint64_t>, std::vector<VersionFloor>>
      floors_by_process;
  for (const Effect& effect : EffectsInOrder(records)) {
    const auto allowing = AllowingVersions(records, effect, 0);
    if (!allowing)
      continue;
    const RequestRecord& request = *effect.request;
    std::vector<VersionFloor>& floors =
        floors_by_process[{request.entry, request.process}];
    const std::uint64_t floor = FloorAt(floors, request.sent_at);
    if (allowing->newest < floor)
      violations.push_back(
          {Rule::kDowngrade, request.id, Describe(records, effect, floor)});
    const std::uint64_t newest = floors.empty() ? 0 : floors.back().version;
    if (effect.arrival != nullptr && allowing->oldest > newest)
      floors.push_back({effect.at, allowing->oldest});
  }
  return violations;
}

// An entry VM marks the server before it passes the response on, so no request
// that a caller sends after the response may reach the server.
std::vector<Violation> FindRequestsAfterLeaving(const SoakRecords& records) {
  std::vector<Violation> violations;
  for (const auto& [link, arrivals] : GroupByLink(records)) {
    TimePoint announced_at = kNever;
    for (const EntryArrival& arrival : arrivals) {
      const RequestRecord& request = *arrival.request;
      const bool is_forgotten = announced_at == kNever ||
                                IsDisturbed(records, request.entry,
                                            announced_at, arrival.arrival->at);
      if (request.sent_at > announced_at && !is_forgotten)
        violations.push_back(
            {Rule::kLeaving, request.id,
             DescribeArrival(arrival) + " " +
                 FormatMilliseconds(request.sent_at - announced_at) +
                 " after the server's announcement of its leaving"});
      if (arrival.arrival->said_leaving && is_forgotten)
        announced_at = request.said_leaving ? request.answered_at : kNever;
    }
  }
  return violations;
}

std::vector<Violation> FindBrokenPauses(const SoakRecords& records) {
  std::vector<Violation> violations;
  for (const auto& [link, arrivals] : GroupByLink(records)) {
    const auto changes = records.link_changes.find(link.first);
    for (const EntryArrival& asking : arrivals) {
      const TimePoint begin = asking.arrival->at;
      const TimePoint end = begin + kServerPause;
      if (!asking.arrival->asked_for_pause ||
          IsDisturbed(records, link.second, begin, end) ||
          (changes != records.link_changes.end() &&
           IsLinkImpaired(changes->second, begin, end)))
        continue;
      const std::size_t count = CountRequestsInPause(arrivals, begin);
      if (count > kMaxRequestsInPause)
        violations.push_back(
            {Rule::kPause, asking.request->id,
             DescribeArrival(asking) + ", which asked for a pause, and " +
                 std::to_string(count) + " requests reached it in the pause"});
    }
  }
  return violations;
}

std::vector<Violation> FindLateCrashRetries(const SoakRecords& records) {
  std::multimap<TimePoint, const ArrivalRecord*> crashes;
  for (const ArrivalRecord& arrival : records.arrivals) {
    if (arrival.path == kCrashingPath)
      crashes.emplace(arrival.at, &arrival);
  }
  if (crashes.size() <= kAllowedCrashes)
    return {};
  const TimePoint blocked_from =
      std::next(crashes.begin(), kAllowedCrashes - 1)->first + kStableWindow;
  std::vector<Violation> retries;
  std::set<std::string> arrived;
  for (const auto& [at, arrival] : crashes) {
    const RequestRecord& request = records.requests.at(arrival->request_id);
    const bool is_retry = !arrived.insert(request.id).second;
    if (is_retry && request.is_in_touch && at > blocked_from)
      retries.push_back({Rule::kCrash, request.id,
                         request.entry + " retried it at " + arrival->server});
  }
  retries.erase(retries.begin(),
                retries.begin() + static_cast<std::ptrdiff_t>(std::min(
                                      retries.size(), kAllowedCrashRetries)));
  return retries;
}

bool IsLinkImpaired(const std::vector<LinkChange>& changes,
                    TimePoint begin,
                    TimePoint end) {
  ProxyMode mode = ProxyMode::kPass;
  for (const LinkChange& change : changes) {
    if (change.at >= begin && change.at <= end)
      return true;
    if (change.at < begin)
      mode = change.mode;
  }
  return mode != ProxyMode::kPass;
}

}  // namespace cicadadrum::platform
