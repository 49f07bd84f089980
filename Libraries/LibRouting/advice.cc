// Records the advice of servers, and keeps it while their entries are missing.

#include "advice.h"

#include <algorithm>

#include "server_table.h"

namespace cicadadrum::routing {

namespace {

// Keeps the advice of an incarnation without an entry. At the limit, the oldest
// advice is dropped.
void KeepUnlisted(RoutingState& state,
                  const ServerIncarnation& incarnation,
                  const UnlistedAdvice& advice) {
  auto& unlisted = state.unlisted_advice;
  unlisted[incarnation] = advice;
  if (unlisted.size() <= kMaxUnlistedAdvice)
    return;
  unlisted.erase(std::min_element(
      unlisted.begin(), unlisted.end(), [](const auto& a, const auto& b) {
        return a.second.recorded_at < b.second.recorded_at;
      }));
}

}  // namespace

void RecordAdvice(RoutingState& state,
                  const RequestState& request,
                  const AttemptEnded& end,
                  TimePoint now,
                  RoutingActions& actions) {
  if (!end.leaving && end.pause <= Duration::zero())
    return;
  const ServerIncarnation incarnation = IncarnationOf(request);
  Server* server = FindServer(state, incarnation);
  const auto unlisted = state.unlisted_advice.find(incarnation);
  UnlistedAdvice kept;
  if (unlisted != state.unlisted_advice.end())
    kept = unlisted->second;
  ServerAdvice& advice = server != nullptr ? server->advice : kept.advice;
  if (end.leaving && !advice.leaving)
    actions.emplace_back(
        ReportServerLeaving{.request = end.request, .server = request.server});
  if (end.pause > Duration::zero() && advice.paused_until <= now)
    actions.emplace_back(ReportServerPause{
        .request = end.request, .server = request.server, .pause = end.pause});
  advice.leaving = advice.leaving || end.leaving;
  advice.paused_until = std::max(advice.paused_until, now + end.pause);
  kept.recorded_at = now;
  if (server == nullptr)
    KeepUnlisted(state, incarnation, kept);
}

void KeepAdvice(RoutingState& state, const Server& server, TimePoint now) {
  if (server.advice.leaving || server.advice.paused_until > now ||
      server.limit || server.cold_until > now)
    KeepUnlisted(state, IncarnationOf(server.entry),
                 {.advice = server.advice,
                  .limit = server.limit,
                  .limit_stated_at = server.limit_stated_at,
                  .cold_until = server.cold_until,
                  .recorded_at = now});
}

void RestoreAdvice(RoutingState& state, Server& server) {
  const auto unlisted = state.unlisted_advice.find(IncarnationOf(server.entry));
  if (unlisted == state.unlisted_advice.end())
    return;
  const UnlistedAdvice& kept = unlisted->second;
  server.advice = kept.advice;
  server.limit = kept.limit;
  server.limit_stated_at = kept.limit_stated_at;
  server.cold_until = kept.cold_until;
  state.unlisted_advice.erase(unlisted);
}

bool AcceptsRequests(const RoutingState& state,
                     const Server& server,
                     TimePoint now) {
  return server.entry.phase == ServerPhase::kReady && !server.advice.leaving &&
         server.advice.paused_until <= now &&
         !state.evacuated_domains.contains(server.entry.failure_domain);
}

bool IsInUse(const RoutingState& state, const Server& server, TimePoint now) {
  return AcceptsRequests(state, server, now) && server.backoff_until <= now;
}

}  // namespace cicadadrum::routing
