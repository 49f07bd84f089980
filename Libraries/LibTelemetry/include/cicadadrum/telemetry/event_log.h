// Structured log: one JSON object per line on standard output, one line for
// each decision and each change of the known state.
//
// Writing never blocks. Lines of the same importance share a budget per second.
// The log counts the lines that it drops, either because the budget is used up
// or because the reader is too slow. A separate "lines-dropped" record reports
// the lines beyond the budget and the second that they belong to.

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
  kRoutine,  // A request that succeeded.
  kFailure,  // A request that was refused, failed or was retried.
  kChange,   // Start, stop, reload, or a change of known state or a dependency.
};

template <>
struct EnumNames<LogImportance> {
  static constexpr auto kTable = std::to_array<EnumName<LogImportance>>({
      {LogImportance::kRoutine, "routine"},
      {LogImportance::kFailure, "failure"},
      {LogImportance::kChange, "change"},
  });
};

// Builds one line of the log. Keys are written as they are, without escaping.
// In values, quotes, backslashes and bytes outside printable ASCII are escaped.
class LogLine {
 public:
  LogLine(std::string_view part, std::string_view event);

  LogLine& Text(std::string_view key, std::string_view value);
  LogLine& Number(std::string_view key, std::int64_t value);
  // Writes two decimal places.
  LogLine& Real(std::string_view key, double value);

  // Returns the JSON members so far, without the enclosing braces.
  const std::string& fields() const { return fields_; }

 private:
  std::string fields_;  // Without the braces and the timestamps.
};

struct EventLogOptions {
  // Name of this entry VM, which is part of every line. It is not escaped.
  std::string name;
  std::uint32_t lines_per_second = 100;  // For each importance.
  // File descriptor, by default standard output. The log switches it to
  // non-blocking mode and does not close it.
  int descriptor = 1;
};

class EventLog {
 public:
  explicit EventLog(const EventLogOptions& options);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Returns whether a line of this importance is within the budget of the
  // current second, and charges the line to the budget. Returns false and
  // counts the line as dropped if the budget is used up; the caller then
  // neither builds nor writes the line.
  bool TryConsumeBudget(LogImportance importance, TimePoint now);

  // Writes a line with the wall clock time and `now`, in milliseconds. Ignores
  // the budget, so lines that must not be dropped are written without a call of
  // TryConsumeBudget().
  void Write(const LogLine& line, TimePoint now);

  // Returns the number of lines dropped since the start, for both reasons.
  std::uint64_t dropped() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_EVENT_LOG_H_
