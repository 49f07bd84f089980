// Tests of the structured log's budgets.

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <memory>
#include <sstream>

#include "cicadadrum/explain/explain.h"
#include "cicadadrum/telemetry/event_log.h"

namespace cicadadrum {

// Guards against a record that attributes dropped lines to a later moment,
// because no other line of their importance was written in between.
TEST_CASE("dropped lines are reported by the next line of any importance") {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file{std::tmpfile(),
                                                             &std::fclose};
  EventLog log({.name = "entry-1",
                .lines_per_second = 2,
                .descriptor = fileno(file.get())});
  const TimePoint start{Seconds(1000)};
  for (int i = 0; i < 5; ++i)
    log.TryConsumeBudget(LogImportance::kChange, start);
  CHECK(log.TryConsumeBudget(LogImportance::kFailure, start + Seconds(2)));
  std::array<char, 1000> bytes{};
  const ssize_t size = pread(fileno(file.get()), bytes.data(), bytes.size(), 0);
  REQUIRE(size > 0);
  std::istringstream input({bytes.data(), static_cast<std::size_t>(size)});
  const std::vector<LogRecord> records = ReadLog(input);
  REQUIRE(records.size() == 1);
  CHECK(records[0].event == "lines-dropped");
  CHECK(records[0].fields.at("importance") == "change");
  CHECK(records[0].fields.at("lines") == "3");
  CHECK(records[0].fields.at("second_steady_ms") == "1000000");
}

}  // namespace cicadadrum
