// A fleet of entry VMs in virtual time: the shipped functions of LibMembership
// over a fake network and a fake store. The same options and seed give the same
// run. The tests and cicadadrum-fleet-bench use it.

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

struct FleetOptions {
  std::size_t nodes = 9;
  std::size_t regions = 3;
  std::size_t failure_domains = 6;  // Over all regions.
  Duration region_delay = Milliseconds(12);
  Duration domain_delay = Microseconds(1500);
  double loss = 0;         // Of each message, in [0, 1).
  double duplication = 0;  // Of each message.
  std::uint64_t seed = 1;
  std::size_t body_bytes = 16384;  // Of a configuration.
  std::size_t seeds_per_region = 1;
  bool measure_time = false;  // Processor time of steps and encoding.
  bool count_bytes = true;    // Encode each message to count its bytes.
  MembershipOptions membership;
};

// What the simulation hands to a node: an event, or a peer's fetchItem.
struct FetchRequest {
  std::size_t origin = 0;
  std::uint64_t origin_run = 0;
  std::string key;
  std::uint64_t version = 0;
};

struct FleetDelivery {
  MembershipEvent event;
  bool is_fetch = false;
  FetchRequest fetch;  // Set if `is_fetch`.
};

struct ScheduledDelivery {
  TimePoint at;
  std::uint64_t order = 0;  // Breaks ties by order of scheduling.
  std::size_t node = 0;
  std::uint64_t run = 0;  // The node's run it is meant for; 0 for any.
  std::unique_ptr<FleetDelivery> delivery;  // Null for a wake-up.
};

struct FleetNode {
  EntryVm vm;
  std::size_t region = 0;
  std::size_t failure_domain = 0;
  MembershipState state;
  bool up = false;
  bool paused = false;
  std::uint64_t run = 0;  // Counts restarts.
  TimePoint wake_at = kNever;
  std::vector<std::unique_ptr<FleetDelivery>> backlog;  // While paused.
  std::map<std::string, std::uint64_t> adopted;  // Versions, in this run.
  TrafficTotals traffic;
};

// One-way loss of all messages from the nodes of `from` to those of `to`.
struct NetworkPartition {
  std::vector<bool> from;
  std::vector<bool> to;
};

// The platform's store, in the region of node 0.
struct FleetStore {
  bool up = true;
  // Reads give the first version: a stale replica.
  bool serves_stale_reads = false;
  std::vector<ItemVersion> configurations;    // Rows in order of version.
  std::map<std::string, std::string> bodies;  // By hash.
  std::map<std::string, ItemVersion> marks;
  std::uint64_t row_reads = 0;   // Tried, also while down.
  std::uint64_t body_reads = 0;  // Tried, also while down.
};

// What a run counts. A suspicion or death is false if its subject is up, not
// paused, and no cut is in place.
struct FleetCounters {
  std::uint64_t steps = 0;
  std::uint64_t reversions = 0;  // An adopted version below an earlier one.
  std::set<std::tuple<std::string, std::uint64_t, std::uint32_t>>
      false_suspicions;
  std::set<std::tuple<std::string, std::uint64_t, std::uint32_t>> false_deaths;
  std::int64_t step_nanoseconds = 0;
  std::int64_t encode_nanoseconds = 0;
};

struct Fleet {
  FleetOptions options;
  Random random;
  TimePoint now;
  std::vector<FleetNode> nodes;
  std::vector<EntryVm> seeds;
  std::vector<NetworkPartition> partitions;
  FleetStore store;
  FleetCounters counters;
  std::vector<ScheduledDelivery> queue;  // Heap, earliest first.
  std::uint64_t next_order = 1;
  std::uint64_t next_incarnation = 1;
};

// Returns a fleet whose nodes are all down. The names of nodes, regions and
// failure domains follow from their numbers.
Fleet MakeFleet(const FleetOptions& options);

// Runs the fleet for this long.
void RunFleet(Fleet& fleet, Duration duration);

// Runs until `done` holds, looking every 10 ms. Returns the time it took, or
// `limit` if it did not hold within that time.
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

// Starts a node that is down, as a new process.
void StartNode(Fleet& fleet, std::size_t node);
void StartAll(Fleet& fleet);

// Starts all nodes with full member tables, as after a long quiet time.
void StartAllWithFullTables(Fleet& fleet);

void CrashNode(Fleet& fleet, std::size_t node);
void LeaveNode(Fleet& fleet, std::size_t node);  // Graceful, then down.
void PauseNode(Fleet& fleet, std::size_t node);
void ResumeNode(Fleet& fleet, std::size_t node);

// Hands an event to a node at once.
void DeliverEvent(Fleet& fleet, std::size_t node, const MembershipEvent& event);

// Writes the next configuration to the store, as an operator does; returns its
// version.
std::uint64_t PublishConfiguration(Fleet& fleet);

// Cuts the nodes for which `in_from` holds from those for which `in_to` holds,
// one way.
template <typename From, typename To>
void PartitionNetwork(Fleet& fleet, From in_from, To in_to) {
  NetworkPartition cut;
  for (const FleetNode& node : fleet.nodes) {
    cut.from.push_back(in_from(node));
    cut.to.push_back(in_to(node));
  }
  fleet.partitions.push_back(cut);
}

// Cuts a region from all others, both ways.
void PartitionRegion(Fleet& fleet, std::size_t region);
void HealPartitions(Fleet& fleet);

// Whether every node that is up has this configuration version in force.
bool InForceEverywhere(const Fleet& fleet, std::uint64_t version);

// Whether every node that is up holds exactly the nodes that are up for live.
bool MembersAgree(const Fleet& fleet);

// Whether all nodes that are up hold the same items.
bool ItemsAgree(const Fleet& fleet);

// Whether every node that is up holds `node` for dead or gone.
bool ListedAsDeadEverywhere(const Fleet& fleet, std::size_t node);

// Returns an estimate of the bytes of a node's state, from the sizes of its
// containers.
std::size_t StateBytes(const MembershipState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_FLEET_FLEET_H_
