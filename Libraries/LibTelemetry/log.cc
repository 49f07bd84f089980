// Text log through spdlog on standard error.

#include "cicadadrum/telemetry/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cicadadrum {

namespace {

constexpr auto kPattern = "%Y-%m-%dT%H:%M:%S.%e %l [%n] %v";

}  // namespace

bool SetLogLevel(std::string_view level) {
  const auto parsed = spdlog::level::from_str(std::string(level));
  if (parsed == spdlog::level::off && level != "off")
    return false;
  spdlog::set_level(parsed);
  return true;
}

std::shared_ptr<spdlog::logger> LoggerFor(const std::string& part) {
  std::shared_ptr<spdlog::logger> logger = spdlog::get(part);
  if (logger == nullptr) {
    logger = spdlog::stderr_logger_st(part);
    logger->set_pattern(kPattern);
  }
  return logger;
}

bool ShouldLog(LogRateLimit& limit, TimePoint now) {
  if (now < limit.next_allowed) {
    ++limit.suppressed;
    return false;
  }
  limit.next_allowed = now + limit.interval;
  limit.suppressed = 0;
  return true;
}

}  // namespace cicadadrum
