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
constexpr double kKnownObjectWorkShare = 0.45;

// Servers of a region that are to know an object: the first ones in its
// rendezvous order, which is the same at every entry VM. A server keeps a few
// dozen objects, so an object that goes everywhere is known nowhere.
constexpr std::size_t kAffinityServers = 1;

// Cost of each step down an object's rendezvous order, in multiples of the work
// on a known object. It keeps the order in which an object's servers are used,
// also while the first ones are a little busier than the others.
constexpr double kAffinityCostStep = 0.5;
// All servers from this rank on are alike.
constexpr std::size_t kMaxRank = 4;

// Share of the work that a full server costs before anything waits, which
// spreads work over free servers.
constexpr double kOccupancyCostShare = 0.3;

// Cost of leaving the failure domain and the region, in ms: the round trip, and
// the bytes on links that all traffic shares.
constexpr double kOtherDomainMs = 3;
constexpr double kOtherRegionMs = 60;
constexpr double kOtherDomainMsPerKilobyte = 4;
constexpr double kOtherRegionMsPerKilobyte = 10;

// Costs of a server that fails every request, in multiples of the work.
constexpr double kFailureCostFactor = 6;

// A request waits if it should be answered within this share of its latency
// objective; a longer queue only makes every answer late. Where the work alone
// takes most of the objective, it waits for up to the second share.
constexpr double kResponseTimeShare = 0.9;
constexpr double kMinQueueTimeShare = 0.25;

// A server with a smaller load than this takes objects that it does not know.
constexpr double kMaxLoadForFresh = 0.6;

// Work before anything is observed, as a share of the latency objective.
constexpr double kDefaultWorkShare = 0.5;

bool IsRegionAllowed(const Route& route, const std::string& region) {
  return route.home_regions.empty() ||
         std::find(route.home_regions.begin(), route.home_regions.end(),
                   region) != route.home_regions.end();
}

bool HasTried(const RequestState& request, const Server& server) {
  return std::find(request.tried_servers.begin(), request.tried_servers.end(),
                   server.entry.id) != request.tried_servers.end();
}

