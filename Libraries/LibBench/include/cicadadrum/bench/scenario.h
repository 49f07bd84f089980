// Scenarios of the benchmark: streams of requests and disturbances.

#ifndef CICADADRUM_BENCH_SCENARIO_H_
#define CICADADRUM_BENCH_SCENARIO_H_

#include <array>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

// The role of each of the three services of a deployment. The value is the
// index of the service in Deployment::services.
enum class ServiceRole : std::uint8_t { kReads, kWrites, kArchive };

template <>
struct EnumNames<ServiceRole> {
  static constexpr auto kTable = std::to_array<EnumName<ServiceRole>>({
      {ServiceRole::kReads, "reads"},
      {ServiceRole::kWrites, "writes"},
      {ServiceRole::kArchive, "archive"},
  });
};

// Kinds of disturbances; Schemas/scenario.capnp describes their effects.
enum class DisturbanceKind : std::uint8_t {
  kSlow,
  kShedding,
  kCrash,
  kCrashLoop,
  kPoison,
  kRegionLost,
  kReportsLate,
  kReportsStopped,
  kReportsFalse,
};

template <>
struct EnumNames<DisturbanceKind> {
  static constexpr auto kTable = std::to_array<EnumName<DisturbanceKind>>({
      {DisturbanceKind::kSlow, "slow"},
      {DisturbanceKind::kShedding, "shedding"},
      {DisturbanceKind::kCrash, "crash"},
      {DisturbanceKind::kCrashLoop, "crashLoop"},
      {DisturbanceKind::kPoison, "poison"},
      {DisturbanceKind::kRegionLost, "regionLost"},
      {DisturbanceKind::kReportsLate, "reportsLate"},
      {DisturbanceKind::kReportsStopped, "reportsStopped"},
      {DisturbanceKind::kReportsFalse, "reportsFalse"},
  });
};

// Requests of one class to one service, with Poisson arrivals in every region
// from `from` to `to`.
struct Stream {
  ServiceRole service = ServiceRole::kReads;
  RequestClass request_class = RequestClass::kRoutine;
  // Offered work as a share of the capacity of the service's pools.
  double share = 0;
  Duration service_time{};  // Mean on a warm server that is not slowed.
  TimePoint from;
  TimePoint to = kNever;
};

// A fault that starts at `from` and ends at `to`. Only kSlow, kCrash,
// kCrashLoop, kPoison and kRegionLost end; the other kinds last until the end
// of the run. Each kind uses some of the members.
struct Disturbance {
  DisturbanceKind kind = DisturbanceKind::kSlow;
  ServiceRole service = ServiceRole::kReads;
  double fraction = 0;       // Share of the service's servers, 0 to 1.
  std::uint32_t region = 0;  // Index in Deployment::regions.
  double factor = 1;  // Of service times for kSlow, of slots for kShedding.
  TimePoint from;
  TimePoint to = kNever;
  Duration period{};  // Of repeated events; the delay for kReportsLate.
};

struct Scenario {
  std::string name;
  std::vector<Stream> streams;
  std::vector<Disturbance> disturbances;
  Duration warmup{};  // The result leaves out requests that arrive earlier.
  Duration end{};     // No request arrives later.
};

// Reads `folder`/`name`.json and the scenarios that it includes from the same
// folder. Fails with kFileUnreadable if a file can't be read and with
// kInvalidSettings if a file is not JSON or does not match the schema.
boost::leaf::result<Scenario> LoadScenario(const std::string& folder,
                                           const std::string& name);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_SCENARIO_H_
