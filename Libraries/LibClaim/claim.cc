// Decisions on claims.

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

namespace {

void Settle(ClaimState& state,
            std::uint64_t request,
            Resolve resolve,
            ClaimActions& actions) {
  resolve.request = request;
  if (resolve.decision != ClaimDecision::kSend)
    state.key_of_request.erase(request);
  actions.push_back(std::move(resolve));
}

// FIXME: Repeats of a running request wait for its outcome; here they are
// refused.
void Ask(ClaimState& state, const ClaimAsked& asked, TimePoint now) {
  ClaimRecord& record = state.records[asked.key.text];
  record.key = asked.key;
  record.request = asked.request;
  record.deadline = asked.deadline;
  record.changed_at = now;
  state.key_of_request[asked.request] = asked.key.text;
}

void Begin(ClaimState& state,
           const ClaimAsked& asked,
           TimePoint now,
           ClaimActions& actions) {
  const auto found = state.records.find(asked.key.text);
  if (found != state.records.end() &&
      found->second.phase == ClaimPhase::kFinished) {
    return Settle(state, asked.request,
                  {.decision = ClaimDecision::kFinished,
                   .verdict = Verdict::kRan,
                   .answer = found->second.answer},
                  actions);
  }
  if (found != state.records.end() &&
      found->second.phase != ClaimPhase::kHeld) {
    return Settle(
        state, asked.request,
        {.verdict = Verdict::kMayHaveRun, .reason = RefusalReason::kKeyInUse},
        actions);
  }
  Ask(state, asked, now);
}

void WriteWaiting(ClaimState& state, ClaimActions& actions) {
  if (state.batch_in_flight != 0)
    return;
  WriteClaims write{
      .batch = state.next_batch,
      .row = {.holder = state.self, .incarnation = state.incarnation}};
  for (auto& [text, record] : state.records) {
    if (record.phase != ClaimPhase::kWaiting)
      continue;
    record.phase = ClaimPhase::kWriting;
    write.keys.push_back(text);
  }
  if (write.keys.empty())
    return;
  state.batch_in_flight = state.next_batch++;
  actions.push_back(std::move(write));
}

void ApplyResult(ClaimState& state,
                 const ClaimWriteResult& result,
                 ClaimActions& actions) {
  const auto found = state.records.find(result.key);
  if (found == state.records.end() ||
      found->second.phase != ClaimPhase::kWriting)
    return;
  ClaimRecord& record = found->second;
  if (result.outcome == ClaimWriteOutcome::kInserted) {
    record.phase = ClaimPhase::kRunning;
    return Settle(state, record.request, {.decision = ClaimDecision::kSend},
                  actions);
  }
  Resolve refusal{.reason = RefusalReason::kStoreDown};
  if (result.outcome == ClaimWriteOutcome::kExists)
    refusal = {.verdict = Verdict::kMayHaveRun,
               .reason = RefusalReason::kKeyInUse};
  if (result.outcome == ClaimWriteOutcome::kExists && result.row.finished)
    refusal = {.decision = ClaimDecision::kFinished,
               .verdict = Verdict::kRan,
               .answer = result.row.answer};
  const std::uint64_t request = record.request;
  state.records.erase(found);
  Settle(state, request, std::move(refusal), actions);
}

void Finish(ClaimState& state,
            const RequestFinished& finished,
            TimePoint now,
            ClaimActions& actions) {
  const auto key = state.key_of_request.find(finished.request);
  if (key == state.key_of_request.end())
    return;
  ClaimRecord& record = state.records[key->second];
  record.request = 0;
  record.changed_at = now;
  record.answer = finished.answer;
  record.phase = finished.verdict == Verdict::kRan      ? ClaimPhase::kFinished
                 : finished.verdict == Verdict::kNotRun ? ClaimPhase::kHeld
                                                        : ClaimPhase::kUnclear;
  if (finished.verdict == Verdict::kRan) {
    actions.push_back(StoreResult{key->second,
                                  {.holder = state.self,
                                   .incarnation = state.incarnation,
                                   .finished = true,
                                   .answer = finished.answer}});
  }
  state.key_of_request.erase(key);
}

struct EventHandler {
  ClaimState& state;
  TimePoint now;
  ClaimActions& actions;

  void operator()(const ClaimAsked& asked) const {
    Begin(state, asked, now, actions);
  }
  void operator()(const WriteAnswered& answered) const {
    if (answered.batch != state.batch_in_flight)
      return;
    state.batch_in_flight = 0;
    for (const ClaimWriteResult& result : answered.results)
      ApplyResult(state, result, actions);
  }
  void operator()(const HomeAnswered& /*answered*/) const {}
  void operator()(const RequestFinished& finished) const {
    Finish(state, finished, now, actions);
  }
  void operator()(const ClaimTimerExpired& /*expired*/) const {}
};

}  // namespace

void StepClaim(ClaimState& state,
               const ClaimEvent& event,
               TimePoint now,
               ClaimActions& actions) {
  std::visit(EventHandler{state, now, actions}, event);
  WriteWaiting(state, actions);
}

RequestKey IssueRequestKey(ClaimState& state) {
  const KeyKind kind = state.table_up ? KeyKind::kClaimed : KeyKind::kHomeOnly;
  return IssueKey(kind, state.self, state.incarnation, state.next_serial++);
}

}  // namespace cicadadrum
