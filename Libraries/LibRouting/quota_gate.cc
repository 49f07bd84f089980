// Lets requests wait for the tokens of their accounts' quotas.

#include "quota_gate.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "dispatch.h"
#include "request_route.h"

namespace cicadadrum::routing {

namespace {

// Part of the route's objective for which a request waits for a token.
constexpr std::int64_t kWaitDivisor = 4;
// An answer of another entry VM takes up to 25 ms, and one may be lost.
constexpr Duration kMinWait = Milliseconds(100);
constexpr Duration kMaxWait = Milliseconds(250);

constexpr Duration kMaxRetryAfter = Seconds(2);
// Refused callers return at different times, up to this part later.
constexpr double kRetryAfterSpread = 0.5;

Duration RetryAfter(RoutingState& state, Duration until_token) {
  const Duration base = std::clamp(until_token, kMinRetryAfter, kMaxRetryAfter);
  const double spread = 1 + kRetryAfterSpread * RandomUnit(state.random);
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(base.count()) * spread));
}

void RefuseByQuota(RoutingState& state,
                   std::uint64_t id,
                   const quota::Decision& decision,
                   RoutingActions& actions) {
  const RequestState& request = state.requests.at(id);
  // The status for an exceeded quota guarantees that the request has not run.
  const RefusalReason reason = request.verdict == Verdict::kNotRun
                                   ? RefusalReason::kQuotaExceeded
                                   : request.reason_without_server;
  Refuse(state, id, reason, RetryAfter(state, decision.retry_after), actions);
}

void ApplyDecision(RoutingState& state,
                   const quota::Decision& decision,
                   TimePoint now,
                   RoutingActions& actions) {
  const auto found = state.requests.find(decision.request);
  if (found == state.requests.end()) {
    // The caller has left, or the request's time is over.
    if (decision.is_granted)
      quota::ReturnToken(state.quota, decision.account, decision.expires);
    return;
  }
  if (!decision.is_granted)
    return RefuseByQuota(state, decision.request, decision, actions);
  RequestState& request = found->second;
  request.quota_token = decision.expires;
  const RefusalReason reason = request.reason_without_server;
  if (RefreshRoute(state, decision.request, request))
    Dispatch(state, decision.request, reason, now, actions);
  else
    Refuse(state, decision.request, reason, {}, actions);
}

void SendMessages(RoutingState& state, TimePoint now, RoutingActions& actions) {
  std::map<std::uint32_t, std::vector<quota::QuotaItem>> items;
  for (const quota::OutgoingItem& outgoing :
       std::exchange(state.quota_output.items, {}))
    items[outgoing.receiver].push_back(outgoing.item);
  for (auto& [receiver, receiver_items] : items) {
    const std::string name = quota::MemberName(state.quota, receiver);
    if (!name.empty())
      actions.emplace_back(SendQuotaMessage{
          name,
          quota::MakeMessage(state.quota, std::move(receiver_items), now)});
  }
}

}  // namespace

bool HoldsQuotaToken(RoutingState& state,
                     std::uint64_t id,
                     RefusalReason reason_without_server,
                     TimePoint now) {
  RequestState& request = state.requests.at(id);
  if (request.account.empty() ||
      !quota::IsLimited(state.quota, request.account) ||
      (request.quota_token && *request.quota_token > now))
    return true;
  request.quota_token.reset();
  request.reason_without_server = reason_without_server;
  const Duration wait = std::clamp(
      request.route.latency_objective / kWaitDivisor, kMinWait, kMaxWait);
  std::vector<quota::Decision>& decisions = state.quota_output.decisions;
  const std::size_t before = decisions.size();
  quota::RequestToken(state.quota, request.account, id, wait, now,
                      state.quota_output);
  if (decisions.size() == before || decisions.back().request != id ||
      !decisions.back().is_granted)
    return false;
  request.quota_token = decisions.back().expires;
  decisions.pop_back();
  return true;
}

void ReturnQuotaToken(RoutingState& state, const RequestState& request) {
  if (request.quota_token)
    quota::ReturnToken(state.quota, request.account, *request.quota_token);
}

void UpdateQuotas(RoutingState& state, TimePoint now) {
  std::vector<quota::AccountLimit> limits;
  for (const ClientAccount& account :
       state.table.configuration.client_accounts) {
    if (account.requests_per_second > 0)
      limits.push_back({.name = account.name,
                        .requests_per_second = account.requests_per_second,
                        .burst = account.burst});
  }
  quota::UpdateLimits(state.quota, limits, now, state.quota_output);
}

void UpdateQuotaMembers(RoutingState& state, TimePoint now) {
  std::vector<std::string> names;
  for (const FleetMember& member : state.members)
    names.push_back(member.name);
  quota::UpdateMembers(state.quota, names, now);
}

void AdvanceQuotas(RoutingState& state,
                   TimePoint now,
                   RoutingActions& actions) {
  state.quota.started_at = std::min(state.quota.started_at, now);
  if (quota::NextTime(state.quota) <= now)
    quota::Advance(state.quota, now, state.quota_output);
  while (!state.quota_output.decisions.empty()) {
    for (const quota::Decision& decision :
         std::exchange(state.quota_output.decisions, {}))
      ApplyDecision(state, decision, now, actions);
  }
  SendMessages(state, now, actions);
}

}  // namespace cicadadrum::routing
