// Slot requests, to this entry VM's own pools or to another owner.

#ifndef CICADADRUM_STEERING_POOL_FLOW_H_
#define CICADADRUM_STEERING_POOL_FLOW_H_

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Asks the owner of the attempt's pool for a slot.
void RequestAttemptSlot(EntryState& state,
                        const Request& request,
                        const Attempt& attempt,
                        TimePoint now,
                        Actions& actions);

// Withdraws the slot request of an attempt that has no grant.
void CancelAttemptRequest(EntryState& state,
                          const Request& request,
                          const Attempt& attempt,
                          TimePoint now,
                          Actions& actions);

// Gives the lease of an attempt back to its owner.
void ReturnLease(EntryState& state,
                 const Attempt& attempt,
                 AttemptOutcome outcome,
                 Duration latency,
                 TimePoint now,
                 Actions& actions);

// Slot requests of other entry VMs to pools that this one owns.
void ApplyPeerRequest(EntryState& state,
                      const PeerRequestedSlot& requested,
                      TimePoint now,
                      Actions& actions);
void ApplyPeerCancel(EntryState& state,
                     const PeerCancelledSlot& cancelled,
                     TimePoint now,
                     Actions& actions);
void ApplyPeerReturn(EntryState& state,
                     const PeerReturnedSlot& returned,
                     TimePoint now,
                     Actions& actions);
void ApplyPeerLost(EntryState& state,
                   const PeerLost& lost,
                   TimePoint now,
                   Actions& actions);

// Leases held across a change of a pool's owner.
void ReportHeldLeases(EntryState& state,
                      const PeerRequestedLeases& requested,
                      Actions& actions);
void ApplyPeerReport(EntryState& state,
                     const PeerReportedLeases& reported,
                     TimePoint now,
                     Actions& actions);

// Takes over the live entry VMs. Ownership of a pool that this entry VM gets
// back starts like that of a new one.
void ApplyMembers(EntryState& state,
                  const MembersChanged& changed,
                  TimePoint now,
                  Actions& actions);

void ApplyLoadReport(EntryState& state,
                     const LoadReported& reported,
                     TimePoint now);

// Takes over received items that are newer than the known ones.
void ApplyBlockedItems(EntryState& state, const BlockedItemsReceived& received);

// Gives each pool its present servers.
void ApplyServers(EntryState& state,
                  const ServersChanged& changed,
                  TimePoint now,
                  Actions& actions);

// Lets time pass in all pools.
void AdvancePools(EntryState& state, TimePoint now, Actions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_FLOW_H_
