// Dispatches the events of the request core to their handlers.

#include <algorithm>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/steering/entry_state.h"
#include "pool_flow.h"
#include "request_flow.h"
#include "split_flow.h"

namespace cicadadrum {

namespace {

// Time for which a stopping entry VM still admits new requests. Its answers
// name another entry VM meanwhile.
constexpr Duration kStopGracePeriod = Seconds(2);

struct EventHandler {
  EntryState& state;
  TimePoint now;
  Actions& actions;

  void operator()(const RequestArrived& event) const {
    AdmitRequest(state, event, now, actions);
  }
  void operator()(const CallerDisconnected& event) const {
    ApplyCallerDisconnected(state, event, now, actions);
  }
  void operator()(const SlotGranted& event) const {
    ApplyGrant(state, event, now, actions);
  }
  void operator()(const SlotRefused& event) const {
    ApplyRefusal(state, event, now, actions);
  }
  void operator()(const BackendResponded& event) const {
    ApplyAnswer(state, event, now, actions);
  }
  void operator()(const BackendFailed& event) const {
    ApplyFailure(state, event, now, actions);
  }
  void operator()(const PeerRequestedSlot& event) const {
    ApplyPeerRequest(state, event, now, actions);
  }
  void operator()(const PeerCancelledSlot& event) const {
    ApplyPeerCancel(state, event, now, actions);
  }
  void operator()(const PeerReturnedSlot& event) const {
    ApplyPeerReturn(state, event, now, actions);
  }
  void operator()(const PeerRequestedLeases& event) const {
    ReportHeldLeases(state, event, actions);
  }
  void operator()(const PeerReportedLeases& event) const {
    ApplyPeerReport(state, event, now, actions);
  }
  void operator()(const LoadReported& event) const {
    ApplyLoadReport(state, event, now);
  }
  void operator()(const BlockedItemsReceived& event) const {
    ApplyBlockedItems(state, event);
  }
  void operator()(const PeerLost& event) const {
    ApplyPeerLost(state, event, now, actions);
    RerouteFromLostOwner(state, event.entry, now, actions);
  }
  void operator()(const ClaimWriteCompleted& event) const {
    ApplyClaimEvent(state, event, now, actions);
  }
  void operator()(const HomeResponded& event) const {
    ApplyClaimEvent(state, event, now, actions);
  }
  void operator()(const TableChanged& event) const {
    ApplyClaimEvent(state, event, now, actions);
  }
  void operator()(const ConfigurationAdopted& event) const {
    if (event.configuration.version > state.configuration.version)
      state.configuration = event.configuration;
  }
  void operator()(const MembersChanged& event) const {
    ApplyMembers(state, event, now, actions);
  }
  void operator()(const ServersChanged& event) const {
    ApplyServers(state, event, now, actions);
  }
  void operator()(const MarksConfirmed& event) const {
    state.marks_confirmed_at = std::max(state.marks_confirmed_at, event.at);
  }
  void operator()(const StopRequested& /*event*/) const {
    state.stopping = true;
    state.admission_ends_at = now + kStopGracePeriod;
    actions.push_back(WakeAt{state.admission_ends_at});
  }
  void operator()(const TimerExpired& /*event*/) const {
    AdvanceRequests(state, now, actions);
    AdvancePools(state, now, actions);
    ApplyClaimEvent(state, ClaimTimerExpired{}, now, actions);
  }
};

}  // namespace

EntryState MakeEntryState(const Deployment& deployment,
                          const EntryVm& self,
                          const Incarnation& incarnation,
                          std::uint64_t seed) {
  EntryState state;
  state.self = self;
  state.deployment = deployment;
  state.random.state = seed;
  state.live = {self};
  state.claims.self = self.name;
  state.claims.incarnation = incarnation;
  StartSplits(state);
  return state;
}

bool IsReady(const EntryState& state) {
  return state.configuration.version > 0 &&
         state.configuration.version >= state.configuration_floor &&
         state.servers_known;
}

std::string PoolOwner(const EntryState& state, const PoolKey& pool) {
  std::vector<std::string> in_region;
  std::vector<std::string> all;
  for (const EntryVm& entry : state.live) {
    all.push_back(entry.name);
    if (entry.region == pool.region)
      in_region.push_back(entry.name);
  }
  const std::string key = pool.region + "/" + pool.service;
  return std::string(
      RendezvousWinner(key, in_region.empty() ? all : in_region));
}

void Step(EntryState& state,
          const Event& event,
          TimePoint now,
          Actions& actions) {
  std::visit(EventHandler{state, now, actions}, event);
  AdvanceSplits(state, now, actions);
  if (now >= state.admission_ends_at && state.requests.empty() &&
      !state.stop_reported) {
    state.stop_reported = true;
    actions.push_back(StopCompleted{});
  }
}

}  // namespace cicadadrum
