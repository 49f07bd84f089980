// Property test of membership under random schedules of faults.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

namespace {

enum class Fault : std::uint8_t {
  kCrash,
  kRestart,
  kPause,
  kResume,
  kCutRegion,
  kCutOneWay,
  kHeal,
  kStoreDown,
  kStoreUp,
  kStoreOld,
  kPublish,
  kMark,
};
constexpr int kFaultCount = 12;

}  // namespace

template <>
struct EnumNames<Fault> {
  static constexpr auto kTable = std::to_array<EnumName<Fault>>({
      {Fault::kCrash, "crash"},
      {Fault::kRestart, "restart"},
      {Fault::kPause, "pause"},
      {Fault::kResume, "resume"},
      {Fault::kCutRegion, "cut-region"},
      {Fault::kCutOneWay, "cut-one-way"},
      {Fault::kHeal, "heal"},
      {Fault::kStoreDown, "store-down"},
      {Fault::kStoreUp, "store-up"},
      {Fault::kStoreOld, "store-old"},
      {Fault::kPublish, "publish"},
      {Fault::kMark, "mark"},
  });
};

namespace {

struct FaultStep {
  Fault fault = Fault::kHeal;
  std::size_t node = 0;
  std::int64_t wait_ms = 0;
};

// RapidCheck calls this to print a counterexample.
void showValue(const FaultStep& step, std::ostream& os) {  // NOLINT
  os << NameOf(step.fault) << " node " << step.node << " then " << step.wait_ms
     << " ms";
}

rc::Gen<FaultStep> FaultStepGenerator(std::size_t nodes) {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, kFaultCount),
                                     rc::gen::inRange<std::size_t>(0, nodes),
                                     rc::gen::inRange<std::int64_t>(0, 9000)),
                      [](const std::tuple<int, std::size_t, std::int64_t>& t) {
                        return FaultStep{static_cast<Fault>(std::get<0>(t)),
                                         std::get<1>(t), std::get<2>(t)};
                      });
}

void CutOneWay(Fleet& fleet, std::size_t node) {
  const std::string name = fleet.nodes[node].vm.name;
  PartitionNetwork(
      fleet, [&](const FleetNode& n) { return n.vm.name == name; },
      [](const FleetNode&) { return true; });
}

void Apply(Fleet& fleet, const FaultStep& step) {
  FleetNode& node = fleet.nodes[step.node];
  switch (step.fault) {
    case Fault::kCrash:
      return CrashNode(fleet, step.node);
    case Fault::kRestart:
      return StartNode(fleet, step.node);
    case Fault::kPause:
      return PauseNode(fleet, step.node);
    case Fault::kResume:
      return ResumeNode(fleet, step.node);
    case Fault::kCutRegion:
      return PartitionRegion(fleet, step.node % fleet.options.regions);
    case Fault::kCutOneWay:
      return CutOneWay(fleet, step.node);
    case Fault::kHeal:
      return HealPartitions(fleet);
    case Fault::kStoreDown:
      fleet.store.up = false;
      return;
    case Fault::kStoreUp:
      fleet.store.up = true;
      return;
    case Fault::kStoreOld:
      fleet.store.serves_stale_reads = !fleet.store.serves_stale_reads;
      return;
    case Fault::kPublish:
      PublishConfiguration(fleet);
      return;
    case Fault::kMark:
      if (node.up && !node.paused)
        DeliverEvent(
            fleet, step.node,
            LocalChange{
                {"leaving/s" + std::to_string(step.wait_ms % 4), 1, "leaving"},
                {}});
      return;
  }
}

void EndFaults(Fleet& fleet) {
  HealPartitions(fleet);
  fleet.options.loss = 0;
  fleet.options.duplication = 0;
  fleet.store.up = true;
  fleet.store.serves_stale_reads = false;
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    ResumeNode(fleet, i);
    if (!fleet.nodes[i].up)
      StartNode(fleet, i);
  }
}

}  // namespace

// Guards against an order of faults after which a version decreases on a node,
// or nodes still disagree when the faults have ended.
TEST_CASE("versions never decrease, and nodes agree after any faults") {
  const bool passed = rc::check([] {
    constexpr std::size_t kNodes = 9;
    FleetOptions options{.nodes = kNodes, .duplication = 0.05};
    options.loss = 0.01 * *rc::gen::inRange(0, 20);
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    options.body_bytes = 64;
    options.count_bytes = false;
    Fleet fleet = MakeFleet(options);
    PublishConfiguration(fleet);
    StartAll(fleet);
    RunFleet(fleet, Seconds(5));
    const auto steps =
        *rc::gen::container<std::vector<FaultStep>>(FaultStepGenerator(kNodes));
    for (const FaultStep& step : steps) {
      Apply(fleet, step);
      RunFleet(fleet, Milliseconds(step.wait_ms));
    }
    EndFaults(fleet);
    const std::uint64_t newest = fleet.store.configurations.size();
    const Duration convergence_time =
        RunFleetUntil(fleet, Seconds(60), [newest](const Fleet& f) {
          return InForceEverywhere(f, newest) && MembersAgree(f) &&
                 ItemsAgree(f);
        });
    RC_LOG() << "in force " << InForceEverywhere(fleet, newest) << ", members "
             << MembersAgree(fleet) << ", items " << ItemsAgree(fleet) << "\n";
    RC_ASSERT(fleet.counters.reversions == 0U);
    RC_ASSERT(convergence_time < Seconds(60));
  });
  CHECK(passed);
}

}  // namespace cicadadrum
