// Processes requests from their arrival to the response to the caller.

#include "cicadadrum/routing/routing.h"

#include <algorithm>

#include "accounts.h"
#include "advice.h"
#include "choice.h"
#include "cicadadrum/base/hash.h"
#include "dispatch.h"
#include "fleet_shares.h"
#include "home_regions.h"
#include "observations.h"
#include "quota_gate.h"
#include "region_shares.h"
#include "request_route.h"
#include "retry_budget.h"
#include "server_limit.h"
#include "server_table.h"
#include "sharing.h"
#include "suspects.h"
#include "transfers.h"

namespace cicadadrum::routing {

namespace {

// The caller receives a response at least this long before it gives up.
constexpr Duration kResponseMargin = Milliseconds(20);

// Minimum time until the end of the stop for which a request is accepted.
constexpr Duration kMinStoppingTime = kStopMargin + Milliseconds(50);

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
    return Refuse(state, event.request, RefusalWithoutRoute(state, now),
                  RetryAfterForEstimate(Seconds(1), event.remaining), actions);
  if (!route->is_readable)
    return Refuse(state, event.request, RefusalReason::kUnreadableRoute, {},
                  actions);
  if (const auto reason = FindKeyRefusal(state, *route, event.key, now))
    return Refuse(state, event.request, *reason,
                  RetryAfterForEstimate(Seconds(1), event.remaining), actions);
  RequestState request{
      .host = event.host,
      .path = event.path,
      .route = *route,
      .configuration = state.table.configuration.version,
      .key = event.key,
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
  if (!AssignAccount(state, request))
    return Refuse(state, event.request, RefusalReason::kNoServer,
                  RetryAfterForEstimate(Seconds(1), event.remaining), actions);
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
void AbandonAttempt(RoutingState& state,
                    std::uint64_t id,
                    RequestState& request) {
  request.attempt_in_progress = false;
  EndTrial(state, id, request.fingerprint);
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
    actions.emplace_back(CancelAttempt{event.request, request.attempts,
                                       CancelReason::kCallerLeft});
    AbandonAttempt(state, event.request, request);
  }
  EndRequest(state, event.request);
}

RefusalReason RefusalReasonFor(ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kRejected:
    case ServerOutcome::kWrongServer:
      return RefusalReason::kRejected;
    case ServerOutcome::kNotSent:
      return RefusalReason::kUnreachable;
    case ServerOutcome::kCold:
    case ServerOutcome::kWithheld:
      return RefusalReason::kNoServer;
    case ServerOutcome::kBusy:
      return RefusalReason::kOverloaded;
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

bool MayRetry(RoutingState& state, const RequestState& request, TimePoint now) {
  return IsRepeatable(request) &&
         request.attempts - request.unsent_attempts <
             request.route.max_attempts &&
         now + kMinAttemptTime < request.deadline &&
         !BlockedUntil(state, request.fingerprint, now) &&
         HasRetryAllowance(state, request.service, now);
}

// Dispatches a request whose last attempt was not sent, because the server is
// cold or busy or the attempt was out of date. The attempt is no use of the
// retry budget, but the next one may be at another service. A cold server may
// receive the request if the rate of a cold server allows.
void DispatchAgain(RoutingState& state,
                   std::uint64_t id,
                   ServerOutcome outcome,
                   TimePoint now,
                   RoutingActions& actions) {
  RequestState& request = state.requests.at(id);
  UncountAttempt(state, request);
  ++request.unsent_attempts;
  if (outcome == ServerOutcome::kCold)
    std::erase(request.tried_servers, request.server);
  const RefusalReason reason = RefusalReasonFor(outcome);
  const bool has_time = now + kMinAttemptTime < request.deadline;
  if (has_time && RefreshRoute(state, id, request) &&
      (!IsNextAttemptRetry(request) ||
       HasRetryAllowance(state, request.service, now)))
    return Dispatch(state, id, reason, now, actions);
  const Duration estimate = RetryAfterForEstimate(
      request.expected_duration, request.caller_deadline - now);
  Refuse(state, id, reason, estimate, actions);
}

void Apply(RoutingState& state,
           const ConnectionReady& event,
           TimePoint now,
           RoutingActions& actions) {
  ConfirmAttempt(state, event, now, actions);
}

void Apply(RoutingState& state,
           const AttemptEnded& event,
           TimePoint now,
           RoutingActions& actions) {
  RequestState* current = FindAttempt(state, event.request, event.attempt);
  if (current == nullptr)
    return;
  RequestState& request = *current;
  request.attempt_in_progress = false;
  EndTrial(state, event.request, request.fingerprint);
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
    ClearSuspect(state, request.fingerprint, event.request, now, actions);
    actions.emplace_back(
        DeliverResponse{event.request, request.server, request.route.kind});
    return EndRequest(state, event.request);
  }
  if (IsReplaced(event.outcome))
    return DispatchAgain(state, event.request, event.outcome, now, actions);
  if (!ProvesNotRun(event.outcome))
    request.verdict = Verdict::kMayHaveRun;
  const bool was_lost = event.outcome == ServerOutcome::kLost ||
                        event.outcome == ServerOutcome::kLostUnused;
  if (was_lost)
    RecordLoss(state, event.request, now, actions);
  const RefusalReason reason = RefusalReasonFor(event.outcome);
  if (IsRepeatable(request) && RefreshRoute(state, event.request, request) &&
      MayRetry(state, request, now))
    return Dispatch(state, event.request, reason, now, actions);
  if (was_lost)
    PublishFirstLoss(state, request.fingerprint, now, actions);
  const Duration estimate = RetryAfterForEstimate(
      request.expected_duration, request.caller_deadline - now);
  Refuse(state, event.request, reason,
         RetryAfterPauses(state, request, estimate, now), actions);
}

void Apply(RoutingState& state,
           const ConfigurationAdopted& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  if (event.configuration.version <= state.table.configuration.version)
    return;
  state.table = MakeRouteTable(event.configuration);
  UpdateQuotas(state, now);
}

void Apply(RoutingState& state,
           const ConfigurationConfirmed& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  RecordConfirmation(state, event, now);
  RecordKeyConfirmation(state, event, now);
}

void Apply(RoutingState& state,
           const SuspensionEnded& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  RecordSuspension(state, event);
  RecordKeySuspension(state, event);
  quota::RecordSuspension(state.quota, event.duration, now);
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
  UpdateMembers(state, event.entries, now);
  UpdateReceivers(state);
  UpdateQuotaMembers(state, now);
}

void Apply(RoutingState& state,
           const ObservationsReceived& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  ApplyObservations(state, event, now);
}

void Apply(RoutingState& state,
           const QuotaMessageReceived& event,
           TimePoint now,
           RoutingActions& /*actions*/) {
  quota::ReceiveMessage(state.quota, event.message, now, state.quota_output);
}

void Apply(RoutingState& state,
           const SuspectRecordReceived& event,
           TimePoint now,
           RoutingActions& actions) {
  ApplySuspectRecord(state, event.record, now, actions);
}

void Apply(RoutingState& state,
           const SuspectCleared& event,
           TimePoint now,
           RoutingActions& actions) {
  ClearSuspect(state, event.fingerprint, 0, now, actions);
}

void Apply(RoutingState& state,
           const SettingsChanged& event,
           TimePoint /*now*/,
           RoutingActions& /*actions*/) {
  state.options.region_by_domain = event.region_by_domain;
  state.options.bounds = event.bounds;
  quota::UpdateBounds(state.quota, event.bounds.quota);
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
      actions.emplace_back(
          CancelAttempt{id, request.attempts, CancelReason::kTimedOut});
      request.verdict = Verdict::kMayHaveRun;
      AbandonAttempt(state, id, request);
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
  state.quota = quota::MakeQuotaState(options.name);
  state.quota.bounds = options.bounds.quota;
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
  DispatchWaiting(state, now, actions);
  AdvanceQuotas(state, now, actions);
  if (state.stopping && state.requests.empty())
    actions.emplace_back(DrainCompleted{});
  SendObservationsIfDue(state, now, actions);
  const TimePoint at =
      state.deadlines.empty() ? kNever : state.deadlines.begin()->first;
  actions.emplace_back(
      WakeAt{std::min({at, state.sharing.send_at, NextWaitingTime(state, now),
                       quota::NextTime(state.quota)})});
}

bool IsReady(const RoutingState& state) {
  return !state.stopping && state.servers_known &&
         state.table.configuration.version != 0;
}

}  // namespace cicadadrum::routing
