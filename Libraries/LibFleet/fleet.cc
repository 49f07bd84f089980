// Runs the nodes of a fleet and the queue of deliveries, and injects faults.

#include "cicadadrum/fleet/fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "delivery.h"

namespace cicadadrum {

namespace {

EntryVm MakeVm(std::size_t node, std::size_t domain, std::size_t region) {
  const std::string number = std::to_string(node);
  const std::string address = "10." + std::to_string(domain) + "." +
                              std::to_string(node / 250) + "." +
                              std::to_string(node % 250 + 1);
  return {.name = "entry-" + number,
          .region = "region-" + std::to_string(region),
          .failure_domain = "domain-" + std::to_string(domain),
          .caller_address = address + ":8080",
          .peer_address = address + ":7000"};
}

void StepNode(Fleet& fleet, std::size_t node, const MembershipEvent& event) {
  MembershipActions actions;
  ++fleet.counters.steps;
  if (fleet.options.measure_time) {
    const auto start = std::chrono::steady_clock::now();
    StepMembership(fleet.nodes[node].state, event, fleet.now, actions);
    fleet.counters.step_nanoseconds +=
        std::chrono::nanoseconds(std::chrono::steady_clock::now() - start)
            .count();
  } else {
    StepMembership(fleet.nodes[node].state, event, fleet.now, actions);
  }
  PerformActions(fleet, node, actions);
}

void ProcessDelivery(Fleet& fleet,
                     std::size_t node,
                     const FleetDelivery& delivery) {
  if (delivery.is_fetch)
    RespondToFetch(fleet, node, delivery.fetch);
  else
    StepNode(fleet, node, delivery.event);
}

void Dispatch(Fleet& fleet, ScheduledDelivery scheduled) {
  FleetNode& node = fleet.nodes[scheduled.node];
  if (!node.up || (scheduled.run != 0 && scheduled.run != node.run))
    return;
  if (!scheduled.delivery) {
    // A wake-up before `wake_at` was superseded by a later one.
    if (!node.paused && scheduled.at >= node.wake_at) {
      node.wake_at = kNever;
      StepNode(fleet, scheduled.node, MembershipTimerExpired{});
    }
    return;
  }
  if (node.paused)
    node.backlog.push_back(std::move(scheduled.delivery));
  else
    ProcessDelivery(fleet, scheduled.node, *scheduled.delivery);
}

}  // namespace

Fleet MakeFleet(const FleetOptions& options) {
  Fleet fleet{.options = options, .random = {.state = options.seed}};
  std::vector<std::size_t> seeds_of_region(options.regions);
  for (std::size_t i = 0; i < options.nodes; ++i) {
    FleetNode node;
    node.failure_domain = i % options.failure_domains;
    node.region = node.failure_domain % options.regions;
    node.vm = MakeVm(i, node.failure_domain, node.region);
    if (seeds_of_region[node.region]++ < options.seeds_per_region)
      fleet.seeds.push_back(node.vm);
    fleet.nodes.push_back(std::move(node));
  }
  return fleet;
}

void RunFleet(Fleet& fleet, Duration duration) {
  const TimePoint end = fleet.now + duration;
  while (!fleet.queue.empty() && fleet.queue.front().at <= end) {
    std::pop_heap(fleet.queue.begin(), fleet.queue.end(), IsLater);
    ScheduledDelivery next = std::move(fleet.queue.back());
    fleet.queue.pop_back();
    fleet.now = std::max(fleet.now, next.at);
    Dispatch(fleet, std::move(next));
  }
  fleet.now = end;
}

void StartNode(Fleet& fleet, std::size_t node) {
  FleetNode& started_node = fleet.nodes[node];
  started_node.up = true;
  started_node.paused = false;
  started_node.backlog.clear();
  started_node.adopted.clear();
  started_node.wake_at = kNever;
  ++started_node.run;
  started_node.state = MakeMembershipState(
      started_node.vm, fleet.next_incarnation++, fleet.seeds,
      NextRandom(fleet.random), fleet.now, fleet.options.membership);
  StepNode(fleet, node, MembershipTimerExpired{});
}

void StartAll(Fleet& fleet) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
    StartNode(fleet, i);
}

void StartAllWithFullTables(Fleet& fleet) {
  StartAll(fleet);
  std::vector<MemberUpdate> records;
  for (const FleetNode& node : fleet.nodes)
    records.push_back(node.state.members[0].record);
  for (FleetNode& node : fleet.nodes) {
    ExchangeMessage full_table{.sender = fleet.nodes[0].vm.name,
                               .incarnation = records[0].incarnation,
                               .kind = ExchangeKind::kPush,
                               .members = records};
    MembershipActions ignored;
    StepMembership(node.state, MessageReceived{full_table}, fleet.now, ignored);
    node.state.updates.clear();
    node.state.joining = false;
  }
}

void CrashNode(Fleet& fleet, std::size_t node) {
  fleet.nodes[node].up = false;
}

void LeaveNode(Fleet& fleet, std::size_t node) {
  StepNode(fleet, node, LeaveRequested{});
  fleet.nodes[node].up = false;
}

void PauseNode(Fleet& fleet, std::size_t node) {
  fleet.nodes[node].paused = true;
}

void ResumeNode(Fleet& fleet, std::size_t node) {
  FleetNode& resumed_node = fleet.nodes[node];
  if (!resumed_node.up || !resumed_node.paused)
    return;
  resumed_node.paused = false;
  resumed_node.wake_at = kNever;
  const auto backlog = std::exchange(resumed_node.backlog, {});
  for (const auto& delivery : backlog)
    ProcessDelivery(fleet, node, *delivery);
  StepNode(fleet, node, MembershipTimerExpired{});
}

void DeliverEvent(Fleet& fleet,
                  std::size_t node,
                  const MembershipEvent& event) {
  StepNode(fleet, node, event);
}

std::uint64_t PublishConfiguration(Fleet& fleet) {
  FleetStore& store = fleet.store;
  const std::uint64_t version = store.configurations.size() + 1;
  std::string body = "configuration " + std::to_string(version);
  body.resize(std::max(body.size(), fleet.options.body_bytes), ' ');
  const std::string hash = BodyHash(body);
  store.bodies[hash] = body;
  store.configurations.push_back(
      {std::string(kConfigurationKey), version, hash});
  return version;
}

void PartitionRegion(Fleet& fleet, std::size_t region) {
  const auto inside = [region](const FleetNode& node) {
    return node.region == region;
  };
  const auto outside = [region](const FleetNode& node) {
    return node.region != region;
  };
  PartitionNetwork(fleet, inside, outside);
  PartitionNetwork(fleet, outside, inside);
}

void HealPartitions(Fleet& fleet) {
  fleet.partitions.clear();
}

}  // namespace cicadadrum
