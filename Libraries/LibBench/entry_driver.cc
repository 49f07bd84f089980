// Runs the request core of each entry VM and performs its actions.

#include <algorithm>
#include <utility>

#include "cicadadrum/base/hash.h"
#include "world.h"

namespace cicadadrum {

namespace {

// Timeout for connecting to an entry VM that is down.
constexpr Duration kConnectTimeout = Milliseconds(250);
// Time that the table service needs for one call, without network delays.
constexpr Duration kTableServiceTime = Milliseconds(4);

// Name of the member that owns all pools under the policies without a pool
// owner. The entry VM handles messages to this member itself.
constexpr const char* kDirectPolicyOwner = "direct";

Duration PeerDelay(const World& world, std::size_t a, std::size_t b) {
  const EntryVm& from = world.entries[a].description;
  const EntryVm& to = world.entries[b].description;
  return DelayBetween(world, from.region, from.failure_domain, to.region,
                      to.failure_domain);
}

// Returns the time of a call to the table service, which runs in the first
// region.
Duration TableDelay(const World& world, std::size_t entry) {
  const Region& home = world.deployment->deployment.regions.front();
  const EntryVm& from = world.entries[entry].description;
  return kTableServiceTime + 2 * DelayBetween(world, from.region,
                                              from.failure_domain, home.name,
                                              home.failure_domains.front());
}

// Inserts the claims whose keys are not in the table. A repeated write of a
// claim that is in the table counts as inserted.
std::vector<ClaimWriteResult> InsertClaims(World& world,
                                           const WriteClaims& write) {
  std::vector<ClaimWriteResult> results;
  for (const ClaimWrite& claim : write.writes) {
    const auto [row, inserted] = world.table.emplace(claim.key, claim.row);
    const bool is_same_claim =
        row->second.incarnation == claim.row.incarnation &&
        row->second.claim == claim.row.claim;
    results.push_back({claim.key,
                       inserted || is_same_claim ? ClaimWriteOutcome::kInserted
                                                 : ClaimWriteOutcome::kExists,
                       row->second});
  }
  return results;
}

// Performs the actions of one entry VM.
struct ActionHandler {
  World& world;
  std::size_t entry;

  void operator()(const SendSlotRequest& action) const {
    if (world.options.policy != Policy::kPoolOwner)
      return GrantDirectly(action);
    const std::size_t owner = world.entry_index.at(action.owner);
    world.pending_slot_requests[{entry, action.slot_request.id}] = {
        owner, action.request, action.attempt};
    const SimulatedEntry& owner_vm = world.entries[owner];
    if (!owner_vm.up) {
      world.pending_slot_requests.erase({entry, action.slot_request.id});
      return DeliverLater(world, entry, kConnectTimeout,
                          SlotRefused{action.request, action.attempt,
                                      RefusalReason::kPeerUnreachable});
    }
    DeliverLater(world, owner, PeerDelay(world, entry, owner),
                 PeerRequestedSlot{action.pool, action.slot_request});
  }
  void operator()(const CancelSlotRequest& cancel) const {
    if (world.options.policy != Policy::kPoolOwner)
      return;
    const std::size_t owner = world.entry_index.at(cancel.owner);
    world.pending_slot_requests.erase({entry, cancel.id});
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
  void operator()(const RequestLeaseReports& action) const {
    for (const std::string& name : action.entries) {
      const std::size_t to = world.entry_index.at(name);
      DeliverLater(world, to, PeerDelay(world, entry, to),
                   PeerRequestedLeases{action.pool,
                                       world.entries[entry].description.name});
    }
  }
  void operator()(const ReportLeases& report) const {
    const std::size_t owner = world.entry_index.at(report.owner);
    DeliverLater(
        world, owner, PeerDelay(world, entry, owner),
        PeerReportedLeases{report.pool, world.entries[entry].description.name,
                           report.leases});
  }
  void operator()(const PublishBlockedItem& published) const {
    for (std::size_t to = 0; to < world.entries.size(); ++to) {
      if (to != entry)
        DeliverLater(world, to, PeerDelay(world, entry, to),
                     BlockedItemsReceived{{published.item}});
    }
  }
  void operator()(const RespondToPeer& answer) const {
    if (const auto* grant = std::get_if<SlotGrant>(&answer.answer)) {
      const auto pending = RemovePendingSlotRequest(grant->entry, grant->id);
      if (pending)
        SendToRequester(
            grant->entry,
            SlotGranted{pending->request, pending->attempt, grant->lease,
                        grant->server, grant->address});
      return;
    }
    const auto& refusal = std::get<SlotRefusal>(answer.answer);
    const auto pending = RemovePendingSlotRequest(refusal.entry, refusal.id);
    if (pending)
      SendToRequester(refusal.entry,
                      SlotRefused{pending->request, pending->attempt,
                                  refusal.reason, refusal.retry_after});
  }
  void operator()(const SendToBackend& action) const {
    SendAttempt(world, entry, action);
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
      DeliverLater(
          world, entry, delay / 2,
          ClaimWriteCompleted{write.batch, InsertClaims(world, write)});
    });
  }
  void operator()(const StoreResult& store) const {
    Schedule(world.queue, Now(world) + TableDelay(world, entry) / 2,
             [*this, store] { world.table[store.key] = store.row; });
  }
  void operator()(const ForwardToHome& action) const {
    DeliverLater(world, entry, {}, HomeResponded{.request = action.request});
  }
  void operator()(const WakeAt& wake) const {
    SimulatedEntry& simulated = world.entries[entry];
    if (wake.at >= simulated.wake_at)
      return;
    simulated.wake_at = wake.at;
    const std::uint32_t generation = simulated.generation;
    Schedule(world.queue, wake.at, [*this, at = wake.at, generation] {
      SimulatedEntry& current = world.entries[entry];
      if (current.generation != generation || current.wake_at != at)
        return;
      current.wake_at = kNever;
      Deliver(world, entry, TimerExpired{});
    });
  }
  void operator()(const StopCompleted& /*stopped*/) const {}

