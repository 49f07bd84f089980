// Latency estimates, detection of slow and lost servers, probes, and
// concurrency limits that grow stepwise.

#include "pool_health.h"

#include <algorithm>

#include "pool_servers.h"

namespace cicadadrum {

namespace {

// Weight of one sample in the moving average of the slowness of a server.
constexpr double kSampleWeight = 0.2;
// Upper bound of a sample. A single request that runs many times longer than
// the rest must not mark its server as slow; two such requests in a row do.
constexpr double kMaxSample = 4;
// Slowness above which a server counts as slow. With service times whose
// standard deviation is half their mean, the threshold is five deviations of
// the moving average above its ordinary value; a server slowed threefold
// exceeds the threshold after three samples.
constexpr double kSlowThreshold = 2.2;
// Normalized latency below which a probe succeeds.
constexpr double kGoodProbeThreshold = 1.8;
// Slow factor that is assumed of a slow server until it answers.
constexpr double kInitialSlowFactor = 10;
constexpr std::uint32_t kRequiredGoodProbes = 2;
// Delay between the successful probes of a slow server.
constexpr Duration kProbeRepeatDelay = Milliseconds(20);
constexpr Duration kFirstSlowBackoff = Milliseconds(250);
constexpr Duration kFirstDownBackoff = Milliseconds(100);
constexpr Duration kMaxBackoff = Seconds(4);
// Step of the running median, as a share of the median.
constexpr double kMedianStep = 0.02;
// Share of the concurrency limit that remains after a shed.
constexpr double kShedLimitFactor = 0.7;
// Successes per slot after which the reduced limit of a ready server grows by
// one. The limit of a warming server grows after one success per slot.
constexpr std::uint32_t kGrowthSuccessesPerSlot = 8;
// A warming server whose limit has reached its number of slots counts as ready
// when its latency is back to normal, or after this many successes per slot,
// because the server may be slower permanently.
constexpr std::uint32_t kMaxWarmupSuccessesPerSlot = 32;
// Age of a lease at its first check, in multiples of the median latency.
constexpr int kFirstAgeCheckMultiple = 3;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

std::size_t ClassIndex(RequestClass request_class) {
  return static_cast<std::size_t>(request_class);
}

void UpdateMedianLatency(Pool& pool,
                         RequestClass request_class,
                         Duration latency) {
  Duration& median = pool.median_latency[ClassIndex(request_class)];
  if (median == Duration{})
    median = std::max(latency, Duration(1));
  else
    median =
        Scale(median, latency > median ? 1 + kMedianStep : 1 - kMedianStep);
  median = std::max(median, Duration(50));
}

double NormalizedLatency(const Pool& pool,
                         RequestClass request_class,
                         Duration latency) {
  const Duration median = pool.median_latency[ClassIndex(request_class)];
  if (median == Duration{})
    return 1;
  return std::min(kMaxSample, static_cast<double>(latency.count()) /
                                  static_cast<double>(median.count()));
}

double MovingAverage(double slowness, double sample) {
  return ((1 - kSampleWeight) * slowness) + (kSampleWeight * sample);
}

Duration NextBackoff(PoolServer& server, Duration first) {
  server.probe_backoff = server.probe_backoff == Duration{}
                             ? first
                             : std::min(kMaxBackoff, 2 * server.probe_backoff);
  return server.probe_backoff;
}

bool MayMarkSlow(const Pool& pool) {
  // At least half of the listed servers stay in service: if most servers are
  // slow, the load or a shared dependency is the cause.
  const auto listed = static_cast<std::uint32_t>(
      std::count_if(pool.servers.begin(), pool.servers.end(),
                    [](const PoolServer& server) { return server.listed; }));
  return 2 * (pool.slow_servers + 1) <= listed;
}

void MarkSlow(Pool& pool, std::uint32_t index, TimePoint now) {
  PoolServer& server = pool.servers[index];
  server.good_probes = 0;
  if (server.state != ServerState::kSlow)
    server.slow_factor = kInitialSlowFactor;
  const TimePoint probe_at = now + NextBackoff(server, kFirstSlowBackoff);
  SetServerState(pool, index, ServerState::kSlow, probe_at, now);
}

void MarkDown(Pool& pool, std::uint32_t index, TimePoint now) {
  PoolServer& server = pool.servers[index];
  server.good_probes = 0;
  const TimePoint probe_at = now + NextBackoff(server, kFirstDownBackoff);
  SetServerState(pool, index, ServerState::kDown, probe_at, now);
}

void FinishProbe(Pool& pool,
                 std::uint32_t index,
                 double sample,
                 TimePoint now) {
  PoolServer& server = pool.servers[index];
  if (server.state == ServerState::kDown)
    return StartWarmup(pool, index, now);
  if (server.state != ServerState::kSlow)
    return;
  if (sample >= kGoodProbeThreshold)
    return MarkSlow(pool, index, now);
  if (++server.good_probes >= kRequiredGoodProbes)
    return StartWarmup(pool, index, now);
  SetServerState(pool, index, ServerState::kSlow, now + kProbeRepeatDelay, now);
}

void GrowLimit(Pool& pool, std::uint32_t index, TimePoint now) {
  PoolServer& server = pool.servers[index];
  if (server.limit >= server.description.slots) {
    ++server.successes;
    if (server.state == ServerState::kWarming &&
        (server.slowness < kGoodProbeThreshold ||
         server.successes > kMaxWarmupSuccessesPerSlot * server.limit)) {
      server.slowness = 1;
      SetServerState(pool, index, ServerState::kReady, kNever, now);
    }
    // After this many successes, the next failure starts again with a short
    // backoff.
    if (server.successes > kGrowthSuccessesPerSlot * server.limit)
      server.probe_backoff = {};
    return;
  }
  const std::uint32_t successes_per_slot =
      server.state == ServerState::kWarming ? 1 : kGrowthSuccessesPerSlot;
  if (++server.successes < successes_per_slot * server.limit)
    return;
  server.successes = 0;
  ++server.limit;
  RefreshServer(pool, index, now);
}

void ShrinkLimit(Pool& pool, std::uint32_t index, TimePoint now) {
  PoolServer& server = pool.servers[index];
  const auto running = std::max<std::size_t>(server.leases.size(), 1) - 1;
  server.limit = std::max(
      1U, static_cast<std::uint32_t>(std::min<double>(
              kShedLimitFactor * server.limit,
              static_cast<double>(std::max<std::size_t>(running, 1)))));
  server.successes = 0;
  RefreshServer(pool, index, now);
}

void AddLatencySample(Pool& pool,
                      std::uint32_t index,
                      double sample,
                      TimePoint now) {
  PoolServer& server = pool.servers[index];
  server.slowness = MovingAverage(server.slowness, sample);
  // A warming server is not marked as slow, because its caches are cold.
  if (server.state == ServerState::kReady && server.slowness > kSlowThreshold &&
      MayMarkSlow(pool))
    MarkSlow(pool, index, now);
}

void UpdateSlowFactor(Pool& pool,
                      std::uint32_t index,
                      RequestClass request_class,
                      Duration latency,
                      TimePoint now) {
  const Duration median = pool.median_latency[ClassIndex(request_class)];
  if (median == Duration{})
    return;
  const double factor = static_cast<double>(latency.count()) /
                        static_cast<double>(median.count());
  PoolServer& server = pool.servers[index];
  server.slow_factor = MovingAverage(server.slow_factor, std::max(1.0, factor));
  RefreshServer(pool, index, now);
}

void UpdateHealthFromAnswer(Pool& pool,
                            const SlotLease& lease,
                            std::uint32_t index,
                            Duration latency,
                            TimePoint now) {
  const PoolServer& server = pool.servers[index];
  const double sample = NormalizedLatency(pool, lease.request_class, latency);
  if (server.state == ServerState::kReady)
    UpdateMedianLatency(pool, lease.request_class, latency);
  if (server.state == ServerState::kSlow)
    UpdateSlowFactor(pool, index, lease.request_class, latency, now);
  if (lease.probe)
    return FinishProbe(pool, index, sample, now);
  AddLatencySample(pool, index, sample, now);
  if (server.state == ServerState::kReady ||
      server.state == ServerState::kWarming)
    GrowLimit(pool, index, now);
}

}  // namespace

void UpdateHealthFromOutcome(Pool& pool,
                             const SlotLease& lease,
                             AttemptOutcome outcome,
                             Duration latency,
                             TimePoint now) {
  const auto found = pool.server_index.find(lease.server);
  if (found == pool.server_index.end())
    return;
  const std::uint32_t index = found->second;
  const PoolServer& server = pool.servers[index];
  if (!server.listed || server.state == ServerState::kLeaving ||
      lease.granted_at < server.warmup_started_at)
    return;
  switch (outcome) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kServerError:
      return UpdateHealthFromAnswer(pool, lease, index, latency, now);
    case AttemptOutcome::kShed:
      ShrinkLimit(pool, index, now);
      if (lease.probe)
        MarkSlow(pool, index, now);
      return;
    case AttemptOutcome::kConnectionRefused:
    case AttemptOutcome::kConnectionLost:
      // Further requests that were lost with the same connection failure add no
      // information.
      if (server.state != ServerState::kDown || lease.probe)
        MarkDown(pool, index, now);
      return;
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kTimedOut:
      if (lease.probe && server.state == ServerState::kSlow)
        return MarkSlow(pool, index, now);
      if (lease.probe && server.state == ServerState::kDown)
        return MarkDown(pool, index, now);
      // The latency is only a lower bound, so that it counts only if it is
      // above the median.
      if (NormalizedLatency(pool, lease.request_class, latency) > 1)
        AddLatencySample(pool, index,
                         NormalizedLatency(pool, lease.request_class, latency),
                         now);
      return;
    case AttemptOutcome::kNotSent:
      if (lease.probe && (server.state == ServerState::kSlow ||
                          server.state == ServerState::kDown))
        SetServerState(pool, index, server.state, now, now);
      return;
  }
}

