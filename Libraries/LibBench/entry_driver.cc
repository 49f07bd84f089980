// Runs the request core of each entry VM and carries its actions.

#include <algorithm>
#include <utility>

#include "cicadadrum/base/hash.h"
#include "world.h"

namespace cicadadrum {

namespace {

// Time after which a connection to a VM that has ended is given up.
constexpr Duration kConnectTimeout = Milliseconds(250);
constexpr Duration kTableTime = Milliseconds(4);

// Owner of all pools in the eyes of an entry VM that chooses by itself.
constexpr const char* kDirectOwner = "direct";

Duration PeerDelay(const World& world, std::size_t a, std::size_t b) {
  const EntryVm& from = world.entries[a].description;
  const EntryVm& to = world.entries[b].description;
  return DelayBetween(world, from.region, from.failure_domain, to.region,
                      to.failure_domain);
}

Duration TableDelay(const World& world, std::size_t entry) {
  const Region& home = world.deployment->deployment.regions.front();
  const EntryVm& from = world.entries[entry].description;
  return kTableTime + 2 * DelayBetween(world, from.region, from.failure_domain,
                                       home.name, home.failure_domains.front());
}

std::vector<ClaimWriteResult> InsertClaims(World& world,
                                           const WriteClaims& write) {
  std::vector<ClaimWriteResult> results;
  for (const ClaimWrite& claim : write.writes) {
    const auto [row, inserted] = world.table.emplace(claim.key, claim.row);
    const bool own = row->second.incarnation == claim.row.incarnation &&
                     row->second.claim == claim.row.claim;
    results.push_back({claim.key,
                       inserted || own ? ClaimWriteOutcome::kInserted
                                       : ClaimWriteOutcome::kExists,
                       row->second});
  }
  return results;
}

struct ActionHandler {
  World& world;
  std::size_t entry;

