// Slot requests to the pools of this entry VM and to other pool owners.

#ifndef CICADADRUM_STEERING_POOL_FLOW_H_
#define CICADADRUM_STEERING_POOL_FLOW_H_

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Requests a slot for the attempt from the owner of its pool.
void RequestAttemptSlot(EntryState& state,
                        const Request& request,
                        const Attempt& attempt,
                        TimePoint now,
                        Actions& actions);

// Cancels the slot request of an attempt that has no grant yet.
void CancelAttemptRequest(EntryState& state,
                          const Request& request,
                          const Attempt& attempt,
                          TimePoint now,
                          Actions& actions);

// Returns the lease of an attempt to the pool owner. `latency` is the time
// since the attempt was sent.
void ReturnLease(EntryState& state,
                 const Attempt& attempt,
                 AttemptOutcome outcome,
                 Duration latency,
                 TimePoint now,
                 Actions& actions);

// Apply messages of other entry VMs about pools that this entry VM owns.
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

// Transfer of leases after the owner of a pool has changed: reports the leases
// of this entry VM, or applies the report of another one.
void ReportHeldLeases(EntryState& state,
                      const PeerRequestedLeases& requested,
                      Actions& actions);
void ApplyPeerReport(EntryState& state,
                     const PeerReportedLeases& reported,
                     TimePoint now,
                     Actions& actions);

// Replaces the list of live entry VMs. If this entry VM becomes the owner of a
// pool again, its ownership starts as that of a new owner.
void ApplyMembers(EntryState& state,
                  const MembersChanged& changed,
                  TimePoint now,
                  Actions& actions);

// Records a load report in all pools.
void ApplyLoadReport(EntryState& state,
                     const LoadReported& reported,
                     TimePoint now);

// Adopts the received items that are newer than the known ones.
void ApplyBlockedItems(EntryState& state, const BlockedItemsReceived& received);

// Replaces the list of servers, also in each pool.
void ApplyServers(EntryState& state,
                  const ServersChanged& changed,
                  TimePoint now,
                  Actions& actions);

// Advances all pools to `now` and repeats requests for missing lease reports.
void AdvancePools(EntryState& state, TimePoint now, Actions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_FLOW_H_
