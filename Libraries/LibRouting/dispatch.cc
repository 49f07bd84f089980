// Sends requests in progress to servers, or refuses them.

#include "dispatch.h"

#include <algorithm>
#include <utility>

#include "accounts.h"
#include "advice.h"
#include "choice.h"
#include "home_regions.h"
#include "observations.h"
#include "quota_gate.h"
#include "request_route.h"
#include "retry_budget.h"
#include "server_limit.h"
#include "server_table.h"
#include "suspects.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kMaxRetryAfter = Seconds(2);

// Bounds of the delay before a refused caller retries, as shares of the time
// that the caller has left.
constexpr double kMinRetryAfterShare = 0.16;
constexpr double kMaxRetryAfterShare = 0.33;

// A server has this part of the time that a request has left to respond to a
// check: a busy server responds late, and enough time must remain to send the
// request elsewhere.
constexpr std::int64_t kCheckWaitDivisor = 3;

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

// Whether servers may close idle connections so often that a request which
// can't be repeated needs a new connection.
bool IsReuseSuspended(RoutingState& state,
                      const RequestState& request,
                      TimePoint now) {
  return !IsIdempotent(request.route.kind) &&
         now < state.services[request.service].connection_reuse_suspended_until;
}

// Leaves out the servers at which a trial would say little, unless no other
// server can receive the request.
ServerChoice ChooseServerForTrial(RoutingState& state,
                                  const RequestState& request,
                                  TimePoint now) {
  const ServersToAvoid avoid = FindServersToAvoid(state, request, now);
  RequestState restricted = request;
  auto& tried = restricted.tried_servers;
  tried.insert(tried.end(), avoid.servers.begin(), avoid.servers.end());
  const std::size_t size = tried.size();
  tried.insert(tried.end(), avoid.neighbours.begin(), avoid.neighbours.end());
  ServerChoice choice = ChooseServer(state, restricted, now);
  if (choice.server != nullptr && choice.admitted)
    return choice;
  tried.resize(size);
  choice = ChooseServer(state, restricted, now);
  if (choice.server != nullptr && choice.admitted)
    return choice;
  return ChooseServer(state, request, now);
}

// Returns the check for an attempt at a server that is taken to be warm. It may
// have restarted since, without a change of its entry so far. `remaining` is
// the time that the request has left.
std::optional<ColdCheck> ColdCheckFor(const RoutingState& state,
                                      const Server& server,
                                      Duration remaining,
                                      TimePoint now) {
  if (now < server.cold_until)
    return std::nullopt;
  const ServiceRule* rule = FindService(state.table, server.entry.service);
  if (rule == nullptr || rule->health_path.empty() ||
      rule->cold_time <= Duration::zero())
    return std::nullopt;
  return ColdCheck{.health_path = rule->health_path,
                   .cold_time = rule->cold_time,
                   .max_wait = remaining / kCheckWaitDivisor};
}

// Counts the attempt in the allowance of its server's limit, if the server has
// one.
void CountInLimit(const RoutingState& state,
                  Server& server,
                  RequestState& request,
                  TimePoint now) {
  request.is_limit_counted = server.limit.has_value();
  CountLimitedRequest(state, server, now);
}

// Returns why the request may not be sent to any server now, or nothing if it
// may.
std::optional<RefusalReason> FindRefusal(const RoutingState& state,
                                         const RequestState& request,
                                         TimePoint now) {
  if (const auto reason =
          FindKeyRefusal(state, request.route, request.key, now))
    return reason;
  if (BlockedUntil(state, request.fingerprint, now))
    return RefusalReason::kBlocked;
  if (!AreHomeRegionsCertain(state, request.route, now))
    return RefusalReason::kConfigurationOutdated;
  return std::nullopt;
}

// Counts the current attempt as sent now, if what led to it still holds.
// Returns whether it does. A request may wait for its connection for a large
// part of its time.
bool RenewAttempt(RoutingState& state,
                  std::uint64_t id,
                  RequestState& request,
                  TimePoint now) {
  const std::string service = request.service;
  if (now + kMinAttemptTime >= request.deadline ||
      !RefreshRoute(state, id, request) || request.service != service ||
      FindRefusal(state, request, now))
    return false;
  Server* server = FindServer(state, IncarnationOf(request));
  if (server == nullptr || !AcceptsRequests(state, *server, now) ||
      !IsRegionAllowed(request.route, server->region) ||
      (!request.is_limit_counted && LimitAllowsAt(state, *server, now) > now) ||
      !RecountSend(state, *server, request, now))
    return false;
  RecountAttempt(state, request, now);
  if (!request.is_limit_counted)
    CountInLimit(state, *server, request, now);
  return true;
}

