// The life of a request: claim, attempts, answer.

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
                 const BackendAnswered& answered,
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

// Asks elsewhere for the slots that were asked of an entry VM that is lost.
void RerouteFromLostOwner(EntryState& state,
                          const std::string& owner,
                          TimePoint now,
                          Actions& actions);

// Ends the requests whose deadline has passed, but for those that wait for a
// claim, and hedges those that are due.
void AdvanceRequests(EntryState& state, TimePoint now, Actions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_REQUEST_FLOW_H_
