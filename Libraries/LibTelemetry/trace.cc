// Parses and formats trace contexts, and writes spans.

#include "cicadadrum/telemetry/trace.h"

#include "cicadadrum/base/hash.h"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>

namespace cicadadrum {

namespace {

// Format: version "00" - trace id of 32 hexadecimal digits - span id of 16
// digits - flags of 2 digits.
constexpr std::size_t kTraceparentLength = 55;
constexpr std::uint64_t kSampledFlag = 1;

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number, 16);
  if (error != std::errc() || end != last)
    return std::nullopt;
  return number;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  const bool has_valid_layout = text.size() == kTraceparentLength &&
                                text.starts_with("00-") && text[35] == '-' &&
                                text[52] == '-';
  if (!has_valid_layout)
    return std::nullopt;
  const auto high = ParseHex(text.substr(3, 16));
  const auto low = ParseHex(text.substr(19, 16));
  const auto span = ParseHex(text.substr(36, 16));
  const auto flags = ParseHex(text.substr(53, 2));
  if (!high || !low || !span || !flags || (*high == 0 && *low == 0) ||
      *span == 0)
    return std::nullopt;
  return TraceContext{*high, *low, *span, (*flags & kSampledFlag) != 0};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + FormatHex(context.trace_high) + FormatHex(context.trace_low) +
         "-" + FormatHex(context.span) + (context.sampled ? "-01" : "-00");
}

TraceContext ChildContext(const std::optional<TraceContext>& parent,
                          Random& random) {
  TraceContext context = parent.value_or(
      TraceContext{NextRandom(random), NextRandom(random), 0, true});
  context.span = NextRandom(random) | 1;
  return context;
}

struct SpanWriter::Impl {
  std::ofstream file;
};

SpanWriter::SpanWriter(const std::string& path)
    : impl_(std::make_unique<Impl>()) {
  if (!path.empty())
    impl_->file.open(path, std::ios::app);
}

SpanWriter::~SpanWriter() = default;

void SpanWriter::Write(const Span& span) {
  if (!impl_->file.is_open() || !span.context.sampled)
    return;
  nlohmann::ordered_json line = {
      {"traceId",
       FormatHex(span.context.trace_high) + FormatHex(span.context.trace_low)},
      {"spanId", FormatHex(span.context.span)},
      {"name", span.name},
      {"startUnixMicroseconds", span.start_unix_microseconds},
      {"durationMicroseconds", span.duration_microseconds}};
  if (span.parent_span != 0)
    line["parentSpanId"] = FormatHex(span.parent_span);
  for (const auto& [key, value] : span.attributes)
    line["attributes"][key] = value;
  impl_->file << line.dump() << std::endl;
}

}  // namespace cicadadrum
