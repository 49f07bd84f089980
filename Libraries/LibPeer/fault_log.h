// Counts and logs faults of connections to other entry VMs.

#ifndef LIBRARIES_LIBPEER_FAULT_LOG_H_
#define LIBRARIES_LIBPEER_FAULT_LOG_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/peer/messages.h"

namespace cicadadrum {

enum class PeerFault : std::uint8_t {
  kMalformedMessage,
  kTruncatedMessage,
  kOtherProtocolVersion,
  kTooManyConnections,
  kConnectFailed,
  kConnectionLost,
  kHandlerFailed,
  kAcceptFailed,
};

template <>
struct EnumNames<PeerFault> {
  static constexpr auto kTable = std::to_array<EnumName<PeerFault>>({
      {PeerFault::kMalformedMessage, "malformed message"},
      {PeerFault::kTruncatedMessage, "truncated message"},
      {PeerFault::kOtherProtocolVersion, "other protocol version"},
      {PeerFault::kTooManyConnections, "too many connections"},
      {PeerFault::kConnectFailed, "connection can't be opened"},
      {PeerFault::kConnectionLost, "connection lost"},
      {PeerFault::kHandlerFailed, "handler failed"},
      {PeerFault::kAcceptFailed, "connection can't be accepted"},
  });
};

// Minimum time between two log lines about the same kind of fault.
constexpr Duration kFaultLogInterval = Seconds(1);

// Counters of faults, and the rate limit of log lines per kind of fault.
struct FaultLog {
  struct RateLimit {
    TimePoint next_log_at = TimePoint::min();
    std::uint64_t suppressed = 0;  // Faults since the last log line.
  };
  PeerCounters counters;
  std::array<RateLimit, EnumNames<PeerFault>::kTable.size()> rate_limits;
};

// Counts the fault. Logs the fault unless a fault of the same kind was logged
// within kFaultLogInterval. `remote` is the peer's address or the component
// that failed. `detail` must not be text that another process chose.
void ReportFault(FaultLog& log,
                 PeerFault fault,
                 std::string_view remote,
                 std::string_view detail,
                 TimePoint now);

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_FAULT_LOG_H_
