// What a pool learns about its servers from returned slots and from the age of
// requests in progress.

#ifndef CICADADRUM_STEERING_POOL_HEALTH_H_
#define CICADADRUM_STEERING_POOL_HEALTH_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Learns from an attempt that has ended. The lease is still attached.
void UpdateHealthFromOutcome(Pool& pool,
                             const SlotLease& lease,
                             AttemptOutcome outcome,
                             Duration latency,
                             TimePoint now);

// Learns from a lease whose age check is due, and sets the next check.
void UpdateHealthFromAge(Pool& pool, std::uint64_t number, TimePoint now);

// Sets the first age check of a new lease.
void ScheduleAgeCheck(Pool& pool, std::uint64_t number, SlotLease& lease);

// Makes a server whose probe has been granted unavailable for a second one.
void BeginProbe(Pool& pool, std::uint32_t index, TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_HEALTH_H_
