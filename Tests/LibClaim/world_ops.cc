// The operations that are possible in a world, and its initial state.

#include <algorithm>

#include "world.h"

namespace cicadadrum::test {

namespace {

void AddEntryOps(const World& world, std::vector<Op>& ops) {
  for (std::size_t i = 0; i < world.entries.size(); ++i) {
    const ClaimState& claims = world.entries[i].claims;
    for (std::size_t k = 0;
         world.remaining.caller_requests > 0 && k < world.keys.size(); ++k)
      ops.push_back({OpKind::kRequest, i, k});
    if (world.remaining.faults > 0 && claims.batch_in_flight != 0)
      ops.push_back({OpKind::kTimeOut, i});
    if (world.remaining.crashes > 0)
      ops.push_back({OpKind::kCrash, i});
    if (world.remaining.ticks > 0 && claims.next_wake != kNever)
      ops.push_back({OpKind::kTick, i});
  }
}

void AddMessageOps(const World& world, std::vector<Op>& ops) {
  for (std::size_t i = 0; i < world.messages.size(); ++i) {
    ops.push_back({OpKind::kDeliver, i});
    if (world.remaining.faults == 0)
      continue;
    ops.push_back({OpKind::kDuplicate, i});
    ops.push_back({OpKind::kDrop, i});
    if (std::holds_alternative<WriteClaims>(world.messages[i].body))
      ops.push_back({OpKind::kTableDown, i});
  }
}

void AddRequestOps(const World& world, std::vector<Op>& ops) {
  const bool may_inject_faults = world.remaining.faults > 0;
  for (std::size_t i = 0; i < world.requests.size(); ++i) {
    const Request& request = world.requests[i];
    if (FindForwardedRecord(world, request) != nullptr) {
      if (may_inject_faults)
        ops.push_back({OpKind::kHomeNoAnswer, i});
      if (may_inject_faults || IsHomeDead(world, request.key))
        ops.push_back({OpKind::kHomeDead, i});
    }
    if (may_inject_faults && request.phase <= RequestPhase::kRunning)
      ops.push_back({OpKind::kDisconnect, i});
    if (request.phase != RequestPhase::kRunning)
      continue;
    ops.push_back(
        {OpKind::kFinish, i, static_cast<std::size_t>(Verdict::kRan)});
    for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun}) {
      if (may_inject_faults)
        ops.push_back({OpKind::kFinish, i, static_cast<std::size_t>(verdict)});
    }
  }
}

}  // namespace

const ClaimRecord* FindForwardedRecord(const World& world,
                                       const Request& request) {
  const ClaimState& claims = world.entries[request.entry].claims;
  const auto found = claims.records.find(request.key);
  if (found == claims.records.end() ||
      found->second.phase != ClaimPhase::kAtHome ||
      found->second.home_request != request.id ||
      request.phase != RequestPhase::kOpen)
    return nullptr;
  return &found->second;
}

bool IsHomeDead(const World& world, const std::string& key) {
  return world.entries[0].claims.incarnation !=
         ParseRequestKey(key)->incarnation;
}

bool IsFault(const World& world, const Op& op) {
  switch (op.kind) {
    case OpKind::kRequest:
    case OpKind::kDeliver:
    case OpKind::kCrash:
    case OpKind::kTick:
      return false;
    case OpKind::kFinish:
      return op.choice != static_cast<std::size_t>(Verdict::kRan);
    case OpKind::kHomeDead:
      return !IsHomeDead(world, world.requests[op.index].key);
    default:
      return true;
  }
}

World MakeWorld(std::size_t entries,
                const std::vector<KeyKind>& kinds,
                const Budgets& budgets,
                StepFunction step) {
  World world{.step = step, .remaining = budgets};
  for (std::size_t i = 0; i < entries; ++i) {
    Entry entry;
    entry.claims.self = "entry-" + std::to_string(i);
    entry.claims.incarnation = {1, i};
    entry.claims.limits.rewrite_delay = Seconds(1);
    entry.claims.limits.home_retry_delay = Seconds(1);
    entry.claims.limits.retention = Seconds(3);
    world.entries.push_back(entry);
  }
  ClaimState& home = world.entries[0].claims;
  for (const KeyKind kind : kinds) {
    home.table_up = kind == KeyKind::kClaimed;
    const std::string caller_key = "k" + std::to_string(world.keys.size());
    world.keys.push_back(kind == KeyKind::kCaller ? caller_key
                                                  : IssueRequestKey(home).text);
  }
  return world;
}

std::vector<Op> EnabledOps(const World& world) {
  std::vector<Op> ops;
  AddMessageOps(world, ops);
  AddRequestOps(world, ops);
  AddEntryOps(world, ops);
  return ops;
}

void RunToQuiescence(World world, std::string& fault) {
  world.remaining = {
      .caller_requests = 0, .faults = 1, .crashes = 0, .ticks = 1};
  const auto open = [](const Request& request) {
    return request.phase <= RequestPhase::kRunning;
  };
  for (int i = 0; i < 200 && world.fault.empty(); ++i) {
    if (std::none_of(world.requests.begin(), world.requests.end(), open))
      return;
    const std::vector<Op> ops = EnabledOps(world);
    // Messages in transit arrive first. Then calls whose response was lost time
    // out, and finally the clocks advance in turn.
    Op next{OpKind::kRequest};
    for (const OpKind kind : {OpKind::kDeliver, OpKind::kFinish,
                              OpKind::kTimeOut, OpKind::kHomeNoAnswer}) {
      const auto found =
          std::find_if(ops.begin(), ops.end(),
                       [&](const Op& op) { return op.kind == kind; });
      if (next.kind == OpKind::kRequest && found != ops.end())
        next = *found;
    }
    const std::size_t entry =
        static_cast<std::size_t>(i) % world.entries.size();
    if (next.kind == OpKind::kRequest)
      next = {OpKind::kTick, entry};
    if (next.kind == OpKind::kTick &&
        world.entries[entry].claims.next_wake == kNever)
      continue;
    ApplyOp(world, next);
    world.remaining.faults = 1;
  }
  fault = world.fault.empty() ? "a request never got a decision" : world.fault;
}

}  // namespace cicadadrum::test
