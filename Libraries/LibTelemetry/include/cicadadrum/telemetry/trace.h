// Trace context in the W3C traceparent form, and spans written as JSON lines.

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

struct TraceContext {
  std::uint64_t trace_high = 0;
  std::uint64_t trace_low = 0;
  std::uint64_t span = 0;
  bool sampled = false;
};

// Parses a traceparent value of version 00.
std::optional<TraceContext> ParseTraceparent(std::string_view text);
std::string FormatTraceparent(const TraceContext& context);

// Returns a context for a new span: of the parent's trace, or of a new trace
// without a parent.
TraceContext ChildContext(const std::optional<TraceContext>& parent,
                          Random& random);

// One hop of a request.
struct Span {
  TraceContext context;
  std::uint64_t parent_span = 0;  // 0 if there is none.
  std::string name;
  std::int64_t start_unix_microseconds = 0;
  std::int64_t duration_microseconds = 0;
  std::vector<std::pair<std::string, std::string>> attributes;
};

// Appends spans to a file, one JSON object a line. Without a file it drops
// them.
class SpanWriter {
 public:
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
