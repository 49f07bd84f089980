// Codec of pool names and lease reports.

#include "codec.h"
#include "codec_values.h"

namespace cicadadrum {

namespace {

// Estimated size of one lease on the wire.
constexpr std::size_t kLeaseBytes = 128;

void WriteLease(const HeldLease& lease,
                TimePoint now,
                schema::HeldLease::Builder to) {
  to.setLease(lease.lease);
  to.setServer(TextToWire(lease.server));
  to.setClientAccount(TextToWire(lease.client_account));
  to.setRequestClass(EnumToWire<schema::RequestClass>(lease.request_class));
  to.setFingerprint(lease.fingerprint);
  to.setAgeMicroseconds(DurationToWire(now - lease.granted_at));
  to.setRemainingMicroseconds(DeadlineToWire(lease.deadline, now));
}

std::optional<HeldLease> ReadLease(schema::HeldLease::Reader from,
                                   TimePoint now) {
  const auto request_class = EnumFromWire<RequestClass>(from.getRequestClass());
  const auto age = DurationFromWire(from.getAgeMicroseconds());
  const auto deadline = DeadlineFromWire(from.getRemainingMicroseconds(), now);
  if (!request_class || !age || !deadline || from.getLease() == 0)
    return std::nullopt;
  return HeldLease{.lease = from.getLease(),
                   .server = TextFromWire(from.getServer()),
                   .client_account = TextFromWire(from.getClientAccount()),
                   .request_class = *request_class,
                   .fingerprint = from.getFingerprint(),
                   .granted_at = now - *age,
                   .deadline = *deadline};
}

}  // namespace

void WritePool(const PoolKey& pool, schema::PoolName::Builder to) {
  to.setRegion(TextToWire(pool.region));
  to.setService(TextToWire(pool.service));
}

std::optional<PoolKey> ReadPool(schema::PoolName::Reader from) {
  PoolKey pool{TextFromWire(from.getRegion()), TextFromWire(from.getService())};
  if (pool.region.empty() || pool.service.empty())
    return std::nullopt;
  return pool;
}

void WriteLeasesReport(const LeasesReport& report,
                       TimePoint now,
                       schema::LeasesReport::Builder to) {
  WritePool(report.pool, to.initPool());
  auto leases = to.initLeases(static_cast<unsigned>(report.leases.size()));
  for (unsigned i = 0; i < leases.size(); ++i)
    WriteLease(report.leases[i], now, leases[i]);
}

std::optional<LeasesReport> ReadLeasesReport(schema::LeasesReport::Reader from,
                                             TimePoint now) {
  const auto pool = ReadPool(from.getPool());
  if (!pool)
    return std::nullopt;
  LeasesReport report{.pool = *pool};
  for (const auto wire : from.getLeases()) {
    const auto lease = ReadLease(wire, now);
    if (!lease)
      return std::nullopt;
    report.leases.push_back(*lease);
  }
  return report;
}

std::size_t EstimateBytes(const LeasesReport& report) {
  return kSmallMessageBytes + report.leases.size() * kLeaseBytes;
}

}  // namespace cicadadrum
