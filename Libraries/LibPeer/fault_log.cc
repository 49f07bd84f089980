// Counts faults and limits the rate of their log lines.

#include "fault_log.h"

#include <spdlog/logger.h>

#include <cstddef>

#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

std::uint64_t* CounterFor(PeerCounters& counters, PeerFault fault) {
  switch (fault) {
    case PeerFault::kMalformedMessage:
      return &counters.malformed_messages;
    case PeerFault::kTruncatedMessage:
      return &counters.truncated_messages;
    case PeerFault::kOtherProtocolVersion:
      return &counters.other_protocol_version;
    case PeerFault::kTooManyConnections:
      return &counters.connections_refused;
    case PeerFault::kConnectFailed:
      return &counters.connects_failed;
    case PeerFault::kConnectionLost:
      return &counters.connections_lost;
    case PeerFault::kHandlerFailed:
      return &counters.handler_failures;
    case PeerFault::kAcceptFailed:
      return &counters.connections_refused;
  }
  return nullptr;
}

}  // namespace

void ReportFault(FaultLog& log,
                 PeerFault fault,
                 std::string_view remote,
                 std::string_view detail,
                 TimePoint now) {
  if (std::uint64_t* counter = CounterFor(log.counters, fault))
    ++*counter;
  FaultLog::RateLimit& limit =
      log.rate_limits.at(static_cast<std::size_t>(fault));
  if (now < limit.next_log_at) {
    ++limit.suppressed;
    return;
  }
  LoggerFor("peer")->warn(
      "{}: {} ({}); {} more suppressed since the last log line", NameOf(fault),
      remote, detail, limit.suppressed);
  limit.next_log_at = now + kFaultLogInterval;
  limit.suppressed = 0;
}

}  // namespace cicadadrum
