// Choice of the pool for a request, and of a server for a direct request when
// the pool owner cannot be reached.

#ifndef CICADADRUM_STEERING_ROUTING_H_
#define CICADADRUM_STEERING_ROUTING_H_

#include <optional>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Returns whether the region has a server of the service that isn't leaving.
bool HasUsableServer(const EntryState& state,
                     const std::string& region,
                     const std::string& service);

// Returns the pool that the request should use: the one in the region that the
// split chooses under the shift cap. Returns nothing if that region is lost:
// the request is refused until the split has moved. A client account whose plan
// excludes the chosen region always uses the same allowed region with a server
// that isn't leaving.
std::optional<PoolKey> ChoosePool(const EntryState& state,
                                  const Request& request);

// Returns a server of `pool` on which this entry VM may run one request without
// a grant of the owner: this entry VM ranks first for the server among all live
// entry VMs and has no other direct request there. Returns nullptr if there is
// no such server, or if the leaving marks are older than kLeavingBound,
// because the server might be leaving.
const BackendServer* ChooseDirectServer(const EntryState& state,
                                        const PoolKey& pool,
                                        TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ROUTING_H_
