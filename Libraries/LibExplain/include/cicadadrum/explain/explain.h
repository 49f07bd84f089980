// Builds the timeline of one request from the structured logs of several entry
// VMs.

#ifndef CICADADRUM_EXPLAIN_EXPLAIN_H_
#define CICADADRUM_EXPLAIN_EXPLAIN_H_

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadadrum {

// One line of a structured log.
struct LogRecord {
  std::int64_t unix_ms = 0;    // Wall clock, which may jump.
  std::int64_t steady_ms = 0;  // Comparable only within one run of a process.
  std::string entry;           // Name of the entry VM.
  std::string part;
  std::string event;
  std::map<std::string, std::string> fields;  // All other fields, as text.
};

// Returns nothing for a line without a structured record. Text before the
// record, for example a time that a log collector adds, is skipped.
std::optional<LogRecord> ParseLogRecord(std::string_view line);

// Returns the records of all lines, in the order of the lines. Lines without a
// record are skipped.
std::vector<LogRecord> ReadLog(std::istream& input);

// What the logs contain about one request.
struct RequestTimeline {
  // What happened to the request, in order.
  std::vector<LogRecord> steps;
  // The last known state of the entry VM before the request's last step: the
  // newest record of each server that was tried, of the configuration, the
  // members, the store's tables, the evacuations and the program.
  std::vector<LogRecord> known_state;
  // Why the request ended as it did, as one clause.
  std::string cause;
};

// Returns a timeline without steps if no record names the request. `records`
// may come from several entry VMs and must keep the order in which each entry
// VM wrote them.
RequestTimeline ExplainRequest(const std::vector<LogRecord>& records,
                               std::string_view request);

// Returns the number of records by part, event and, if present, reason, outcome
// and phase.
std::map<std::string, std::uint64_t> CountRecords(
    const std::vector<LogRecord>& records);

// Returns a record as one line of text, without a line break.
std::string FormatRecord(const LogRecord& record);

}  // namespace cicadadrum

#endif  // CICADADRUM_EXPLAIN_EXPLAIN_H_
