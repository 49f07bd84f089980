// Requests at the entry VM that admitted them.
//
// Invariant: each request in EntryState::requests is answered exactly once,
// when it is removed.

#include "request_flow.h"

#include <algorithm>

#include "admission.h"
#include "budgets.h"
#include "pool_flow.h"
#include "routing.h"
#include "split_flow.h"

namespace cicadadrum {

namespace {

constexpr std::uint32_t kMaxAttempts = 3;

Attempt* FindAttempt(EntryState& state,
                     std::uint64_t request,
                     std::uint32_t number,
                     AttemptPhase phase) {
  const auto found = state.requests.find(request);
  if (found == state.requests.end())
    return nullptr;
  for (Attempt& attempt : found->second.attempts) {
    if (attempt.number == number && attempt.phase == phase)
      return &attempt;
  }
  return nullptr;
}

void Refuse(std::uint64_t request,
            Verdict verdict,
            RefusalReason reason,
            Duration retry_after,
            Actions& actions) {
  actions.push_back(AnswerCaller{.request = request,
                                 .verdict = verdict,
                                 .reason = reason,
                                 .retry_after = retry_after});
}

// Ends an attempt and releases its slot request or lease. An attempt that was
// sent and has no outcome is cancelled at the server.
void EndAttempt(EntryState& state,
                const Request& request,
                Attempt& attempt,
                AttemptOutcome outcome,
                TimePoint now,
                Actions& actions) {
  if (attempt.phase == AttemptPhase::kEnded)
    return;
  const bool requesting_slot = attempt.phase == AttemptPhase::kRequestingSlot;
  attempt.phase = AttemptPhase::kEnded;
  if (requesting_slot)
    return CancelAttemptRequest(state, request, attempt, now, actions);
  if (outcome == AttemptOutcome::kCancelled ||
      outcome == AttemptOutcome::kTimedOut)
    actions.push_back(CancelAtBackend{request.arrived.request, attempt.number});
  if (attempt.owner.empty())
    state.direct_requests.erase(attempt.server);
  else
    ReturnLease(state, attempt, outcome, now - attempt.sent_at, now, actions);
}

// Removes the request and answers its caller. Attempts in progress are
// cancelled.
void FinishRequest(EntryState& state,
                   std::uint64_t id,
                   AnswerCaller answer,
                   TimePoint now,
                   Actions& actions) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end())
    return;
  Request request = std::move(found->second);
  state.requests.erase(found);
  state.timers.erase({request.arrived.deadline, id});
  UpdateRefusedShare(state.retry_budget, answer.reason);
  for (Attempt& attempt : request.attempts) {
    if (attempt.phase == AttemptPhase::kSent)
      request.verdict = Combine(request.verdict, Verdict::kMayHaveRun);
    EndAttempt(state, request, attempt, AttemptOutcome::kCancelled, now,
               actions);
  }
  answer.request = id;
  if (answer.source == AnswerSource::kSelf)
    answer.verdict = Combine(answer.verdict, request.verdict);
  const bool owns_claim = request.phase == RequestPhase::kAttempting &&
                          !IsIdempotent(request.arrived.request_class);
  const RequestFinished finished{id, answer.verdict, answer.stored,
                                 answer.reason};
  actions.push_back(std::move(answer));
  if (owns_claim)
    ApplyClaimEvent(state, finished, now, actions);
}

void AddTimer(EntryState& state,
              TimePoint at,
              std::uint64_t request,
              Actions& actions) {
  state.timers.insert({at, request});
  actions.push_back(WakeAt{at});
}

// Starts a second attempt in the pool of the first attempt.
void StartHedge(EntryState& state,
                Request& request,
                TimePoint now,
                Actions& actions) {
  const Attempt& first = request.attempts.back();
  Attempt attempt{
      .number = static_cast<std::uint32_t>(request.attempts.size() + 1),
      .pool = first.pool,
      .owner = first.owner,
      .hedge = true};
  request.attempts.push_back(attempt);
  RequestAttemptSlot(state, request, request.attempts.back(), now, actions);
}

