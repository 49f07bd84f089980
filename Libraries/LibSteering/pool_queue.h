// Queues of a pool: one per class, fair between customers, and the plan limits
// of each customer.

#ifndef CICADADRUM_STEERING_POOL_QUEUE_H_
#define CICADADRUM_STEERING_POOL_QUEUE_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Returns why the plan of the customer forbids `ask`, or kNone, and counts the
// request against the plan.
RefusalReason CheckPlan(Pool& pool, const SlotRequest& request, TimePoint now);

// Ends the use that CheckPlan has counted.
void ReleasePlanUse(Pool& pool, const std::string& customer);

// The time `ask` would wait behind what is queued before it.
Duration EstimateWait(const Pool& pool, RequestClass request_class);

// Adds an ask. A full queue refuses the newest ask of the customer with the
// most waiting, which may be `ask` itself.
void Enqueue(Pool& pool,
             const SlotRequest& request,
             TimePoint now,
             PoolActions& actions);

// Removes a waiting ask and ends its use. Does nothing if it does not wait.
void RemoveRequest(Pool& pool, std::uint64_t sequence);

// Removes a waiting ask and refuses it.
void RefuseRequest(Pool& pool,
                   std::uint64_t sequence,
                   RefusalReason reason,
                   Duration retry_after,
                   PoolActions& actions);

// Takes the ask out of the queue for a grant; its use goes on.
SlotRequest DequeueForGrant(Pool& pool, std::uint64_t sequence);

// Moves the first ask of `customer` to the queue of suspects.
void MoveToSuspects(Pool& pool, std::uint64_t sequence);

// The first ask of a customer that still waits, or 0. Forgets removed ones.
std::uint64_t FirstWaitingRequest(Pool& pool, CustomerQueue& queue);

// The first suspect that still waits, or 0.
std::uint64_t FirstWaitingSuspect(Pool& pool);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_QUEUE_H_
