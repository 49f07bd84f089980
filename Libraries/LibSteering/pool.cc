// Pool operations: queue slot requests, grant slots in the order of the request
// classes, and derive the state of the servers from returned slots.

#include "cicadadrum/steering/pool.h"

#include <algorithm>

#include "pool_health.h"
#include "pool_queue.h"
#include "pool_servers.h"
#include "pool_suspects.h"

namespace cicadadrum {

namespace {

// Time that a lease outlives the deadline of its request, so that a delayed
// return still finds the lease.
constexpr Duration kLeaseGracePeriod = Seconds(2);
// Time after which no lease of an earlier owner exists: the longest deadline of
// a request (30 s) plus the grace period of a lease.
constexpr Duration kMaxHandoverTime = Seconds(32);
constexpr Duration kNoServerRetryAfter = Milliseconds(500);
constexpr std::size_t kUrgentQueueIndex =
    static_cast<std::size_t>(RequestClass::kUrgent);

TimePoint ExpiryOf(TimePoint deadline) {
  return deadline > kNever - kLeaseGracePeriod ? kNever
                                               : deadline + kLeaseGracePeriod;
}

void Refuse(const SlotRequest& request,
            RefusalReason reason,
            Duration retry_after,
            PoolActions& actions) {
  actions.push_back(
      SlotRefusal{request.entry, request.id, reason, retry_after});
}

void AddLease(Pool& pool,
              std::uint64_t number,
              const SlotLease& lease,
              std::uint32_t index,
              TimePoint now) {
  SlotLease& added = pool.leases[number] = lease;
  pool.timers.insert({added.expires_at, PoolTimerKind::kLeaseExpiry, number});
  pool.bulk_leases += added.request_class == RequestClass::kBulk ? 1 : 0;
  pool.suspects_running += added.suspect ? 1 : 0;
  AttachLease(pool, index, number, now);
  ScheduleAgeCheck(pool, number, added);
}

void Grant(Pool& pool,
           const SlotRequest& request,
           const ServerChoice& choice,
           TimePoint now,
           PoolActions& actions) {
  const std::uint64_t number = pool.next_lease++;
  const BackendServer& server = pool.servers[choice.server].description;
  if (choice.probe)
    BeginProbe(pool, choice.server, now);
  AddLease(pool, number,
           {.entry = request.entry,
            .id = request.id,
            .server = server.name,
            .client_account = request.client_account,
            .request_class = request.request_class,
            .fingerprint = request.fingerprint,
            .granted_at = now,
            .expires_at = ExpiryOf(request.deadline),
            .probe = choice.probe,
            .suspect = IsSuspect(pool, request.fingerprint)},
           choice.server, now);
  actions.push_back(SlotGrant{request.entry, request.id, number, server.name,
                              server.address});
}

void EndLease(Pool& pool, std::uint64_t number, TimePoint now) {
  const auto found = pool.leases.find(number);
  const SlotLease lease = std::move(found->second);
  pool.leases.erase(found);
  pool.timers.erase({lease.expires_at, PoolTimerKind::kLeaseExpiry, number});
  pool.timers.erase({lease.age_check_at, PoolTimerKind::kLeaseAge, number});
  pool.bulk_leases -= lease.request_class == RequestClass::kBulk ? 1 : 0;
  pool.suspects_running -= lease.suspect ? 1 : 0;
  DetachLease(pool, lease, number, now);
  ReleasePlanUse(pool, lease.client_account);
}

// Number of requests of a client account that are examined when the first one
// waits for its preferred server.
constexpr std::size_t kPinnedLookahead = 16;

// Grants a later request of the client account when the first one waits for its
// preferred server, so that the uploads of a client account do not wait for the
// servers of other uploads.
bool GrantPastPinnedRequest(Pool& pool,
                            const ClientAccountQueue& client_account,
                            TimePoint now,
                            PoolActions& actions) {
  const std::size_t end =
      std::min(client_account.sequences.size(), kPinnedLookahead);
  for (std::size_t i = 1; i < end; ++i) {
    const std::uint64_t sequence = client_account.sequences[i];
    const auto found = pool.waiting_requests.find(sequence);
    if (found == pool.waiting_requests.end() ||
        IsSuspect(pool, found->second.fingerprint))
      continue;
    const ServerChoice choice = ChooseServer(pool, found->second, now);
    if (!choice.found)
      continue;
    Grant(pool, DequeueForGrant(pool, sequence), choice, now, actions);
    return true;
  }
  return false;
}

// Grants the first request of the client account if possible. Returns whether
// the queue has changed.
bool GrantFirstOfClientAccount(Pool& pool,
                               ClientAccountQueue& client_account,
                               TimePoint now,
                               PoolActions& actions) {
  const std::uint64_t sequence = FirstWaitingRequest(pool, client_account);
  if (sequence == 0)
    return false;
  const SlotRequest& request = pool.waiting_requests.at(sequence);
  if (IsBlocked(pool, request.fingerprint)) {
    RefuseRequest(pool, sequence, RefusalReason::kBlocked, {}, actions);
    return true;
  }
  if (IsSuspect(pool, request.fingerprint)) {
    MoveToSuspects(pool, sequence);
    return true;
  }
  const ServerChoice choice = ChooseServer(pool, request, now);
  if (!choice.found)
    return request.only_preferred &&
           GrantPastPinnedRequest(pool, client_account, now, actions);
  Grant(pool, DequeueForGrant(pool, sequence), choice, now, actions);
  return true;
}

// Grants requests in the order of the tags of the client accounts. A client
// account whose first request avoids the free servers does not delay the other
// client accounts.
void GrantClass(Pool& pool,
                RequestClass request_class,
                TimePoint now,
                PoolActions& actions) {
  ClassQueue& queue = pool.queues[static_cast<std::size_t>(request_class)];
  auto next = queue.order.begin();
  while (next != queue.order.end() && HasFreeSlot(pool, request_class, now)) {
    ClientAccountQueue& client_account = queue.client_accounts.at(next->second);
    if (GrantFirstOfClientAccount(pool, client_account, now, actions))
      next = queue.order.begin();
    else
      ++next;
  }
}

// Grants suspects one at a time in the pool.
void GrantSuspects(Pool& pool, TimePoint now, PoolActions& actions) {
  while (pool.suspects_running == 0) {
    const std::uint64_t sequence = FirstWaitingSuspect(pool);
    if (sequence == 0)
      return;
    const SlotRequest& request = pool.waiting_requests.at(sequence);
    if (IsBlocked(pool, request.fingerprint)) {
      RefuseRequest(pool, sequence, RefusalReason::kBlocked, {}, actions);
      continue;
    }
    const ServerChoice choice = ChooseServer(pool, request, now);
    if (!choice.found)
      return;
    Grant(pool, DequeueForGrant(pool, sequence), choice, now, actions);
  }
}

// Grants queued requests of all classes. Bulk requests are not granted while an
// urgent request waits.
void GrantQueued(Pool& pool, TimePoint now, PoolActions& actions) {
  GrantClass(pool, RequestClass::kUrgent, now, actions);
  if (pool.queues[kUrgentQueueIndex].waiting == 0)
    GrantSuspects(pool, now, actions);
  GrantClass(pool, RequestClass::kRoutine, now, actions);
  GrantClass(pool, RequestClass::kWrite, now, actions);
  if (pool.queues[kUrgentQueueIndex].waiting > 0)
    return;
  GrantClass(pool, RequestClass::kBulk, now, actions);
  // GrantClass may have moved further requests to the queue of suspects.
  GrantSuspects(pool, now, actions);
}

void RefreshAll(Pool& pool, TimePoint now) {
  for (std::uint32_t index = 0; index < pool.servers.size(); ++index)
    RefreshServer(pool, index, now);
}

void EndReportWait(Pool& pool, const std::string& entry, TimePoint now) {
  if (pool.awaited_reports.erase(entry) == 0 || !pool.awaited_reports.empty())
    return;
  pool.timers.erase({pool.handover_until, PoolTimerKind::kHandover, 0});
  RefreshAll(pool, now);
}

void ExpireTimer(Pool& pool,
                 const PoolTimer& timer,
                 TimePoint now,
                 PoolActions& actions) {
  switch (timer.kind) {
    case PoolTimerKind::kRequestDeadline:
      return RefuseRequest(pool, timer.number, RefusalReason::kDeadline, {},
                           actions);
    case PoolTimerKind::kLeaseExpiry: {
      const SlotLease lease = pool.leases.at(timer.number);
      UpdateHealthFromOutcome(pool, lease, AttemptOutcome::kTimedOut,
                              now - lease.granted_at, now);
      return EndLease(pool, timer.number, now);
    }
    case PoolTimerKind::kLeaseAge:
      return UpdateHealthFromAge(pool, timer.number, now);
    case PoolTimerKind::kProbe:
      // The grants that follow may use the probe.
      return;
    case PoolTimerKind::kHandover:
      pool.awaited_reports.clear();
      return RefreshAll(pool, now);
  }
}

}  // namespace

void AssumePoolOwnership(Pool& pool,
                         const std::vector<std::string>& others,
                         TimePoint now,
                         PoolActions& actions) {
  pool.timers.erase({pool.handover_until, PoolTimerKind::kHandover, 0});
  pool.awaited_reports = {others.begin(), others.end()};
  pool.handover_until = now + kMaxHandoverTime;
  if (!pool.awaited_reports.empty())
    pool.timers.insert({pool.handover_until, PoolTimerKind::kHandover, 0});
  RefreshAll(pool, now);
  AdvancePool(pool, now, actions);
}

void AdoptLeases(Pool& pool,
                 const std::string& entry,
                 const std::vector<HeldLease>& reported,
                 TimePoint now,
                 PoolActions& actions) {
  for (const HeldLease& lease : reported) {
    const auto server = pool.server_index.find(lease.server);
    if (server == pool.server_index.end() || pool.leases.contains(lease.lease))
      continue;
    ++pool.client_accounts[lease.client_account].in_progress;
    AddLease(pool, lease.lease,
             {.entry = entry,
              .server = lease.server,
              .client_account = lease.client_account,
              .request_class = lease.request_class,
              .fingerprint = lease.fingerprint,
              .granted_at = lease.granted_at,
              .expires_at = ExpiryOf(lease.deadline)},
             server->second, now);
  }
  EndReportWait(pool, entry, now);
  AdvancePool(pool, now, actions);
}

void RequestSlot(Pool& pool,
                 const SlotRequest& request,
                 TimePoint now,
                 PoolActions& actions) {
  if (IsBlocked(pool, request.fingerprint))
    return Refuse(request, RefusalReason::kBlocked, {}, actions);
  if (!HasCandidate(pool, request, now))
    return Refuse(request, RefusalReason::kNoServer, kNoServerRetryAfter,
                  actions);
  const Duration wait = EstimateWait(pool, request.request_class);
  const Duration median =
      pool.median_latency[static_cast<std::size_t>(request.request_class)];
  if (wait > Duration{} && request.deadline - now < wait + median)
    return Refuse(request, RefusalReason::kDeadline, wait, actions);
  const RefusalReason reason = CheckPlan(pool, request, now);
  if (reason != RefusalReason::kNone)
    return Refuse(request, reason, Seconds(1), actions);
  Enqueue(pool, request, now, actions);
  AdvancePool(pool, now, actions);
  const auto waiting = pool.request_index.find({request.entry, request.id});
  if (request.only_if_free && waiting != pool.request_index.end())
    RefuseRequest(pool, waiting->second, RefusalReason::kQueueFull, wait,
                  actions);
}

void CancelSlot(Pool& pool,
                const std::string& entry,
                std::uint64_t id,
                TimePoint now,
                PoolActions& actions) {
  const auto waiting = pool.request_index.find({entry, id});
  if (waiting != pool.request_index.end()) {
    RemoveRequest(pool, waiting->second);
  } else {
    const auto granted = std::find_if(
        pool.leases.rbegin(), pool.leases.rend(), [&](const auto& lease) {
          return lease.second.id == id && lease.second.entry == entry;
        });
    if (granted != pool.leases.rend())
      return ReturnSlot(pool, granted->first, AttemptOutcome::kNotSent, {}, now,
                        actions);
  }
  AdvancePool(pool, now, actions);
}

void ReturnSlot(Pool& pool,
                std::uint64_t number,
                AttemptOutcome outcome,
                Duration latency,
                TimePoint now,
                PoolActions& actions) {
  const auto found = pool.leases.find(number);
  if (found == pool.leases.end())
    return;
  const SlotLease lease = found->second;
  UpdateSuspects(pool, lease, outcome, actions);
  UpdateHealthFromOutcome(pool, lease, outcome, latency, now);
  EndLease(pool, number, now);
  AdvancePool(pool, now, actions);
}

void RemoveEntryRequests(Pool& pool,
                         const std::string& entry,
                         TimePoint now,
                         PoolActions& actions) {
  auto next = pool.request_index.lower_bound({entry, 0});
  while (next != pool.request_index.end() && next->first.first == entry) {
    const std::uint64_t sequence = next->second;
    ++next;
    RemoveRequest(pool, sequence);
  }
  // A lost entry VM will not report its leases; servers shed the requests that
  // exceed their slots.
  EndReportWait(pool, entry, now);
  AdvancePool(pool, now, actions);
}

void AdvancePool(Pool& pool, TimePoint now, PoolActions& actions) {
  while (!pool.timers.empty() && pool.timers.begin()->at <= now) {
    const PoolTimer timer = *pool.timers.begin();
    pool.timers.erase(pool.timers.begin());
    ExpireTimer(pool, timer, now, actions);
  }
  GrantQueued(pool, now, actions);
  if (!pool.timers.empty() && pool.timers.begin()->at != kNever)
    actions.push_back(PoolWake{pool.timers.begin()->at});
}

void UpdatePoolServers(Pool& pool,
                       const std::vector<BackendServer>& servers,
                       TimePoint now,
                       PoolActions& actions) {
  ReplaceServers(pool, servers, now);
  AdvancePool(pool, now, actions);
}

void WarmUpServer(Pool& pool, const std::string& server, TimePoint now) {
  const auto found = pool.server_index.find(server);
  if (found != pool.server_index.end() &&
      pool.servers[found->second].state == ServerState::kReady)
    StartWarmup(pool, found->second, now);
}

void RecordLoadReport(Pool& pool,
                      const std::string& name,
                      const LoadReport& report,
                      TimePoint now) {
  const auto found = pool.server_index.find(name);
  if (found == pool.server_index.end())
    return;
  PoolServer& server = pool.servers[found->second];
  if (report.taken_at <= server.report_taken_at)
    return;
  const auto lease_count = static_cast<std::uint32_t>(server.leases.size());
  server.reported_excess =
      report.in_progress > lease_count ? report.in_progress - lease_count : 0;
  server.report_taken_at = report.taken_at;
  RefreshServer(pool, found->second, now);
}

}  // namespace cicadadrum