void StartAttempt(EntryState& state,
                  Request& request,
                  TimePoint now,
                  Actions& actions) {
  const auto pool = ChoosePool(state, request);
  const std::uint64_t id = request.arrived.request;
  if (!pool)
    return FinishRequest(
        state, id,
        {.reason = RefusalReason::kNoServer, .retry_after = Seconds(1)}, now,
        actions);
  Attempt attempt{
      .number = static_cast<std::uint32_t>(request.attempts.size() + 1),
      .pool = *pool};
  attempt.owner = PoolOwner(state, *pool);
  request.attempts.push_back(attempt);
  RequestAttemptSlot(state, request, request.attempts.back(), now, actions);
}

bool ConsumeRetryToken(RetryBudget& budget) {
  if (budget.tokens < 1)
    return false;
  budget.tokens -= 1;
  return true;
}

bool HasOpenAttempt(const Request& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& attempt) {
                       return attempt.phase != AttemptPhase::kEnded;
                     });
}

// Returns whether another attempt could succeed: the reason concerns one pool
// or owner, and not the request or the load.
bool IsRetryable(RefusalReason reason) {
  return reason == RefusalReason::kPeerUnreachable ||
         reason == RefusalReason::kNoServer ||
         reason == RefusalReason::kNotReady;
}

bool ConsumeRetryIfAllowed(EntryState& state,
                           const Request& request,
                           Verdict attempt_verdict,
                           TimePoint now) {
  if (request.attempts.size() >= kMaxAttempts ||
      now >= request.arrived.deadline)
    return false;
  if (!IsIdempotent(request.arrived.request_class) &&
      attempt_verdict != Verdict::kNotRun)
    return false;
  return ConsumeRetryToken(state.retry_budget);
}

void RetryOrRefuse(EntryState& state,
                   std::uint64_t id,
                   Verdict attempt_verdict,
                   RefusalReason reason,
                   Duration retry_after,
                   TimePoint now,
                   Actions& actions) {
  Request& request = state.requests.at(id);
  request.verdict = Combine(request.verdict, attempt_verdict);
  if (HasOpenAttempt(request))
    return;
  if (IsRetryable(reason) &&
      ConsumeRetryIfAllowed(state, request, attempt_verdict, now))
    return StartAttempt(state, request, now, actions);
  FinishRequest(state, id, {.reason = reason, .retry_after = retry_after}, now,
                actions);
}

// Returns the verdict of a refusal at admission. The repetition of a request
// that ran here must not be reported as "not run".
Verdict RefusalVerdictOf(const EntryState& state,
                         const RequestArrived& arrived) {
  const auto key = ParseRequestKey(arrived.key);
  if (IsIdempotent(arrived.request_class) || !key)
    return Verdict::kNotRun;
  return RefusalVerdict(state.claims, *key);
}

bool HasSentAttempt(const Request& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& attempt) {
                       return attempt.phase == AttemptPhase::kSent;
                     });
}

void ApplyResolve(EntryState& state,
                  const Resolve& resolve,
                  TimePoint now,
                  Actions& actions) {
  const auto found = state.requests.find(resolve.request);
  if (found == state.requests.end()) {
    // The caller disconnected while the claim was written. The claim is kept
    // for a repeated request.
    if (resolve.decision == ClaimDecision::kSend)
      ApplyClaimEvent(state,
                      RequestFinished{resolve.request,
                                      Verdict::kNotRun,
                                      {},
                                      RefusalReason::kCallerDisconnected},
                      now, actions);
    return;
  }
  switch (resolve.decision) {
    case ClaimDecision::kSend:
      found->second.phase = RequestPhase::kAttempting;
      // The request timer does not end a request that waits for a claim, so the
      // deadline is checked here.
      if (now >= found->second.arrived.deadline) {
        return FinishRequest(state, resolve.request,
                             {.reason = RefusalReason::kDeadline}, now,
                             actions);
      }
      return StartAttempt(state, found->second, now, actions);
    case ClaimDecision::kFinished:
      return FinishRequest(state, resolve.request,
                           {.verdict = Verdict::kRan,
                            .source = AnswerSource::kStored,
                            .stored = resolve.answer},
                           now, actions);
    case ClaimDecision::kRefuse:
      return FinishRequest(state, resolve.request,
                           {.verdict = resolve.verdict,
                            .reason = resolve.reason,
                            .retry_after = Seconds(1)},
                           now, actions);
  }
}

}  // namespace

