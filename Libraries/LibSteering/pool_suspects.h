// Fingerprints of requests that may crash the servers that run them.

#ifndef CICADADRUM_STEERING_POOL_SUSPECTS_H_
#define CICADADRUM_STEERING_POOL_SUSPECTS_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Returns whether the fingerprint is suspected, which includes blocked ones.
bool IsSuspect(const Pool& pool, std::uint64_t fingerprint);
// Returns whether requests with the fingerprint are refused.
bool IsBlocked(const Pool& pool, std::uint64_t fingerprint);

// Updates the suspicion after an attempt has ended: a lost connection makes all
// fingerprints that the server was running suspects, and a complete response
// clears the fingerprint of the attempt unless it is blocked. `lease` must
// still be in the pool.
void UpdateSuspects(Pool& pool,
                    const SlotLease& lease,
                    AttemptOutcome outcome,
                    PoolActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_SUSPECTS_H_
