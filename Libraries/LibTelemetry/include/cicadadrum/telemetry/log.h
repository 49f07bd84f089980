// Logs through spdlog: one short sentence an event, with the part of the
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
// Returns false for another word.
bool SetLogLevel(std::string_view level);

// Returns the logger of a part, for example "entry". Its messages have the
// prefix "[entry]".
std::shared_ptr<spdlog::logger> LoggerFor(const std::string& part);

// Limits the messages about one fault that could repeat.
struct LogRateLimit {
  Duration interval = Seconds(10);
  TimePoint next_allowed{};
  std::uint64_t suppressed = 0;
};

// Whether a message may be written now. `limit.suppressed` counts those that
// were not written since.
bool ShouldLog(LogRateLimit& limit, TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_LOG_H_
