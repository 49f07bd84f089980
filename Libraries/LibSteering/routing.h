// Choice of the pool for a request, and the direct share used when a pool's
// owner can't be reached.

#ifndef CICADADRUM_STEERING_ROUTING_H_
#define CICADADRUM_STEERING_ROUTING_H_

#include <optional>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Returns the pool the request should use: of this entry VM's region if it has
// a server that isn't leaving and the plan allows it, otherwise of another
// allowed region. `avoid` lists regions that were tried.
std::optional<PoolKey> ChoosePool(const EntryState& state,
                                  const Request& request);

// Returns a server of `pool` on which this entry VM may run one request without
// asking the owner: it ranks first for the server among all live entry VMs, and
// its direct request is not in use. Nothing if the leaving marks are older than
// kLeavingBound, because the server might be leaving.
const BackendServer* ChooseDirectServer(const EntryState& state,
                                        const PoolKey& pool,
                                        TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ROUTING_H_
