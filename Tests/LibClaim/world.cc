// The model of entry VMs, of the table and of messages.

#include "world.h"

#include <algorithm>

#include "cicadadrum/base/hash.h"

namespace cicadadrum::test {

namespace {

constexpr Duration kDeadline = Seconds(2);

bool IsCurrent(const World& world, std::size_t entry, const Incarnation& of) {
  return world.entries[entry].claims.incarnation == of;
}

void Fail(World& world, const std::string& what, const Request& request) {
  if (world.fault.empty())
    world.fault = what + ", request " + std::to_string(request.id) + " key " +
                  request.key;
}

// Checks that at most one request per key runs or has run.
void CheckExecutions(World& world, const Request& request) {
  std::size_t count = 0;
  for (const Execution& execution : world.executions)
    count += execution.key == request.key ? 1 : 0;
  for (const Request& other : world.requests)
    count += other.phase == RequestPhase::kRunning && other.key == request.key;
  if (count > 1)
    Fail(world, "second execution", request);
}

// Checks the verdict "not run" of a request. The caller's request must not have
// run at any entry VM and must not run later. The entry VM that gave the
// verdict must not have run the key and must not run it without a new request.
void CheckNotRun(World& world, const Request& request) {
  if (request.forwarded_from == 0)
    world.not_run.insert(request.root);
  const auto same_entry = [&](const auto& other) {
    return other.key == request.key && other.entry == request.entry &&
           other.incarnation == request.incarnation;
  };
  for (const Execution& execution : world.executions) {
    if (world.not_run.contains(execution.root) || same_entry(execution))
      return Fail(world, "not-run after an execution", request);
  }
  for (const Request& other : world.requests) {
    const bool may_run = other.phase == RequestPhase::kOpen
                             ? same_entry(other)
                             : world.not_run.contains(other.root);
    if (other.phase <= RequestPhase::kRunning && may_run)
      return Fail(world, "not-run while it may still run", request);
  }
}

void AnswerOrigin(World& world,
                  Request& request,
                  Verdict verdict,
                  RefusalReason reason) {
  request.phase = RequestPhase::kDone;
  if (request.forwarded_from == 0)
    return;
  const Request& origin = world.requests[request.forwarded_from - 1];
  world.messages.push_back({origin.entry, origin.incarnation,
                            ForwardAnswer{{.request = request.forwarded_from,
                                           .attempt = request.forwarded_attempt,
                                           .reached = true,
                                           .sent = true,
                                           .verdict = verdict,
                                           .reason = reason}}});
}

void ApplyResolve(World& world, const Resolve& resolve) {
  Request& request = world.requests[resolve.request - 1];
  if (request.phase != RequestPhase::kOpen)
    return Fail(world, "second decision", request);
  if (resolve.decision == ClaimDecision::kSend) {
    request.phase = RequestPhase::kRunning;
    if (world.not_run.contains(request.root))
      Fail(world, "sent after not-run", request);
    return CheckExecutions(world, request);
  }
  AnswerOrigin(world, request, resolve.verdict, resolve.reason);
  const auto ran = [&](const Execution& execution) {
    return execution.key == request.key;
  };
  if (resolve.decision == ClaimDecision::kFinished &&
      std::none_of(world.executions.begin(), world.executions.end(), ran))
    Fail(world, "answer without an execution", request);
}

void RunStep(World& world, std::size_t index, const ClaimEvent& event) {
  Entry& entry = world.entries[index];
  const Incarnation incarnation = entry.claims.incarnation;
  ClaimActions actions;
  world.step(entry.claims, event, entry.now, actions);
  std::vector<std::uint64_t> not_run;
  for (const ClaimAction& action : actions) {
    if (const auto* write = std::get_if<WriteClaims>(&action))
      world.messages.push_back({index, incarnation, *write});
    if (const auto* store = std::get_if<StoreResult>(&action))
      world.messages.push_back({index, incarnation, *store});
    if (const auto* forward = std::get_if<ForwardToHome>(&action))
      world.messages.push_back(
          {static_cast<std::size_t>(forward->home.back() - '0'),
           forward->incarnation,
           Forward{forward->request, forward->attempt,
                   world.requests[forward->request - 1].key}});
    if (const auto* resolve = std::get_if<Resolve>(&action)) {
      ApplyResolve(world, *resolve);
      if (resolve->decision == ClaimDecision::kRefuse &&
          resolve->verdict == Verdict::kNotRun &&
          !world.requests[resolve->request - 1].caller_disconnected)
        not_run.push_back(resolve->request);
    }
  }
  for (const std::uint64_t id : not_run)
    CheckNotRun(world, world.requests[id - 1]);
}

void SubmitRequest(World& world, Request request) {
  request.id = world.requests.size() + 1;
  request.incarnation = world.entries[request.entry].claims.incarnation;
  if (request.root == 0)
    request.root = request.id;
  world.requests.push_back(request);
  ForwardOrigin origin{.request = request.forwarded_from,
                       .attempt = request.forwarded_attempt};
  if (request.forwarded_from != 0)
    origin.incarnation = world.requests[request.forwarded_from - 1].incarnation;
  RunStep(
      world, request.entry,
      ClaimRequested{.request = request.id,
                     .key = *ParseRequestKey(request.key),
                     .deadline = world.entries[request.entry].now + kDeadline,
                     .forwarded = request.forwarded_from != 0,
                     .origin = origin});
}

struct Delivery {
  World& world;
  const Message& message;

