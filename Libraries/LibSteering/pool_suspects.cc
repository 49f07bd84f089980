// Suspicion, clearing and blocking of fingerprints.

#include "pool_suspects.h"

namespace cicadadrum {

namespace {

// Number of crashes after which a fingerprint is blocked.
constexpr std::uint32_t kCrashesToBlock = 3;

// Counts one crash of a server for the fingerprint of a lease that it was
// running, unless the crash was counted for an equal request already.
void CountCrash(Pool& pool, std::uint64_t number, PoolActions& actions) {
  SlotLease& lease = pool.leases.at(number);
  if (lease.crash_counted || lease.fingerprint == 0)
    return;
  lease.crash_counted = true;
  CrashSuspect& suspect = pool.suspects[lease.fingerprint];
  if (number < suspect.first_lease)
    return;
  suspect.first_lease = pool.next_lease;
  if (++suspect.crashes < kCrashesToBlock || suspect.blocked)
    return;
  suspect.blocked = true;
  actions.push_back(FingerprintBlocked{lease.fingerprint});
}

}  // namespace

bool IsSuspect(const Pool& pool, std::uint64_t fingerprint) {
  return !pool.suspects.empty() && pool.suspects.contains(fingerprint);
}

bool IsBlocked(const Pool& pool, std::uint64_t fingerprint) {
  const auto found = pool.suspects.find(fingerprint);
  return found != pool.suspects.end() && found->second.blocked;
}

void UpdateSuspects(Pool& pool,
                    const SlotLease& lease,
                    AttemptOutcome outcome,
                    PoolActions& actions) {
  if (outcome == AttemptOutcome::kAnswered ||
      outcome == AttemptOutcome::kServerError) {
    const auto found = pool.suspects.find(lease.fingerprint);
    if (found != pool.suspects.end() && !found->second.blocked)
      pool.suspects.erase(found);
    return;
  }
  if (outcome != AttemptOutcome::kConnectionLost || lease.crash_counted)
    return;
  const auto server = pool.server_index.find(lease.server);
  if (server == pool.server_index.end())
    return;
  for (const std::uint64_t number : pool.servers[server->second].leases)
    CountCrash(pool, number, actions);
}

void SetBlocked(Pool& pool, std::uint64_t fingerprint, bool blocked) {
  if (!blocked) {
    pool.suspects.erase(fingerprint);
    return;
  }
  CrashSuspect& suspect = pool.suspects[fingerprint];
  suspect.blocked = true;
  suspect.crashes = kCrashesToBlock;
}

}  // namespace cicadadrum
