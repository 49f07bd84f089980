// Maintains claim records.

#include "claim_records.h"

#include <algorithm>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

void SetTimer(ClaimState& state, ClaimRecord& record, TimePoint at) {
  if (record.wake_at == at)
    return;
  if (record.wake_at != kNever)
    state.timers.erase({record.wake_at, record.key.text});
  record.wake_at = at;
  if (at != kNever)
    state.timers.insert({at, record.key.text});
}

void RemoveFromEnded(ClaimState& state, ClaimRecord& record) {
  if (state.ended.erase({record.changed_at, record.key.text}) > 0)
    state.answer_bytes -= record.answer.body.size();
}

void MarkSerialUsed(ClaimState& state, std::uint64_t serial) {
  UsedKeys& used = state.used;
  if (serial < used.watermark)
    return;
  used.serials.insert(serial);
  // Beyond the bound the watermark also passes unused serials. Their keys are
  // then refused with "may have run", which is safe.
  if (used.serials.size() > state.limits.max_used)
    used.watermark = *used.serials.begin();
  while (used.serials.erase(used.watermark) > 0)
    ++used.watermark;
}

}  // namespace

ClaimRecord* FindRecord(ClaimState& state, const std::string& key) {
  const auto found = state.records.find(key);
  return found == state.records.end() ? nullptr : &found->second;
}

ClaimRecord& CreateRecord(ClaimState& state, const ClaimRequested& requested) {
  ClaimRecord& record = state.records[requested.key.text];
  record.key = requested.key;
  record.claim = state.next_claim++;
  AddWaitingRequest(state, record, requested);
  return record;
}

void AddWaitingRequest(ClaimState& state,
                       ClaimRecord& record,
                       const ClaimRequested& requested) {
  record.waiting.push_back(requested);
  state.key_of_request[requested.request] = record.key.text;
  Reschedule(state, record);
}

void Reschedule(ClaimState& state, ClaimRecord& record) {
  TimePoint at = record.retry_at;
  for (const ClaimRequested& requested : record.waiting)
    at = std::min(at, requested.deadline);
  SetTimer(state, record, at);
}

void ResolveAll(ClaimState& state,
                ClaimRecord& record,
                const Resolve& resolve,
                ClaimActions& actions) {
  for (const ClaimRequested& requested : record.waiting) {
    state.key_of_request.erase(requested.request);
    Resolve request_resolve = resolve;
    request_resolve.request = requested.request;
    actions.push_back(std::move(request_resolve));
  }
  record.waiting.clear();
}

void RefuseRequests(ClaimState& state,
                    const ClaimRecord& record,
                    const std::vector<ClaimRequested>& refused,
                    RefusalReason reason,
                    ClaimActions& actions) {
  const bool sendable = record.phase == ClaimPhase::kAtHome ||
                        record.phase == ClaimPhase::kRunning ||
                        !record.waiting.empty();
  const Verdict verdict =
      sendable ? Verdict::kMayHaveRun : record.unsent_verdict;
  for (const ClaimRequested& requested : refused) {
    state.key_of_request.erase(requested.request);
    actions.push_back(Resolve{
        .request = requested.request, .verdict = verdict, .reason = reason});
  }
}

void SendOldestOrKeepClaim(ClaimState& state,
                           ClaimRecord& record,
                           TimePoint now,
                           ClaimActions& actions) {
  record.running_request = 0;
  record.retry_at = kNever;
  record.unsent_verdict = Verdict::kNotRun;
  if (record.waiting.empty())
    return EndRecord(state, record, ClaimPhase::kClaimedUnsent, now);
  record.phase = ClaimPhase::kRunning;
  record.running_request = record.waiting.front().request;
  record.waiting.erase(record.waiting.begin());
  Reschedule(state, record);
  actions.push_back(Resolve{.request = record.running_request,
                            .decision = ClaimDecision::kSend});
}

void EndRecord(ClaimState& state,
               ClaimRecord& record,
               ClaimPhase phase,
               TimePoint now) {
  record.phase = phase;
  record.running_request = 0;
  record.retry_at = kNever;
  record.changed_at = now;
  if (record.answer.body.size() > kMaxStoredBody) {
    record.answer.body.clear();
    record.answer.truncated = true;
  }
  Reschedule(state, record);
  state.ended.insert({now, record.key.text});
  state.answer_bytes += record.answer.body.size();
}

void ReopenRecord(ClaimState& state, ClaimRecord& record) {
  RemoveFromEnded(state, record);
  record.phase = ClaimPhase::kWaiting;
}

void EraseRecord(ClaimState& state, const std::string& key) {
  const auto found = state.records.find(key);
  if (found == state.records.end())
    return;
  RemoveFromEnded(state, found->second);
  SetTimer(state, found->second, kNever);
  state.to_write.erase(found->second.claim);
  state.records.erase(found);
}

void RemoveOldRecords(ClaimState& state, TimePoint now) {
  while (!state.ended.empty()) {
    const auto [changed_at, key] = *state.ended.begin();
    if (now - changed_at < state.limits.retention &&
        state.ended.size() <= state.limits.max_ended &&
        state.answer_bytes <= state.limits.max_answer_bytes)
      return;
    EraseRecord(state, key);
  }
}

bool IsUsed(const ClaimState& state, const RequestKey& key) {
  if (!IsIssuedByThisIncarnation(state, key))
    return state.used.other_keys.hashes.contains(HashBytes(key.text));
  return key.serial < state.used.watermark ||
         state.used.serials.contains(key.serial);
}

void MarkUsed(ClaimState& state, const RequestKey& key) {
  if (IsIssuedByThisIncarnation(state, key))
    return MarkSerialUsed(state, key.serial);
  AddHash(state.used.other_keys, HashBytes(key.text), state.limits.max_used);
}

bool AddHash(HashHistory& history, std::uint64_t hash, std::size_t bound) {
  if (!history.hashes.insert(hash).second)
    return false;
  history.order.push_back(hash);
  if (history.order.size() > bound) {
    history.hashes.erase(history.order.front());
    history.order.pop_front();
  }
  return true;
}

bool IsIssuedByThisIncarnation(const ClaimState& state, const RequestKey& key) {
  return key.home == state.self && key.incarnation == state.incarnation;
}

}  // namespace cicadadrum