void AdmitRequest(EntryState& state,
                  const RequestArrived& arrived,
                  TimePoint now,
                  Actions& actions) {
  state.configuration_floor =
      std::max(state.configuration_floor, arrived.configuration_floor);
  const RefusalReason reason = CheckAdmission(state, arrived, now);
  if (reason != RefusalReason::kNone)
    return Refuse(arrived.request, RefusalVerdictOf(state, arrived), reason,
                  Seconds(1), actions);
  AddRetryTokens(state.retry_budget);
  CountArrival(state, arrived.service);
  Request& request = state.requests[arrived.request];
  request.arrived = arrived;
  request.arrived_at = now;
  AddTimer(state, arrived.deadline, arrived.request, actions);
  if (IsIdempotent(arrived.request_class))
    return StartAttempt(state, request, now, actions);
  request.phase = RequestPhase::kClaiming;
  const ClaimRequested claim_requested{
      arrived.request, *ParseRequestKey(arrived.key), arrived.deadline,
      arrived.forwarded, arrived.origin};
  ApplyClaimEvent(state, claim_requested, now, actions);
}

void ApplyCallerDisconnected(EntryState& state,
                             const CallerDisconnected& disconnected,
                             TimePoint now,
                             Actions& actions) {
  const auto found = state.requests.find(disconnected.request);
  if (found == state.requests.end())
    return;
  // LibClaim knows whether the request may run on another entry VM or as a
  // repeated request.
  if (found->second.phase == RequestPhase::kClaiming)
    return ApplyClaimEvent(state, ClaimAbandoned{disconnected.request}, now,
                           actions);
  // A non-idempotent request that was sent continues, so that a repeated
  // request receives its response.
  if (!IsIdempotent(found->second.arrived.request_class) &&
      HasSentAttempt(found->second))
    return;
  FinishRequest(state, disconnected.request,
                {.reason = RefusalReason::kCallerDisconnected}, now, actions);
}

void ApplyGrant(EntryState& state,
                const SlotGranted& granted,
                TimePoint now,
                Actions& actions) {
  Attempt* attempt = FindAttempt(state, granted.request, granted.attempt,
                                 AttemptPhase::kRequestingSlot);
  if (attempt == nullptr)
    return;
  const Request& request = state.requests.at(granted.request);
  attempt->lease = granted.lease;
  attempt->server = granted.server;
  attempt->sent_at = now;
  attempt->phase = AttemptPhase::kSent;
  const std::optional<TimePoint> hedge_at =
      ScheduleHedge(state, request, *attempt, now);
  actions.push_back(SendToBackend{granted.request, granted.attempt,
                                  granted.server, granted.address,
                                  request.arrived.deadline});
  if (hedge_at)
    AddTimer(state, *hedge_at, granted.request, actions);
}

void ApplyRefusal(EntryState& state,
                  const SlotRefused& refused,
                  TimePoint now,
                  Actions& actions) {
  Attempt* attempt = FindAttempt(state, refused.request, refused.attempt,
                                 AttemptPhase::kRequestingSlot);
  if (attempt == nullptr)
    return;
  if (refused.reason == RefusalReason::kPeerUnreachable) {
    const BackendServer* server = ChooseDirectServer(state, attempt->pool, now);
    if (server != nullptr) {
      attempt->owner.clear();
      state.direct_requests[server->name] = refused.request;
      return ApplyGrant(
          state,
          {refused.request, refused.attempt, 0, server->name, server->address},
          now, actions);
    }
  }
  attempt->phase = AttemptPhase::kEnded;
  RetryOrRefuse(state, refused.request, Verdict::kNotRun, refused.reason,
                refused.retry_after, now, actions);
}

