// Learning from attempts, cold servers and the retry budget.

#include "observations.h"

#include <algorithm>
#include <cmath>

#include "cicadadrum/base/hash.h"

namespace cicadadrum::routing {

namespace {

constexpr double kHalfLifeMs = 2000;  // Of observations without samples.

constexpr double kSlownessWeight = 0.2;
constexpr double kFailureWeight = 0.3;
constexpr double kWorkWeight = 0.05;
constexpr double kLoadWeight = 0.15;
// One request with long work must not make its server look slow for long.
constexpr double kMaxSlowness = 6;
constexpr double kShortestWorkMs = 1;
// Of the latency objective: the mean work on a route is taken to be no longer.
constexpr double kLongestWorkShare = 2;

// A server that could not be reached rests for this long, doubled with each
// failure in a row.
constexpr Duration kShortestRest = Milliseconds(250);
constexpr Duration kLongestRest = Seconds(4);
constexpr std::uint32_t kFailuresToRest = 2;

// Other entry VMs may believe in a smaller fleet for a moment, so not all of a
// shared bound is used.
constexpr double kShareMargin = 0.75;

// How long kept connections to a service are not trusted after one was lost.
constexpr Duration kDistrustTime = Seconds(5);

constexpr Duration kColdWindow = Milliseconds(1050);

// Servers keep a few dozen objects ready; fewer are taken to be known.
constexpr std::size_t kObjectsPerServer = 24;

// Work on a VM that its neighbours slow down is slow for some 100 ms, so a
// report of it loses half of its weight in this time.
constexpr double kReportHalfLifeMs = 500;

// After a start, the other members become known within this time. Until then
// the number of entry VMs that share a bound is in doubt.
constexpr Duration kDoubtTime = Seconds(3);

// How long members that have vanished still count.
constexpr Duration kFleetMemory = Seconds(20);

bool IsFleetInDoubt(const RoutingState& state, TimePoint now) {
  return now - state.started_at < kDoubtTime;
}

double FleetSize(const RoutingState& state) {
  return static_cast<double>(std::max(state.fleet_size, state.members.size()));
}

// Position of this entry VM among the live ones in the server's rendezvous
// order.
std::size_t RankForServer(const RoutingState& state, const Server& server) {
  const std::uint64_t own =
      RendezvousScore(server.entry.id, state.options.name);
  std::size_t rank = 0;
  for (const FleetMember& member : state.members) {
    if (RendezvousScore(server.entry.id, member.name) > own)
      ++rank;
  }
  return rank;
}

void ForgetOld(std::deque<TimePoint>& times, TimePoint before) {
  while (!times.empty() && times.front() <= before)
    times.pop_front();
}

void Rest(Server& server, TimePoint now) {
  const std::uint32_t doublings =
      std::min<std::uint32_t>(server.failures_in_row, 6);
  const Duration rest =
      std::min(kLongestRest, kShortestRest * (1 << doublings));
  server.rests_until = now + rest;
}

// The first samples count most.
void AddWork(WorkEstimate& work, double sample_ms, double usual_weight) {
  ++work.samples;
  const double weight = std::max(usual_weight, 1.0 / work.samples);
  work.milliseconds += (sample_ms - work.milliseconds) * weight;
}

// Requests that other entry VMs sent may have been ahead of this one, so its
// time says little about its own work.
bool WasSaturated(const Server& server, const AttemptEnded& end) {
  return end.report && end.report->waiting > 0 &&
         end.report->running >= server.entry.slots;
}

// How far the expectation was off is put down to the work and to the server.
// Samples are absolute, because many requests are under way with an expectation
// that was made before the estimates last changed.
void ObserveTime(RoutingState& state,
                 Server& server,
                 const RequestState& request,
                 const AttemptEnded& end,
                 TimePoint now) {
  const double took_ms = std::max(kShortestWorkMs, ToMs(now - request.sent_at));
  // What the VM's neighbours take is no property of the work or the server.
  const double work_factor =
      end.report ? end.report->work_factor : request.expected_work_factor;
  const double expected_ms =
      std::max(kShortestWorkMs, ToMs(request.expected)) *
      std::max(work_factor, kShortestFactor) /
      std::max(request.expected_work_factor, kShortestFactor);
  const double ratio = took_ms / expected_ms;
  const double slowness =
      std::min(kMaxSlowness, request.expected_slowness * ratio);
  if (WasSaturated(server, end))
    return AddSample(server.slowness, 1, slowness, kSlownessWeight / 2, now);
  const double longest_ms =
      ToMs(request.route.latency_objective) * kLongestWorkShare;
  const double work_ms = std::min(longest_ms, request.expected_work_ms * ratio);
  RouteWork& work = state.services[request.service].work[request.route.name];
  switch (request.cache_affinity) {
    case CacheAffinity::kKnown:
      AddWork(work.known, work_ms, kWorkWeight);
      return AddSample(server.slowness, 1, slowness, kSlownessWeight, now);
    case CacheAffinity::kFresh:
      // Many of these objects are known there after all, thanks to other entry
      // VMs, so shorter times count less than longer ones.
      AddWork(work.fresh, work_ms,
              ratio > 1 ? kWorkWeight * 2 : kWorkWeight / 5);
      return AddSample(server.slowness, 1, slowness, kSlownessWeight, now);
    case CacheAffinity::kShared:
      // It may have been the first request for the object there.
      return AddSample(server.slowness, 1, slowness, kSlownessWeight / 4, now);
  }
}

}  // namespace

double ValueAt(const DecayingValue& decaying, double neutral, TimePoint now) {
  const double age_ms = ToMs(now - decaying.at);
  return neutral +
         (decaying.value - neutral) * std::exp2(-age_ms / kHalfLifeMs);
}

void AddSample(DecayingValue& decaying,
               double neutral,
               double sample,
               double weight,
               TimePoint now) {
  const double present = ValueAt(decaying, neutral, now);
  decaying.value = present + (sample - present) * weight;
  decaying.at = now;
}

void NoteAnswer(Server& server, TimePoint at) {
  if (at <= server.answered_at)
    return;
  server.answered_at = at;
  server.failures_in_row = 0;
  server.rests_until = std::min(server.rests_until, at);
}

void NoteUnreachable(Server& server, TimePoint now) {
  ++server.failures_in_row;
  Rest(server, now);
}

void TakeReport(Server& server, const LoadReport& report, TimePoint at) {
  server.report = report;
  server.reported_at = at;
  server.in_flight_at_report = server.in_flight;
  const double load = static_cast<double>(report.running + report.waiting) /
                      std::max<std::uint32_t>(server.entry.slots, 1);
  server.load =
      server.load < 0 ? load : server.load + (load - server.load) * kLoadWeight;
}

void RememberObject(Server& server, std::uint32_t object) {
  std::erase(server.objects, object);
  if (server.objects.size() >= kObjectsPerServer)
    server.objects.erase(server.objects.begin());
  server.objects.push_back(object);
}

double ReportWeight(const Server& server, TimePoint now) {
  return std::exp2(-ToMs(now - server.reported_at) / kReportHalfLifeMs);
}

double WorkFactorOf(const Server& server, TimePoint now) {
  if (!server.report)
    return 1;
  return 1 + (server.report->work_factor - 1) * ReportWeight(server, now);
}

bool HasColdAllowance(const RoutingState& state,
                      Server& server,
                      TimePoint now) {
  if (now >= server.cold_until)
    return true;
  if (IsFleetInDoubt(state, now))
    return false;
  const ServiceRule* rule = FindService(state.table, server.entry.service);
  if (rule == nullptr)
    return false;
  const FleetBounds& bounds = state.options.bounds;
  const double fleet =
      (rule->cold_requests_per_second * bounds.cold_load_factor +
       bounds.cold_extra) *
      kShareMargin;
  const double own = std::floor(fleet / FleetSize(state));
  ForgetOld(server.recent_sends, now - kColdWindow);
  const auto sent = static_cast<double>(server.recent_sends.size());
  if (own >= 1)
    return sent < own;
  // The bound is too small for every entry VM, so only some may use the server.
  return sent < 1 &&
         static_cast<double>(RankForServer(state, server)) < std::floor(fleet);
}

void CountSend(ServiceState& service,
               const FleetBounds& bounds,
               bool retry,
               TimePoint now) {
  service.sends.emplace_back(now, retry);
  ++(retry ? service.retries_in_window : service.requests_in_window);
  while (service.sends.front().first <= now - bounds.retry_window) {
    const bool old_retry = service.sends.front().second;
    --(old_retry ? service.retries_in_window : service.requests_in_window);
    service.sends.pop_front();
  }
}

bool HasRetryAllowance(const RoutingState& state,
                       const std::string& service,
                       TimePoint now) {
  const FleetBounds& bounds = state.options.bounds;
  const ServiceState& present = state.services.at(service);
  const double extra =
      IsFleetInDoubt(state, now) ? 0 : bounds.retry_extra / FleetSize(state);
  const double allowed =
      (present.requests_in_window * bounds.retry_ratio + extra) * kShareMargin;
  return present.retries_in_window + 1 <= allowed;
}

void ObserveFleetSize(RoutingState& state, TimePoint now) {
  const bool forgotten = now - state.fleet_size_at >= kFleetMemory;
  if (state.members.size() < state.fleet_size && !forgotten)
    return;
  state.fleet_size = state.members.size();
  state.fleet_size_at = now;
}

void ObserveSend(Server& server, const RequestState& request, TimePoint now) {
  ++server.in_flight;
  ForgetOld(server.recent_sends, now - kColdWindow);
  server.recent_sends.push_back(now);
  if (!request.route.sticky)
    return;
  RememberObject(server, ObjectTag(request.object));
}

void ObserveEnd(RoutingState& state,
                Server& server,
                const RequestState& request,
                const AttemptEnded& end,
                TimePoint now) {
  if (server.in_flight > 0)
    --server.in_flight;
  if (end.report)
    TakeReport(server, *end.report, now);
  if (end.cold_left > Duration::zero())
    server.cold_until = std::max(server.cold_until, now + end.cold_left);
  switch (end.outcome) {
    case ServerOutcome::kSucceeded:
      NoteAnswer(server, now);
      AddSample(server.failures, 0, 0, kFailureWeight, now);
      return ObserveTime(state, server, request, end, now);
    case ServerOutcome::kFailed:
    case ServerOutcome::kRejected:
    case ServerOutcome::kInvalid:
      AddSample(server.failures, 0, 1, kFailureWeight, now);
      return;
    case ServerOutcome::kWrongServer:
      server.rests_until = now + kLongestRest;
      return;
    case ServerOutcome::kLostUnused:
      state.services[request.service].distrust_kept_until = now + kDistrustTime;
      AddSample(server.failures, 0, 1, kFailureWeight / 3, now);
      return;
    case ServerOutcome::kNotSent:
      AddSample(server.failures, 0, 1, kFailureWeight, now);
      return NoteUnreachable(server, now);
    case ServerOutcome::kLost:
    case ServerOutcome::kTimedOut:
      AddSample(server.failures, 0, 1, kFailureWeight, now);
      if (++server.failures_in_row >= kFailuresToRest)
        Rest(server, now);
      return;
  }
}

}  // namespace cicadadrum::routing
