// Decisions on claims: who may send a request, and what its repeats get.
//
// At most one execution per key follows from three rules. A request is sent
// only in phase kRunning. A record of a claimed or a caller's key gets there
// only if its own row is in the table. A record of a home-only key gets there
// only at the incarnation that issued the key, and a forgotten one leaves its
// serial in UsedKeys if it may have run.

#include "cicadadrum/claim/claim.h"

#include <algorithm>

#include "cicadadrum/base/hash.h"
#include "claim_batch.h"
#include "claim_records.h"

namespace cicadadrum {

namespace {

enum class KeyPlace : std::uint8_t {
  kSelf,     // This incarnation is the key's home.
  kNowhere,  // The key has no home.
  kGone,     // Its home was an earlier run of this entry VM.
  kOther,    // Its home is another entry VM.
};

KeyPlace PlaceOf(const ClaimState& state, const RequestKey& key) {
  if (key.kind == KeyKind::kCaller)
    return KeyPlace::kNowhere;
  if (key.home != state.self)
    return KeyPlace::kOther;
  return IsOwnKey(state, key) ? KeyPlace::kSelf : KeyPlace::kGone;
}

void Refuse(std::uint64_t request,
            Verdict verdict,
            RefusalReason reason,
            ClaimActions& actions) {
  actions.push_back(
      Resolve{.request = request, .verdict = verdict, .reason = reason});
}

void StartClaim(ClaimState& state, ClaimRecord& record) {
  record.may_send = !IsUsed(state, record.key);
  // Another entry VM that takes a key over can't exclude that the home ran it
  // unless its own row is inserted.
  const bool taken_over =
      record.key.kind != KeyKind::kCaller && !IsOwnKey(state, record.key);
  if (taken_over || !record.may_send)
    record.unsent_verdict = Verdict::kMayHaveRun;
  QueueWrite(state, record);
}

void AskHomeNow(ClaimState& state, ClaimRecord& record, ClaimActions& actions) {
  record.phase = ClaimPhase::kAtHome;
  record.retry_at = kNever;
  record.home_request = record.asked.front().request;
  ++record.home_attempt;
  Reschedule(state, record);
  actions.push_back(ForwardToHome{record.home_request, record.home_attempt,
                                  record.key.home, record.key.incarnation});
}

// Whether this forwarded request has arrived before. A copy must not be sent:
// the entry VM that passed it on may have been told "not run" for it.
bool IsCopy(ClaimState& state, const ForwardOrigin& origin) {
  if (origin.attempt == 0)
    return false;
  const std::string text = FormatIncarnation(origin.incarnation) + '.' +
                           std::to_string(origin.request) + '.' +
                           std::to_string(origin.attempt);
  return !AddHash(state.origins, HashBytes(text), state.limits.max_origins);
}

void AskFirst(ClaimState& state,
              const ClaimRequested& asked,
              TimePoint now,
              ClaimActions& actions) {
  const KeyPlace place = PlaceOf(state, asked.key);
  const bool home_only = asked.key.kind == KeyKind::kHomeOnly;
  if (place == KeyPlace::kSelf && asked.key.serial >= state.next_serial)
    return Refuse(asked.request, Verdict::kNotRun, RefusalReason::kKeyMissing,
                  actions);
  if (place == KeyPlace::kSelf && home_only && IsUsed(state, asked.key))
    return Refuse(asked.request, Verdict::kMayHaveRun, RefusalReason::kKeyInUse,
                  actions);
  if ((place == KeyPlace::kGone && home_only) ||
      (place == KeyPlace::kOther && asked.forwarded))
    return Refuse(asked.request, Verdict::kMayHaveRun,
                  RefusalReason::kPeerUnreachable, actions);
  ClaimRecord& record = CreateRecord(state, asked);
  if (place == KeyPlace::kOther)
    return AskHomeNow(state, record, actions);
  if (home_only)
    return SendOrHold(state, record, now, actions);
  StartClaim(state, record);
}

void AskAgain(ClaimState& state,
              ClaimRecord& record,
              const ClaimRequested& asked,
              TimePoint now,
              ClaimActions& actions) {
  switch (record.phase) {
    case ClaimPhase::kFinished:
      actions.push_back(Resolve{.request = asked.request,
                                .decision = ClaimDecision::kFinished,
                                .verdict = Verdict::kRan,
                                .answer = record.answer});
      return;
    case ClaimPhase::kUnclear:
      return Refuse(asked.request, Verdict::kMayHaveRun,
                    RefusalReason::kKeyInUse, actions);
    case ClaimPhase::kHeld:
      ReviveRecord(state, record);
      AddAsked(state, record, asked);
      return SendOrHold(state, record, now, actions);
    case ClaimPhase::kUncertain:
      ReviveRecord(state, record);
      AddAsked(state, record, asked);
      return QueueWrite(state, record);
    case ClaimPhase::kWaiting:
    case ClaimPhase::kWriting:
    case ClaimPhase::kAtHome:
    case ClaimPhase::kRunning:
      return AddAsked(state, record, asked);
  }
}

// After requests left a record that waits for a decision.
void ContinueWithout(ClaimState& state,
                     ClaimRecord& record,
                     TimePoint now,
                     ClaimActions& actions) {
  Reschedule(state, record);
  if (record.phase == ClaimPhase::kAtHome && !record.asked.empty()) {
    const bool asked_left = record.home_request != 0 &&
                            record.home_request != record.asked.front().request;
    if (!asked_left)
      return;
    record.home_unanswered = true;
    return AskHomeNow(state, record, actions);
  }
  if (!record.asked.empty())
    return;
  if (record.phase == ClaimPhase::kAtHome ||
      (record.phase == ClaimPhase::kWaiting && !record.written))
    return EraseRecord(state, std::string(record.key.text));
  if (record.phase != ClaimPhase::kWaiting)
    return;
  state.to_write.erase(record.claim);
  EndRecord(state, record, ClaimPhase::kUncertain, now);
}

RefusalReason ReasonAtDeadline(const ClaimRecord& record) {
  if (record.phase == ClaimPhase::kAtHome && record.home_request == 0)
    return RefusalReason::kPeerUnreachable;
  return record.written ? RefusalReason::kStoreDown : RefusalReason::kDeadline;
}

void ExpireRecord(ClaimState& state,
                  ClaimRecord& record,
                  TimePoint now,
                  ClaimActions& actions) {
  const auto expired = [now](const ClaimRequested& asked) {
    return asked.deadline <= now;
  };
  RefuseSome(state, record, expired, ReasonAtDeadline(record), actions);
  if (record.retry_at > now || record.asked.empty())
    return ContinueWithout(state, record, now, actions);
  if (record.phase == ClaimPhase::kAtHome)
    return AskHomeNow(state, record, actions);
  QueueWrite(state, record);
}

void ExpireDue(ClaimState& state, TimePoint now, ClaimActions& actions) {
  while (!state.timers.empty() && state.timers.begin()->first <= now) {
    const std::string key = state.timers.begin()->second;
    ExpireRecord(state, state.records.at(key), now, actions);
  }
}

void ApplyHomeAnswer(ClaimState& state,
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
  // this entry VM took the key over earlier while the home seemed dead.
  const bool doubtful = record.home_unanswered || IsUsed(state, record.key);
  const Verdict verdict = doubtful ? Verdict::kMayHaveRun : answered.verdict;
  ResolveAll(state, record, {.verdict = verdict, .reason = answered.reason},
             actions);
  EraseRecord(state, std::string(record.key.text));
}

void ApplyHomeLost(ClaimState& state,
                   ClaimRecord& record,
                   const HomeResponded& answered,
                   TimePoint now,
                   ClaimActions& actions) {
  record.home_request = 0;
  record.home_unanswered = record.home_unanswered || answered.sent;
  if (!answered.home_dead) {
    record.retry_at = now + state.limits.home_retry_delay;
    return Reschedule(state, record);
  }
  if (record.key.kind != KeyKind::kHomeOnly)
    return StartClaim(state, record);
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
  // Nobody heard the verdict, so a waiting repeat may still be sent.
  if (finished.verdict == Verdict::kNotRun &&
      finished.reason == RefusalReason::kCallerGone)
    return SendOrHold(state, record, now, actions);
  ResolveAll(state, record,
             {.verdict = finished.verdict, .reason = finished.reason}, actions);
  if (finished.verdict == Verdict::kNotRun)
    return EndRecord(state, record, ClaimPhase::kHeld, now);
  MarkUsed(state, record.key);
  EndRecord(state, record, ClaimPhase::kUnclear, now);
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

  void operator()(const ClaimRequested& asked) const {
    if (asked.forwarded && IsCopy(state, asked.origin))
      return Refuse(asked.request, Verdict::kMayHaveRun,
                    RefusalReason::kKeyInUse, actions);
    ClaimRecord* record = FindRecord(state, asked.key.text);
    if (record == nullptr)
      return AskFirst(state, asked, now, actions);
    AskAgain(state, *record, asked, now, actions);
  }
  void operator()(const WriteAnswered& answered) const {
    ApplyWriteAnswer(state, answered, now, actions);
  }
  void operator()(const HomeResponded& answered) const {
    ClaimRecord* record = RecordOf(answered.request);
    if (record == nullptr || record->phase != ClaimPhase::kAtHome ||
        record->home_request != answered.request ||
        record->home_attempt != answered.attempt)
      return;
    if (answered.reached)
      return ApplyHomeAnswer(state, *record, answered, now, actions);
    ApplyHomeLost(state, *record, answered, now, actions);
  }
  void operator()(const RequestFinished& finished) const {
    ClaimRecord* record = RecordOf(finished.request);
    if (record != nullptr && record->running == finished.request)
      Finish(state, *record, finished, now, actions);
  }
  void operator()(const ClaimAbandoned& abandoned) const {
    ClaimRecord* record = RecordOf(abandoned.request);
    if (record == nullptr || record->running == abandoned.request)
      return;
    const auto gone = [&](const ClaimRequested& asked) {
      return asked.request == abandoned.request;
    };
    RefuseSome(state, *record, gone, RefusalReason::kCallerGone, actions);
    ContinueWithout(state, *record, now, actions);
  }
  void operator()(const TableChanged& changed) const {
    state.table_up = changed.up;
  }
  void operator()(const ClaimTimerExpired& /*expired*/) const {
    // The wake may have been replaced by an earlier one, so it is told again.
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
  ExpireDue(state, now, actions);
  std::visit(EventHandler{state, now, actions}, event);
  ForgetOldRecords(state, now);
  WriteWaiting(state, actions);
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
      phase == ClaimPhase::kHeld || phase == ClaimPhase::kUncertain;
  return known_unsent ? found->second.unsent_verdict : Verdict::kMayHaveRun;
}

RequestKey IssueRequestKey(ClaimState& state) {
  const KeyKind kind = state.table_up ? KeyKind::kClaimed : KeyKind::kHomeOnly;
  return IssueKey(kind, state.self, state.incarnation, state.next_serial++);
}

}  // namespace cicadadrum
