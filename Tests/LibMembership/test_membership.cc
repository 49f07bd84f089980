// Tests of membership over a simulated fleet in virtual time.

#include <doctest/doctest.h>

#include <algorithm>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

namespace {

constexpr Duration kLimit = Seconds(60);

// A fleet of today's size that has settled with version 1 in force.
Fleet StartConvergedFleet(const FleetOptions& options = {}) {
  Fleet fleet = MakeFleet(options);
  PublishConfiguration(fleet);
  StartAll(fleet);
  RunFleet(fleet, Seconds(20));
  REQUIRE(MembersAgree(fleet));
  REQUIRE(InForceEverywhere(fleet, 1));
  return fleet;
}

Duration TimeUntilAgreement(Fleet& fleet, Duration limit = kLimit) {
  return RunFleetUntil(fleet, limit, [](const Fleet& f) {
    return MembersAgree(f) && ItemsAgree(f);
  });
}

}  // namespace

// Guards against live nodes being declared dead by the detector itself.
TEST_CASE("there is no suspicion without faults") {
  Fleet fleet = StartConvergedFleet({.nodes = 11});
  RunFleet(fleet, Seconds(600));
  CHECK(fleet.counters.false_suspicions.empty());
  CHECK(fleet.counters.false_deaths.empty());
  CHECK(MembersAgree(fleet));
}

// Guards against slow failover of pools: about 3 s, at most 7 s.
TEST_CASE("a dead node is detected within the bound") {
  Duration sum{};
  constexpr int kRuns = 40;
  for (int run = 0; run < kRuns; ++run) {
    Fleet fleet = StartConvergedFleet({.seed = 100 + std::uint64_t(run)});
    CrashNode(fleet, 4);
    const Duration took = RunFleetUntil(
        fleet, kLimit, [](const Fleet& f) { return HeldDeadEverywhere(f, 4); });
    CHECK(took <= Seconds(7));
    sum += took;
  }
  MESSAGE("mean detection ms: ", sum.count() / kRuns / 1000);
  CHECK(sum / kRuns <= Milliseconds(3500));
}

// Guards against a paused node accusing others when it runs again, and against
// it staying dead for them.
TEST_CASE("a paused node is declared dead, refutes it and accuses nobody") {
  Fleet fleet = StartConvergedFleet();
  const std::uint64_t run = fleet.nodes[3].run;
  PauseNode(fleet, 3);
  RunFleet(fleet, Seconds(30));
  CHECK(HeldDeadEverywhere(fleet, 3) == false);  // It holds itself for live.
  CHECK_FALSE(
      IsLive(FindMember(fleet.nodes[0].state, "entry-3")->record.state));
  fleet.counters.false_suspicions.clear();
  ResumeNode(fleet, 3);
  CHECK(TimeUntilAgreement(fleet) <= Seconds(15));
  CHECK(fleet.nodes[3].run == run);
  CHECK(FindMember(fleet.nodes[0].state, "entry-3")->record.sequence > 0);
  RunFleet(fleet, Seconds(30));
  CHECK(fleet.counters.false_deaths.empty());
}

// Guards against a wrong suspicion ending in a death while the member lives.
TEST_CASE("a suspicion is refuted by a higher sequence") {
  Fleet fleet = StartConvergedFleet();
  const Member* member = FindMember(fleet.nodes[1].state, "entry-2");
  MemberUpdate suspicion = member->record;
  suspicion.state = MemberState::kSuspect;
  DeliverEvent(
      fleet, 1,
      MessageReceived{
          {.sender = "entry-0",
           .incarnation = fleet.nodes[0].state.members[0].record.incarnation,
           .kind = ExchangeKind::kPush,
           .members = {suspicion}}});
  REQUIRE(FindMember(fleet.nodes[1].state, "entry-2")->record.state ==
          MemberState::kSuspect);
  RunFleet(fleet, Seconds(20));
  CHECK(fleet.counters.false_deaths.empty());
  CHECK(FindMember(fleet.nodes[5].state, "entry-2")->record.sequence ==
        suspicion.sequence + 1);
}

