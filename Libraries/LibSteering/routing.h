// Choice of the pool for a request, and the direct share used when a pool's
// owner can't be reached.

#ifndef CICADADRUM_STEERING_ROUTING_H_
#define CICADADRUM_STEERING_ROUTING_H_

#include <optional>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Whether the region has a server of the service that isn't leaving.
bool HasUsableServer(const EntryState& state,
                     const std::string& region,
                     const std::string& service);

// Returns the pool the request should use: in the region that the split under
// the shift cap picks. Nothing if that region is lost: the request then waits
// for the split to move or is refused. A customer whose plan excludes the
// region always uses the same allowed region with a server that isn't leaving.
std::optional<PoolKey> ChoosePool(const EntryState& state,
                                  const Request& request);

// Returns a server of `pool` on which this entry VM may run one request without
// asking the owner: it ranks first for the server among all live entry VMs, and
// its direct request is not in use. Nothing if the leaving marks are older than
// kMaxLeavingMarkAge, because the server might be leaving.
const BackendServer* ChooseDirectServer(const EntryState& state,
                                        const PoolKey& pool,
                                        TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ROUTING_H_
