// Requests that may crash the servers that run them.

#ifndef CICADADRUM_STEERING_POOL_SUSPECTS_H_
#define CICADADRUM_STEERING_POOL_SUSPECTS_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

bool IsSuspect(const Pool& pool, std::uint64_t fingerprint);
bool IsBlocked(const Pool& pool, std::uint64_t fingerprint);

// Learns from an attempt that has ended: a lost connection puts all that the
// server was running under suspicion, a clean finish ends it. The lease is
// still in the pool.
void UpdateSuspects(Pool& pool,
                    const SlotLease& lease,
                    AttemptOutcome outcome,
                    PoolActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_SUSPECTS_H_
