// Decides who may send a request and how its repeats are resolved.
//
// At most one execution per key follows from three rules. A request is sent
// only while its record is in phase kRunning. The record of a claimed key or of
// a caller's key enters that phase only if the row of that record is in the
// table. The record of a home-only key enters that phase only at the
// incarnation that issued the key; if the request may have run, its serial
// stays in UsedKeys after the record has been removed.

#include "cicadadrum/claim/claim.h"

#include <algorithm>

#include "cicadadrum/base/hash.h"
#include "claim_batch.h"
#include "claim_records.h"

namespace cicadadrum {

namespace {

enum class HomeLocation : std::uint8_t {
  kThisIncarnation,      // This incarnation is the key's home.
  kNone,                 // The key has no home.
  kPreviousIncarnation,  // The home was an earlier run of this entry VM.
  kOtherEntryVm,         // The home is another entry VM.
};

HomeLocation LocateHome(const ClaimState& state, const RequestKey& key) {
  if (key.kind == KeyKind::kCaller)
    return HomeLocation::kNone;
  if (key.home != state.self)
    return HomeLocation::kOtherEntryVm;
  return IsIssuedByThisIncarnation(state, key)
             ? HomeLocation::kThisIncarnation
             : HomeLocation::kPreviousIncarnation;
}

void Refuse(std::uint64_t request,
            Verdict verdict,
            RefusalReason reason,
            ClaimActions& actions) {
  actions.push_back(
      Resolve{.request = request, .verdict = verdict, .reason = reason});
}

void BeginClaimWrite(ClaimState& state, ClaimRecord& record) {
  record.may_send = !IsUsed(state, record.key);
  // An entry VM that takes over a key of another home can exclude that the home
  // ran the request only by inserting a row.
  const bool taken_over = record.key.kind != KeyKind::kCaller &&
                          !IsIssuedByThisIncarnation(state, record.key);
  if (taken_over || !record.may_send)
    record.unsent_verdict = Verdict::kMayHaveRun;
  QueueWrite(state, record);
}

void SendToHome(ClaimState& state, ClaimRecord& record, ClaimActions& actions) {
  record.phase = ClaimPhase::kAtHome;
  record.retry_at = kNever;
  record.home_request = record.waiting.front().request;
  ++record.home_attempt;
  Reschedule(state, record);
  actions.push_back(ForwardToHome{record.home_request, record.home_attempt,
                                  record.key.home, record.key.incarnation});
}

// Returns whether this forwarded request has arrived before. A duplicate must
// not be sent: the entry VM that forwarded the request may already have
// received "not run" for it.
bool IsDuplicateForward(ClaimState& state, const ForwardOrigin& origin) {
  if (origin.attempt == 0)
    return false;
  const std::string text = FormatIncarnation(origin.incarnation) + '.' +
                           std::to_string(origin.request) + '.' +
                           std::to_string(origin.attempt);
  return !AddHash(state.forward_origins, HashBytes(text),
                  state.limits.max_origins);
}

void HandleNewKey(ClaimState& state,
                  const ClaimRequested& requested,
                  TimePoint now,
                  ClaimActions& actions) {
  const HomeLocation location = LocateHome(state, requested.key);
  const bool home_only = requested.key.kind == KeyKind::kHomeOnly;
  if (location == HomeLocation::kThisIncarnation &&
      requested.key.serial >= state.next_serial)
    return Refuse(requested.request, Verdict::kNotRun,
                  RefusalReason::kKeyMissing, actions);
  if (location == HomeLocation::kThisIncarnation && home_only &&
      IsUsed(state, requested.key))
    return Refuse(requested.request, Verdict::kMayHaveRun,
                  RefusalReason::kKeyInUse, actions);
  if ((location == HomeLocation::kPreviousIncarnation && home_only) ||
      (location == HomeLocation::kOtherEntryVm && requested.forwarded))
    return Refuse(requested.request, Verdict::kMayHaveRun,
                  RefusalReason::kPeerUnreachable, actions);
  ClaimRecord& record = CreateRecord(state, requested);
  if (location == HomeLocation::kOtherEntryVm)
    return SendToHome(state, record, actions);
  if (home_only)
    return SendOldestOrKeepClaim(state, record, now, actions);
  BeginClaimWrite(state, record);
}

void HandleKnownKey(ClaimState& state,
                    ClaimRecord& record,
                    const ClaimRequested& requested,
                    TimePoint now,
                    ClaimActions& actions) {
  switch (record.phase) {
    case ClaimPhase::kFinished:
      actions.push_back(Resolve{.request = requested.request,
                                .decision = ClaimDecision::kFinished,
                                .verdict = Verdict::kRan,
                                .answer = record.answer});
      return;
    case ClaimPhase::kOutcomeUnknown:
      return Refuse(requested.request, Verdict::kMayHaveRun,
                    RefusalReason::kKeyInUse, actions);
    case ClaimPhase::kClaimedUnsent:
      ReopenRecord(state, record);
      AddWaitingRequest(state, record, requested);
      return SendOldestOrKeepClaim(state, record, now, actions);
    case ClaimPhase::kUncertain:
      ReopenRecord(state, record);
      AddWaitingRequest(state, record, requested);
      return QueueWrite(state, record);
    case ClaimPhase::kWaiting:
    case ClaimPhase::kWriting:
    case ClaimPhase::kAtHome:
    case ClaimPhase::kRunning:
      return AddWaitingRequest(state, record, requested);
  }
}

// Continues a record after waiting requests have been removed from it.
void ContinueAfterRemoval(ClaimState& state,
                          ClaimRecord& record,
                          TimePoint now,
                          ClaimActions& actions) {
  Reschedule(state, record);
  if (record.phase == ClaimPhase::kAtHome && !record.waiting.empty()) {
    const bool forwarded_request_removed =
        record.home_request != 0 &&
        record.home_request != record.waiting.front().request;
    if (!forwarded_request_removed)
      return;
    record.forward_unanswered = true;
    return SendToHome(state, record, actions);
  }
  if (!record.waiting.empty())
    return;
  if (record.phase == ClaimPhase::kAtHome ||
      (record.phase == ClaimPhase::kWaiting && !record.maybe_written))
    return EraseRecord(state, std::string(record.key.text));
  if (record.phase != ClaimPhase::kWaiting)
    return;
  state.to_write.erase(record.claim);
  EndRecord(state, record, ClaimPhase::kUncertain, now);
}

RefusalReason ReasonAtDeadline(const ClaimRecord& record) {
  if (record.phase == ClaimPhase::kAtHome && record.home_request == 0)
    return RefusalReason::kPeerUnreachable;
  return record.maybe_written ? RefusalReason::kStoreDown
                              : RefusalReason::kDeadline;
}

void ExpireRecord(ClaimState& state,
                  ClaimRecord& record,
                  TimePoint now,
                  ClaimActions& actions) {
  const auto expired = [now](const ClaimRequested& requested) {
    return requested.deadline <= now;
  };
  RefuseMatching(state, record, expired, ReasonAtDeadline(record), actions);
  if (record.retry_at > now || record.waiting.empty())
    return ContinueAfterRemoval(state, record, now, actions);
  if (record.phase == ClaimPhase::kAtHome)
    return SendToHome(state, record, actions);
  QueueWrite(state, record);
}

void ExpireDueRecords(ClaimState& state, TimePoint now, ClaimActions& actions) {
  while (!state.timers.empty() && state.timers.begin()->first <= now) {
    const std::string key = state.timers.begin()->second;
    ExpireRecord(state, state.records.at(key), now, actions);
  }
}

void ApplyHomeResponse(ClaimState& state,
                       ClaimRecord& record,
                       const HomeResponded& answered,
                       TimePoint now,
                       ClaimActions& actions) {
  if (answered.verdict == Verdict::kRan) {
    record.answer = answered.answer;
    ResolveAll(state, record,
               {.decision = ClaimDecision::kFinished,
                .verdict = Verdict::kRan,
                .answer = answered.answer},
               actions);
    return EndRecord(state, record, ClaimPhase::kFinished, now);
  }
  // An earlier copy of the request may still reach the home and run there, or
  // this entry VM took over the key while it considered the home dead.
  const bool may_have_run =
      record.forward_unanswered || IsUsed(state, record.key);
  const Verdict verdict =
      may_have_run ? Verdict::kMayHaveRun : answered.verdict;
  ResolveAll(state, record, {.verdict = verdict, .reason = answered.reason},
             actions);
  EraseRecord(state, std::string(record.key.text));
}

void ApplyHomeFailure(ClaimState& state,
                      ClaimRecord& record,
                      const HomeResponded& answered,
                      TimePoint now,
                      ClaimActions& actions) {
  record.home_request = 0;
  record.forward_unanswered = record.forward_unanswered || answered.sent;
  if (!answered.home_dead) {
    record.retry_at = now + state.limits.home_retry_delay;
    return Reschedule(state, record);
  }
  if (record.key.kind != KeyKind::kHomeOnly)
    return BeginClaimWrite(state, record);
  ResolveAll(state, record,
             {.verdict = Verdict::kMayHaveRun,
              .reason = RefusalReason::kPeerUnreachable},
             actions);
  EraseRecord(state, std::string(record.key.text));
}

void FinishRan(ClaimState& state,
               ClaimRecord& record,
               const RequestFinished& finished,
               TimePoint now,
               ClaimActions& actions) {
  MarkUsed(state, record.key);
  record.answer = finished.answer;
  ResolveAll(state, record,
             {.decision = ClaimDecision::kFinished,
              .verdict = Verdict::kRan,
              .answer = finished.answer},
             actions);
  EndRecord(state, record, ClaimPhase::kFinished, now);
  if (record.key.kind == KeyKind::kHomeOnly)
    return;
  actions.push_back(StoreResult{record.key.text,
                                {.holder = state.self,
                                 .incarnation = state.incarnation,
                                 .claim = record.claim,
                                 .finished = true,
                                 .answer = record.answer}});
}

void Finish(ClaimState& state,
            ClaimRecord& record,
            const RequestFinished& finished,
            TimePoint now,
            ClaimActions& actions) {
  state.key_of_request.erase(finished.request);
  if (finished.verdict == Verdict::kRan)
    return FinishRan(state, record, finished, now, actions);
  // The caller did not receive the verdict, so a waiting repeat may still be
  // sent.
  if (finished.verdict == Verdict::kNotRun &&
      finished.reason == RefusalReason::kCallerDisconnected)
    return SendOldestOrKeepClaim(state, record, now, actions);
  ResolveAll(state, record,
             {.verdict = finished.verdict, .reason = finished.reason}, actions);
  if (finished.verdict == Verdict::kNotRun)
    return EndRecord(state, record, ClaimPhase::kClaimedUnsent, now);
  MarkUsed(state, record.key);
  EndRecord(state, record, ClaimPhase::kOutcomeUnknown, now);
}

struct EventHandler {
  ClaimState& state;
  TimePoint now;
  ClaimActions& actions;

