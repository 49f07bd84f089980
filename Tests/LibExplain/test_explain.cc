// Tests of building a request's timeline from logs.

#include <doctest/doctest.h>

#include <sstream>

#include "cicadadrum/explain/explain.h"

namespace cicadadrum {

namespace {

// The wall clock of entry-1 jumps back between its records.
constexpr auto kLog = R"(
noise of another program
  12.5 entry-1 {"unix_ms":9000,"steady_ms":10,"entry":"entry-1","part":"server","event":"listed","server":"s-1","phase":"ready"}
{"unix_ms":9001,"steady_ms":11,"entry":"entry-1","part":"server","event":"listed","server":"s-2","phase":"ready"}
{"unix_ms":4000,"steady_ms":12,"entry":"entry-1","part":"server","event":"listed","server":"s-1","phase":"draining"}
{"unix_ms":9002,"steady_ms":5,"entry":"entry-2","part":"server","event":"gone","server":"s-1"}
{"unix_ms":4001,"steady_ms":13,"entry":"entry-1","part":"store","event":"lost","table":"servers"}
{"unix_ms":4002,"steady_ms":14,"entry":"entry-1","part":"request","event":"attempt-ended","request":"r1","server":"s-1","outcome":"lost"}
{"unix_ms":4003,"steady_ms":15,"entry":"entry-1","part":"request","event":"refused","request":"r1","reason":"failed","verdict":"may-have-run"}
{"unix_ms":4004,"steady_ms":16,"entry":"entry-1","part":"store","event":"regained","table":"servers"}
{"unix_ms":4005,"steady_ms":17,"entry":"entry-1","part":"request","event":"caller-left","request":"r2","held_ms":310.5}
{"unix_ms":4006,"steady_ms":18,"entry":"entry-1","part":"request","event":"refused","request":"r4","reason":"unknown-key","account":"","verdict":"not-run"}
{broken
)";

std::vector<LogRecord> Records() {
  std::istringstream input(kLog);
  return ReadLog(input);
}

}  // namespace

TEST_CASE(
    "a timeline has the steps, the known state before them and the cause") {
  const RequestTimeline timeline = ExplainRequest(Records(), "r1");
  REQUIRE(timeline.steps.size() == 2);
  CHECK(timeline.steps[1].event == "refused");
  CHECK(timeline.cause.find("may have run") != std::string::npos);
  // The newest record that the same entry VM wrote about s-1 counts. Records
  // about s-2, which no step names, and later records do not.
  REQUIRE(timeline.known_state.size() == 2);
  CHECK(timeline.known_state[0].fields.at("phase") == "draining");
  CHECK(timeline.known_state[1].event == "lost");
}

TEST_CASE("the cause of a timeline can be the caller's disconnect") {
  const RequestTimeline timeline = ExplainRequest(Records(), "r2");
  CHECK(timeline.cause.find("310.5") != std::string::npos);
}

// Guards against refusals of keys that operators can't tell apart.
TEST_CASE("the cause of a timeline can be the key of the request") {
  const RequestTimeline timeline = ExplainRequest(Records(), "r4");
  CHECK(timeline.cause.find("no client account has the key") == 0);
}

TEST_CASE("the timeline of a request without records has no steps") {
  CHECK(ExplainRequest(Records(), "r3").steps.empty());
}

TEST_CASE("records are counted by part, event and reason or phase") {
  const auto counts = CountRecords(Records());
  CHECK(counts.at("request refused failed") == 1);
  CHECK(counts.at("server listed ready") == 2);
}

}  // namespace cicadadrum
