// Simulates a fleet of entry VMs in virtual time. The nodes run the shipped
// functions of LibMembership over a fake network and a fake store. The same
// options and seed give the same run. The tests and cicadadrum-fleet-bench use
// the simulation.

#ifndef CICADADRUM_FLEET_FLEET_H_
#define CICADADRUM_FLEET_FLEET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/fleet/traffic.h"
#include "cicadadrum/membership/membership.h"

namespace cicadadrum {

// Size and behaviour of a simulated fleet. Delays are one-way.
struct FleetOptions {
  std::size_t nodes = 9;
  std::size_t regions = 3;
  std::size_t failure_domains = 6;  // Total of all regions.
  Duration region_delay = Milliseconds(12);
  Duration domain_delay = Microseconds(1500);
  double loss = 0;         // Probability that a message is lost, in [0, 1).
  double duplication = 0;  // Probability that a message is sent twice.
  std::uint64_t seed = 1;
  std::size_t body_bytes = 16384;    // Smallest size of a configuration body.
  std::size_t seeds_per_region = 1;  // Nodes that new nodes contact to join.
  // Measure the wall-clock time of steps and of encoding, in FleetCounters.
  bool measure_time = false;
  bool count_bytes = true;  // Encode each message to count its size.
  MembershipOptions membership;
};

// A call of fetchItem that a node receives from a peer.
struct FetchRequest {
  std::size_t origin = 0;        // Index of the calling node.
  std::uint64_t origin_run = 0;  // FleetNode::run of the calling node.
  std::string key;
  std::uint64_t version = 0;
};

// What the simulation delivers to a node: an event or a peer's fetch request.
struct FleetDelivery {
  MembershipEvent event;
  bool is_fetch = false;
  FetchRequest fetch;  // Set if `is_fetch`.
};

// A delivery or a wake-up that is due at the time `at`.
struct ScheduledDelivery {
  TimePoint at;
  std::uint64_t order = 0;  // Order of scheduling, which breaks ties.
  std::size_t node = 0;
  // Run of the node to which the delivery belongs; 0 if any run may process it.
  std::uint64_t run = 0;
  std::unique_ptr<FleetDelivery> delivery;  // Null for a wake-up.
};

// One entry VM of the fleet.
struct FleetNode {
  EntryVm vm;
  std::size_t region = 0;
  std::size_t failure_domain = 0;
  MembershipState state;
  bool up = false;
  bool paused = false;
  std::uint64_t run = 0;  // Number of starts.
  TimePoint wake_at = kNever;
  // Deliveries that arrived while the node was paused.
  std::vector<std::unique_ptr<FleetDelivery>> backlog;
  // Last adopted version of each item in this run, by key.
  std::map<std::string, std::uint64_t> adopted;
  TrafficTotals traffic;
};

// One-way partition: all messages from the nodes in `from` to the nodes in `to`
// are lost. Both vectors are indexed by node.
struct NetworkPartition {
  std::vector<bool> from;
  std::vector<bool> to;
};

// The platform's store. Its network position is that of node 0.
struct FleetStore {
  bool up = true;
  // Reads return the first version, as a stale replica does.
  bool serves_stale_reads = false;
  std::vector<ItemVersion> configurations;    // Rows by ascending version.
  std::map<std::string, std::string> bodies;  // By hash.
  std::map<std::string, ItemVersion> marks;   // By key.
  std::uint64_t row_reads = 0;   // Attempts, including those while down.
  std::uint64_t body_reads = 0;  // Attempts, including those while down.
};

// Counters of a run. A suspicion or death is false if the suspected node is up
// and not paused and no partition exists.
struct FleetCounters {
  std::uint64_t steps = 0;
  std::uint64_t reversions = 0;  // Adoptions of a version below an earlier one.
  // Name, incarnation and sequence of each record that was false.
  std::set<std::tuple<std::string, std::uint64_t, std::uint32_t>>
      false_suspicions;
  std::set<std::tuple<std::string, std::uint64_t, std::uint32_t>> false_deaths;
  std::int64_t step_nanoseconds = 0;
  std::int64_t encode_nanoseconds = 0;
};

// State of the simulation. Nodes are addressed by their index in `nodes`.
struct Fleet {
  FleetOptions options;
  Random random;
  TimePoint now;
  std::vector<FleetNode> nodes;
  std::vector<EntryVm> seeds;
  std::vector<NetworkPartition> partitions;
  FleetStore store;
  FleetCounters counters;
  std::vector<ScheduledDelivery> queue;  // Heap by IsLater.
  std::uint64_t next_order = 1;
  std::uint64_t next_incarnation = 1;
};

// Returns a fleet whose nodes are all down. The names of nodes, regions and
// failure domains follow from their numbers.
Fleet MakeFleet(const FleetOptions& options);

// Runs the fleet for `duration` of virtual time.
void RunFleet(Fleet& fleet, Duration duration);

// Runs the fleet until `done(fleet)` is true, which is checked every 10 ms of
// virtual time. Returns the time until then, or `limit` if `done` stays false
// for that time.
template <typename Predicate>
Duration RunFleetUntil(Fleet& fleet, Duration limit, Predicate done) {
  const TimePoint start = fleet.now;
  while (!done(fleet)) {
    if (fleet.now - start >= limit)
      return limit;
    RunFleet(fleet, Milliseconds(10));
  }
  return fleet.now - start;
}

// Starts a node as a new process, with an empty state and a new incarnation.
void StartNode(Fleet& fleet, std::size_t node);
// Starts all nodes, each as a new process.
void StartAll(Fleet& fleet);

// Starts all nodes with full member tables, as after a long time without
// changes.
void StartAllWithFullTables(Fleet& fleet);

// Stops a node without a message to its peers.
void CrashNode(Fleet& fleet, std::size_t node);
// Stops a node that is up after it has announced that it leaves.
void LeaveNode(Fleet& fleet, std::size_t node);
// Suspends a node; its deliveries are queued until ResumeNode.
void PauseNode(Fleet& fleet, std::size_t node);
// Resumes a paused node, which processes its queued deliveries at once. Does
// nothing if the node is down or not paused.
void ResumeNode(Fleet& fleet, std::size_t node);

// Delivers an event to a node without a delay.
void DeliverEvent(Fleet& fleet, std::size_t node, const MembershipEvent& event);

// Writes the next configuration to the store, as an operator does. Returns the
// version of the configuration.
std::uint64_t PublishConfiguration(Fleet& fleet);

// Adds a one-way partition: messages from the nodes for which `in_from` is true
// to the nodes for which `in_to` is true are lost.
template <typename From, typename To>
void PartitionNetwork(Fleet& fleet, From in_from, To in_to) {
  NetworkPartition partition;
  for (const FleetNode& node : fleet.nodes) {
    partition.from.push_back(in_from(node));
    partition.to.push_back(in_to(node));
  }
  fleet.partitions.push_back(partition);
}

// Partitions a region from all other regions, in both directions.
void PartitionRegion(Fleet& fleet, std::size_t region);
// Removes all partitions.
void HealPartitions(Fleet& fleet);

// Returns whether the configuration `version` is in force at every node that is
// up.
bool InForceEverywhere(const Fleet& fleet, std::uint64_t version);

// Returns whether every node that is up lists exactly the nodes that are up as
// live.
bool MembersAgree(const Fleet& fleet);

// Returns whether all nodes that are up have the same items.
bool ItemsAgree(const Fleet& fleet);

// Returns whether every node that is up lists `node` as dead or as having left,
// or does not list it.
bool ListedAsDeadEverywhere(const Fleet& fleet, std::size_t node);

// Returns an estimate of the memory of a node's state in bytes, calculated from
// the sizes of its containers.
std::size_t StateBytes(const MembershipState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_FLEET_FLEET_H_