// Guards against items reverting or two sides staying apart after a cut.
TEST_CASE("a region cut for minutes heals without any item reverting") {
  Fleet fleet = StartConvergedFleet();
  CutRegion(fleet, 2);  // The store is in region 0.
  RunFleet(fleet, Seconds(60));
  PublishConfiguration(fleet);
  DeliverEvent(fleet, 2,  // Node 2 is in the region that was cut off.
               LocalChange{{"leaving/sb-1", 1, "leaving"}, {}});
  RunFleet(fleet, Seconds(120));
  CHECK(InForceVersion(fleet.nodes[0].state) == 2);
  CHECK(InForceVersion(fleet.nodes[2].state) == 1);
  CHECK(FindItem(fleet.nodes[0].state, "leaving/sb-1") == nullptr);
  HealNetwork(fleet);
  CHECK(TimeUntilAgreement(fleet) <= Seconds(20));
  CHECK(InForceEverywhere(fleet, 2));
  // The mark that was accepted during the cut reaches the table.
  RunFleet(fleet, Seconds(10));
  CHECK(fleet.store.marks.contains("leaving/sb-1"));
  CHECK(FindItem(fleet.nodes[0].state, "leaving/sb-1")->value ==
        "leaving-recorded");
  CHECK(fleet.counters.reversions == 0);
}

// Guards against a mark getting lost with the entry VM that accepted it before
// the table could record it (I6).
TEST_CASE("a mark reaches the table although its acceptor died") {
  Fleet fleet = StartConvergedFleet();
  fleet.store.up = false;
  DeliverEvent(fleet, 5, LocalChange{{"leaving/sb-7", 3, "leaving"}, {}});
  RunFleet(fleet, Seconds(5));
  CHECK(ItemsAgree(fleet));
  CrashNode(fleet, 5);
  RunFleet(fleet, Seconds(60));
  CHECK(fleet.store.marks.empty());
  fleet.store.up = true;
  RunFleet(fleet, Seconds(12));
  REQUIRE(fleet.store.marks.contains("leaving/sb-7"));
  CHECK(fleet.store.marks.at("leaving/sb-7").version == 3);
  CHECK(ItemsAgree(fleet));
}

// Guards against a planned restart of every entry VM losing the version, while
// the store is down.
TEST_CASE("a rolling restart during a store outage keeps the version") {
  Fleet fleet = StartConvergedFleet();
  fleet.store.up = false;
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    LeaveNode(fleet, i);
    RunFleet(fleet, Seconds(2));
    StartNode(fleet, i);
    RunFleet(fleet, Seconds(5));
    CHECK(IsReady(fleet.nodes[i].state));
  }
  CHECK(TimeUntilAgreement(fleet) <= Seconds(10));
  CHECK(InForceEverywhere(fleet, 1));
  CHECK(fleet.counters.false_deaths.empty());
}

// Guards against a node serving an old configuration after a restart (I8), and
// against guessing when nobody knows it.
TEST_CASE("restarted nodes learn from the one that knows, or are not ready") {
  Fleet fleet = StartConvergedFleet();
  fleet.store.up = false;
  for (std::size_t i = 1; i < fleet.nodes.size(); ++i)
    CrashNode(fleet, i);
  RunFleet(fleet, Seconds(1));
  for (std::size_t i = 1; i < fleet.nodes.size(); ++i)
    StartNode(fleet, i);
  CHECK(TimeUntilAgreement(fleet) <= Seconds(10));
  CHECK(InForceEverywhere(fleet, 1));
  StartAll(fleet);
  RunFleet(fleet, Seconds(30));
  CHECK(InForceEverywhere(fleet, 0));
  CHECK_FALSE(IsReady(fleet.nodes[4].state));
  CHECK(MarksAge(fleet.nodes[4].state, fleet.now) == Duration::max());
  fleet.store.up = true;
  CHECK(TimeUntilAgreement(fleet) <= Seconds(10));
  RunFleet(fleet, Seconds(6));
  CHECK(InForceEverywhere(fleet, 1));
  CHECK(IsReady(fleet.nodes[4].state));
}

