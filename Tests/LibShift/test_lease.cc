// Exhaustive exploration of the lease protocol with the shipped StepLease, up
// to the depth that each test states.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <unordered_set>
#include <vector>

#include "cicadadrum/base/hash.h"
#include "lease_world.h"

namespace cicadadrum {

namespace {

// --- Keys of visited states ---

struct KeyWriter {
  std::string bytes;
  void Add(std::uint64_t value) { bytes += static_cast<char>(value & 0xff); }
  void Add(const std::string& text) { bytes += text + '/'; }
  void Add(const ShiftPlan& plan) {
    Add(plan.number);
    Add(plan.fence);
    Add(PlanTag(plan));
  }
  void Add(const LeaseRow& row) {
    Add(row.fence);
    Add(row.incarnation);
  }
  void Add(const LeaseRows& rows) {
    Add(rows.lease_version);
    Add(rows.lease);
    Add(rows.plan_version);
    Add(rows.plan);
  }
  void Add(const WriteLeaseRows& write) {
    Add(write.operation);
    Add(write.lease_version);
    Add(write.plan_version);
    Add(write.lease);
    Add(write.plan.value_or(ShiftPlan{}));
  }
};

std::string StateKey(const Message& message) {
  KeyWriter key;
  key.Add(message.body->index());
  key.Add(message.incarnation);
  if (const auto* read = std::get_if<ReadLeaseRows>(message.body.get()))
    key.Add(read->operation);
  if (const auto* write = std::get_if<WriteLeaseRows>(message.body.get()))
    key.Add(*write);
  if (const auto* read = std::get_if<LeaseRowsRead>(message.body.get())) {
    key.Add(read->operation);
    key.Add(read->rows);
  }
  if (const auto* written = std::get_if<LeaseRowsWritten>(message.body.get())) {
    key.Add(written->operation);
    key.Add(static_cast<std::uint64_t>(written->outcome));
    key.Add(written->rows);
  }
  return key.bytes;
}

void AddController(KeyWriter& key, const Controller& controller) {
  const LeaseState& state = controller.state;
  key.Add(state.incarnation);
  key.Add((state.is_holder ? 1 : 0) + (state.has_read ? 2 : 0) +
          (controller.now >= state.next_operation_at ? 4 : 0));
  key.Add(state.next_operation);
  key.Add(state.operation);
  key.Add(state.pending.value_or(WriteLeaseRows{}));
  key.Add(state.proposal.value_or(ShiftPlan{}));
  key.Add(state.known);
  const Duration age =
      std::min(controller.now - state.observed_at, state.settings.duration);
  key.Add(static_cast<std::uint64_t>(age / Seconds(1)));
  key.Add(controller.proposed);
}

std::uint64_t StateKey(const World& world) {
  KeyWriter key;
  key.Add(world.rows);
  for (const Controller& controller : world.controllers)
    AddController(key, controller);
  std::vector<std::string> messages;
  messages.reserve(world.network.size());
  for (const Message& message : world.network)
    messages.push_back(StateKey(message));
  std::sort(messages.begin(), messages.end());
  for (const std::string& message : messages)
    key.Add(message);
  for (const std::string& tag : world.committed)
    key.Add(tag);
  for (const std::string& tag : world.replaced)
    key.Add(tag);
  key.Add(static_cast<std::uint64_t>(world.proposals));
  key.Add(static_cast<std::uint64_t>(world.duplicates));
  key.Add(static_cast<std::uint64_t>(world.restarts));
  return HashBytes(key.bytes);
}

struct Exploration {
  std::size_t states = 0;
  std::size_t plans = 0;  // Largest number of plans written in one state.
  int depth = 0;
  std::string fault;
};

enum class Start { kEmptyTable, kLeaseHeldByFirst };

// Explores breadth first, so that a fault is found at its smallest depth.
Exploration Explore(std::size_t controllers,
                    Start start,
                    int depth,
                    Variant variant) {
  World first;
  first.controllers.resize(controllers);
  for (std::size_t i = 0; i < controllers; ++i)
    RestartController(first, i);
  if (start == Start::kLeaseHeldByFirst)
    AcquireLeaseByFirst(first);
  Exploration result;
  std::unordered_set<std::uint64_t> visited = {StateKey(first)};
  std::vector<World> frontier = {first};
  for (; result.depth < depth && result.fault.empty(); ++result.depth) {
    std::vector<World> next_frontier;
    for (const World& world : frontier) {
      for (World& next : NextWorlds(world, variant)) {
        if (!next.fault.empty())
          result.fault = next.fault;
        result.plans = std::max(result.plans, next.committed.size());
        if (visited.insert(StateKey(next)).second)
          next_frontier.push_back(std::move(next));
      }
    }
    frontier = std::move(next_frontier);
  }
  result.states = visited.size();
  std::printf(
      "lease: %zu controllers, %s, depth %d, %zu states, %zu plans: %s\n",
      controllers,
      start == Start::kLeaseHeldByFirst ? "lease held" : "empty table",
      result.depth, result.states, result.plans,
      result.fault.empty() ? "no fault" : result.fault.c_str());
  return result;
}

// Returns the number of steps to explore beyond the depth of the test suite,
// from the environment variable.
int ExtraDepth() {
  const char* steps = std::getenv("CICADADRUM_FURTHER_STEPS");
  return steps == nullptr ? 0 : std::atoi(steps);
}

}  // namespace

// Guards against two writers of plans, a plan that is written twice, a lost
// response that is reported as a failure, and a fencing token that two holders
// use.
TEST_CASE("no interleaving violates a property of the lease protocol") {
  const int extra_depth = ExtraDepth();
  CHECK(Explore(2, Start::kEmptyTable, 11 + extra_depth, Variant::kShipped)
            .fault == "");
  const Exploration held =
      Explore(2, Start::kLeaseHeldByFirst, 10 + extra_depth, Variant::kShipped);
  CHECK(held.fault == "");
  CHECK(held.plans == 2);
  CHECK(Explore(3, Start::kEmptyTable, 7 + extra_depth, Variant::kShipped)
            .fault == "");
  CHECK(Explore(3, Start::kLeaseHeldByFirst, 7 + extra_depth, Variant::kShipped)
            .fault == "");
}

// Guards against an exploration that does not detect faults of the protocol.
TEST_CASE("the exploration finds the fault of each known faulty variant") {
  const auto fault = [](Variant variant) {
    return Explore(2, Start::kLeaseHeldByFirst, 12, variant).fault;
  };
  CHECK(fault(Variant::kPlanWithoutLeaseCheck) ==
        "only the holder of the lease writes");
  CHECK(fault(Variant::kUnknownIsFailure) ==
        "a plan reported as replaced is not written later");
  CHECK(fault(Variant::kFenceNotRaised) ==
        "each acquisition raises the fencing token by one");
}

}  // namespace cicadadrum
