// Scenarios of the benchmark: offered requests and disturbances.

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

// The three services of a deployment by what they do. The value is the index of
// the service in the deployment.
enum class ServiceRole : std::uint8_t { kReads, kWrites, kArchive };

template <>
struct EnumNames<ServiceRole> {
  static constexpr auto kTable = std::to_array<EnumName<ServiceRole>>({
      {ServiceRole::kReads, "reads"},
      {ServiceRole::kWrites, "writes"},
      {ServiceRole::kArchive, "archive"},
  });
};

// Schemas/scenario.capnp describes the kinds.
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

struct Stream {
  ServiceRole service = ServiceRole::kReads;
  RequestClass request_class = RequestClass::kRoutine;
  double share = 0;  // Offered work as a share of the capacity of the pools.
  Duration service_time{};
  TimePoint from;
  TimePoint to = kNever;
};

struct Disturbance {
  DisturbanceKind kind = DisturbanceKind::kSlow;
  ServiceRole service = ServiceRole::kReads;
  double fraction = 0;
  std::uint32_t region = 0;
  double factor = 1;
  TimePoint from;
  TimePoint to = kNever;
  Duration period{};
};

struct Scenario {
  std::string name;
  std::vector<Stream> streams;
  std::vector<Disturbance> disturbances;
  Duration warmup{};  // Requests that arrive earlier are not counted.
  Duration end{};     // No request arrives later.
};

// Reads `folder`/`name`.json and the scenarios it includes. Fails with
// kFileUnreadable or kInvalidSettings.
boost::leaf::result<Scenario> LoadScenario(const std::string& folder,
                                           const std::string& name);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_SCENARIO_H_
