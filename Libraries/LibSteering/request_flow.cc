// Requests at the entry VM that admitted them.
//
// Invariant: each request in EntryState::requests is answered exactly once,
// when it is removed.

#include "request_flow.h"

#include <algorithm>

#include "admission.h"
#include "pool_flow.h"
#include "routing.h"

namespace cicadadrum {

namespace {

constexpr std::uint32_t kMaxAttempts = 3;
constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 20;

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

// Gives back what an attempt holds. An attempt that was sent and has no outcome
// is cancelled at the server.
void EndAttempt(EntryState& state,
                const Request& request,
                Attempt& attempt,
                AttemptOutcome outcome,
                TimePoint now,
                Actions& actions) {
  if (attempt.phase == AttemptPhase::kEnded)
    return;
  const bool asking = attempt.phase == AttemptPhase::kAsking;
  attempt.phase = AttemptPhase::kEnded;
  if (asking)
    return CancelAsk(state, request, attempt, now, actions);
  if (outcome == AttemptOutcome::kCancelled ||
      outcome == AttemptOutcome::kTimedOut)
    actions.push_back(CancelAtBackend{request.arrived.request, attempt.number});
  if (attempt.owner.empty())
    state.direct_requests.erase(attempt.server);
  else
    ReturnLease(state, attempt, outcome, now - attempt.sent_at, now, actions);
}

// Removes the request and answers it. Attempts that are still under way are
// cancelled.
void Finish(EntryState& state,
            std::uint64_t id,
            AnswerCaller answer,
            TimePoint now,
            Actions& actions) {
  const auto found = state.requests.find(id);
  if (found == state.requests.end())
    return;
  Request request = std::move(found->second);
  state.requests.erase(found);
  for (Attempt& attempt : request.attempts) {
    if (attempt.phase == AttemptPhase::kSent)
      request.verdict = Combine(request.verdict, Verdict::kMayHaveRun);
    EndAttempt(state, request, attempt, AttemptOutcome::kCancelled, now,
               actions);
  }
  answer.request = id;
  if (answer.source == AnswerSource::kSelf)
    answer.verdict = Combine(answer.verdict, request.verdict);
  const bool held_claim = request.phase == RequestPhase::kAttempting &&
                          !IsIdempotent(request.arrived.request_class);
  const RequestFinished finished{id, answer.verdict, answer.stored,
                                 answer.reason};
  actions.push_back(std::move(answer));
  if (held_claim)
    ApplyClaimEvent(state, finished, now, actions);
}

void StartAttempt(EntryState& state,
                  Request& request,
                  TimePoint now,
                  Actions& actions) {
  const auto pool = ChoosePool(state, request);
  const std::uint64_t id = request.arrived.request;
  if (!pool)
    return Finish(
        state, id,
        {.reason = RefusalReason::kNoServer, .retry_after = Seconds(1)}, now,
        actions);
  Attempt attempt{
      .number = static_cast<std::uint32_t>(request.attempts.size() + 1),
      .pool = *pool};
  attempt.owner = PoolOwner(state, *pool);
  request.attempts.push_back(attempt);
  AskForSlot(state, request, request.attempts.back(), now, actions);
}

bool TakeRetryToken(RetryBudget& budget) {
  if (budget.tokens < 1)
    return false;
  budget.tokens -= 1;
  return true;
}

bool MayRetry(EntryState& state,
              const Request& request,
              Verdict ended,
              TimePoint now) {
  if (request.attempts.size() >= kMaxAttempts ||
      now >= request.arrived.deadline)
    return false;
  if (!IsIdempotent(request.arrived.request_class) && ended != Verdict::kNotRun)
    return false;
  return TakeRetryToken(state.retry_budget);
}

void RetryOrRefuse(EntryState& state,
                   std::uint64_t id,
                   Verdict ended,
                   RefusalReason reason,
                   Duration retry_after,
                   TimePoint now,
                   Actions& actions) {
  Request& request = state.requests.at(id);
  request.verdict = Combine(request.verdict, ended);
  if (MayRetry(state, request, ended, now))
    return StartAttempt(state, request, now, actions);
  Finish(state, id, {.reason = reason, .retry_after = retry_after}, now,
         actions);
}

// A repeat of a request that ran here must not be called "not run" when it is
// refused at admission.
Verdict RefusalVerdictOf(const EntryState& state,
                         const RequestArrived& arrived) {
  const auto key = ParseRequestKey(arrived.key);
  if (IsIdempotent(arrived.request_class) || !key)
    return Verdict::kNotRun;
  return RefusalVerdict(state.claims, *key);
}

bool WasSent(const Request& request) {
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
    // The caller left while the claim was written. The claim stays held for a
    // repeat.
    if (resolve.decision == ClaimDecision::kSend)
      ApplyClaimEvent(state,
                      RequestFinished{resolve.request,
                                      Verdict::kNotRun,
                                      {},
                                      RefusalReason::kCallerGone},
                      now, actions);
    return;
  }
  switch (resolve.decision) {
    case ClaimDecision::kSend:
      found->second.phase = RequestPhase::kAttempting;
      return StartAttempt(state, found->second, now, actions);
    case ClaimDecision::kFinished:
      return Finish(state, resolve.request,
                    {.verdict = Verdict::kRan,
                     .source = AnswerSource::kStored,
                     .stored = resolve.answer},
                    now, actions);
    case ClaimDecision::kRefuse:
      return Finish(state, resolve.request,
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
  state.retry_budget.tokens = std::min(
      state.retry_budget.tokens + kRetryTokensPerRequest, kMaxRetryTokens);
  Request& request = state.requests[arrived.request];
  request.arrived = arrived;
  request.arrived_at = now;
  actions.push_back(WakeAt{arrived.deadline});
  if (IsIdempotent(arrived.request_class))
    return StartAttempt(state, request, now, actions);
  request.phase = RequestPhase::kClaiming;
  const ClaimAsked asked{arrived.request, *ParseRequestKey(arrived.key),
                         arrived.deadline, arrived.forwarded};
  ApplyClaimEvent(state, asked, now, actions);
}

void EndForCaller(EntryState& state,
                  const CallerGone& gone,
                  TimePoint now,
                  Actions& actions) {
  const auto found = state.requests.find(gone.request);
  if (found == state.requests.end())
    return;
  // LibClaim knows whether the request may run elsewhere or as a repeat.
  if (found->second.phase == RequestPhase::kClaiming)
    return ApplyClaimEvent(state, ClaimAbandoned{gone.request}, now, actions);
  // A non-idempotent request that was sent goes on, so that a repeat gets its
  // response.
  if (!IsIdempotent(found->second.arrived.request_class) &&
      WasSent(found->second))
    return;
  Finish(state, gone.request, {.reason = RefusalReason::kCallerGone}, now,
         actions);
}

void ApplyGrant(EntryState& state,
                const SlotGranted& granted,
                TimePoint now,
                Actions& actions) {
  Attempt* attempt = FindAttempt(state, granted.request, granted.attempt,
                                 AttemptPhase::kAsking);
  if (attempt == nullptr)
    return;
  const Request& request = state.requests.at(granted.request);
  attempt->lease = granted.lease;
  attempt->server = granted.server;
  attempt->sent_at = now;
  attempt->phase = AttemptPhase::kSent;
  actions.push_back(SendToBackend{granted.request, granted.attempt,
                                  granted.server, granted.address,
                                  request.arrived.deadline});
}

void ApplyRefusal(EntryState& state,
                  const SlotRefused& refused,
                  TimePoint now,
                  Actions& actions) {
  Attempt* attempt = FindAttempt(state, refused.request, refused.attempt,
                                 AttemptPhase::kAsking);
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
                 const BackendAnswered& answered,
                 TimePoint now,
                 Actions& actions) {
  Attempt* attempt = FindAttempt(state, answered.request, answered.attempt,
                                 AttemptPhase::kSent);
  if (attempt == nullptr)
    return;
  EndAttempt(state, state.requests.at(answered.request), *attempt,
             answered.outcome, now, actions);
  if (VerdictOf(answered.outcome) != Verdict::kRan) {
    return RetryOrRefuse(state, answered.request, VerdictOf(answered.outcome),
                         RefusalReason::kNoServer, Seconds(1), now, actions);
  }
  Finish(state, answered.request,
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
    else if (auto* ask = std::get_if<AskHome>(&action))
      actions.push_back(std::move(*ask));
  }
}

void ExpireRequests(EntryState& state, TimePoint now, Actions& actions) {
  std::vector<std::uint64_t> expired;
  for (const auto& [id, request] : state.requests) {
    // LibClaim resolves the requests that wait for a claim.
    if (request.arrived.deadline <= now &&
        request.phase == RequestPhase::kAttempting)
      expired.push_back(id);
  }
  for (const std::uint64_t id : expired)
    Finish(state, id, {.reason = RefusalReason::kDeadline}, now, actions);
}

}  // namespace cicadadrum
