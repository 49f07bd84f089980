// End-to-end tests of the structured log of an entry VM.

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <memory>
#include <sstream>

#include "cicadadrum/explain/explain.h"
#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

// An entry VM that writes its log to a temporary file.
struct LoggedDeployment : Deployment {
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file{std::tmpfile(),
                                                       &std::fclose};
  Settings settings = MakeSettings("entry-1");
  std::optional<Front> front;

  LoggedDeployment() {
    settings.log_lines_per_second = 100;
    settings.log_descriptor = fileno(file.get());
    front.emplace(loop, kj_loop, settings, Incarnation{.high = 1, .low = 1});
    REQUIRE(front->Start());
    REQUIRE(WaitUntil([this] { return IsReady(settings); }));
  }

  std::vector<LogRecord> Records() const {
    std::string text(std::size_t{1} << 20, '\0');
    const ssize_t size =
        pread(fileno(file.get()), text.data(), text.size(), /*offset=*/0);
    REQUIRE(size >= 0);
    text.resize(static_cast<std::size_t>(size));
    std::istringstream input(text);
    return ReadLog(input);
  }

  // Returns the only record on the end of an attempt of the request.
  LogRecord AttemptOf(const std::string& request) const {
    std::vector<LogRecord> found;
    for (const LogRecord& step : ExplainRequest(Records(), request).steps) {
      if (step.event == "attempt-ended")
        found.push_back(step);
    }
    REQUIRE(found.size() == 1);
    return found[0];
  }

  HttpResponse SendRequest(const HttpRequest& request) {
    return Call(settings.self.caller_address, request).second;
  }
};

}  // namespace

// Guards against a status in the record of an attempt without a response.
TEST_CASE("only an attempt with a response is logged with a status") {
  LoggedDeployment entry;
  CHECK(entry.SendRequest(Request("/read/a", "answered")).status == 200);
  CHECK(entry.AttemptOf("answered").fields.at("status") == "200");
  entry.server_one.SetBehaviour(ServerBehaviour::kHangs);
  Timer crash(entry.loop, [&] { entry.server_one.Crash(); });
  crash.Schedule(entry.loop.Now() + Milliseconds(100));
  CHECK(entry.SendRequest(Request("/write/a", "lost", HttpMethod::kPost))
            .status == 502);
  const LogRecord lost = entry.AttemptOf("lost");
  CHECK(lost.fields.at("outcome").starts_with("lost"));
  CHECK_FALSE(lost.fields.contains("status"));
  CHECK_FALSE(lost.fields.contains("response_bytes"));
}

// Guards against attempts that are given up and leave no record of the inputs
// of their choice.
TEST_CASE("an attempt that is given up is logged before the request's end") {
  LoggedDeployment entry;
  entry.server_one.SetBehaviour(ServerBehaviour::kHangs);
  CHECK(entry.SendRequest(Request("/write/a", "late", HttpMethod::kPost))
            .status == 504);
  const LogRecord late = entry.AttemptOf("late");
  CHECK(late.fields.at("outcome") == "timed-out");
  CHECK(late.fields.at("server") == "s-one");
  CHECK(std::stod(late.fields.at("took_ms")) > 900);
  CHECK(late.fields.contains("cost_ms"));
  CHECK(ExplainRequest(entry.Records(), "late").steps.back().event ==
        "refused");
  const std::uint64_t call = entry.client.Send(
      entry.settings.self.caller_address, Request("/read/a", "left"),
      entry.loop.Now() + kTestTimeout, [](HttpOutcome, const HttpResponse&) {});
  REQUIRE(entry.WaitUntil(
      [&] { return entry.server_one.executed_requests().size() == 2; }));
  entry.client.Cancel(call);
  REQUIRE(entry.WaitUntil([&] {
    return ExplainRequest(entry.Records(), "left").steps.size() == 2;
  }));
  CHECK(entry.AttemptOf("left").fields.at("outcome") == "cancelled");
  CHECK(ExplainRequest(entry.Records(), "left").steps.back().event ==
        "caller-left");
}

// Guards against logs that do not distinguish a slow server from a slow check
// before the request was sent.
TEST_CASE("an attempt that waited for a check is logged with its delay") {
  LoggedDeployment entry;
  CHECK(entry.SendRequest(Request("/read/a", "checked")).status == 200);
  const LogRecord checked = entry.AttemptOf("checked");
  REQUIRE(checked.fields.contains("write_delay_ms"));
  CHECK(std::stod(checked.fields.at("write_delay_ms")) <=
        std::stod(checked.fields.at("took_ms")));
  CHECK(entry.SendRequest(Request("/read/a", "at-once")).status == 200);
  CHECK_FALSE(entry.AttemptOf("at-once").fields.contains("write_delay_ms"));
}

// Guards against an update of many servers that takes the budget of all other
// changes.
TEST_CASE("the lines on one update of the servers are bounded and summed up") {
  constexpr std::size_t kServers = 150;
  LoggedDeployment entry;
  for (std::size_t i = 0; i < kServers; ++i)
    entry.store.Put("servers", "m-" + std::to_string(i),
                    entry.server_one.Row("ready"));
  std::size_t listed = 0;
  std::size_t left_out = 0;
  const auto count = [&] {
    const std::vector<LogRecord> records = entry.Records();
    listed = CountRecords(records)["server listed ready"];
    left_out = 0;
    for (const LogRecord& record : records) {
      if (record.event == "rows-applied")
        left_out += std::stoul(record.fields.at("lines_left_out"));
    }
    return listed + left_out;
  };
  CHECK(entry.WaitUntil([&] { return count() == kServers + 1; }));
  // The first row of the change is an update of its own.
  CHECK(listed <= 1 + 1 + 64);
  CHECK(left_out > 0);
}

}  // namespace cicadadrum::platform
