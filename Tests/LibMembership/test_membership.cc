// Tests of membership with a simulated fleet in virtual time.

#include <doctest/doctest.h>

#include <algorithm>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

namespace {

constexpr Duration kLimit = Seconds(60);

// Returns a fleet, of the default size unless `options` state another, whose
// members agree and have version 1 in force.
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

// Guards against failure detection that suspects live nodes without any fault.
TEST_CASE("no member is suspected without faults") {
  Fleet fleet = StartConvergedFleet({.nodes = 11});
  RunFleet(fleet, Seconds(600));
  CHECK(fleet.counters.false_suspicions.empty());
  CHECK(fleet.counters.false_deaths.empty());
  CHECK(MembersAgree(fleet));
}

// Guards against slow failover of pools, which waits for the detection: about 3
// s, at most 7 s.
TEST_CASE("a dead node is detected within 7 s") {
  Duration sum{};
  constexpr int kRuns = 40;
  for (int run = 0; run < kRuns; ++run) {
    Fleet fleet = StartConvergedFleet({.seed = 100 + std::uint64_t(run)});
    CrashNode(fleet, 4);
    const Duration took = RunFleetUntil(fleet, kLimit, [](const Fleet& f) {
      return ListedAsDeadEverywhere(f, 4);
    });
    CHECK(took <= Seconds(7));
    sum += took;
  }
  MESSAGE("mean detection ms: ", sum.count() / kRuns / 1000);
  CHECK(sum / kRuns <= Milliseconds(3500));
}

// Guards against a paused node that suspects other members when it resumes, and
// against peers that continue to list it as dead.
TEST_CASE(
    "a resumed node refutes that it is dead and suspects no other member") {
  Fleet fleet = StartConvergedFleet();
  const std::uint64_t run = fleet.nodes[3].run;
  PauseNode(fleet, 3);
  RunFleet(fleet, Seconds(30));
  // The paused node lists itself as alive.
  CHECK(ListedAsDeadEverywhere(fleet, 3) == false);
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

// Guards against a wrong suspicion that ends in the death of a live member.
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

// Guards against items that revert, and sides that still differ, after a
// network partition.
TEST_CASE("no item reverts when a region reconnects after a partition") {
  Fleet fleet = StartConvergedFleet();
  PartitionRegion(fleet, 2);  // The store is in region 0.
  RunFleet(fleet, Seconds(60));
  PublishConfiguration(fleet);
  DeliverEvent(fleet, 2,  // Node 2 is in the partitioned region.
               LocalChange{{"leaving/sb-1", 1, "leaving"}, {}});
  RunFleet(fleet, Seconds(120));
  CHECK(ActiveConfigurationVersion(fleet.nodes[0].state) == 2);
  CHECK(ActiveConfigurationVersion(fleet.nodes[2].state) == 1);
  CHECK(FindItem(fleet.nodes[0].state, "leaving/sb-1") == nullptr);
  HealPartitions(fleet);
  CHECK(TimeUntilAgreement(fleet) <= Seconds(20));
  CHECK(InForceEverywhere(fleet, 2));
  // The mark that was accepted during the partition reaches the table.
  RunFleet(fleet, Seconds(10));
  CHECK(fleet.store.marks.contains("leaving/sb-1"));
  CHECK(FindItem(fleet.nodes[0].state, "leaving/sb-1")->value ==
        "leaving-recorded");
  CHECK(fleet.counters.reversions == 0);
}

// Guards against the loss of a mark when the entry VM that accepted it dies
// before the table could record the mark (I6).
TEST_CASE("a mark reaches the table after the accepting node died") {
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

// Guards against the loss of the configuration version when every entry VM is
// restarted in turn while the store is down.
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

// Guards against a restarted node that serves an old configuration (I8) or
// reports that it is ready when no node knows the configuration.
TEST_CASE("restarted nodes fetch the version from a peer or are not ready") {
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

// Guards against a stale row or object that replaces a newer version (I8).
TEST_CASE("an old row or body from the store is ignored") {
  Fleet fleet = StartConvergedFleet();
  PublishConfiguration(fleet);
  RunFleet(fleet, Seconds(6));
  REQUIRE(InForceEverywhere(fleet, 2));
  fleet.store.serves_stale_reads = true;
  RunFleet(fleet, Seconds(10));
  CHECK(InForceEverywhere(fleet, 2));
  fleet.store.serves_stale_reads = false;
  PublishConfiguration(fleet);
  // The object store has an old body with a changed end under the new hash.
  const std::string hash = fleet.store.configurations.back().value;
  const std::string body = fleet.store.bodies[hash];
  fleet.store.bodies[hash] = fleet.store.bodies.begin()->second;
  fleet.store.bodies[hash] += "x";
  RunFleet(fleet, Seconds(10));
  CHECK(InForceEverywhere(fleet, 2));
  // The readers know that version 3 exists and are not ready with version 2.
  CHECK(
      std::any_of(fleet.nodes.begin(), fleet.nodes.end(),
                  [](const FleetNode& node) { return !IsReady(node.state); }));
  fleet.store.bodies[hash] = body;
  RunFleet(fleet, Seconds(6));
  CHECK(InForceEverywhere(fleet, 3));
  CHECK(fleet.counters.reversions == 0);
}

// Guards against a node whose messages are lost and that suspects the fleet,
// during the fault or when it ends, and against confirming this node's marks
// during the fault.
TEST_CASE("a node cut off in one direction suspects no other member") {
  for (const bool drops_incoming : {true, false}) {
    CAPTURE(drops_incoming);
    Fleet fleet = StartConvergedFleet();
    const auto is_isolated_node = [](const FleetNode& n) {
      return n.vm.name == "entry-4";
    };
    const auto is_any_node = [](const FleetNode&) { return true; };
    if (drops_incoming)
      PartitionNetwork(fleet, is_any_node, is_isolated_node);
    else
      PartitionNetwork(fleet, is_isolated_node, is_any_node);
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
    HealPartitions(fleet);
    CHECK(TimeUntilAgreement(fleet) <= Seconds(20));
    CHECK(fleet.counters.false_deaths.empty());
    // The ack of the next probe ends the isolation.
    RunFleet(fleet, Seconds(2));
    CHECK_FALSE(fleet.nodes[4].state.isolated);
  }
}

// Guards against a node that serves a version below the floor of its caller.
TEST_CASE("a node fetches the version that a caller names as the floor") {
  Fleet fleet = StartConvergedFleet();
  PublishConfiguration(fleet);
  DeliverEvent(fleet, 7, ConfigurationFloorRaised{2});
  CHECK_FALSE(IsReady(fleet.nodes[7].state));
  RunFleet(fleet, Seconds(6));
  CHECK(IsReady(fleet.nodes[7].state));
  CHECK(ActiveConfigurationVersion(fleet.nodes[7].state) == 2);
}

// Guards against an endless exchange with a member whose earlier process is
// listed as dead: the member did not include its current record, so both sides
// continued to respond to each other.
TEST_CASE(
    "a node that lists an earlier process as dead adopts the new process") {
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

// Guards against reads of the store by every node.
TEST_CASE("two nodes per region read the version row") {
  Fleet fleet = StartConvergedFleet({.nodes = 30});
  const std::uint64_t before = fleet.store.row_reads;
  RunFleet(fleet, Seconds(100));
  const std::uint64_t reads = fleet.store.row_reads - before;
  CHECK(reads >= 580);
  CHECK(reads <= 620);
}

}  // namespace cicadadrum
