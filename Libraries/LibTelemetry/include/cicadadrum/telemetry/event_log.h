// Structured log: one JSON object a line on standard output, one line for each
// decision or change of belief.
//
// Writing never blocks. Lines of the same importance share a budget a second;
// lines beyond it and lines that the reader is too slow for are counted and
// reported in a line of their own.

#ifndef CICADADRUM_TELEMETRY_EVENT_LOG_H_
#define CICADADRUM_TELEMETRY_EVENT_LOG_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum {

enum class LogImportance : std::uint8_t {
  kRoutine,  // A request that went well.
  kFailure,  // A request that was refused, failed or was sent again.
  kChange,   // Start, stop, reload, a belief or a dependency that changed.
};

template <>
struct EnumNames<LogImportance> {
  static constexpr auto kTable = std::to_array<EnumName<LogImportance>>({
      {LogImportance::kRoutine, "routine"},
      {LogImportance::kFailure, "failure"},
      {LogImportance::kChange, "change"},
  });
};

// One line under construction.
class LogLine {
 public:
  LogLine(std::string_view part, std::string_view event);

  LogLine& Text(std::string_view key, std::string_view value);
  LogLine& Number(std::string_view key, std::int64_t value);
  LogLine& Real(std::string_view key, double value);

  const std::string& fields() const { return fields_; }

 private:
  std::string fields_;  // Without the braces and the time.
};

struct EventLogOptions {
  std::string name;                      // Of this entry VM; on every line.
  std::uint32_t lines_per_second = 100;  // For each importance.
  int descriptor = 1;                    // Standard output.
};

class EventLog {
 public:
  explicit EventLog(const EventLogOptions& options);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Whether a line of this importance is within its budget. Counts the line as
  // dropped if it is not, so callers need not build it.
  bool TryConsumeBudget(LogImportance importance, TimePoint now);

  void Write(const LogLine& line, TimePoint now);

  // Lines dropped since the start.
  std::uint64_t dropped() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_EVENT_LOG_H_