  ClaimRecord* RecordOf(std::uint64_t request) const {
    const auto key = state.key_of_request.find(request);
    return key == state.key_of_request.end() ? nullptr
                                             : FindRecord(state, key->second);
  }

  void operator()(const ClaimRequested& requested) const {
    if (requested.forwarded && IsDuplicateForward(state, requested.origin))
      return Refuse(requested.request, Verdict::kMayHaveRun,
                    RefusalReason::kKeyInUse, actions);
    ClaimRecord* record = FindRecord(state, requested.key.text);
    if (record == nullptr)
      return HandleNewKey(state, requested, now, actions);
    HandleKnownKey(state, *record, requested, now, actions);
  }
  void operator()(const ClaimWriteCompleted& answered) const {
    ApplyWriteAnswer(state, answered, now, actions);
  }
  void operator()(const HomeResponded& answered) const {
    ClaimRecord* record = RecordOf(answered.request);
    if (record == nullptr || record->phase != ClaimPhase::kAtHome ||
        record->home_request != answered.request ||
        record->home_attempt != answered.attempt)
      return;
    if (answered.reached)
      return ApplyHomeResponse(state, *record, answered, now, actions);
    ApplyHomeFailure(state, *record, answered, now, actions);
  }
  void operator()(const RequestFinished& finished) const {
    ClaimRecord* record = RecordOf(finished.request);
    if (record != nullptr && record->running_request == finished.request)
      Finish(state, *record, finished, now, actions);
  }
  void operator()(const ClaimAbandoned& abandoned) const {
    ClaimRecord* record = RecordOf(abandoned.request);
    if (record == nullptr || record->running_request == abandoned.request)
      return;
    const auto is_abandoned = [&](const ClaimRequested& requested) {
      return requested.request == abandoned.request;
    };
    RefuseMatching(state, *record, is_abandoned,
                   RefusalReason::kCallerDisconnected, actions);
    ContinueAfterRemoval(state, *record, now, actions);
  }
  void operator()(const TableChanged& changed) const {
    state.table_up = changed.up;
  }
  void operator()(const ClaimTimerExpired& /*expired*/) const {
    // The timer may have expired for an earlier ClaimWake, so StepClaim must
    // send the next one again.
    state.next_wake = kNever;
  }
};

TimePoint NextWake(const ClaimState& state) {
  TimePoint at = kNever;
  if (!state.timers.empty())
    at = state.timers.begin()->first;
  if (!state.ended.empty())
    at = std::min(at, state.ended.begin()->first + state.limits.retention);
  return at;
}

}  // namespace

void StepClaim(ClaimState& state,
               const ClaimEvent& event,
               TimePoint now,
               ClaimActions& actions) {
  ExpireDueRecords(state, now, actions);
  std::visit(EventHandler{state, now, actions}, event);
  RemoveOldRecords(state, now);
  WriteQueuedClaims(state, actions);
  const TimePoint wake = NextWake(state);
  if (wake != state.next_wake && wake != kNever)
    actions.push_back(ClaimWake{wake});
  state.next_wake = wake;
}

Verdict RefusalVerdict(const ClaimState& state, const RequestKey& key) {
  if (IsUsed(state, key))
    return Verdict::kMayHaveRun;
  const auto found = state.records.find(key.text);
  if (found == state.records.end())
    return Verdict::kNotRun;
  const ClaimPhase phase = found->second.phase;
  const bool known_unsent =
      phase == ClaimPhase::kClaimedUnsent || phase == ClaimPhase::kUncertain;
  return known_unsent ? found->second.unsent_verdict : Verdict::kMayHaveRun;
}

RequestKey IssueRequestKey(ClaimState& state) {
  const KeyKind kind = state.table_up ? KeyKind::kClaimed : KeyKind::kHomeOnly;
  return IssueKey(kind, state.self, state.incarnation, state.next_serial++);
}

}  // namespace cicadadrum
