// Queues of a pool: one per request class, fair between client accounts. Also
// checks the plan limits of each client account.

#ifndef CICADADRUM_STEERING_POOL_QUEUE_H_
#define CICADADRUM_STEERING_POOL_QUEUE_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Returns the reason why the plan of the client account forbids `request`, or
// kNone. If the request is allowed, it counts against the plan until
// ReleasePlanUse.
RefusalReason CheckPlan(Pool& pool, const SlotRequest& request, TimePoint now);

// Ends the use of one request that CheckPlan counted.
void ReleasePlanUse(Pool& pool, const std::string& client_account);

// Returns the estimated time that a new request of this class waits behind the
// requests that are served before it.
Duration EstimateWait(const Pool& pool, RequestClass request_class);

// Adds a request to its queue. A full queue refuses the newest request of the
// client account with the most waiting requests, which may be `request` itself.
void Enqueue(Pool& pool,
             const SlotRequest& request,
             TimePoint now,
             PoolActions& actions);

// Removes a waiting request and ends its use of the plan. Does nothing if the
// request is not waiting.
void RemoveRequest(Pool& pool, std::uint64_t sequence);

// Removes a waiting request and refuses it with `reason`.
void RefuseRequest(Pool& pool,
                   std::uint64_t sequence,
                   RefusalReason reason,
                   Duration retry_after,
                   PoolActions& actions);

// Removes a waiting request from its queue for a grant and returns it. Its use
// of the plan continues. The request must be waiting.
SlotRequest DequeueForGrant(Pool& pool, std::uint64_t sequence);

// Moves a waiting request from the queue of its client account to the queue of
// suspects.
void MoveToSuspects(Pool& pool, std::uint64_t sequence);

// Returns the sequence number of the first waiting request of a client account,
// or 0. Discards the sequence numbers of removed requests before it.
std::uint64_t FirstWaitingRequest(Pool& pool, ClientAccountQueue& queue);

// Returns the sequence number of the first waiting suspect, or 0.
std::uint64_t FirstWaitingSuspect(Pool& pool);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_QUEUE_H_
