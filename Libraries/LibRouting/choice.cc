// Computes the cost of each server for a request.

#include "choice.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "admission.h"
#include "advice.h"
#include "home_regions.h"
#include "observations.h"
#include "region_shares.h"
#include "server_limit.h"
#include "transfers.h"

namespace cicadadrum::routing {

namespace {

// Work on an object that the server has handled recently, as a share of the
// work on any other object. Used until both kinds of work have been observed.
constexpr double kKnownObjectWorkShare = 0.45;

// Number of servers of a region that are expected to cache an object: the first
// ones in the object's rendezvous order, which is the same at every entry VM. A
// server caches a few dozen objects, so an object that is sent to all servers
// would soon be evicted from each of them.
constexpr std::size_t kAffinityServers = 1;

// Cost of each step down an object's rendezvous order, in multiples of the work
// on a known object. The step preserves the order in which an object's servers
// are used even while the first servers are slightly busier than the others.
constexpr double kAffinityCostStep = 0.5;
// All servers from this rank on have the same affinity cost.
constexpr std::size_t kMaxRank = 4;

// Cost of a server whose slots are all in use, as a share of the work on a
// known object. The cost rises with the occupancy even before requests wait,
// which spreads the load over idle servers.
constexpr double kOccupancyCostShare = 0.3;

// Cost of a server in another failure domain or another region, in ms: the
// round trip, and the bytes sent over links that all traffic shares.
constexpr double kOtherDomainMs = 3;
constexpr double kOtherRegionMs = 60;
constexpr double kOtherDomainMsPerKilobyte = 4;
constexpr double kOtherRegionMsPerKilobyte = 10;
// The same for a response. Unlike a request's body, its bytes do not delay the
// server's work, so what counts is the share of the links that they take.
constexpr double kOtherDomainMsPerResponseKilobyte = 0.05;
constexpr double kOtherRegionMsPerResponseKilobyte = 0.5;

// Cost of a server that fails every request, in multiples of the work on an
// object that the server has not handled recently.
constexpr double kFailureCostFactor = 6;

// A server receives objects that it has not handled recently only while its
// load is below this share of its slots.
constexpr double kMaxLoadForFresh = 0.6;

// Work on a request before any has been observed, as a share of the latency
// objective.
constexpr double kDefaultWorkShare = 0.5;

bool HasTried(const RequestState& request, const Server& server) {
  return std::find(request.tried_servers.begin(), request.tried_servers.end(),
                   server.entry.id) != request.tried_servers.end();
}

bool IsEligible(const RoutingState& state,
                const RequestState& request,
                Server& server,
                TimePoint now) {
  return IsInUse(state, server, now) && !HasTried(request, server) &&
         IsRegionAllowed(request.route, server.region) &&
         HasColdServerAllowance(state, server, now) &&
         LimitAllowsAt(state, server, now) <= now;
}

// Estimates the number of requests at the server. The number sent by this entry
// VM is known; the number sent by other entry VMs is taken from the last load
// report, whose weight falls with its age.
double EstimateOccupancy(const Server& server, TimePoint now) {
  if (!server.report)
    return server.in_flight;
  const double reported = server.report->running + server.report->waiting;
  const double others = std::max(0.0, reported - server.in_flight_at_report);
  return server.in_flight + others * ReportWeight(server, now);
}

double DistanceMs(const RoutingState& state,
                  const RequestState& request,
                  double response_bytes,
                  const Server& server) {
  constexpr double kKilobyte = 1024;
  const double sent = static_cast<double>(request.body_bytes) / kKilobyte;
  const double received = response_bytes / kKilobyte;
  if (server.region != state.options.region)
    return kOtherRegionMs + sent * kOtherRegionMsPerKilobyte +
           received * kOtherRegionMsPerResponseKilobyte;
  if (server.entry.failure_domain != state.options.failure_domain)
    return kOtherDomainMs + sent * kOtherDomainMsPerKilobyte +
           received * kOtherDomainMsPerResponseKilobyte;
  return 0;
}

bool HasHandledObject(const Server& server, std::uint64_t object) {
  return std::find(server.handled_objects.begin(), server.handled_objects.end(),
                   ObjectTag(object)) != server.handled_objects.end();
}

// Returns the object's rendezvous hash for the server: a number in [0, 1) that
// is the same at every entry VM.
double RendezvousPosition(std::uint64_t object, std::uint64_t server_hash) {
  Random generator{.state = object ^ (server_hash * 0x9e3779b97f4a7c15ULL)};
  return RandomUnit(generator);
}

double CurrentSlowness(const Server& server, TimePoint now) {
  return std::max(kMinWorkFactor, ValueAt(server.slowness, 1, now) *
                                      CurrentWorkFactor(server, now));
}

// Expected duration of the work on a request at a server of usual speed, on an
// object that the server has not handled recently (fresh) or has (known), and
// what the server will send.
struct ExpectedWork {
  double fresh_ms = 0;
  double known_ms = 0;
  // Work at a server that receives the object first and is not known to have
  // handled it.
  double shared_ms = 0;
  // Mean over the requests that wait at the service's servers, of all routes.
  double queued_ms = 0;
  double response_bytes = 0;  // Size of the response's body.
};

// Returns the mean work on the requests of the service that servers have
// handled, or nothing before the first one. A queue contains requests of all
// routes.
std::optional<double> MeanWorkMs(const ServiceState& service) {
  double total_ms = 0;
  double samples = 0;
  for (const auto& [route, work] : service.work) {
    for (const WorkEstimate& estimate : {work.known, work.fresh, work.shared}) {
      total_ms += estimate.milliseconds * estimate.samples;
      samples += estimate.samples;
    }
  }
  return samples > 0 ? std::optional(total_ms / samples) : std::nullopt;
}

ExpectedWork EstimateWork(const RoutingState& state,
                          const RequestState& request) {
  const double default_ms =
      ToMs(request.route.latency_objective) * kDefaultWorkShare;
  ExpectedWork work{.fresh_ms = default_ms,
                    .known_ms = default_ms * kKnownObjectWorkShare,
                    .shared_ms = default_ms * kKnownObjectWorkShare,
                    .response_bytes = static_cast<double>(
                        ExpectedResponseBytes(state, request))};
  const ServiceState& service = state.services.at(request.service);
  work.queued_ms = MeanWorkMs(service).value_or(work.known_ms);
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
  work.shared_ms = work.known_ms;
  if (observed.shared.samples > 0)
    work.shared_ms =
        std::clamp(observed.shared.milliseconds, work.known_ms, work.fresh_ms);
  return work;
}

double WorkFor(CacheAffinity cache_affinity, const ExpectedWork& work) {
  switch (cache_affinity) {
    case CacheAffinity::kFresh:
      return work.fresh_ms;
    case CacheAffinity::kShared:
      return work.shared_ms;
    case CacheAffinity::kKnown:
      return work.known_ms;
  }
  return work.fresh_ms;
}

// A server that may receive the request.
struct Candidate {
  Server* server = nullptr;
  // The object's rendezvous hash for the server; servers with a smaller hash
  // are preferred.
  double rendezvous_position = 0;
  std::size_t rank = 0;  // Position in the rendezvous order, up to kMaxRank.
};

// The cost of one server for a request.
struct Cost {
  double total_ms = 0;     // Value by which servers are compared.
  double expected_ms = 0;  // Estimated time in the queue and of the work.
  double queue_ms = 0;     // Estimated time in the queue.
  double max_wait_ms = 0;  // Time in the queue that the objective allows.
  double work_ms = 0;      // Work at a server of usual speed.
  // The server has enough free capacity to respond in good time.
  bool admits = false;
  CacheAffinity cache_affinity = CacheAffinity::kFresh;
};

// Work on an object that the server has not handled recently takes several
// times as long. On a server with little free capacity this work would displace
// the work on cached objects, and an overloaded service would stay overloaded
// because no server could keep its objects cached.
bool HasCapacityForFresh(const Server& server, double occupancy) {
  const double max_occupancy = server.entry.slots * kMaxLoadForFresh;
  return occupancy < max_occupancy && server.load < kMaxLoadForFresh;
}

bool Admits(const RequestState& request,
            const Server& server,
            double occupancy,
            const Cost& cost,
            double priority_wait_ms) {
  if (request.route.sticky && cost.cache_affinity == CacheAffinity::kFresh &&
      !HasCapacityForFresh(server, occupancy))
    return false;
  return cost.queue_ms <= std::min(cost.max_wait_ms, priority_wait_ms);
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
                  double priority_wait_ms,
                  TimePoint now) {
  const Server& server = *candidate.server;
  const double slowness = CurrentSlowness(server, now);
  const double slots = std::max<std::uint32_t>(server.entry.slots, 1);
  const double occupancy = EstimateOccupancy(server, now);
  const double waiting = std::max(0.0, occupancy + 1 - slots);
  const double queue_ms = waiting / slots * work.queued_ms * slowness;
  const CacheAffinity cache_affinity =
      EstimateCacheAffinity(request, candidate);
  const bool known = cache_affinity != CacheAffinity::kFresh;
  // The wait is limited as if the object were cached: the first request for an
  // object has to run somewhere, and the servers' caches are cold after a loss
  // of power.
  const double limit_work_ms =
      (known ? work.known_ms : work.fresh_ms) * slowness;
  const double work_ms = WorkFor(cache_affinity, work);
  const double service_time_ms = work_ms * slowness;
  const double affinity_ms = request.route.sticky
                                 ? static_cast<double>(candidate.rank) *
                                       work.known_ms * kAffinityCostStep
                                 : 0;
  const double occupancy_ms =
      std::min(1.0, occupancy / slots) * work.known_ms * kOccupancyCostShare;
  const double failure_ms =
      ValueAt(server.failures, 0, now) * work.fresh_ms * kFailureCostFactor;
  Cost cost{
      .total_ms = DistanceMs(state, request, work.response_bytes, server) +
                  queue_ms + service_time_ms + affinity_ms + occupancy_ms +
                  failure_ms,
      .expected_ms = queue_ms + service_time_ms,
      .queue_ms = queue_ms,
      .max_wait_ms = MaxWaitMs(request, limit_work_ms, now),
      .work_ms = work_ms,
      .cache_affinity = cache_affinity};
  cost.admits = Admits(request, server, occupancy, cost, priority_wait_ms);
  return cost;
}

// Whether cost `a` is better than cost `b`. Servers that admit the request come
// before servers that do not.
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

ServerChoice MakeServerChoice(Server& server,
                              const RequestState& request,
                              const ExpectedWork& work,
                              const Cost& cost,
                              TimePoint now) {
  ServerChoice choice{
      .server = &server,
      .inputs = {.kind = request.route.kind,
                 .cache_affinity = cost.cache_affinity,
                 .expected_response_bytes =
                     static_cast<std::uint64_t>(work.response_bytes),
                 .cost_ms = cost.total_ms,
                 .in_flight = server.in_flight,
                 .slowness = ValueAt(server.slowness, 1, now),
                 .work_factor = CurrentWorkFactor(server, now),
                 .server_started_unix_ms = server.entry.started_unix_ms,
                 .row_age_ms = ToWholeMs(now - server.entry_applied_at),
                 .cold_left_ms = ToWholeMs(
                     std::max(Duration::zero(), server.cold_until - now)),
                 .recent_sends = CountRecentSends(server, now),
                 .route = request.route.name,
                 .server_region = server.region,
                 .configuration = request.configuration},
      .expected_duration = FromMs(cost.expected_ms),
      .work_ms = cost.work_ms,
      .is_queued = cost.queue_ms > 0,
      .admitted = cost.admits,
      .cache_affinity = cost.cache_affinity};
  if (server.report) {
    choice.inputs.reported = server.report->running + server.report->waiting;
    choice.inputs.report_age_ms = ToWholeMs(now - server.reported_at);
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
  const double priority_wait_ms = DrawPriorityWaitMs(state, request, now);
  RegionCosts costs;
  std::map<std::string, std::pair<Server*, Cost>> best_by_region;
  for (auto& [region, candidates] :
       CandidatesByRegion(state, request, service->second, now)) {
    AssignRanks(candidates);
    std::pair<Server*, Cost>& best = best_by_region[region];
    for (const Candidate& candidate : candidates) {
      const Cost cost =
          EstimateCost(state, request, candidate, work, priority_wait_ms, now);
      if (best.first == nullptr || IsBetter(cost, best.second))
        best = {candidate.server, cost};
    }
    costs.push_back({region, best.second.total_ms, best.second.admits});
  }
  if (costs.empty())
    return {};
  const auto& [server, cost] =
      best_by_region.at(ChooseRegion(state, request, costs, now));
  if (request.attempts == 0)
    RecordDemand(service->second, request.priority, cost.max_wait_ms, now);
  return MakeServerChoice(*server, request, work, cost, now);
}

std::optional<TimePoint> FirstPauseEnd(const RoutingState& state,
                                       const RequestState& request,
                                       TimePoint now) {
  const auto service = state.services.find(request.service);
  if (service == state.services.end())
    return std::nullopt;
  bool has_pause = false;
  TimePoint first_end = kNever;
  for (const std::string& id : service->second.servers) {
    const Server& server = state.servers.at(id);
    const TimePoint end =
        std::max(server.backoff_until, server.advice.paused_until);
    if (!IsRegionAllowed(request.route, server.region) ||
        !IsInUse(state, server, std::max(now, end)))
      continue;
    if (end <= now)
      return std::nullopt;
    has_pause = has_pause || server.advice.paused_until > now;
    first_end = std::min(first_end, end);
  }
  if (!has_pause)
    return std::nullopt;
  return first_end;
}

bool IsHeldByLimits(RoutingState& state,
                    const RequestState& request,
                    TimePoint now) {
  const auto service = state.services.find(request.service);
  if (service == state.services.end())
    return false;
  return std::any_of(service->second.servers.begin(),
                     service->second.servers.end(), [&](const std::string& id) {
                       Server& server = state.servers.at(id);
                       return server.limit && IsInUse(state, server, now) &&
                              !HasTried(request, server) &&
                              IsRegionAllowed(request.route, server.region) &&
                              LimitAllowsAt(state, server, now) > now;
                     });
}

}  // namespace cicadadrum::routing
