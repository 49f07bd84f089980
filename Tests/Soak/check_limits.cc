// Checks that the entry VMs together keep to the limits that servers state, and
// to the rate of cold servers.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "checks.h"

namespace cicadadrum::platform {

namespace {

// The arrivals at one server while it states one limit.
struct LimitPeriod {
  std::string server;
  double limit = 0;
  std::vector<const ArrivalRecord*> arrivals;  // By ascending time.

  TimePoint begin() const { return arrivals.front()->at; }
  TimePoint end() const { return arrivals.back()->at; }
};

// Returns the arrivals of each server by ascending time.
std::map<std::string, std::vector<const ArrivalRecord*>> SortArrivals(
    const SoakRecords& records) {
  std::map<std::string, std::vector<const ArrivalRecord*>> by_server;
  for (const ArrivalRecord& arrival : records.arrivals)
    by_server[arrival.server].push_back(&arrival);
  for (auto& [server, arrivals] : by_server)
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const ArrivalRecord* a, const ArrivalRecord* b) {
                       return a->at < b->at;
                     });
  return by_server;
}

std::vector<LimitPeriod> FindLimitPeriods(const SoakRecords& records) {
  std::vector<LimitPeriod> periods;
  for (const auto& [server, arrivals] : SortArrivals(records)) {
    double limit = 0;
    for (const ArrivalRecord* arrival : arrivals) {
      if (arrival->stated_limit > 0 && arrival->stated_limit != limit)
        periods.push_back({server, arrival->stated_limit, {}});
      limit = arrival->stated_limit;
      if (limit > 0)
        periods.back().arrivals.push_back(arrival);
    }
  }
  return periods;
}

// Returns the time from which each entry VM counts, by its name.
std::map<std::string, TimePoint> FindToldEntries(const SoakRecords& records,
                                                 const LimitPeriod& period) {
  std::map<std::string, TimePoint> told;
  for (const ArrivalRecord* arrival : period.arrivals) {
    const RequestRecord& request = records.requests.at(arrival->request_id);
    if (request.answered_at == kNever)
      continue;
    const auto [entry, is_first] =
        told.try_emplace(request.entry, request.answered_at + kLimitGrace);
    entry->second = std::min(entry->second, request.answered_at + kLimitGrace);
  }
  std::erase_if(told, [&](const auto& entry) {
    const auto disturbances = records.disturbances.find(entry.first);
    return disturbances != records.disturbances.end() &&
           std::any_of(disturbances->second.begin(), disturbances->second.end(),
                       [&](TimePoint at) {
                         return at >= period.begin() - kStableWindow &&
                                at <= period.end();
                       });
  });
  return told;
}

}  // namespace

std::vector<Violation> FindBrokenLimits(const SoakRecords& records) {
  std::vector<Violation> violations;
  for (const LimitPeriod& period : FindLimitPeriods(records)) {
    const auto told = FindToldEntries(records, period);
    std::vector<TimePoint> counted;
    for (const ArrivalRecord* arrival : period.arrivals) {
      const auto entry =
          told.find(records.requests.at(arrival->request_id).entry);
      if (entry == told.end() || arrival->may_be_held_up ||
          arrival->at < entry->second ||
          arrival->at < period.begin() + kStableWindow)
        continue;
      counted.push_back(arrival->at);
      std::erase_if(counted, [&](TimePoint at) {
        return at <= arrival->at - kLimitWindow;
      });
      const double accepted =
          period.limit * kAcceptedLimitFactor *
              std::chrono::duration<double>(kLimitWindow).count() +
          kAcceptedLimitExtra;
      if (static_cast<double>(counted.size()) <= accepted)
        continue;
      violations.push_back(
          {Rule::kLimit, arrival->request_id,
           arrival->request_id + " reached " + period.server +
               ", which states a limit of " + std::to_string(period.limit) +
               " requests a second, as number " +
               std::to_string(counted.size()) + " within 4 s"});
      break;
    }
  }
  return violations;
}

std::vector<Violation> FindColdFloods(const SoakRecords& records) {
  std::vector<Violation> violations;
  for (const auto& [server, arrivals] : SortArrivals(records)) {
    std::vector<TimePoint> counted;
    for (const ArrivalRecord* arrival : arrivals) {
      if (!arrival->is_at_cold_server || arrival->may_be_held_up)
        continue;
      counted.push_back(arrival->at);
      std::erase_if(counted, [&](TimePoint at) {
        return at <= arrival->at - kColdWindow;
      });
      if (counted.size() <= kMaxColdArrivals)
        continue;
      violations.push_back({Rule::kCold, arrival->request_id,
                            arrival->request_id + " reached " + server +
                                ", which is cold, as number " +
                                std::to_string(counted.size()) +
                                " within 1 s"});
      break;
    }
  }
  return violations;
}

}  // namespace cicadadrum::platform
