// Structured log on a non-blocking file descriptor.

#include "cicadadrum/telemetry/event_log.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <iterator>

namespace cicadadrum {

namespace {

// Bytes that are buffered for a slow reader before lines are dropped.
constexpr std::size_t kMaxUnwrittenBytes = std::size_t{256} * 1024;

void AppendEscaped(std::string& out, std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (byte < 0x20 || byte >= 0x7f) {
      out.append("\\u00");
      out.push_back(kHex[byte >> 4]);
      out.push_back(kHex[byte & 15]);
    } else {
      out.push_back(c);
    }
  }
}

void AppendKey(std::string& out, std::string_view key) {
  if (!out.empty())
    out.push_back(',');
  out.push_back('"');
  out.append(key).append("\":");
}

// Buffers what the descriptor does not accept at once, and drops complete lines
// when the buffer is full.
class DescriptorSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit DescriptorSink(int descriptor) : descriptor_(descriptor) {
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
      fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }

  std::uint64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (unwritten_.size() + message.payload.size() > kMaxUnwrittenBytes) {
      ++dropped_;
    } else {
      unwritten_.append(message.payload.data(), message.payload.size());
      unwritten_.push_back('\n');
    }
    flush_();
  }

  void flush_() override {
    const ssize_t written =
        ::write(descriptor_, unwritten_.data(), unwritten_.size());
    if (written > 0)
      unwritten_.erase(0, static_cast<std::size_t>(written));
  }

 private:
  int descriptor_;
  std::string unwritten_;
  std::uint64_t dropped_ = 0;
};

// Lines of one importance in the current second.
struct LineBudget {
  TimePoint second_started_at{};
  std::uint32_t written = 0;
  std::uint64_t dropped = 0;
};

}  // namespace

LogLine::LogLine(std::string_view part, std::string_view event) {
  fields_.reserve(256);
  Text("part", part).Text("event", event);
}

LogLine& LogLine::Text(std::string_view key, std::string_view value) {
  AppendKey(fields_, key);
  fields_.push_back('"');
  AppendEscaped(fields_, value);
  fields_.push_back('"');
  return *this;
}

LogLine& LogLine::Number(std::string_view key, std::int64_t value) {
  AppendKey(fields_, key);
  fields_.append(std::to_string(value));
  return *this;
}

LogLine& LogLine::Real(std::string_view key, double value) {
  AppendKey(fields_, key);
  fmt::format_to(std::back_inserter(fields_), "{:.2f}", value);
  return *this;
}

struct EventLog::Impl {
  explicit Impl(const EventLogOptions& log_options)
      : options(log_options),
        sink(std::make_shared<DescriptorSink>(options.descriptor)),
        logger("events", sink) {}

  // Begins a new second for each budget whose second is over, and reports the
  // lines that the budget dropped in it.
  void RenewBudgets(TimePoint now);
  void ReportDroppedLines(LogImportance importance,
                          LineBudget& budget,
                          TimePoint now);

  EventLogOptions options;
  std::shared_ptr<DescriptorSink> sink;
  spdlog::logger logger;
  std::array<LineBudget, 3> budgets;
  std::uint64_t dropped = 0;
};

void EventLog::Impl::RenewBudgets(TimePoint now) {
  for (const auto& [importance, name] : EnumNames<LogImportance>::kTable) {
    LineBudget& budget = budgets[static_cast<std::size_t>(importance)];
    if (now - budget.second_started_at < Seconds(1))
      continue;
    if (budget.dropped > 0)
      ReportDroppedLines(importance, budget, now);
    budget.second_started_at = now;
    budget.written = 0;
  }
}

void EventLog::Impl::ReportDroppedLines(LogImportance importance,
                                        LineBudget& budget,
                                        TimePoint now) {
  LogLine line("log", "lines-dropped");
  line.Text("importance", NameOf(importance));
  line.Number("lines", static_cast<std::int64_t>(budget.dropped))
      .Number("second_steady_ms",
              budget.second_started_at.time_since_epoch().count() / 1000);
  budget.dropped = 0;
  std::string text = "{\"steady_ms\":";
  text.append(std::to_string(now.time_since_epoch().count() / 1000));
  text.append(",\"entry\":\"").append(options.name).append("\",");
  logger.info(text.append(line.fields()).append("}"));
}

EventLog::EventLog(const EventLogOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

EventLog::~EventLog() = default;

bool EventLog::TryConsumeBudget(LogImportance importance, TimePoint now) {
  impl_->RenewBudgets(now);
  LineBudget& budget = impl_->budgets[static_cast<std::size_t>(importance)];
  if (budget.written < impl_->options.lines_per_second) {
    ++budget.written;
    return true;
  }
  ++budget.dropped;
  ++impl_->dropped;
  return false;
}

void EventLog::Write(const LogLine& line, TimePoint now) {
  // The wall clock may jump, so every line has the time of both clocks.
  timespec wall{};
  clock_gettime(CLOCK_REALTIME, &wall);
  std::string text = "{\"unix_ms\":";
  text.append(std::to_string(wall.tv_sec * 1000 + wall.tv_nsec / 1'000'000));
  text.append(",\"steady_ms\":");
  text.append(std::to_string(now.time_since_epoch().count() / 1000));
  text.append(",\"entry\":\"").append(impl_->options.name).append("\",");
  impl_->logger.info(text.append(line.fields()).append("}"));
}

std::uint64_t EventLog::dropped() const {
  return impl_->dropped + impl_->sink->dropped();
}

}  // namespace cicadadrum