  void operator()(const SendSlotRequest& ask) const {
    if (world.options.policy != Policy::kPoolOwner)
      return AnswerDirectly(ask);
    const std::size_t owner = world.entry_index.at(ask.owner);
    world.asks[{entry, ask.slot_request.id}] = {owner, ask.request,
                                                ask.attempt};
    const SimulatedEntry& peer = world.entries[owner];
    if (!peer.up) {
      world.asks.erase({entry, ask.slot_request.id});
      return DeliverLater(world, entry, kConnectTimeout,
                          SlotRefused{ask.request, ask.attempt,
                                      RefusalReason::kPeerUnreachable});
    }
    DeliverLater(world, owner, PeerDelay(world, entry, owner),
                 PeerRequestedSlot{ask.pool, ask.slot_request});
  }
  void operator()(const CancelSlotRequest& cancel) const {
    if (world.options.policy != Policy::kPoolOwner)
      return;
    const std::size_t owner = world.entry_index.at(cancel.owner);
    world.asks.erase({entry, cancel.id});
    DeliverLater(
        world, owner, PeerDelay(world, entry, owner),
        PeerCancelledSlot{cancel.pool, world.entries[entry].description.name,
                          cancel.id});
  }
  void operator()(const ReturnToPoolOwner& returned) const {
    if (world.options.policy != Policy::kPoolOwner)
      return ReturnDirectly(returned);
    const std::size_t owner = world.entry_index.at(returned.owner);
    DeliverLater(world, owner, PeerDelay(world, entry, owner),
                 PeerReturnedSlot{returned.pool, returned.lease,
                                  returned.outcome, returned.latency});
  }
  void operator()(const RequestLeaseReports& ask) const {
    for (const std::string& name : ask.entries) {
      const std::size_t to = world.entry_index.at(name);
      DeliverLater(
          world, to, PeerDelay(world, entry, to),
          PeerRequestedLeases{ask.pool, world.entries[entry].description.name});
    }
  }
  void operator()(const ReportLeases& report) const {
    const std::size_t owner = world.entry_index.at(report.owner);
    DeliverLater(
        world, owner, PeerDelay(world, entry, owner),
        PeerReportedLeases{report.pool, world.entries[entry].description.name,
                           report.leases});
  }
  void operator()(const PublishBlockedItem& spread) const {
    for (std::size_t to = 0; to < world.entries.size(); ++to) {
      if (to != entry)
        DeliverLater(world, to, PeerDelay(world, entry, to),
                     BlockedItemsReceived{{spread.item}});
    }
  }
  void operator()(const RespondToPeer& answer) const {
    if (const auto* grant = std::get_if<SlotGrant>(&answer.answer)) {
      const auto ask = TakeAsk(grant->entry, grant->id);
      if (ask)
        AnswerAsk(grant->entry,
                  SlotGranted{ask->request, ask->attempt, grant->lease,
                              grant->server, grant->address});
      return;
    }
    const auto& refusal = std::get<SlotRefusal>(answer.answer);
    const auto ask = TakeAsk(refusal.entry, refusal.id);
    if (ask)
      AnswerAsk(refusal.entry,
                SlotRefused{ask->request, ask->attempt, refusal.reason,
                            refusal.retry_after});
  }
  void operator()(const SendToBackend& send) const {
    SendAttempt(world, entry, send);
  }
  void operator()(const CancelAtBackend& cancel) const {
    CancelAttempt(world, AttemptId(cancel.request, cancel.attempt));
  }
  void operator()(const AnswerCaller& answer) const {
    ReceiveAnswer(world, answer);
  }
  void operator()(const WriteClaims& write) const {
    const Duration delay = TableDelay(world, entry);
    Schedule(world.queue, Now(world) + delay / 2, [*this, write, delay] {
      DeliverLater(world, entry, delay / 2,
                   WriteAnswered{write.batch, InsertClaims(world, write)});
    });
  }
  void operator()(const StoreResult& store) const {
    Schedule(world.queue, Now(world) + TableDelay(world, entry) / 2,
             [*this, store] { world.table[store.key] = store.row; });
  }
  void operator()(const ForwardToHome& ask) const {
    DeliverLater(world, entry, {}, HomeResponded{.request = ask.request});
  }
  void operator()(const WakeAt& wake) const {
    SimulatedEntry& simulated = world.entries[entry];
    if (wake.at >= simulated.wake_at)
      return;
    simulated.wake_at = wake.at;
    const std::uint32_t generation = simulated.generation;
    Schedule(world.queue, wake.at, [*this, at = wake.at, generation] {
      SimulatedEntry& woken = world.entries[entry];
      if (woken.generation != generation || woken.wake_at != at)
        return;
      woken.wake_at = kNever;
      Deliver(world, entry, TimerExpired{});
    });
  }
  void operator()(const StopCompleted& /*stopped*/) const {}