  // Grants a slot with the policy of this entry VM, without a pool owner. The
  // lower 16 bits of the lease are the index of the server.
  void GrantDirectly(const SendSlotRequest& action) const {
    SimulatedEntry& simulated = world.entries[entry];
    DirectServer* server =
        ChooseDirectly(simulated.chooser, world.options.policy, action.pool,
                       action.slot_request, world.direct_choice_random);
    if (server == nullptr)
      return DeliverLater(world, entry, {},
                          SlotRefused{action.request, action.attempt,
                                      RefusalReason::kNoServer});
    ++server->in_flight;
    const std::uint64_t lease = (world.next_direct_lease++ << 16U) |
                                world.server_index.at(server->description.name);
    DeliverLater(
        world, entry, {},
        SlotGranted{action.request, action.attempt, lease,
                    server->description.name, server->description.address});
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
  // Returns nothing if the slot request was cancelled or has failed.
  std::optional<PendingSlotRequest> RemovePendingSlotRequest(
      const std::string& requester,
      std::uint64_t id) const {
    const auto found =
        world.pending_slot_requests.find({world.entry_index.at(requester), id});
    if (found == world.pending_slot_requests.end())
      return std::nullopt;
    const PendingSlotRequest pending = found->second;
    world.pending_slot_requests.erase(found);
    return pending;
  }
  void SendToRequester(const std::string& requester, Event event) const {
    const std::size_t to = world.entry_index.at(requester);
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
  for (const std::string& client_account : world.client_accounts)
    configuration.client_accounts.push_back({client_account, plan.name});
  return configuration;
}

std::vector<EntryVm> LiveEntries(const World& world) {
  std::vector<EntryVm> live;
  if (world.options.policy != Policy::kPoolOwner) {
    for (const Region& region : world.deployment->deployment.regions)
      live.push_back({.name = kDirectPolicyOwner, .region = region.name});
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
      {entry + 1, simulated.generation}, NextRandom(world.arrival_random));
  // The baseline policies send a second attempt only as a retry, never as a
  // hedge.
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

void FailPendingSlotRequests(World& world, std::size_t lost_owner) {
  for (auto next = world.pending_slot_requests.begin();
       next != world.pending_slot_requests.end();) {
    const auto current = next++;
    if (current->second.owner != lost_owner)
      continue;
    const PendingSlotRequest pending = current->second;
    const std::size_t entry = current->first.first;
    world.pending_slot_requests.erase(current);
    DeliverLater(world, entry, {},
                 SlotRefused{pending.request, pending.attempt,
                             RefusalReason::kPeerUnreachable});
  }
}

}  // namespace cicadadrum
