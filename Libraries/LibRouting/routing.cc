// Processes requests from their arrival to the response to the caller.

#include "cicadadrum/routing/routing.h"

#include <algorithm>

#include "advice.h"
#include "choice.h"
#include "cicadadrum/base/hash.h"
#include "fleet_shares.h"
#include "home_regions.h"
#include "observations.h"
#include "region_shares.h"
#include "request_route.h"
#include "server_limit.h"
#include "server_table.h"
#include "sharing.h"
#include "transfers.h"

namespace cicadadrum::routing {

namespace {

// The caller receives a response at least this long before it gives up.
constexpr Duration kResponseMargin = Milliseconds(20);

// Minimum time until the deadline for which another attempt is worth a retry.
constexpr Duration kMinAttemptTime = Milliseconds(20);

// A fingerprint is blocked once requests with it have crashed this many
// servers.
constexpr std::uint32_t kCrashesToBlock = 3;

// While the entry VM stops, a server's time ends this much before the request's
// deadline, so that the server's own answer reaches the caller in time.
constexpr Duration kStopMargin = Milliseconds(150);

// Minimum time until the end of the stop for which a request is accepted.
constexpr Duration kMinStoppingTime = kStopMargin + Milliseconds(50);

constexpr Duration kMinRetryAfter = Milliseconds(100);
constexpr Duration kMaxRetryAfter = Seconds(2);

// Bounds of the delay before a refused caller retries, as shares of the time
// that the caller has left.
constexpr double kMinRetryAfterShare = 0.16;
constexpr double kMaxRetryAfterShare = 0.33;

using Requests = std::unordered_map<std::uint64_t, RequestState>;

void EndRequest(RoutingState& state, Requests::iterator request) {
  state.deadlines.erase({request->second.deadline, request->first});
  state.requests.erase(request);
}

void Refuse(RoutingState& state,
            std::uint64_t id,
            RefusalReason reason,
            Duration retry_after,
            RoutingActions& actions,
            const std::optional<ChoiceInputs>& inputs = {}) {
  const auto found = state.requests.find(id);
  RefuseRequest refusal{.request = id,
                        .reason = reason,
                        .retry_after = retry_after,
                        .inputs = inputs};
  if (found != state.requests.end()) {
    refusal.verdict = found->second.verdict;
    refusal.kind = found->second.route.kind;
    EndRequest(state, found);
  }
  actions.emplace_back(refusal);
}

// Returns the delay after which a caller should retry at servers that are full
// now. The delay is random, so that callers which are refused at the same time
// retry at different times, and leaves enough time for a response.
Duration RandomRetryAfter(RoutingState& state, Duration remaining) {
  const double share =
      kMinRetryAfterShare +
      (kMaxRetryAfterShare - kMinRetryAfterShare) * RandomUnit(state.random);
  const auto wait = Duration(static_cast<std::int64_t>(
      static_cast<double>(remaining.count()) * share));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

// Returns the delay after which a caller should retry, from the estimated
// duration of an attempt and the time that the caller has left.
Duration RetryAfterForEstimate(Duration expected_duration, Duration remaining) {
  const Duration estimate =
      std::clamp(expected_duration / 2, kMinRetryAfter, kMaxRetryAfter);
  return std::min(estimate, std::max(remaining / 3, kMinRetryAfter));
}

// Returns the delay after which the caller of a refused request should retry:
// until a server may receive requests again, if all servers in use have asked
// for a pause that ends before the caller gives up, and `estimate` otherwise.
Duration RetryAfterPauses(const RoutingState& state,
                          const RequestState& request,
                          Duration estimate,
                          TimePoint now) {
  const auto end = FirstPauseEnd(state, request, now);
  return end && *end < request.caller_deadline ? *end - now : estimate;
}

// Returns the time that a server is given for a request that has `remaining`
// left.
Duration ServerTimeout(const RoutingState& state,
                       Duration remaining,
                       TimePoint now) {
  if (!state.stopping)
    return remaining;
  return std::clamp(state.stop_at - now - kStopMargin, kMinAttemptTime,
                    std::max(remaining, kMinAttemptTime));
}

// Sends the request to the server with the least cost, or refuses the request.
void Dispatch(RoutingState& state,
              std::uint64_t id,
              RefusalReason reason_without_server,
              TimePoint now,
              RoutingActions& actions) {
  RequestState& request = state.requests.at(id);
  const Duration remaining = request.deadline - now;
  if (!AreHomeRegionsCertain(state, request.route, now))
    return Refuse(state, id, RefusalReason::kConfigurationOutdated,
                  RetryAfterForEstimate(Seconds(1), remaining), actions);
  ServerChoice choice = ChooseServer(state, request, now);
  if (choice.server == nullptr && IsHeldByLimits(state, request, now))
    return Refuse(state, id, RefusalReason::kOverloaded,
                  RandomRetryAfter(state, remaining), actions);
  if (choice.server == nullptr)
    return Refuse(
        state, id, reason_without_server,
        RetryAfterPauses(state, request,
                         RetryAfterForEstimate(Seconds(1), remaining), now),
        actions);
  // A long work estimate without a queue is no reason to refuse the request: if
  // no request were sent, the estimate would never be corrected.
  if (!choice.admitted ||
      (choice.is_queued && choice.expected_duration > remaining))
    return Refuse(state, id, RefusalReason::kOverloaded,
                  RandomRetryAfter(state, remaining), actions, choice.inputs);
  Server& server = *choice.server;
  CountAttempt(state.services[request.service], state.options.bounds,
               request.attempts > 0, now);
  ++request.attempts;
  request.attempt_in_progress = true;
  request.server = server.entry.id;
  request.server_started_unix_ms = server.entry.started_unix_ms;
  request.tried_servers.push_back(server.entry.id);
  request.sent_at = now;
  request.expected_response_bytes = choice.inputs.expected_response_bytes;
  request.expected_duration = choice.expected_duration;
  request.expected_work_ms = choice.work_ms;
  request.expected_slowness = choice.inputs.slowness;
  request.expected_work_factor = choice.inputs.work_factor;
  request.cache_affinity = choice.cache_affinity;
  choice.inputs.object = request.object;
  RecordAttemptStart(server, request, now);
  CountLimitedRequest(state, server, now);
  actions.emplace_back(SendAttempt{
      .request = id,
      .attempt = request.attempts,
      .server = server.entry.id,
      .address = server.entry.address,
      .deadline = request.deadline,
      .server_timeout = ServerTimeout(state, remaining, now),
      .fresh_connection =
          !IsIdempotent(request.route.kind) &&
          now <
              state.services[request.service].connection_reuse_suspended_until,
      .inputs = choice.inputs});
}

void Apply(RoutingState& state,
           const RequestArrived& event,
           TimePoint now,
           RoutingActions& actions) {
  if (!IsReady(state) && !state.stopping)
    return Refuse(state, event.request, RefusalReason::kNotReady,
                  kMinRetryAfter, actions);
  if (state.stopping &&
      (now >= state.accept_until || now + kMinStoppingTime > state.stop_at))
    return Refuse(state, event.request, RefusalReason::kStopping,
                  kMinRetryAfter, actions);
  const Route* route = FindRoute(state.table, event.host, event.path);
  if (route == nullptr)
    return Refuse(state, event.request, RefusalReason::kNoRoute, {}, actions);
  if (!route->is_readable)
    return Refuse(state, event.request, RefusalReason::kUnreadableRoute, {},
                  actions);
  if (state.blocked_fingerprints.contains(event.fingerprint))
    return Refuse(state, event.request, RefusalReason::kBlocked, {}, actions);
  RequestState request{
      .host = event.host,
      .path = event.path,
      .route = *route,
      .configuration = state.table.configuration.version,
      .service = ChooseService(state, *route),
      .object = event.object ? HashBytes(route->name, *event.object)
                             : NextRandom(state.random),
      .fingerprint = event.fingerprint,
      .body_bytes = event.body_bytes,
      .arrived_at = now,
      .caller_deadline = now + event.remaining,
      .deadline = std::min(
          now + std::min(event.remaining - kResponseMargin, route->timeout),
          state.stop_at)};
  state.deadlines.emplace(request.deadline, event.request);
  const auto limit = FindTransferLimit(state, request, event.unsent_bytes, now);
  const Duration remaining = request.deadline - now;
  state.requests.emplace(event.request, std::move(request));
  if (limit)
    return Refuse(state, event.request, limit->reason,
                  std::min(limit->retry_after, remaining / 3), actions);
  Dispatch(state, event.request, RefusalReason::kNoServer, now, actions);
}

// Marks the current attempt as ended without an outcome.
void AbandonAttempt(RoutingState& state, RequestState& request) {
  request.attempt_in_progress = false;
  Server* server = FindServer(state, IncarnationOf(request));
  if (server != nullptr && server->in_flight > 0)
    --server->in_flight;
}

void Apply(RoutingState& state,
           const CallerDisconnected& event,
           TimePoint /*now*/,
           RoutingActions& actions) {
  const auto found = state.requests.find(event.request);
  if (found == state.requests.end())
    return;
  RequestState& request = found->second;
  if (request.attempt_in_progress) {
    actions.emplace_back(CancelAttempt{event.request, request.attempts});
    AbandonAttempt(state, request);
  }
  EndRequest(state, found);
}

// Counts a possible crash: a server that is lost while it runs a request may
// have been crashed by the request. Blocks the fingerprint at the limit.
void CountCrash(RoutingState& state,
                const RequestState& request,
                RoutingActions& actions) {
  if (++state.crash_counts[request.fingerprint] < kCrashesToBlock)
    return;
  if (state.blocked_fingerprints.insert(request.fingerprint).second)
    actions.emplace_back(PublishBlockedFingerprint{request.fingerprint});
}

RefusalReason RefusalReasonFor(ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kRejected:
    case ServerOutcome::kWrongServer:
      return RefusalReason::kRejected;
    case ServerOutcome::kNotSent:
      return RefusalReason::kUnreachable;
    case ServerOutcome::kTimedOut:
      return RefusalReason::kTimedOut;
    default:
      return RefusalReason::kFailed;
  }
}

bool IsRepeatable(const RequestState& request) {
  return request.verdict == Verdict::kNotRun ||
         IsIdempotent(request.route.kind);
}

bool MayRetry(const RoutingState& state,
              const RequestState& request,
              TimePoint now) {
  return IsRepeatable(request) &&
         request.attempts < request.route.max_attempts &&
         now + kMinAttemptTime < request.deadline &&
         !state.blocked_fingerprints.contains(request.fingerprint) &&
         HasRetryAllowance(state, request.service, now);
}

void Apply(RoutingState& state,
           const AttemptEnded& event,
           TimePoint now,
           RoutingActions& actions) {
  const auto found = state.requests.find(event.request);
  if (found == state.requests.end() ||
      found->second.attempts != event.attempt ||
      !found->second.attempt_in_progress)
    return;
  RequestState& request = found->second;
  request.attempt_in_progress = false;
  RecordAdvice(state, request, event, now, actions);
  if (Server* server = FindServer(state, IncarnationOf(request))) {
    RecordAttemptEnd(state, *server, request, event, now);
    RecordResponseSize(state, request, event);
    AttemptEnded observed = event;
    if (!RecordLimit(state, *server, event, now, actions))
      observed.limit.reset();
    QueueObservation(state, request, observed, now);
  }
  if (event.outcome == ServerOutcome::kSucceeded ||
      event.outcome == ServerOutcome::kFailed) {
    if (event.outcome == ServerOutcome::kSucceeded)
      state.crash_counts.erase(request.fingerprint);
    actions.emplace_back(
        DeliverResponse{event.request, request.server, request.route.kind});
    return EndRequest(state, found);
  }
  if (!ProvesNotRun(event.outcome))
    request.verdict = Verdict::kMayHaveRun;
  if (event.outcome == ServerOutcome::kLost)
    CountCrash(state, request, actions);
  const RefusalReason reason = RefusalReasonFor(event.outcome);
  if (IsRepeatable(request) && RefreshRoute(state, event.request, request) &&
      MayRetry(state, request, now))
    return Dispatch(state, event.request, reason, now, actions);
  const Duration estimate = RetryAfterForEstimate(
      request.expected_duration, request.caller_deadline - now);
  Refuse(state, event.request, reason,
         RetryAfterPauses(state, request, estimate, now), actions);
}

void Apply(RoutingState& state,
           const ConfigurationAdopted& event,
           TimePoint /*now*/,
           RoutingActions& /*actions*/) {
  if (event.configuration.version <= state.table.configuration.version)
    return;
  state.table = MakeRouteTable(event.configuration);
}

void Apply(RoutingState& state,
           const ConfigurationConfirmed& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  RecordConfirmation(state, event, now);
}

void Apply(RoutingState& state,
           const SuspensionEnded& event,
           TimePoint /*now*/,
           RoutingActions& /*actions*/) {
  RecordSuspension(state, event);
}

void Apply(RoutingState& state,
           const ServersChanged& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  UpdateServers(state, event, now);
}

void Apply(RoutingState& state,
           const EvacuationsChanged& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  UpdateEvacuations(state, event, now);
}

void Apply(RoutingState& state,
           const MembersChanged& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  state.members = event.entries;
  UpdateFleetSize(state, now);
  UpdateReceivers(state);
}

void Apply(RoutingState& state,
           const ObservationsReceived& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  ApplyObservations(state, event, now);
}

void Apply(RoutingState& state,
           const FingerprintBlocked& event,
           TimePoint /*now*/,
           RoutingActions& /*actions*/) {
  state.blocked_fingerprints.insert(event.fingerprint);
}

void Apply(RoutingState& state,
           const SettingsChanged& event,
           TimePoint /*now*/,
           RoutingActions& /*actions*/) {
  state.options.region_by_domain = event.region_by_domain;
  state.options.bounds = event.bounds;
  UpdateRegions(state);
  ResetShiftLimits(state);
}

void Apply(RoutingState& state,
           const StopRequested& event,
           TimePoint /*now*/,
           RoutingActions& /*actions*/) {
  state.stopping = true;
  state.accept_until = event.accept_until;
  state.stop_at = event.end_at;
  for (auto& [id, request] : state.requests)
    ShortenDeadline(state, id, request, state.stop_at);
}

void Apply(RoutingState& state,
           const TimerExpired& /*event*/,
           TimePoint now,
           RoutingActions& actions) {
  while (!state.deadlines.empty() && state.deadlines.begin()->first <= now) {
    const std::uint64_t id = state.deadlines.begin()->second;
    RequestState& request = state.requests.at(id);
    if (request.attempt_in_progress) {
      actions.emplace_back(CancelAttempt{id, request.attempts});
      request.verdict = Verdict::kMayHaveRun;
      AbandonAttempt(state, request);
    }
    Refuse(state, id, RefusalReason::kTimedOut, {}, actions);
  }
}

}  // namespace

RoutingState MakeRoutingState(RoutingOptions options, std::uint64_t seed) {
  RoutingState state;
  state.members = {{.name = options.name,
                    .region = options.region,
                    .failure_domain = options.failure_domain}};
  state.options = std::move(options);
  state.random.state = seed;
  return state;
}

void StepRouting(RoutingState& state,
                 const RoutingEvent& event,
                 TimePoint now,
                 RoutingActions& actions) {
  state.started_at = std::min(state.started_at, now);
  std::visit(
      [&](const auto& typed_event) { Apply(state, typed_event, now, actions); },
      event);
  if (state.stopping && state.requests.empty())
    actions.emplace_back(DrainCompleted{});
  SendObservationsIfDue(state, now, actions);
  const TimePoint at =
      state.deadlines.empty() ? kNever : state.deadlines.begin()->first;
  actions.emplace_back(WakeAt{std::min(at, state.sharing.send_at)});
}

bool IsReady(const RoutingState& state) {
  return !state.stopping && state.servers_known &&
         state.table.configuration.version != 0;
}

}  // namespace cicadadrum::routing