void ApplyAnswer(EntryState& state,
                 const BackendResponded& answered,
                 TimePoint now,
                 Actions& actions) {
  Attempt* attempt = FindAttempt(state, answered.request, answered.attempt,
                                 AttemptPhase::kSent);
  if (attempt == nullptr)
    return;
  if (VerdictOf(answered.outcome) == Verdict::kRan)
    UpdateHedgeDelay(state, state.requests.at(answered.request), *attempt, now);
  EndAttempt(state, state.requests.at(answered.request), *attempt,
             answered.outcome, now, actions);
  if (VerdictOf(answered.outcome) != Verdict::kRan) {
    return RetryOrRefuse(state, answered.request, VerdictOf(answered.outcome),
                         RefusalReason::kNoServer, Seconds(1), now, actions);
  }
  FinishRequest(state, answered.request,
                {.verdict = Verdict::kRan,
                 .source = AnswerSource::kBackend,
                 .attempt = answered.attempt,
                 .stored = answered.answer},
                now, actions);
}

void ApplyFailure(EntryState& state,
                  const BackendFailed& failed,
                  TimePoint now,
                  Actions& actions) {
  Attempt* attempt =
      FindAttempt(state, failed.request, failed.attempt, AttemptPhase::kSent);
  if (attempt == nullptr)
    return;
  EndAttempt(state, state.requests.at(failed.request), *attempt, failed.outcome,
             now, actions);
  RetryOrRefuse(state, failed.request, VerdictOf(failed.outcome),
                RefusalReason::kNoServer, Seconds(1), now, actions);
}

void ApplyClaimEvent(EntryState& state,
                     const ClaimEvent& event,
                     TimePoint now,
                     Actions& actions) {
  ClaimActions claim_actions;
  StepClaim(state.claims, event, now, claim_actions);
  for (ClaimAction& action : claim_actions) {
    if (const auto* resolve = std::get_if<Resolve>(&action))
      ApplyResolve(state, *resolve, now, actions);
    else if (const auto* wake = std::get_if<ClaimWake>(&action))
      actions.push_back(WakeAt{wake->at});
    else if (auto* write = std::get_if<WriteClaims>(&action))
      actions.push_back(std::move(*write));
    else if (auto* store = std::get_if<StoreResult>(&action))
      actions.push_back(std::move(*store));
    else if (auto* forward = std::get_if<ForwardToHome>(&action))
      actions.push_back(std::move(*forward));
  }
}

void AdvanceRequests(EntryState& state, TimePoint now, Actions& actions) {
  while (!state.timers.empty() && state.timers.begin()->first <= now) {
    const std::uint64_t id = state.timers.begin()->second;
    state.timers.erase(state.timers.begin());
    const auto found = state.requests.find(id);
    if (found == state.requests.end())
      continue;
    // LibClaim resolves requests that wait for a claim.
    if (found->second.phase == RequestPhase::kClaiming)
      continue;
    if (found->second.arrived.deadline <= now)
      FinishRequest(state, id, {.reason = RefusalReason::kDeadline}, now,
                    actions);
    else if (ConsumeHedgeToken(state, found->second, now))
      StartHedge(state, found->second, now, actions);
  }
  if (!state.timers.empty() && state.timers.begin()->first != kNever)
    actions.push_back(WakeAt{state.timers.begin()->first});
}

void RerouteFromLostOwner(EntryState& state,
                          const std::string& owner,
                          TimePoint now,
                          Actions& actions) {
  std::vector<SlotRefused> refusals;
  for (const auto& [id, request] : state.requests) {
    for (const Attempt& attempt : request.attempts) {
      if (attempt.phase != AttemptPhase::kRequestingSlot ||
          attempt.owner != owner)
        continue;
      CancelAttemptRequest(state, request, attempt, now, actions);
      refusals.push_back(
          {id, attempt.number, RefusalReason::kPeerUnreachable, {}});
    }
  }
  for (const SlotRefused& refusal : refusals)
    ApplyRefusal(state, refusal, now, actions);
}

}  // namespace cicadadrum
