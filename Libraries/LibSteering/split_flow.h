// The split of the traffic of this entry VM between regions, which moves under
// the shift cap.

#ifndef CICADADRUM_STEERING_SPLIT_FLOW_H_
#define CICADADRUM_STEERING_SPLIT_FLOW_H_

#include <string>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Starts one split per service of the deployment, with all traffic in the
// region of this entry VM. Does nothing if the deployment has no shift cap.
void StartSplits(EntryState& state);

// Moves the splits by the amount that the cap permits, if the next step is due.
void AdvanceSplits(EntryState& state, TimePoint now, Actions& actions);

// Counts a request for the load that the cap refers to.
void CountArrival(EntryState& state, const std::string& service);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_SPLIT_FLOW_H_