  void operator()(const WriteClaims& write) const {
    ClaimWriteCompleted answered{.batch = write.batch};
    for (const ClaimWrite& row : write.writes) {
      const auto [found, inserted] = world.table.try_emplace(row.key, row.row);
      answered.results.push_back(
          {row.key,
           inserted ? ClaimWriteOutcome::kInserted : ClaimWriteOutcome::kExists,
           found->second});
    }
    world.messages.push_back({message.entry, message.incarnation, answered});
  }
  void operator()(const StoreResult& store) const {
    world.table[store.key] = store.row;
  }
  void operator()(const ClaimWriteCompleted& answered) const {
    if (IsCurrent(world, message.entry, message.incarnation))
      RunStep(world, message.entry, answered);
  }
  void operator()(const Forward& forward) const {
    if (!IsCurrent(world, message.entry, message.incarnation))
      return;
    SubmitRequest(world,
                  {.entry = message.entry,
                   .key = forward.key,
                   .root = world.requests[forward.forwarded_from - 1].root,
                   .forwarded_from = forward.forwarded_from,
                   .forwarded_attempt = forward.attempt});
  }
  void operator()(const ForwardAnswer& answer) const {
    if (IsCurrent(world, message.entry, message.incarnation))
      RunStep(world, message.entry, answer.answer);
  }
};

Message RemoveMessage(World& world, std::size_t index) {
  Message message = world.messages[index];
  world.messages.erase(world.messages.begin() +
                       static_cast<std::ptrdiff_t>(index));
  return message;
}

void AnswerAll(World& world,
               std::size_t entry,
               std::uint64_t batch,
               ClaimWriteOutcome outcome) {
  ClaimWriteCompleted answered{.batch = batch};
  for (const std::string& key : world.entries[entry].claims.batch_keys)
    answered.results.push_back({key, outcome, {}});
  RunStep(world, entry, answered);
}

void Finish(World& world, Request& request, Verdict verdict) {
  if (verdict != Verdict::kNotRun)
    world.executions.push_back(
        {request.key, request.entry, request.incarnation, request.root});
  const RefusalReason reason = request.caller_disconnected
                                   ? RefusalReason::kCallerDisconnected
                                   : RefusalReason::kNone;
  AnswerOrigin(world, request, verdict, reason);
  const Request ended = request;
  RunStep(world, ended.entry, RequestFinished{ended.id, verdict, {}, reason});
  if (verdict == Verdict::kNotRun && !ended.caller_disconnected)
    CheckNotRun(world, ended);
}

void Crash(World& world, std::size_t index) {
  ClaimState& claims = world.entries[index].claims;
  for (Request& request : world.requests) {
    if (request.entry != index || request.incarnation != claims.incarnation)
      continue;
    // A request in this phase may have reached a backend server.
    if (request.phase == RequestPhase::kRunning)
      world.executions.push_back(
          {request.key, index, request.incarnation, request.root});
    if (request.phase != RequestPhase::kDone)
      request.phase = RequestPhase::kLostInCrash;
  }
  ClaimState next;
  next.self = claims.self;
  next.limits = claims.limits;
  next.incarnation = {claims.incarnation.high + 1, claims.incarnation.low};
  claims = next;
}

void FailForward(World& world, std::size_t index, bool is_home_dead) {
  const Request request = world.requests[index];
  const ClaimRecord* record = FindForwardedRecord(world, request);
  RunStep(world, request.entry,
          HomeResponded{.request = request.id,
                        .attempt = record->home_attempt,
                        .sent = true,
                        .home_dead = is_home_dead});
}

void ApplyMessageOp(World& world, const Op& op) {
  const Message message = op.kind == OpKind::kDuplicate
                              ? world.messages[op.index]
                              : RemoveMessage(world, op.index);
  if (op.kind == OpKind::kDeliver || op.kind == OpKind::kDuplicate)
    return std::visit(Delivery{world, message}, message.body);
  if (op.kind == OpKind::kTableDown &&
      IsCurrent(world, message.entry, message.incarnation) &&
      world.entries[message.entry].claims.batch_in_flight ==
          std::get<WriteClaims>(message.body).batch)
    AnswerAll(world, message.entry, std::get<WriteClaims>(message.body).batch,
              ClaimWriteOutcome::kFailed);
}

void ApplyRequestOp(World& world, const Op& op) {
  Request& request = world.requests[op.index];
  if (op.kind == OpKind::kFinish)
    return Finish(world, request, static_cast<Verdict>(op.choice));
  if (op.kind != OpKind::kDisconnect)
    return FailForward(world, op.index, op.kind == OpKind::kHomeDead);
  request.caller_disconnected = true;
  if (request.phase == RequestPhase::kRunning)
    return Finish(world, request, Verdict::kNotRun);
  RunStep(world, request.entry, ClaimAbandoned{request.id});
}

}  // namespace

void ApplyOp(World& world, const Op& op) {
  world.remaining.faults -= IsFault(world, op) ? 1 : 0;
  switch (op.kind) {
    case OpKind::kRequest:
      --world.remaining.caller_requests;
      return SubmitRequest(world,
                           {.entry = op.index, .key = world.keys[op.choice]});
    case OpKind::kTimeOut:
      return AnswerAll(world, op.index,
                       world.entries[op.index].claims.batch_in_flight,
                       ClaimWriteOutcome::kUncertain);
    case OpKind::kCrash:
      --world.remaining.crashes;
      return Crash(world, op.index);
    case OpKind::kTick: {
      --world.remaining.ticks;
      Entry& entry = world.entries[op.index];
      entry.now = std::max(entry.now, entry.claims.next_wake);
      return RunStep(world, op.index, ClaimTimerExpired{});
    }
    case OpKind::kHomeNoAnswer:
    case OpKind::kHomeDead:
    case OpKind::kFinish:
    case OpKind::kDisconnect:
      return ApplyRequestOp(world, op);
    default:
      return ApplyMessageOp(world, op);
  }
}

}  // namespace cicadadrum::test
