// Health of the servers of a pool, derived from returned leases and from the
// age of requests in progress.

#ifndef CICADADRUM_STEERING_POOL_HEALTH_H_
#define CICADADRUM_STEERING_POOL_HEALTH_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Updates the state of a server after an attempt has ended. `lease` must still
// be attached to the server. `latency` is the time from grant to end.
void UpdateHealthFromOutcome(Pool& pool,
                             const SlotLease& lease,
                             AttemptOutcome outcome,
                             Duration latency,
                             TimePoint now);

// Updates the state of a server by the age of lease `number`, whose age check
// is due, and schedules the next check.
void UpdateHealthFromAge(Pool& pool, std::uint64_t number, TimePoint now);

// Schedules the first age check of a new lease.
void ScheduleAgeCheck(Pool& pool, std::uint64_t number, SlotLease& lease);

// Marks a probe of the server as in progress, so that no second probe is
// granted.
void BeginProbe(Pool& pool, std::uint32_t index, TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_HEALTH_H_
