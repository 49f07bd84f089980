// The cost of a server for a request.

#include "choice.h"

#include <algorithm>
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

// Cost of each step down an object's rendezvous order, in multiples of the work
// on a known object. It keeps the order in which an object's servers are used,
// also while the first ones are a little busier than the others.
constexpr double kAffinityStep = 0.5;
// All servers from this rank on are alike.
constexpr std::size_t kLastRank = 4;

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

// A request waits if it should be answered within this share of its latency
// objective; a longer queue only makes every answer late. Where the work alone
// takes most of the objective, it waits for up to the second share.
constexpr double kAnswerShare = 0.9;
constexpr double kLeastWaitShare = 0.25;

// A server with a smaller load than this takes objects that it does not know.
constexpr double kFreshLoad = 0.6;

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

bool KnowsObject(const Server& server, std::uint64_t object) {
  return std::find(server.objects.begin(), server.objects.end(),
                   ObjectTag(object)) != server.objects.end();
}

// A number in [0, 1) that is the same at every entry VM.
double AffinityOf(std::uint64_t object, std::uint64_t server_hash) {
  Random mixed{.state = object ^ (server_hash * 0x9e3779b97f4a7c15ULL)};
  return RandomUnit(mixed);
}

double SlownessOf(const Server& server, TimePoint now) {
  return std::max(kShortestFactor,
                  ValueAt(server.slowness, 1, now) * WorkFactorOf(server, now));
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
  double affinity = 0;   // Smaller for a server that the object prefers.
  std::size_t rank = 0;  // In the order of affinity, up to kLastRank.
};

struct Cost {
  double total_ms = 0;
  double expected_ms = 0;
  double queue_ms = 0;
  double work_ms = 0;
  // The server takes the request within a time that is worth it.
  bool admits = false;
  CacheAffinity cache_affinity = CacheAffinity::kFresh;
};

// Work on a fresh object takes several times as long. On a server without much
// room it would take that time from objects that the server knows, and an
// overloaded service would stay overloaded because nothing is known anywhere.
bool HasRoomForFresh(const Server& server, double occupancy) {
  const double room = server.entry.slots * kFreshLoad;
  return occupancy < room && server.load < kFreshLoad;
}

bool Admits(const RequestState& request,
            const Server& server,
            double occupancy,
            const Cost& cost) {
  if (request.route.sticky && cost.cache_affinity == CacheAffinity::kFresh &&
      !HasRoomForFresh(server, occupancy))
    return false;
  const double objective_ms = ToMs(request.route.latency_objective);
  return cost.queue_ms <= objective_ms * kLeastWaitShare ||
         cost.expected_ms <= objective_ms * kAnswerShare;
}

CacheAffinity CacheAffinityOf(const RequestState& request,
                              const Candidate& candidate) {
  if (!request.route.sticky)
    return CacheAffinity::kFresh;
  if (KnowsObject(*candidate.server, request.object))
    return CacheAffinity::kKnown;
  return candidate.rank < kServersPerObject ? CacheAffinity::kShared
                                            : CacheAffinity::kFresh;
}

Cost CostOf(const RoutingState& state,
            const RequestState& request,
            const Candidate& candidate,
            const Work& work,
            TimePoint now) {
  const Server& server = *candidate.server;
  const double factor = SlownessOf(server, now);
  const double slots = std::max<std::uint32_t>(server.entry.slots, 1);
  const double occupancy = EstimateOccupancy(server, now);
  const double waiting = std::max(0.0, occupancy + 1 - slots);
  // Most of what waits concerns known objects.
  const double queue_ms = waiting / slots * work.known_ms * factor;
  const CacheAffinity cache_affinity = CacheAffinityOf(request, candidate);
  const bool known = cache_affinity != CacheAffinity::kFresh;
  const double own_ms = (known ? work.known_ms : work.fresh_ms) * factor;
  const double affinity_ms =
      request.route.sticky
          ? static_cast<double>(candidate.rank) * work.known_ms * kAffinityStep
          : 0;
  const double spread_ms =
      std::min(1.0, occupancy / slots) * work.known_ms * kOccupancyShare;
  const double failure_ms =
      ValueAt(server.failures, 0, now) * work.fresh_ms * kFailureWeight;
  Cost cost{.total_ms = DistanceMs(state, request, server) + queue_ms + own_ms +
                        affinity_ms + spread_ms + failure_ms,
            .expected_ms = queue_ms + own_ms,
            .queue_ms = queue_ms,
            .work_ms = known ? work.known_ms : work.fresh_ms,
            .cache_affinity = cache_affinity};
  cost.admits = Admits(request, server, occupancy, cost);
  return cost;
}

// Servers that admit the request go before those that don't.
bool IsBetter(const Cost& a, const Cost& b) {
  if (a.admits != b.admits)
    return a.admits;
  return a.total_ms < b.total_ms;
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

void Rank(std::vector<Candidate>& candidates) {
  const std::size_t count = std::min(kLastRank, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) {
                      return a.affinity < b.affinity;
                    });
  for (std::size_t i = 0; i < candidates.size(); ++i)
    candidates[i].rank = std::min(i, kLastRank);
}

Choice Describe(Server& server, const Cost& cost, TimePoint now) {
  Choice choice{.server = &server,
                .inputs = {.cache_affinity = cost.cache_affinity,
                           .cost_ms = cost.total_ms,
                           .in_flight = server.in_flight,
                           .slowness = ValueAt(server.slowness, 1, now),
                           .work_factor = WorkFactorOf(server, now)},
                .expected = FromMs(cost.expected_ms),
                .work_ms = cost.work_ms,
                .waits = cost.queue_ms > 0,
                .admitted = cost.admits,
                .cache_affinity = cost.cache_affinity};
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
    Rank(candidates);
    std::pair<Server*, Cost>& best = best_of[region];
    for (const Candidate& candidate : candidates) {
      const Cost cost = CostOf(state, request, candidate, work, now);
      if (best.first == nullptr || IsBetter(cost, best.second))
        best = {candidate.server, cost};
    }
    costs.push_back({region, best.second.total_ms, best.second.admits});
  }
  if (costs.empty())
    return {};
  const auto& [server, cost] =
      best_of.at(PickRegionFor(state, request, costs, now));
  return Describe(*server, cost, now);
}

}  // namespace cicadadrum::routing
