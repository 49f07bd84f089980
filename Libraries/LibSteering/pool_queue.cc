// Fair queueing by start tags, and token buckets for the rate limits of plans.

#include "pool_queue.h"

#include <algorithm>

namespace cicadadrum {

namespace {

// Bound of the queue of a class, in requests for each usable slot. At 10 ms for
// a read, the last request waits about a third of a second.
constexpr std::uint32_t kQueuedPerSlot = 32;
// Lower bound of the queue length, for small pools.
constexpr std::uint32_t kMinQueueBound = 64;
constexpr Duration kQueueFullRetryAfter = Milliseconds(500);
// An idle client account may exceed the rate of its plan by the requests of
// this many seconds.
constexpr double kBurstSeconds = 1;

void RemoveFromClassQueue(Pool& pool, const SlotRequest& request) {
  ClassQueue& queue =
      pool.queues[static_cast<std::size_t>(request.request_class)];
  const auto found = queue.client_accounts.find(request.client_account);
  if (found == queue.client_accounts.end())
    return;
  --queue.waiting;
  if (--found->second.waiting > 0)
    return;
  queue.order.erase({found->second.tag, request.client_account});
  queue.client_accounts.erase(found);
}

bool IsInSuspectQueue(const Pool& pool, std::uint64_t sequence) {
  return std::find(pool.suspect_requests.begin(), pool.suspect_requests.end(),
                   sequence) != pool.suspect_requests.end();
}

void RemoveFromIndexes(Pool& pool,
                       std::uint64_t sequence,
                       const SlotRequest& request) {
  pool.timers.erase(
      {request.deadline, PoolTimerKind::kRequestDeadline, sequence});
  pool.request_index.erase({request.entry, request.id});
  if (!pool.suspect_requests.empty() && IsInSuspectQueue(pool, sequence))
    std::erase(pool.suspect_requests, sequence);
  else
    RemoveFromClassQueue(pool, request);
}

void EvictFromLongestQueue(Pool& pool,
                           ClassQueue& queue,
                           PoolActions& actions) {
  const auto longest = std::max_element(
      queue.client_accounts.begin(), queue.client_accounts.end(),
      [](const auto& a, const auto& b) {
        return a.second.waiting < b.second.waiting;
      });
  const auto& sequences = longest->second.sequences;
  const auto newest = std::find_if(
      sequences.rbegin(), sequences.rend(), [&pool](std::uint64_t sequence) {
        return pool.waiting_requests.contains(sequence);
      });
  RefuseRequest(pool, *newest, RefusalReason::kQueueFull, kQueueFullRetryAfter,
                actions);
}

}  // namespace

RefusalReason CheckPlan(Pool& pool, const SlotRequest& request, TimePoint now) {
  ClientAccountUse& use = pool.client_accounts[request.client_account];
  const double rate = request.limits.requests_per_second;
  const double burst = std::max(1.0, rate * kBurstSeconds);
  const double elapsed =
      static_cast<double>((now - use.tokens_at).count()) / 1e6;
  use.tokens =
      use.initialized ? std::min(burst, use.tokens + (elapsed * rate)) : burst;
  use.tokens_at = now;
  use.initialized = true;
  if (request.limits.concurrency != 0 &&
      use.in_progress >= request.limits.concurrency)
    return RefusalReason::kConcurrencyLimit;
  // A repeated attempt belongs to a request that was counted at its first
  // attempt.
  const bool counted = rate > 0 && request.avoid.empty();
  if (counted && use.tokens < 1)
    return RefusalReason::kRateLimit;
  use.tokens -= counted ? 1 : 0;
  ++use.in_progress;
  return RefusalReason::kNone;
}

void ReleasePlanUse(Pool& pool, const std::string& client_account) {
  const auto found = pool.client_accounts.find(client_account);
  if (found != pool.client_accounts.end() && found->second.in_progress > 0)
    --found->second.in_progress;
}

Duration EstimateWait(const Pool& pool, RequestClass request_class) {
  Duration work{};
  for (std::size_t i = 0; i <= static_cast<std::size_t>(request_class); ++i)
    work += pool.queues[i].waiting * pool.median_latency[i];
  return work / std::max(1U, pool.usable_slots);
}

void Enqueue(Pool& pool,
             const SlotRequest& request,
             TimePoint now,
             PoolActions& actions) {
  ClassQueue& queue =
      pool.queues[static_cast<std::size_t>(request.request_class)];
  const std::uint64_t sequence = pool.next_sequence++;
  pool.waiting_requests[sequence] = request;
  pool.request_index[{request.entry, request.id}] = sequence;
  pool.timers.insert({std::max(request.deadline, now),
                      PoolTimerKind::kRequestDeadline, sequence});
  pool.waiting_requests[sequence].deadline = std::max(request.deadline, now);
  const auto [found, added] =
      queue.client_accounts.try_emplace(request.client_account);
  if (added) {
    found->second.tag = queue.virtual_time;
    queue.order.insert({found->second.tag, request.client_account});
  }
  found->second.sequences.push_back(sequence);
  ++found->second.waiting;
  ++queue.waiting;
  if (queue.waiting >
      std::max(kMinQueueBound, kQueuedPerSlot * pool.usable_slots))
    EvictFromLongestQueue(pool, queue, actions);
}

void RemoveRequest(Pool& pool, std::uint64_t sequence) {
  const auto found = pool.waiting_requests.find(sequence);
  if (found == pool.waiting_requests.end())
    return;
  const SlotRequest request = std::move(found->second);
  pool.waiting_requests.erase(found);
  RemoveFromIndexes(pool, sequence, request);
  ReleasePlanUse(pool, request.client_account);
}

void RefuseRequest(Pool& pool,
                   std::uint64_t sequence,
                   RefusalReason reason,
                   Duration retry_after,
                   PoolActions& actions) {
  const auto found = pool.waiting_requests.find(sequence);
  if (found == pool.waiting_requests.end())
    return;
  actions.push_back(
      SlotRefusal{found->second.entry, found->second.id, reason, retry_after});
  RemoveRequest(pool, sequence);
}

SlotRequest DequeueForGrant(Pool& pool, std::uint64_t sequence) {
  const auto found = pool.waiting_requests.find(sequence);
  SlotRequest request = std::move(found->second);
  pool.waiting_requests.erase(found);
  ClassQueue& queue =
      pool.queues[static_cast<std::size_t>(request.request_class)];
  const auto client_account =
      queue.client_accounts.find(request.client_account);
  if (client_account != queue.client_accounts.end() &&
      (pool.suspect_requests.empty() || !IsInSuspectQueue(pool, sequence))) {
    queue.order.erase({client_account->second.tag, request.client_account});
    queue.virtual_time = client_account->second.tag;
    client_account->second.tag += 1;
    queue.order.insert({client_account->second.tag, request.client_account});
  }
  RemoveFromIndexes(pool, sequence, request);
  return request;
}

void MoveToSuspects(Pool& pool, std::uint64_t sequence) {
  RemoveFromClassQueue(pool, pool.waiting_requests.at(sequence));
  pool.suspect_requests.push_back(sequence);
}

std::uint64_t FirstWaitingRequest(Pool& pool, ClientAccountQueue& queue) {
  while (!queue.sequences.empty()) {
    const std::uint64_t sequence = queue.sequences.front();
    const bool moved =
        !pool.suspect_requests.empty() && IsInSuspectQueue(pool, sequence);
    if (pool.waiting_requests.contains(sequence) && !moved)
      return sequence;
    queue.sequences.pop_front();
  }
  return 0;
}

std::uint64_t FirstWaitingSuspect(Pool& pool) {
  return pool.suspect_requests.empty() ? 0 : pool.suspect_requests.front();
}

}  // namespace cicadadrum
