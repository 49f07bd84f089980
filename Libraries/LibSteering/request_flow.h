// Processing of an admitted request: claim, attempts, answer.
//
// Each function applies one event at time `now` and appends the resulting
// actions. Events about unknown requests or attempts that have ended are
// ignored.

#ifndef CICADADRUM_STEERING_REQUEST_FLOW_H_
#define CICADADRUM_STEERING_REQUEST_FLOW_H_

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

void AdmitRequest(EntryState& state,
                  const RequestArrived& arrived,
                  TimePoint now,
                  Actions& actions);
void ApplyCallerDisconnected(EntryState& state,
                             const CallerDisconnected& disconnected,
                             TimePoint now,
                             Actions& actions);
void ApplyGrant(EntryState& state,
                const SlotGranted& granted,
                TimePoint now,
                Actions& actions);
void ApplyRefusal(EntryState& state,
                  const SlotRefused& refused,
                  TimePoint now,
                  Actions& actions);
void ApplyAnswer(EntryState& state,
                 const BackendResponded& answered,
                 TimePoint now,
                 Actions& actions);
void ApplyFailure(EntryState& state,
                  const BackendFailed& failed,
                  TimePoint now,
                  Actions& actions);
void ApplyClaimEvent(EntryState& state,
                     const ClaimEvent& event,
                     TimePoint now,
                     Actions& actions);

// Treats the slot requests that `owner` has not answered as refused because
// `owner` is lost, which may lead to attempts elsewhere.
void RerouteFromLostOwner(EntryState& state,
                          const std::string& owner,
                          TimePoint now,
                          Actions& actions);

// Refuses the requests whose deadline has passed, except those that wait for a
// claim, and starts the hedges that are due.
void AdvanceRequests(EntryState& state, TimePoint now, Actions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_REQUEST_FLOW_H_
