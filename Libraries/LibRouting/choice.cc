// The cost of a server for a request.

#include "choice.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "observations.h"
#include "region_shares.h"

namespace cicadadrum::routing {

namespace {

// Until both have been observed: work on an object that the server has handled
// recently, as a share of the work on one it has not.
constexpr double kKnownObjectShare = 0.45;

// Servers of a region that are to know an object: the first ones in its
// rendezvous order, which is the same at every entry VM. A server keeps a few
// dozen objects, so an object that goes everywhere is known nowhere.
constexpr std::size_t kServersPerObject = 1;

// Another server counts as one that knows the object this long after this entry
// VM sent it there.
constexpr Duration kObjectMemory = Seconds(6);

// Spread of the costs of equal servers for one object, in multiples of the work
// on a fresh object. It keeps the order in which an object's servers are used,
// also while the first ones are a little busier than the others.
constexpr double kAffinityShare = 2.5;

// Share of the work that a full server costs before anything waits, which
// spreads work over free servers.
constexpr double kOccupancyShare = 0.3;

// Cost of leaving the failure domain and the region, in ms: the round trip, and
// the bytes on links that all traffic shares.
constexpr double kOtherDomainMs = 3;
constexpr double kOtherRegionMs = 60;
constexpr double kOtherDomainMsPerKilobyte = 4;
constexpr double kOtherRegionMsPerKilobyte = 10;

// Costs of a server that fails every request, in multiples of the work.
constexpr double kFailureWeight = 6;

// A load report loses half of its weight in this time.
constexpr double kReportHalfLifeMs = 250;

// Work before anything is observed, as a share of the latency objective.
constexpr double kDefaultWorkShare = 0.5;

bool MayUseRegion(const Route& route, const std::string& region) {
  return route.home_regions.empty() ||
         std::find(route.home_regions.begin(), route.home_regions.end(),
                   region) != route.home_regions.end();
}

bool WasTried(const RequestState& request, const Server& server) {
  return std::find(request.tried.begin(), request.tried.end(),
                   server.entry.id) != request.tried.end();
}

bool MayUse(const RoutingState& state,
            const RequestState& request,
            Server& server,
            TimePoint now) {
  return server.entry.phase == ServerPhase::kReady &&
         server.rests_until <= now && !WasTried(request, server) &&
         !state.evacuated.contains(server.entry.failure_domain) &&
         MayUseRegion(request.route, server.region) &&
         HasColdAllowance(state, server, now);
}

// Weight of the server's last report, which ages. It must have one.
double ReportWeight(const Server& server, TimePoint now) {
  return std::exp2(-ToMs(now - server.reported_at) / kReportHalfLifeMs);
}

// Requests at the server: those of this entry VM are known; those of others are
// estimated from the last report, which ages.
double EstimateOccupancy(const Server& server, TimePoint now) {
  if (!server.report)
    return server.in_flight;
  const double reported = server.report->running + server.report->waiting;
  const double others = std::max(0.0, reported - server.in_flight_at_report);
  return server.in_flight + others * ReportWeight(server, now);
}

double DistanceMs(const RoutingState& state,
                  const RequestState& request,
                  const Server& server) {
  const double kilobytes = static_cast<double>(request.body_bytes) / 1024;
  if (server.region != state.options.region)
    return kOtherRegionMs + kilobytes * kOtherRegionMsPerKilobyte;
  if (server.entry.failure_domain != state.options.failure_domain)
    return kOtherDomainMs + kilobytes * kOtherDomainMsPerKilobyte;
  return 0;
}

bool KnowsObject(const Server& server, std::uint64_t object, TimePoint now) {
  const auto found = server.objects.find(object);
  return found != server.objects.end() && now - found->second < kObjectMemory;
}

// A number in [0, 1) that is the same at every entry VM.
double AffinityOf(std::uint64_t object, std::uint64_t server_hash) {
  Random mixed{.state = object ^ (server_hash * 0x9e3779b97f4a7c15ULL)};
  return RandomUnit(mixed);
}

double WorkFactor(const Server& server, TimePoint now) {
  double factor = ValueAt(server.slowness, 1, now);
  if (server.report)
    factor *= 1 + (server.report->work_factor - 1) * ReportWeight(server, now);
  return std::max(0.2, factor);
}

// What a request costs a server of usual speed.
struct Work {
  double fresh_ms = 0;
  double known_ms = 0;
};

Work WorkOf(const RoutingState& state, const RequestState& request) {
  const double guess_ms =
      ToMs(request.route.latency_objective) * kDefaultWorkShare;
  Work work{.fresh_ms = guess_ms, .known_ms = guess_ms * kKnownObjectShare};
  const ServiceState& service = state.services.at(request.service);
  const auto found = service.work.find(request.route.name);
  if (found == service.work.end())
    return work;
  const RouteWork& observed = found->second;
  if (observed.fresh.samples > 0) {
    work.fresh_ms = observed.fresh.milliseconds;
    work.known_ms = work.fresh_ms * kKnownObjectShare;
  }
  if (observed.known.samples > 0) {
    work.known_ms = observed.known.milliseconds;
    work.fresh_ms = std::max(work.fresh_ms, work.known_ms);
  }
  return work;
}

struct Candidate {
  Server* server = nullptr;
  double affinity = 0;     // Smaller for a server that the object prefers.
  bool preferred = false;  // One of the servers that are to know the object.
};

struct Cost {
  double total_ms = 0;
  double expected_ms = 0;
  double work_ms = 0;
  bool waits = false;
  Familiarity familiarity = Familiarity::kFresh;
};

Familiarity FamiliarityOf(const RequestState& request,
                          const Candidate& candidate,
                          TimePoint now) {
  if (!request.route.sticky)
    return Familiarity::kFresh;
  if (KnowsObject(*candidate.server, request.object, now))
    return Familiarity::kKnown;
  return candidate.preferred ? Familiarity::kShared : Familiarity::kFresh;
}

Cost CostOf(const RoutingState& state,
            const RequestState& request,
            const Candidate& candidate,
            const Work& work,
            TimePoint now) {
  const Server& server = *candidate.server;
  const double factor = WorkFactor(server, now);
  const double slots = std::max<std::uint32_t>(server.entry.slots, 1);
  const double occupancy = EstimateOccupancy(server, now);
  const double waiting = std::max(0.0, occupancy + 1 - slots);
  // Most of what waits concerns known objects.
  const double queue_ms = waiting / slots * work.known_ms * factor;
  const Familiarity familiarity = FamiliarityOf(request, candidate, now);
  const bool known = familiarity != Familiarity::kFresh;
  const double own_ms = (known ? work.known_ms : work.fresh_ms) * factor;
  const double affinity_ms =
      request.route.sticky ? candidate.affinity * work.fresh_ms * kAffinityShare
                           : 0;
  const double spread_ms =
      std::min(1.0, occupancy / slots) * work.known_ms * kOccupancyShare;
  const double failure_ms =
      ValueAt(server.failures, 0, now) * work.fresh_ms * kFailureWeight;
  return {.total_ms = DistanceMs(state, request, server) + queue_ms + own_ms +
                      affinity_ms + spread_ms + failure_ms,
          .expected_ms = queue_ms + own_ms,
          .work_ms = known ? work.known_ms : work.fresh_ms,
          .waits = waiting > 0,
          .familiarity = familiarity};
}

std::map<std::string, std::vector<Candidate>> CandidatesByRegion(
    RoutingState& state,
    const RequestState& request,
    const ServiceState& service,
    TimePoint now) {
  std::map<std::string, std::vector<Candidate>> by_region;
  for (const std::string& id : service.servers) {
    Server& server = state.servers.at(id);
    if (MayUse(state, request, server, now))
      by_region[server.region].push_back(
          {&server, AffinityOf(request.object, server.hash)});
  }
  return by_region;
}

void MarkPreferred(std::vector<Candidate>& candidates) {
  const std::size_t count = std::min(kServersPerObject, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) {
                      return a.affinity < b.affinity;
                    });
  for (std::size_t i = 0; i < count; ++i)
    candidates[i].preferred = true;
}

Choice Describe(Server& server, const Cost& cost, TimePoint now) {
  Choice choice{.server = &server,
                .inputs = {.familiarity = cost.familiarity,
                           .cost_ms = cost.total_ms,
                           .in_flight = server.in_flight,
                           .slowness = ValueAt(server.slowness, 1, now)},
                .expected = FromMs(cost.expected_ms),
                .work_ms = cost.work_ms,
                .waits = cost.waits,
                .familiarity = cost.familiarity};
  if (server.report) {
    choice.inputs.reported = server.report->running + server.report->waiting;
    choice.inputs.report_age_ms = (now - server.reported_at).count() / 1000;
  }
  return choice;
}

}  // namespace

Choice ChooseServer(RoutingState& state,
                    const RequestState& request,
                    TimePoint now) {
  const auto service = state.services.find(request.service);
  if (service == state.services.end())
    return {};
  const Work work = WorkOf(state, request);
  RegionCosts costs;
  std::map<std::string, std::pair<Server*, Cost>> best_of;
  for (auto& [region, candidates] :
       CandidatesByRegion(state, request, service->second, now)) {
    MarkPreferred(candidates);
    std::pair<Server*, Cost>& best = best_of[region];
    for (const Candidate& candidate : candidates) {
      const Cost cost = CostOf(state, request, candidate, work, now);
      if (best.first == nullptr || cost.total_ms < best.second.total_ms)
        best = {candidate.server, cost};
    }
    costs.emplace_back(region, best.second.total_ms);
  }
  if (costs.empty())
    return {};
  const auto& [server, cost] =
      best_of.at(PickRegionFor(state, request, costs, now));
  return Describe(*server, cost, now);
}

}  // namespace cicadadrum::routing