bool IsEligible(const RoutingState& state,
                const RequestState& request,
                Server& server,
                TimePoint now) {
  return server.entry.phase == ServerPhase::kReady &&
         server.backoff_until <= now && !HasTried(request, server) &&
         !state.evacuated_domains.contains(server.entry.failure_domain) &&
         IsRegionAllowed(request.route, server.region) &&
         HasColdServerAllowance(state, server, now);
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

bool HasHandledObject(const Server& server, std::uint64_t object) {
  return std::find(server.handled_objects.begin(), server.handled_objects.end(),
                   ObjectTag(object)) != server.handled_objects.end();
}

// A number in [0, 1) that is the same at every entry VM.
double RendezvousPosition(std::uint64_t object, std::uint64_t server_hash) {
  Random generator{.state = object ^ (server_hash * 0x9e3779b97f4a7c15ULL)};
  return RandomUnit(generator);
}

double CurrentSlowness(const Server& server, TimePoint now) {
  return std::max(kMinWorkFactor, ValueAt(server.slowness, 1, now) *
                                      CurrentWorkFactor(server, now));
}

// What a request costs a server of usual speed.
struct ExpectedWork {
  double fresh_ms = 0;
  double known_ms = 0;
};

ExpectedWork EstimateWork(const RoutingState& state,
                          const RequestState& request) {
  const double default_ms =
      ToMs(request.route.latency_objective) * kDefaultWorkShare;
  ExpectedWork work{.fresh_ms = default_ms,
                    .known_ms = default_ms * kKnownObjectWorkShare};
  const ServiceState& service = state.services.at(request.service);
  const auto found = service.work.find(request.route.name);
  if (found == service.work.end())
    return work;
  const RouteWorkEstimates& observed = found->second;
  if (observed.fresh.samples > 0) {
    work.fresh_ms = observed.fresh.milliseconds;
    work.known_ms = work.fresh_ms * kKnownObjectWorkShare;
  }
  if (observed.known.samples > 0) {
    work.known_ms = observed.known.milliseconds;
    work.fresh_ms = std::max(work.fresh_ms, work.known_ms);
  }
  return work;
}

struct Candidate {
  Server* server = nullptr;
  double rendezvous_position =
      0;                 // Smaller for a server that the object prefers.
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
bool HasCapacityForFresh(const Server& server, double occupancy) {
  const double max_occupancy = server.entry.slots * kMaxLoadForFresh;
  return occupancy < max_occupancy && server.load < kMaxLoadForFresh;
}

bool Admits(const RequestState& request,
            const Server& server,
            double occupancy,
            const Cost& cost) {
  if (request.route.sticky && cost.cache_affinity == CacheAffinity::kFresh &&
      !HasCapacityForFresh(server, occupancy))
    return false;
  const double objective_ms = ToMs(request.route.latency_objective);
  return cost.queue_ms <= objective_ms * kMinQueueTimeShare ||
         cost.expected_ms <= objective_ms * kResponseTimeShare;
}

CacheAffinity EstimateCacheAffinity(const RequestState& request,
                                    const Candidate& candidate) {
  if (!request.route.sticky)
    return CacheAffinity::kFresh;
  if (HasHandledObject(*candidate.server, request.object))
    return CacheAffinity::kKnown;
  return candidate.rank < kAffinityServers ? CacheAffinity::kShared
                                           : CacheAffinity::kFresh;
}

Cost EstimateCost(const RoutingState& state,
                  const RequestState& request,
                  const Candidate& candidate,
                  const ExpectedWork& work,
                  TimePoint now) {
  const Server& server = *candidate.server;
  const double slowness = CurrentSlowness(server, now);
  const double slots = std::max<std::uint32_t>(server.entry.slots, 1);
  const double occupancy = EstimateOccupancy(server, now);
  const double waiting = std::max(0.0, occupancy + 1 - slots);
  // Most of what waits concerns known objects.
  const double queue_ms = waiting / slots * work.known_ms * slowness;
  const CacheAffinity cache_affinity =
      EstimateCacheAffinity(request, candidate);
  const bool known = cache_affinity != CacheAffinity::kFresh;
  const double service_time_ms =
      (known ? work.known_ms : work.fresh_ms) * slowness;
  const double affinity_ms = request.route.sticky
                                 ? static_cast<double>(candidate.rank) *
                                       work.known_ms * kAffinityCostStep
                                 : 0;
  const double occupancy_ms =
      std::min(1.0, occupancy / slots) * work.known_ms * kOccupancyCostShare;
  const double failure_ms =
      ValueAt(server.failures, 0, now) * work.fresh_ms * kFailureCostFactor;
  Cost cost{.total_ms = DistanceMs(state, request, server) + queue_ms +
                        service_time_ms + affinity_ms + occupancy_ms +
                        failure_ms,
            .expected_ms = queue_ms + service_time_ms,
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
    if (IsEligible(state, request, server, now))
      by_region[server.region].push_back(
          {&server, RendezvousPosition(request.object, server.hash)});
  }
  return by_region;
}

void AssignRanks(std::vector<Candidate>& candidates) {
  const std::size_t count = std::min(kMaxRank, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const Candidate& a, const Candidate& b) {
                      return a.rendezvous_position < b.rendezvous_position;
                    });
  for (std::size_t i = 0; i < candidates.size(); ++i)
    candidates[i].rank = std::min(i, kMaxRank);
}

ServerChoice MakeServerChoice(Server& server, const Cost& cost, TimePoint now) {
  ServerChoice choice{.server = &server,
                      .inputs = {.cache_affinity = cost.cache_affinity,
                                 .cost_ms = cost.total_ms,
                                 .in_flight = server.in_flight,
                                 .slowness = ValueAt(server.slowness, 1, now),
                                 .work_factor = CurrentWorkFactor(server, now)},
                      .expected_duration = FromMs(cost.expected_ms),
                      .work_ms = cost.work_ms,
                      .is_queued = cost.queue_ms > 0,
                      .admitted = cost.admits,
                      .cache_affinity = cost.cache_affinity};
  if (server.report) {
    choice.inputs.reported = server.report->running + server.report->waiting;
    choice.inputs.report_age_ms = (now - server.reported_at).count() / 1000;
  }
  return choice;
}

}  // namespace

ServerChoice ChooseServer(RoutingState& state,
                          const RequestState& request,
                          TimePoint now) {
  const auto service = state.services.find(request.service);
  if (service == state.services.end())
    return {};
  const ExpectedWork work = EstimateWork(state, request);
  RegionCosts costs;
  std::map<std::string, std::pair<Server*, Cost>> best_by_region;
  for (auto& [region, candidates] :
       CandidatesByRegion(state, request, service->second, now)) {
    AssignRanks(candidates);
    std::pair<Server*, Cost>& best = best_by_region[region];
    for (const Candidate& candidate : candidates) {
      const Cost cost = EstimateCost(state, request, candidate, work, now);
      if (best.first == nullptr || IsBetter(cost, best.second))
        best = {candidate.server, cost};
    }
    costs.push_back({region, best.second.total_ms, best.second.admits});
  }
  if (costs.empty())
    return {};
  const auto& [server, cost] =
      best_by_region.at(ChooseRegion(state, request, costs, now));
  return MakeServerChoice(*server, cost, now);
}

}  // namespace cicadadrum::routing
