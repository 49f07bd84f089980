// Finds the timeline of one request in the structured logs of several entry
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
  std::int64_t unix_ms = 0;    // May jump.
  std::int64_t steady_ms = 0;  // Comparable within one run of one process.
  std::string entry;
  std::string part;
  std::string event;
  std::map<std::string, std::string> fields;  // All others, as text.
};

// Returns nothing for a line without a structured record. Text before the
// record, for example a time that a log collector adds, is skipped.
std::optional<LogRecord> ParseLogRecord(std::string_view line);

// Returns the records of all lines in their order.
std::vector<LogRecord> ReadLog(std::istream& input);

struct RequestTimeline {
  // What happened to the request, in order.
  std::vector<LogRecord> steps;
  // What the entry VM believed before the request's last step: the newest
  // record of each server that was tried, of the configuration, the members
  // and the store.
  std::vector<LogRecord> known_state;
  std::string cause;  // One sentence.
};

// Returns a timeline without steps if no record names the request. `records`
// may come from several entry VMs, each in its own order.
RequestTimeline ExplainRequest(const std::vector<LogRecord>& records,
                               std::string_view request);

// Numbers of records by part, event and reason or outcome, for an overview.
std::map<std::string, std::uint64_t> CountRecords(
    const std::vector<LogRecord>& records);

// Returns one line of text for a record.
std::string FormatRecord(const LogRecord& record);

}  // namespace cicadadrum

#endif  // CICADADRUM_EXPLAIN_EXPLAIN_H_
