// Estimates from attempts, and rate limits of cold servers.

#include "observations.h"

#include <algorithm>
#include <cmath>

#include "fleet_shares.h"

namespace cicadadrum::routing {

namespace {

// Half-life of a DecayingValue that receives no samples.
constexpr double kHalfLifeMs = 2000;

// Weights of one sample in the moving averages.
constexpr double kSlownessWeight = 0.2;
constexpr double kFailureWeight = 0.3;
constexpr double kWorkWeight = 0.05;
constexpr double kLoadWeight = 0.15;
// Upper bound of a slowness sample, so that a single long request does not make
// its server appear slow for long.
constexpr double kMaxSlowness = 6;
constexpr double kMinWorkMs = 1;
// Upper bound of a work sample, in multiples of the route's latency objective.
constexpr double kMaxWorkPerObjective = 2;

// Back-off of a server that could not be reached. The minimum is doubled with
// each consecutive failure.
constexpr Duration kMinBackoff = Milliseconds(250);
constexpr Duration kMaxBackoff = Seconds(4);
constexpr std::uint32_t kFailuresToBackOff = 2;

// How long idle connections to a service's servers are not reused after a
// reused connection was lost.
constexpr Duration kConnectionReuseSuspension = Seconds(5);

// Number of objects per server that are assumed to be in its cache. Servers
// cache a few dozen objects, so fewer than that are assumed.
constexpr std::size_t kTrackedObjectsPerServer = 24;

// Half-life of the weight of a load report, in ms. A VM that is slowed down by
// its neighbours stays slow for some 100 ms.
constexpr double kReportHalfLifeMs = 500;

void RemoveUpTo(std::deque<TimePoint>& times, TimePoint cutoff) {
  while (!times.empty() && times.front() <= cutoff)
    times.pop_front();
}

void RemoveOne(std::deque<TimePoint>& times, TimePoint time) {
  const auto found = std::find(times.begin(), times.end(), time);
  if (found != times.end())
    times.erase(found);
}

void StartBackoff(Server& server, TimePoint now) {
  const std::uint32_t doublings =
      std::min<std::uint32_t>(server.consecutive_failures, 6);
  const Duration backoff =
      std::min(kMaxBackoff, kMinBackoff * (1 << doublings));
  server.backoff_until = now + backoff;
}

// Adds a sample to the mean. The first samples have the largest weight.
void AddWorkSample(WorkEstimate& work, double sample_ms, double min_weight) {
  ++work.samples;
  const double weight = std::max(min_weight, 1.0 / work.samples);
  work.milliseconds += (sample_ms - work.milliseconds) * weight;
}

// Whether all slots were in use and requests were waiting at the server when
// the attempt ended. Requests of other entry VMs may then have run first, so
// the duration of the attempt says little about the work on its request.
bool WasServerSaturated(const Server& server, const AttemptEnded& end) {
  return end.report && end.report->waiting > 0 &&
         end.report->running >= server.entry.slots;
}

// Attributes the ratio of observed to expected duration to both the work of the
// route and the slowness of the server. Samples are absolute values instead of
// corrections, because many requests in flight have an expectation that was
// computed before the estimates last changed.
void RecordDuration(RoutingState& state,
                    Server& server,
                    const RequestState& request,
                    const AttemptEnded& end,
                    TimePoint now) {
  const double duration_ms = std::max(kMinWorkMs, ToMs(now - request.sent_at));
  // The slowdown by the VM's neighbours is a property of neither the work nor
  // the server.
  const double work_factor =
      end.report ? end.report->work_factor : request.expected_work_factor;
  const double expected_ms =
      std::max(kMinWorkMs, ToMs(request.expected_duration)) *
      std::max(work_factor, kMinWorkFactor) /
      std::max(request.expected_work_factor, kMinWorkFactor);
  const double ratio = duration_ms / expected_ms;
  const double slowness =
      std::min(kMaxSlowness, request.expected_slowness * ratio);
  if (WasServerSaturated(server, end))
    return AddSample(server.slowness, 1, slowness, kSlownessWeight / 2, now);
  const double max_work_ms =
      ToMs(request.route.latency_objective) * kMaxWorkPerObjective;
  const double work_ms =
      std::min(max_work_ms, request.expected_work_ms * ratio);
  RouteWorkEstimates& work =
      state.services[request.service].work[request.route.name];
  switch (request.cache_affinity) {
    case CacheAffinity::kKnown:
      AddWorkSample(work.known, work_ms, kWorkWeight);
      return AddSample(server.slowness, 1, slowness, kSlownessWeight, now);
    case CacheAffinity::kFresh:
      // The server may have cached the object after all, because of requests
      // from other entry VMs, so shorter durations have less weight than longer
      // ones.
      AddWorkSample(work.fresh, work_ms,
                    ratio > 1 ? kWorkWeight * 2 : kWorkWeight / 5);
      return AddSample(server.slowness, 1, slowness, kSlownessWeight, now);
    case CacheAffinity::kShared:
      // The attempt may have been the first request for the object at the
      // server.
      AddWorkSample(work.shared, work_ms, kWorkWeight);
      return AddSample(server.slowness, 1, slowness, kSlownessWeight / 4, now);
  }
}

}  // namespace

double ValueAt(const DecayingValue& decaying, double neutral, TimePoint now) {
  const double age_ms = ToMs(now - decaying.updated_at);
  return neutral +
         (decaying.value - neutral) * std::exp2(-age_ms / kHalfLifeMs);
}

void AddSample(DecayingValue& decaying,
               double neutral,
               double sample,
               double weight,
               TimePoint now) {
  const double current = ValueAt(decaying, neutral, now);
  decaying.value = current + (sample - current) * weight;
  decaying.updated_at = now;
}

void RecordResponse(Server& server, TimePoint at) {
  if (at <= server.last_response_at)
    return;
  server.last_response_at = at;
  server.consecutive_failures = 0;
  server.backoff_until = std::min(server.backoff_until, at);
}

void RecordUnreachable(Server& server, TimePoint now) {
  ++server.consecutive_failures;
  StartBackoff(server, now);
}

void ApplyLoadReport(Server& server, const LoadReport& report, TimePoint at) {
  server.report = report;
  server.reported_at = at;
  server.in_flight_at_report = server.in_flight;
  const double load = static_cast<double>(report.running + report.waiting) /
                      std::max<std::uint32_t>(server.entry.slots, 1);
  server.load =
      server.load < 0 ? load : server.load + (load - server.load) * kLoadWeight;
}

void RecordHandledObject(Server& server, std::uint32_t object) {
  std::erase(server.handled_objects, object);
  if (server.handled_objects.size() >= kTrackedObjectsPerServer)
    server.handled_objects.erase(server.handled_objects.begin());
  server.handled_objects.push_back(object);
}

double ReportWeight(const Server& server, TimePoint now) {
  return std::exp2(-ToMs(now - server.reported_at) / kReportHalfLifeMs);
}

double CurrentWorkFactor(const Server& server, TimePoint now) {
  if (!server.report)
    return 1;
  return 1 + (server.report->work_factor - 1) * ReportWeight(server, now);
}

bool HasColdServerAllowance(const RoutingState& state,
                            Server& server,
                            TimePoint now) {
  if (now >= server.cold_until)
    return true;
  if (IsFleetSizeUnverified(state, now))
    return false;
  const ServiceRule* rule = FindService(state.table, server.entry.service);
  if (rule == nullptr)
    return false;
  const FleetBounds& bounds = state.options.bounds;
  const double fleet_allowance =
      (rule->cold_requests_per_second * bounds.cold_load_factor +
       bounds.cold_extra) *
      kBoundUseShare;
  const double entry_allowance =
      std::floor(fleet_allowance / LastingFleetSize(state, now));
  RemoveUpTo(server.recent_sends, now - kColdRateWindow);
  const auto sent = static_cast<double>(server.recent_sends.size());
  if (entry_allowance >= 1)
    return sent < entry_allowance;
  // The bound allows less than one request for each entry VM, so only some of
  // the entry VMs may use the server.
  return sent < 1 && static_cast<double>(RankForServer(state, server, now)) <
                         std::floor(fleet_allowance);
}

std::uint32_t CountRecentSends(const Server& server, TimePoint now) {
  const std::deque<TimePoint>& sends = server.recent_sends;
  const auto first =
      std::upper_bound(sends.begin(), sends.end(), now - kColdRateWindow);
  return static_cast<std::uint32_t>(sends.end() - first);
}

void RecordCold(Server& server, Duration cold_left, TimePoint now) {
  server.cold_until = std::max(server.cold_until, now + cold_left);
  server.handled_objects.clear();
  server.report.reset();
  server.load = -1;
}

void RecordAttemptStart(Server& server,
                        const RequestState& request,
                        TimePoint now) {
  ++server.in_flight;
  RemoveUpTo(server.recent_sends, now - kColdRateWindow);
  server.recent_sends.push_back(now);
  if (!request.route.sticky)
    return;
  RecordHandledObject(server, ObjectTag(request.object));
}

bool RecountSend(const RoutingState& state,
                 Server& server,
                 const RequestState& request,
                 TimePoint now) {
  RemoveOne(server.recent_sends, request.attempt_count.at);
  const bool is_allowed = HasColdServerAllowance(state, server, now);
  server.recent_sends.push_back(is_allowed ? now : request.attempt_count.at);
  return is_allowed;
}

void RecordAttemptEnd(RoutingState& state,
                      Server& server,
                      const RequestState& request,
                      const AttemptEnded& end,
                      TimePoint now) {
  if (server.in_flight > 0)
    --server.in_flight;
  if (end.report)
    ApplyLoadReport(server, *end.report, now);
  if (end.cold_left > Duration::zero())
    server.cold_until = std::max(server.cold_until, now + end.cold_left);
  switch (end.outcome) {
    case ServerOutcome::kSucceeded:
      RecordResponse(server, now);
      AddSample(server.failures, 0, 0, kFailureWeight, now);
      return RecordDuration(state, server, request, end, now);
    case ServerOutcome::kFailed:
    case ServerOutcome::kRejected:
    case ServerOutcome::kInvalid:
      AddSample(server.failures, 0, 1, kFailureWeight, now);
      return;
    case ServerOutcome::kWrongServer:
      server.backoff_until = now + kMaxBackoff;
      return;
    case ServerOutcome::kCold:
      RemoveOne(server.recent_sends, request.attempt_count.at);
      RecordCold(server, end.cold_left, now);
      return;
    case ServerOutcome::kBusy:
    case ServerOutcome::kWithheld:
      // Like a full queue, this is no failure of the server.
      RemoveOne(server.recent_sends, request.attempt_count.at);
      return;
    case ServerOutcome::kLostUnused:
      state.services[request.service].connection_reuse_suspended_until =
          now + kConnectionReuseSuspension;
      AddSample(server.failures, 0, 1, kFailureWeight / 3, now);
      return;
    case ServerOutcome::kNotSent:
      AddSample(server.failures, 0, 1, kFailureWeight, now);
      return RecordUnreachable(server, now);
    case ServerOutcome::kLost:
    case ServerOutcome::kMalformed:
    case ServerOutcome::kTimedOut:
      AddSample(server.failures, 0, 1, kFailureWeight, now);
      if (++server.consecutive_failures >= kFailuresToBackOff)
        StartBackoff(server, now);
      return;
  }
}

}  // namespace cicadadrum::routing
