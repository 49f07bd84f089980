// Trace context in the W3C traceparent format, and spans written as JSON lines.

#ifndef CICADADRUM_TELEMETRY_TRACE_H_
#define CICADADRUM_TELEMETRY_TRACE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"

namespace cicadadrum {

// Identifies a span within a trace.
struct TraceContext {
  std::uint64_t trace_high = 0;  // Upper 64 bits of the trace id.
  std::uint64_t trace_low = 0;
  std::uint64_t span = 0;
  bool sampled = false;  // Whether spans of this trace are recorded.
};

// Parses a traceparent value of version 00. Returns nothing for an invalid
// value, another version, or a trace or span id of 0.
std::optional<TraceContext> ParseTraceparent(std::string_view text);

// Returns a traceparent value of version 00.
std::string FormatTraceparent(const TraceContext& context);

// Returns a context for a new span. The span belongs to the parent's trace or,
// without a parent, to a new trace that is sampled.
TraceContext ChildContext(const std::optional<TraceContext>& parent,
                          Random& random);

// One hop of a request, for example from an entry VM to a backend server.
struct Span {
  TraceContext context;
  std::uint64_t parent_span = 0;  // 0 if there is none.
  std::string name;
  std::int64_t start_unix_microseconds = 0;
  std::int64_t duration_microseconds = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
};

// Appends sampled spans to a file, one JSON object per line.
class SpanWriter {
 public:
  // If `path` is empty or the file can't be opened, Write() drops all spans.
  explicit SpanWriter(const std::string& path);
  ~SpanWriter();
  SpanWriter(const SpanWriter&) = delete;
  SpanWriter& operator=(const SpanWriter&) = delete;

  void Write(const Span& span);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TELEMETRY_TRACE_H_
