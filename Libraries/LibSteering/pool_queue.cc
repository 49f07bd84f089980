// Fair queueing by start tags, and token buckets for the limits of plans.

#include "pool_queue.h"

#include <algorithm>

namespace cicadadrum {

namespace {

// Queue bound per class: this many asks for each usable slot, but some for
// small pools. At 10 ms for a read the last one waits about a third of a
// second.
constexpr std::uint32_t kQueuedPerSlot = 32;
constexpr std::uint32_t kMinQueueBound = 64;
constexpr Duration kRetryAfterFull = Milliseconds(500);
// A plan's rate may be exceeded for this long by a customer that was idle.
constexpr double kBurstSeconds = 1;

void LeaveQueue(Pool& pool, const SlotRequest& ask) {
  ClassQueue& queue = pool.queues[static_cast<std::size_t>(ask.request_class)];
  const auto found = queue.customers.find(ask.customer);
  if (found == queue.customers.end())
    return;
  --queue.waiting;
  if (--found->second.waiting > 0)
    return;
  queue.order.erase({found->second.tag, ask.customer});
  queue.customers.erase(found);
}

bool IsSuspectAsk(const Pool& pool, std::uint64_t sequence) {
  return std::find(pool.suspect_asks.begin(), pool.suspect_asks.end(),
                   sequence) != pool.suspect_asks.end();
}

void Forget(Pool& pool, std::uint64_t sequence, const SlotRequest& ask) {
  pool.timers.erase({ask.deadline, PoolTimerKind::kAskDeadline, sequence});
  pool.ask_index.erase({ask.entry, ask.id});
  if (!pool.suspect_asks.empty() && IsSuspectAsk(pool, sequence))
    std::erase(pool.suspect_asks, sequence);
  else
    LeaveQueue(pool, ask);
}

void MakeRoom(Pool& pool, ClassQueue& queue, PoolActions& actions) {
  const auto longest =
      std::max_element(queue.customers.begin(), queue.customers.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.waiting < b.second.waiting;
                       });
  const auto& asks = longest->second.asks;
  const auto newest = std::find_if(
      asks.rbegin(), asks.rend(),
      [&pool](std::uint64_t sequence) { return pool.asks.contains(sequence); });
  RefuseAsk(pool, *newest, RefusalReason::kQueueFull, kRetryAfterFull, actions);
}

}  // namespace

RefusalReason CheckPlan(Pool& pool, const SlotRequest& ask, TimePoint now) {
  CustomerUse& use = pool.customers[ask.customer];
  const double rate = ask.limits.requests_per_second;
  const double burst = std::max(1.0, rate * kBurstSeconds);
  const double elapsed =
      static_cast<double>((now - use.tokens_at).count()) / 1e6;
  use.tokens =
      use.seen ? std::min(burst, use.tokens + (elapsed * rate)) : burst;
  use.tokens_at = now;
  use.seen = true;
  if (ask.limits.concurrency != 0 && use.in_progress >= ask.limits.concurrency)
    return RefusalReason::kConcurrencyLimit;
  // A repeated attempt belongs to a request that was counted before.
  const bool counted = rate > 0 && ask.avoid.empty();
  if (counted && use.tokens < 1)
    return RefusalReason::kRateLimit;
  use.tokens -= counted ? 1 : 0;
  ++use.in_progress;
  return RefusalReason::kNone;
}

void EndUse(Pool& pool, const std::string& customer) {
  const auto found = pool.customers.find(customer);
  if (found != pool.customers.end() && found->second.in_progress > 0)
    --found->second.in_progress;
}

Duration EstimateWait(const Pool& pool, RequestClass request_class) {
  Duration work{};
  for (std::size_t i = 0; i <= static_cast<std::size_t>(request_class); ++i)
    work += pool.queues[i].waiting * pool.usual[i];
  return work / std::max(1U, pool.usable_slots);
}

void Enqueue(Pool& pool,
             const SlotRequest& ask,
             TimePoint now,
             PoolActions& actions) {
  ClassQueue& queue = pool.queues[static_cast<std::size_t>(ask.request_class)];
  const std::uint64_t sequence = pool.next_ask++;
  pool.asks[sequence] = ask;
  pool.ask_index[{ask.entry, ask.id}] = sequence;
  pool.timers.insert(
      {std::max(ask.deadline, now), PoolTimerKind::kAskDeadline, sequence});
  pool.asks[sequence].deadline = std::max(ask.deadline, now);
  const auto [found, added] = queue.customers.try_emplace(ask.customer);
  if (added) {
    found->second.tag = queue.virtual_time;
    queue.order.insert({found->second.tag, ask.customer});
  }
  found->second.asks.push_back(sequence);
  ++found->second.waiting;
  ++queue.waiting;
  if (queue.waiting >
      std::max(kMinQueueBound, kQueuedPerSlot * pool.usable_slots))
    MakeRoom(pool, queue, actions);
}

void RemoveAsk(Pool& pool, std::uint64_t sequence) {
  const auto found = pool.asks.find(sequence);
  if (found == pool.asks.end())
    return;
  const SlotRequest ask = std::move(found->second);
  pool.asks.erase(found);
  Forget(pool, sequence, ask);
  EndUse(pool, ask.customer);
}

void RefuseAsk(Pool& pool,
               std::uint64_t sequence,
               RefusalReason reason,
               Duration retry_after,
               PoolActions& actions) {
  const auto found = pool.asks.find(sequence);
  if (found == pool.asks.end())
    return;
  actions.push_back(
      SlotRefusal{found->second.entry, found->second.id, reason, retry_after});
  RemoveAsk(pool, sequence);
}

SlotRequest TakeAsk(Pool& pool, std::uint64_t sequence) {
  const auto found = pool.asks.find(sequence);
  SlotRequest ask = std::move(found->second);
  pool.asks.erase(found);
  ClassQueue& queue = pool.queues[static_cast<std::size_t>(ask.request_class)];
  const auto customer = queue.customers.find(ask.customer);
  if (customer != queue.customers.end() &&
      (pool.suspect_asks.empty() || !IsSuspectAsk(pool, sequence))) {
    queue.order.erase({customer->second.tag, ask.customer});
    queue.virtual_time = customer->second.tag;
    customer->second.tag += 1;
    queue.order.insert({customer->second.tag, ask.customer});
  }
  Forget(pool, sequence, ask);
  return ask;
}

void MoveToSuspects(Pool& pool, std::uint64_t sequence) {
  LeaveQueue(pool, pool.asks.at(sequence));
  pool.suspect_asks.push_back(sequence);
}

std::uint64_t FirstAsk(Pool& pool, CustomerQueue& queue) {
  while (!queue.asks.empty()) {
    const std::uint64_t sequence = queue.asks.front();
    const bool moved =
        !pool.suspect_asks.empty() && IsSuspectAsk(pool, sequence);
    if (pool.asks.contains(sequence) && !moved)
      return sequence;
    queue.asks.pop_front();
  }
  return 0;
}

std::uint64_t FirstSuspect(Pool& pool) {
  return pool.suspect_asks.empty() ? 0 : pool.suspect_asks.front();
}

}  // namespace cicadadrum