// Guards against a stale row or object replacing a newer version (I8).
TEST_CASE("an old row or body from the store is ignored") {
  Fleet fleet = StartConvergedFleet();
  PublishConfiguration(fleet);
  RunFleet(fleet, Seconds(6));
  REQUIRE(InForceEverywhere(fleet, 2));
  fleet.store.serves_old = true;
  RunFleet(fleet, Seconds(10));
  CHECK(InForceEverywhere(fleet, 2));
  fleet.store.serves_old = false;
  PublishConfiguration(fleet);
  // The object store still has the old body under the new hash.
  const std::string hash = fleet.store.configurations.back().value;
  const std::string body = fleet.store.bodies[hash];
  fleet.store.bodies[hash] = fleet.store.bodies.begin()->second;
  fleet.store.bodies[hash] += "x";
  RunFleet(fleet, Seconds(10));
  CHECK(InForceEverywhere(fleet, 2));
  // The readers have heard of version 3 and cannot serve with less.
  CHECK(
      std::any_of(fleet.nodes.begin(), fleet.nodes.end(),
                  [](const FleetNode& node) { return !IsReady(node.state); }));
  fleet.store.bodies[hash] = body;
  RunFleet(fleet, Seconds(6));
  CHECK(InForceEverywhere(fleet, 3));
  CHECK(fleet.counters.reversions == 0);
}

// Guards against a node whose messages are lost accusing the whole fleet, then
// or when the fault ends, and against its marks counting as known.
TEST_CASE("a node that is deaf or not heard accuses nobody") {
  for (const bool drops_incoming : {true, false}) {
    CAPTURE(drops_incoming);
    Fleet fleet = StartConvergedFleet();
    const auto is_isolated_node = [](const FleetNode& n) {
      return n.vm.name == "entry-4";
    };
    const auto is_any_node = [](const FleetNode&) { return true; };
    if (drops_incoming)
      CutNetwork(fleet, is_any_node, is_isolated_node);
    else
      CutNetwork(fleet, is_isolated_node, is_any_node);
    RunFleet(fleet, Seconds(60));
    const MembershipState& other = fleet.nodes[0].state;
    CHECK_FALSE(IsLive(FindMember(other, "entry-4")->record.state));
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
      if (i != 4)
        CHECK(IsLive(FindMember(other, fleet.nodes[i].vm.name)->record.state));
    }
    CHECK(fleet.nodes[4].state.isolated);
    if (drops_incoming) {
      CHECK(MarksAge(fleet.nodes[4].state, fleet.now) > Seconds(50));
      CHECK(LiveMembers(fleet.nodes[4].state, fleet.now).size() == 1);
    }
    HealNetwork(fleet);
    CHECK(TimeUntilAgreement(fleet) <= Seconds(20));
    CHECK(fleet.counters.false_deaths.empty());
    // The ack of the next probe ends the isolation.
    RunFleet(fleet, Seconds(2));
    CHECK_FALSE(fleet.nodes[4].state.isolated);
  }
}

// Guards against a node that serves an older version than its caller has seen.
TEST_CASE("a floor named by a caller makes the node fetch the version") {
  Fleet fleet = StartConvergedFleet();
  PublishConfiguration(fleet);
  DeliverEvent(fleet, 7, ConfigurationFloorRaised{2});
  CHECK_FALSE(IsReady(fleet.nodes[7].state));
  RunFleet(fleet, Seconds(6));
  CHECK(IsReady(fleet.nodes[7].state));
  CHECK(InForceVersion(fleet.nodes[7].state) == 2);
}

// Guards against an endless exchange with a member whose earlier process is
// held for dead: it did not repeat its present record, so both sides answered
// each other without end.
TEST_CASE("a node that holds an old process for dead learns of the new one") {
  Fleet fleet = StartConvergedFleet();
  CrashNode(fleet, 4);
  RunFleet(fleet, Seconds(10));
  StartNode(fleet, 4);
  RunFleet(fleet, Seconds(60));
  MembershipState& state = fleet.nodes[0].state;
  Member& member = state.members[state.index_of.at("entry-4")];
  member.record.incarnation -= 1;
  member.record.state = MemberState::kDead;
  const std::uint64_t steps = fleet.counters.steps;
  RunFleet(fleet, Seconds(20));
  CHECK(IsLive(member.record.state));
  CHECK(fleet.counters.steps - steps < 20 * 9 * 8);
}

// Guards against every node polling the store.
TEST_CASE("two nodes per region read the version row") {
  Fleet fleet = StartConvergedFleet({.nodes = 30});
  const std::uint64_t before = fleet.store.row_reads;
  RunFleet(fleet, Seconds(100));
  const std::uint64_t reads = fleet.store.row_reads - before;
  CHECK(reads >= 580);
  CHECK(reads <= 620);
}

}  // namespace cicadadrum