// Sends the request to the chosen server.
void StartAttempt(RoutingState& state,
                  std::uint64_t id,
                  const ServerChoice& choice,
                  TimePoint now,
                  RoutingActions& actions) {
  RequestState& request = state.requests.at(id);
  Server& server = *choice.server;
  CountAttempt(state, request, now);
  ++request.attempts;
  request.quota_token.reset();
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
  ChoiceInputs inputs = choice.inputs;
  inputs.object = request.object;
  const bool is_suspect = IsSuspect(state, request.fingerprint, now);
  if (is_suspect)
    StartTrial(state, id, now);
  RecordAttemptStart(server, request, now);
  CountInLimit(state, server, request, now);
  actions.emplace_back(SendAttempt{
      .request = id,
      .attempt = request.attempts,
      .server = server.entry.id,
      .address = server.entry.address,
      .deadline = request.deadline,
      .server_timeout = ServerTimeout(state, request.deadline - now, now),
      // A server may close a reused connection for other reasons than a crash.
      .fresh_connection = is_suspect || IsReuseSuspended(state, request, now),
      .cold_check = ColdCheckFor(state, server, request.deadline - now, now),
      .max_send_delay = now < server.cold_until
                            ? std::optional(kMaxColdSendDelay)
                            : std::nullopt,
      .account = request.account,
      .hides_credentials = request.hides_credentials,
      .inputs = std::move(inputs)});
}

}  // namespace

RequestState* FindAttempt(RoutingState& state,
                          std::uint64_t id,
                          std::uint32_t attempt) {
  const auto found = state.requests.find(id);
  return found != state.requests.end() && found->second.attempts == attempt &&
                 found->second.attempt_in_progress
             ? &found->second
             : nullptr;
}

void ConfirmAttempt(RoutingState& state,
                    const ConnectionReady& event,
                    TimePoint now,
                    RoutingActions& actions) {
  RequestState* request = FindAttempt(state, event.request, event.attempt);
  if (request == nullptr || !RenewAttempt(state, event.request, *request, now))
    return;
  actions.emplace_back(TransmitAttempt{
      .request = event.request,
      .attempt = event.attempt,
      .server_timeout = ServerTimeout(state, request->deadline - now, now)});
}

void EndRequest(RoutingState& state, std::uint64_t id) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end())
    return;
  ReturnQuotaToken(state, found->second);
  state.deadlines.erase({found->second.deadline, id});
  state.requests.erase(found);
}

void Refuse(RoutingState& state,
            std::uint64_t id,
            RefusalReason reason,
            Duration retry_after,
            RoutingActions& actions,
            const std::optional<ChoiceInputs>& inputs) {
  const auto found = state.requests.find(id);
  RefuseRequest refusal{.request = id,
                        .reason = reason,
                        .retry_after = retry_after,
                        .inputs = inputs};
  if (found != state.requests.end()) {
    refusal.verdict = found->second.verdict;
    refusal.kind = found->second.route.kind;
    refusal.account = found->second.account;
    EndRequest(state, id);
  }
  actions.emplace_back(refusal);
}

Duration RetryAfterForEstimate(Duration expected_duration, Duration remaining) {
  const Duration estimate =
      std::clamp(expected_duration / 2, kMinRetryAfter, kMaxRetryAfter);
  return std::min(estimate, std::max(remaining / 3, kMinRetryAfter));
}

Duration RetryAfterPauses(const RoutingState& state,
                          const RequestState& request,
                          Duration estimate,
                          TimePoint now) {
  const auto end = FirstPauseEnd(state, request, now);
  return end && *end < request.caller_deadline ? *end - now : estimate;
}

void Dispatch(RoutingState& state,
              std::uint64_t id,
              RefusalReason reason_without_server,
              TimePoint now,
              RoutingActions& actions) {
  RequestState& request = state.requests.at(id);
  const Duration remaining = request.deadline - now;
  if (const auto reason = FindRefusal(state, request, now)) {
    const auto blocked_until = BlockedUntil(state, request.fingerprint, now);
    const Duration retry_after =
        *reason == RefusalReason::kBlocked
            ? *blocked_until - now
            : RetryAfterForEstimate(Seconds(1), remaining);
    return Refuse(state, id, *reason, retry_after, actions);
  }
  if (NextTrialTime(state, request.fingerprint, now) > now) {
    state.suspicions.waiting[request.fingerprint].push_back(
        {.request = id, .reason_without_server = reason_without_server});
    return;
  }
  if (!HoldsQuotaToken(state, id, reason_without_server, now))
    return;
  const ServerChoice choice = IsSuspect(state, request.fingerprint, now)
                                  ? ChooseServerForTrial(state, request, now)
                                  : ChooseServer(state, request, now);
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
  StartAttempt(state, id, choice, now, actions);
}

void DispatchWaiting(RoutingState& state,
                     TimePoint now,
                     RoutingActions& actions) {
  auto& waiting = state.suspicions.waiting;
  if (waiting.empty())
    return;
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [fingerprint, requests] : waiting) {
    if (NextTrialTime(state, fingerprint, now) <= now)
      fingerprints.push_back(fingerprint);
  }
  // The first request may become the next trial, for which the others wait.
  for (const std::uint64_t fingerprint : fingerprints) {
    const auto node = waiting.extract(fingerprint);
    for (const WaitingRequest& next : node.mapped()) {
      const auto found = state.requests.find(next.request);
      if (found == state.requests.end())
        continue;
      if (RefreshRoute(state, next.request, found->second))
        Dispatch(state, next.request, next.reason_without_server, now, actions);
      else
        Refuse(state, next.request, next.reason_without_server, {}, actions);
    }
  }
}

}  // namespace cicadadrum::routing