void ScheduleAgeCheck(Pool& pool, std::uint64_t number, SlotLease& lease) {
  const Duration median = pool.median_latency[ClassIndex(lease.request_class)];
  if (median == Duration{} || lease.probe)
    return;
  lease.age_check_at = lease.granted_at + kFirstAgeCheckMultiple * median;
  pool.timers.insert({lease.age_check_at, PoolTimerKind::kLeaseAge, number});
}

void UpdateHealthFromAge(Pool& pool, std::uint64_t number, TimePoint now) {
  const auto found = pool.leases.find(number);
  if (found == pool.leases.end())
    return;
  SlotLease& lease = found->second;
  lease.age_check_at = kNever;
  const auto server_entry = pool.server_index.find(lease.server);
  if (server_entry == pool.server_index.end())
    return;
  const std::uint32_t index = server_entry->second;
  const PoolServer& server = pool.servers[index];
  if (server.state != ServerState::kReady)
    return;
  double slowness = server.slowness;
  for (const std::uint64_t other : server.leases) {
    const SlotLease& running = pool.leases.at(other);
    const double sample = NormalizedLatency(pool, running.request_class,
                                            now - running.granted_at);
    if (sample > 1)
      slowness = MovingAverage(slowness, sample);
  }
  if (slowness > kSlowThreshold && MayMarkSlow(pool))
    return MarkSlow(pool, index, now);
  lease.age_check_at =
      now + pool.median_latency[ClassIndex(lease.request_class)];
  // A lease whose sample has reached its upper bound needs no further check.
  if (NormalizedLatency(pool, lease.request_class, now - lease.granted_at) >=
      kMaxSample)
    lease.age_check_at = kNever;
  else
    pool.timers.insert({lease.age_check_at, PoolTimerKind::kLeaseAge, number});
}

void BeginProbe(Pool& pool, std::uint32_t index, TimePoint now) {
  SetServerState(pool, index, pool.servers[index].state, kNever, now);
}

}  // namespace cicadadrum
