// Explores small worlds exhaustively: every interleaving of the operations of
// world.h up to a depth, with the production functions.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <unordered_map>

#include "world.h"

namespace cicadadrum::test {

namespace {

struct Exploration {
  int depth = 0;
  // Remaining depth at the visit, by hash of the state.
  std::unordered_map<std::uint64_t, int> visited;
  std::uint64_t quiescence_runs = 0;
  std::string fault;
  std::vector<Op> path;
};

// One in this many states, selected by hash, is run to quiescence.
constexpr std::uint64_t kQuiescenceCheckInterval = 8;

// A state costs about twelve times as much under the sanitizers (185 s instead
// of 13 s in total), so their build explores one step less.
#if defined(__SANITIZE_ADDRESS__)
constexpr int kDepthReduction = 1;
#else
constexpr int kDepthReduction = 0;
#endif

bool IsNew(Exploration& exploration, std::uint64_t hash, int remaining_depth) {
  const auto [found, inserted] =
      exploration.visited.try_emplace(hash, remaining_depth);
  if (!inserted && found->second >= remaining_depth)
    return false;
  found->second = remaining_depth;
  return true;
}

void Explore(Exploration& exploration,
             const World& world,
             int remaining_depth) {
  const std::uint64_t hash = HashWorld(world);
  if (!IsNew(exploration, hash, remaining_depth))
    return;
  if (hash % kQuiescenceCheckInterval == 0) {
    ++exploration.quiescence_runs;
    RunToQuiescence(world, exploration.fault);
  }
  if (remaining_depth == 0 || !exploration.fault.empty())
    return;
  for (const Op& op : EnabledOps(world)) {
    World next = world;
    ApplyOp(next, op);
    exploration.path.push_back(op);
    exploration.fault = next.fault;
    if (exploration.fault.empty())
      Explore(exploration, next, remaining_depth - 1);
    if (!exploration.fault.empty())
      return;
    exploration.path.pop_back();
  }
}

std::string Describe(const Exploration& exploration) {
  std::string text = exploration.fault + "; operations:";
  for (const Op& op : exploration.path)
    text += " " + std::to_string(static_cast<int>(op.kind)) + "/" +
            std::to_string(op.index) + "/" + std::to_string(op.choice);
  return text;
}

Exploration Run(const World& world, int depth) {
  Exploration exploration{.depth = depth};
  Explore(exploration, world, depth);
  return exploration;
}

struct Setup {
  const char* name;
  std::size_t entries;
  std::vector<KeyKind> kinds;
  Budgets budgets;
  int depth;
};

const std::vector<Setup>& Setups() {
  static const std::vector<Setup> setups = {
      {"claimed", 2, {KeyKind::kClaimed}, {3, 2, 1, 2}, 7},
      {"home-only", 2, {KeyKind::kHomeOnly}, {3, 2, 1, 2}, 7},
      {"caller", 2, {KeyKind::kCaller}, {3, 2, 1, 2}, 7},
      {"claimed, 1 fault", 2, {KeyKind::kClaimed}, {2, 1, 1, 2}, 12},
      {"home-only, 1 fault", 2, {KeyKind::kHomeOnly}, {2, 1, 1, 2}, 12},
      {"caller, 1 fault", 2, {KeyKind::kCaller}, {2, 1, 1, 2}, 12},
      {"claimed, 3 entry VMs", 3, {KeyKind::kClaimed}, {2, 2, 1, 1}, 7},
      {"claimed and home-only",
       2,
       {KeyKind::kClaimed, KeyKind::kHomeOnly},
       {3, 1, 1, 1},
       6},
  };
  return setups;
}

// Faulty variant: an uncertain write counts as inserted.
void StepUncertainAsInserted(ClaimState& state,
                             const ClaimEvent& event,
                             TimePoint now,
                             ClaimActions& actions) {
  ClaimEvent changed = event;
  if (auto* answered = std::get_if<ClaimWriteCompleted>(&changed)) {
    for (ClaimWriteResult& result : answered->results) {
      if (result.outcome == ClaimWriteOutcome::kUncertain)
        result.outcome = ClaimWriteOutcome::kInserted;
    }
  }
  StepClaim(state, changed, now, actions);
}

// Faulty variant: an entry VM takes over a home-only key from a dead home.
void StepTakesOverHomeOnly(ClaimState& state,
                           const ClaimEvent& event,
                           TimePoint now,
                           ClaimActions& actions) {
  const auto* answered = std::get_if<HomeResponded>(&event);
  if (answered != nullptr && answered->home_dead &&
      state.key_of_request.contains(answered->request))
    state.records.at(state.key_of_request.at(answered->request)).key.kind =
        KeyKind::kClaimed;
  StepClaim(state, event, now, actions);
}

// Faulty variant: a used key is not retained after its record was removed.
void StepForgetsUsedKeys(ClaimState& state,
                         const ClaimEvent& event,
                         TimePoint now,
                         ClaimActions& actions) {
  StepClaim(state, event, now, actions);
  state.used = {};
}

// Faulty variant: "not run" from the home is passed on although an earlier copy
// of the request may still arrive at the home.
void StepIgnoresUnansweredForwards(ClaimState& state,
                                   const ClaimEvent& event,
                                   TimePoint now,
                                   ClaimActions& actions) {
  for (auto& [key, record] : state.records)
    record.forward_unanswered = false;
  StepClaim(state, event, now, actions);
}

// Faulty variant: a duplicate of a forwarded request counts as a new request.
void StepAcceptsDuplicates(ClaimState& state,
                           const ClaimEvent& event,
                           TimePoint now,
                           ClaimActions& actions) {
  ClaimEvent changed = event;
  if (auto* requested = std::get_if<ClaimRequested>(&changed))
    requested->origin.attempt = 0;
  StepClaim(state, changed, now, actions);
}

// Faulty variant: deadlines and delays never expire.
void StepIgnoresTimer(ClaimState& state,
                      const ClaimEvent& event,
                      TimePoint /*now*/,
                      ClaimActions& actions) {
  StepClaim(state, event, TimePoint(), actions);
}

}  // namespace

// Guards against a second execution, a false "not run" and a request without a
// decision under any order of loss, duplication, delay, pause, crash and time.
TEST_CASE("no interleaving violates at-most-once execution") {
  for (const Setup& setup : Setups()) {
    const Exploration exploration =
        Run(MakeWorld(setup.entries, setup.kinds, setup.budgets, StepClaim),
            setup.depth - kDepthReduction);
    std::printf("%s: %zu states to depth %d, %llu run to quiescence\n",
                setup.name, exploration.visited.size(), exploration.depth,
                static_cast<unsigned long long>(exploration.quiescence_runs));
    CHECK_MESSAGE(exploration.fault.empty(), Describe(exploration));
  }
}

// Guards against an exploration that misses faults because it does not reach
// the states that show them.
TEST_CASE("the exploration finds the fault of each faulty variant") {
  struct FaultyVariant {
    const char* name;
    StepFunction step;
    KeyKind kind;
    Budgets budgets;
    int depth;
    const char* fault;
  };
  const std::vector<FaultyVariant> variants = {
      {"uncertain write as won",
       StepUncertainAsInserted,
       KeyKind::kCaller,
       {2, 2, 0, 0},
       6,
       "second execution"},
      {"home-only key taken over",
       StepTakesOverHomeOnly,
       KeyKind::kHomeOnly,
       {2, 1, 0, 0},
       6,
       "second execution"},
      {"used keys forgotten",
       StepForgetsUsedKeys,
       KeyKind::kHomeOnly,
       {2, 0, 0, 1},
       5,
       "second execution"},
      {"earlier copies ignored",
       StepIgnoresUnansweredForwards,
       KeyKind::kClaimed,
       {1, 4, 0, 1},
       8,
       "not-run"},
      {"timer ignored",
       StepIgnoresTimer,
       KeyKind::kCaller,
       {2, 1, 0, 1},
       6,
       "never got a decision"},
      {"copies accepted",
       StepAcceptsDuplicates,
       KeyKind::kHomeOnly,
       {1, 2, 0, 0},
       6,
       "not-run"},
  };
  for (const FaultyVariant& variant : variants) {
    const World world =
        MakeWorld(2, {variant.kind}, variant.budgets, variant.step);
    const Exploration exploration = Run(world, variant.depth);
    std::printf("%s: found after %zu states: %s\n", variant.name,
                exploration.visited.size(), Describe(exploration).c_str());
    CHECK(exploration.fault.find(variant.fault) != std::string::npos);
    const World correct_world =
        MakeWorld(2, {variant.kind}, variant.budgets, StepClaim);
    CHECK(Run(correct_world, variant.depth).fault.empty());
  }
}

// Guards against faults that need longer sequences of operations than the
// exploration reaches.
TEST_CASE("random long sequences of operations keep at-most-once execution") {
  const std::vector<KeyKind> kinds = {KeyKind::kClaimed, KeyKind::kHomeOnly,
                                      KeyKind::kCaller};
  CHECK(rc::check([&](const std::vector<std::uint16_t>& choices) {
    World world = MakeWorld(3, kinds, {20, 20, 4, 20}, StepClaim);
    for (const std::uint16_t choice : choices) {
      const std::vector<Op> ops = EnabledOps(world);
      if (ops.empty())
        break;
      ApplyOp(world, ops[choice % ops.size()]);
      RC_ASSERT(world.fault == "");
    }
    std::string fault;
    RunToQuiescence(world, fault);
    RC_ASSERT(fault == "");
  }));
}

}  // namespace cicadadrum::test
