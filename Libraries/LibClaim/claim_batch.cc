// Writes claims to the table in batches.

#include "claim_batch.h"

#include <algorithm>

#include "claim_records.h"

namespace cicadadrum {

namespace {

ClaimRow MakeRow(const ClaimState& state, const ClaimRecord& record) {
  return {.holder = state.self,
          .incarnation = state.incarnation,
          .claim = record.claim};
}

bool IsRowOfRecord(const ClaimState& state,
                   const ClaimRecord& record,
                   const ClaimRow& row) {
  return row.incarnation == state.incarnation && row.claim == record.claim &&
         !row.finished;
}

// No request was sent, so the same claim can be written again until the
// deadlines of the waiting requests.
void ScheduleRewrite(ClaimState& state, ClaimRecord& record, TimePoint now) {
  record.maybe_written = true;
  if (record.waiting.empty())
    return EndRecord(state, record, ClaimPhase::kUncertain, now);
  record.phase = ClaimPhase::kWaiting;
  record.retry_at = now + state.limits.rewrite_delay;
  Reschedule(state, record);
}

void ApplyInserted(ClaimState& state,
                   ClaimRecord& record,
                   TimePoint now,
                   ClaimActions& actions) {
  if (record.may_send)
    return SendOldestOrKeepClaim(state, record, now, actions);
  // The request may have run here before its record was removed, and its row no
  // longer exists. The new row prevents other entry VMs from running the
  // request.
  ResolveAll(
      state, record,
      {.verdict = Verdict::kMayHaveRun, .reason = RefusalReason::kKeyInUse},
      actions);
  EndRecord(state, record, ClaimPhase::kOutcomeUnknown, now);
}

void ApplyExists(ClaimState& state,
                 ClaimRecord& record,
                 const ClaimRow& row,
                 TimePoint now,
                 ClaimActions& actions) {
  if (row.finished) {
    record.answer = row.answer;
    ResolveAll(state, record,
               {.decision = ClaimDecision::kFinished,
                .verdict = Verdict::kRan,
                .answer = row.answer},
               actions);
    return EndRecord(state, record, ClaimPhase::kFinished, now);
  }
  ResolveAll(
      state, record,
      {.verdict = Verdict::kMayHaveRun, .reason = RefusalReason::kKeyInUse},
      actions);
  // The holder may still finish the row, so a later repeat must read it again.
  EraseRecord(state, std::string(record.key.text));
}

void ApplyFailed(ClaimState& state,
                 ClaimRecord& record,
                 TimePoint now,
                 ClaimActions& actions) {
  if (record.maybe_written)
    return ScheduleRewrite(state, record, now);
  ResolveAll(
      state, record,
      {.verdict = record.unsent_verdict, .reason = RefusalReason::kStoreDown},
      actions);
  EraseRecord(state, std::string(record.key.text));
}

void ApplyResult(ClaimState& state,
                 ClaimRecord& record,
                 const ClaimWriteResult& result,
                 TimePoint now,
                 ClaimActions& actions) {
  switch (result.outcome) {
    case ClaimWriteOutcome::kInserted:
      return ApplyInserted(state, record, now, actions);
    case ClaimWriteOutcome::kExists:
      if (IsRowOfRecord(state, record, result.row))
        return ApplyInserted(state, record, now, actions);
      return ApplyExists(state, record, result.row, now, actions);
    case ClaimWriteOutcome::kUncertain:
      return ScheduleRewrite(state, record, now);
    case ClaimWriteOutcome::kFailed:
      return ApplyFailed(state, record, now, actions);
  }
}

// Returns the result of the key; kUncertain if the response contains none.
ClaimWriteResult ResultFor(const ClaimWriteCompleted& answered,
                           const std::string& key) {
  const auto found = std::find_if(
      answered.results.begin(), answered.results.end(),
      [&](const ClaimWriteResult& result) { return result.key == key; });
  if (found == answered.results.end())
    return {.key = key, .outcome = ClaimWriteOutcome::kUncertain};
  return *found;
}

void UpdateTableState(ClaimState& state, ClaimWriteOutcome outcome) {
  if (outcome == ClaimWriteOutcome::kFailed)
    state.table_up = false;
  else if (outcome != ClaimWriteOutcome::kUncertain)
    state.table_up = true;
}

}  // namespace

void QueueWrite(ClaimState& state, ClaimRecord& record) {
  record.phase = ClaimPhase::kWaiting;
  record.retry_at = kNever;
  Reschedule(state, record);
  state.to_write[record.claim] = record.key.text;
}

void WriteQueuedClaims(ClaimState& state, ClaimActions& actions) {
  if (state.batch_in_flight != 0 || state.to_write.empty())
    return;
  WriteClaims batch{.batch = state.next_batch};
  while (!state.to_write.empty() &&
         batch.writes.size() < state.limits.max_batch) {
    const auto next = state.to_write.begin();
    ClaimRecord& record = state.records.at(next->second);
    record.phase = ClaimPhase::kWriting;
    batch.writes.push_back({next->second, MakeRow(state, record)});
    state.batch_keys.push_back(next->second);
    state.to_write.erase(next);
  }
  state.batch_in_flight = state.next_batch++;
  actions.push_back(std::move(batch));
}

void ApplyWriteAnswer(ClaimState& state,
                      const ClaimWriteCompleted& answered,
                      TimePoint now,
                      ClaimActions& actions) {
  if (answered.batch != state.batch_in_flight || answered.batch == 0)
    return;
  state.batch_in_flight = 0;
  const std::vector<std::string> keys = std::move(state.batch_keys);
  state.batch_keys.clear();
  for (const std::string& key : keys) {
    const ClaimWriteResult result = ResultFor(answered, key);
    UpdateTableState(state, result.outcome);
    ClaimRecord* record = FindRecord(state, key);
    if (record != nullptr && record->phase == ClaimPhase::kWriting)
      ApplyResult(state, *record, result, now, actions);
  }
}

}  // namespace cicadadrum
