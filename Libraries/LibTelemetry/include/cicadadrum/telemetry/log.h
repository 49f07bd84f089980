// Text log through spdlog: one short sentence per event, with the part of the
// program as a fixed prefix.

#ifndef CICADADRUM_TELEMETRY_LOG_H_
#define CICADADRUM_TELEMETRY_LOG_H_

#include <memory>
#include <string>
#include <string_view>

#include <spdlog/logger.h>

#include "cicadadrum/base/time.h"

namespace cicadadrum {

// Sets the level of all loggers: trace, debug, info, warning, error or off.
// Returns false and changes nothing if spdlog does not know `level`.
bool SetLogLevel(std::string_view level);

// Returns the logger of a part, for example "entry". Its messages have the
// prefix "[entry]" and are written to standard error. The first call for a part
// creates its logger.
std::shared_ptr<spdlog::logger> LoggerFor(const std::string& part);

// Limits the rate of the messages about one recurring fault.
struct LogRateLimit {
  Duration interval = Seconds(10);  // Minimum time between two messages.
  TimePoint next_allowed{};
  std::uint64_t suppressed = 0;
};

// Returns whether a message may be written now and, if so, starts the next
// interval and resets `limit.suppressed`. Otherwise counts the message in
// `limit.suppressed`.
bool ShouldLog(LogRateLimit& limit, TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_LOG_H_