  void AnswerDirectly(const SendSlotRequest& ask) const {
    SimulatedEntry& simulated = world.entries[entry];
    DirectServer* server =
        ChooseDirectly(simulated.chooser, world.options.policy, ask.pool,
                       ask.slot_request, world.choices);
    if (server == nullptr)
      return DeliverLater(
          world, entry, {},
          SlotRefused{ask.request, ask.attempt, RefusalReason::kNoServer});
    ++server->in_flight;
    const std::uint64_t lease = (world.next_lease++ << 16U) |
                                world.server_index.at(server->description.name);
    DeliverLater(
        world, entry, {},
        SlotGranted{ask.request, ask.attempt, lease, server->description.name,
                    server->description.address});
  }
  void ReturnDirectly(const ReturnToPoolOwner& returned) const {
    const std::string& name =
        world.servers[returned.lease & 0xffffU].description.name;
    for (DirectServer& server :
         world.entries[entry].chooser.pools[returned.pool]) {
      if (server.description.name == name && server.in_flight > 0)
        --server.in_flight;
    }
  }
  std::optional<PendingAsk> TakeAsk(const std::string& asker,
                                    std::uint64_t id) const {
    const auto found = world.asks.find({world.entry_index.at(asker), id});
    if (found == world.asks.end())
      return std::nullopt;
    const PendingAsk ask = found->second;
    world.asks.erase(found);
    return ask;
  }
  void AnswerAsk(const std::string& asker, Event event) const {
    const std::size_t to = world.entry_index.at(asker);
    DeliverLater(world, to, PeerDelay(world, entry, to), std::move(event));
  }
};

Configuration MakeConfiguration(const World& world) {
  Configuration configuration{.version = 1};
  Plan plan{.name = "standard"};
  for (const auto& [request_class, name] : EnumNames<RequestClass>::kTable)
    plan.classes.push_back(request_class);
  for (const Service& service : world.deployment->deployment.services)
    plan.services.push_back(service.name);
  for (const Region& region : world.deployment->deployment.regions)
    plan.regions.push_back(region.name);
  configuration.plans.push_back(plan);
  for (const std::string& customer : world.customers)
    configuration.customers.push_back({customer, plan.name});
  return configuration;
}

std::vector<EntryVm> LiveEntries(const World& world) {
  std::vector<EntryVm> live;
  if (world.options.policy != Policy::kPoolOwner) {
    for (const Region& region : world.deployment->deployment.regions)
      live.push_back({.name = kDirectOwner, .region = region.name});
    return live;
  }
  for (const SimulatedEntry& entry : world.entries) {
    if (entry.up)
      live.push_back(entry.description);
  }
  return live;
}

}  // namespace

void StartEntry(World& world, std::size_t entry) {
  SimulatedEntry& simulated = world.entries[entry];
  simulated.up = true;
  ++simulated.generation;
  simulated.wake_at = kNever;
  simulated.state = MakeEntryState(
      world.deployment->deployment, simulated.description,
      {entry + 1, simulated.generation}, NextRandom(world.random));
  // The baselines have no second attempts but retries.
  simulated.state.hedging = world.options.policy == Policy::kPoolOwner;
  simulated.chooser = {};
  for (const BackendServer& server : world.deployment->servers)
    simulated.chooser.pools[{server.region, server.service}].push_back(
        {.description = server});
  Deliver(world, entry, ConfigurationAdopted{MakeConfiguration(world)});
  Deliver(world, entry, ServersChanged{world.deployment->servers});
}

void StartEntries(World& world) {
  for (const EntryVm& description : world.deployment->deployment.entries) {
    world.entry_index[description.name] = world.entries.size();
    world.entries.push_back({.description = description});
  }
  for (std::size_t entry = 0; entry < world.entries.size(); ++entry)
    StartEntry(world, entry);
  AnnounceMembers(world);
}

void AnnounceMembers(World& world) {
  const std::vector<EntryVm> live = LiveEntries(world);
  for (std::size_t entry = 0; entry < world.entries.size(); ++entry)
    Deliver(world, entry, MembersChanged{live});
}

void Deliver(World& world, std::size_t entry, const Event& event) {
  SimulatedEntry& simulated = world.entries[entry];
  if (!simulated.up)
    return;
  Actions actions;
  Step(simulated.state, event, Now(world), actions);
  for (const Action& action : actions)
    std::visit(ActionHandler{world, entry}, action);
}

void DeliverLater(World& world,
                  std::size_t entry,
                  Duration delay,
                  Event event) {
  const std::uint32_t generation = world.entries[entry].generation;
  Schedule(world.queue, Now(world) + delay,
           [&world, entry, generation, event = std::move(event)] {
             if (world.entries[entry].generation == generation)
               Deliver(world, entry, event);
           });
}

void DeliverReport(World& world,
                   std::size_t server,
                   std::uint32_t in_progress,
                   TimePoint taken_at) {
  const BackendServer& description = world.servers[server].description;
  for (SimulatedEntry& entry : world.entries) {
    if (entry.description.region != description.region)
      continue;
    Deliver(world, world.entry_index.at(entry.description.name),
            LoadReported{description.name, {in_progress, taken_at}});
    for (DirectServer& known :
         entry.chooser.pools[{description.region, description.service}]) {
      if (known.description.name == description.name)
        known.reported = in_progress;
    }
  }
}

void FailPendingAsks(World& world, std::size_t lost_owner) {
  for (auto ask = world.asks.begin(); ask != world.asks.end();) {
    const auto present = ask++;
    if (present->second.owner != lost_owner)
      continue;
    const PendingAsk pending = present->second;
    const std::size_t entry = present->first.first;
    world.asks.erase(present);
    DeliverLater(world, entry, {},
                 SlotRefused{pending.request, pending.attempt,
                             RefusalReason::kPeerUnreachable});
  }
}

}  // namespace cicadadrum
