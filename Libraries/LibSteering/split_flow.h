// The split of this entry VM's traffic between regions: its walk under the
// shift cap, and the region of a request.

#ifndef CICADADRUM_STEERING_SPLIT_FLOW_H_
#define CICADADRUM_STEERING_SPLIT_FLOW_H_

#include <string>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Starts one split per service of the deployment, all in this entry VM's own
// region.
void StartSplits(EntryState& state);

// Moves the splits by what the cap permits, if it is time to.
void AdvanceSplits(EntryState& state, TimePoint now, Actions& actions);

// Counts a request for the load that the cap is measured against.
void CountArrival(EntryState& state, const std::string& service);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_SPLIT_FLOW_H_
