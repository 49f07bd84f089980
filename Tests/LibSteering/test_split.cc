// Tests of the shift cap at an entry VM whose region loses its servers.

#include <doctest/doctest.h>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

namespace {

constexpr std::uint32_t kCapPercent = 10;
constexpr Duration kWindow = Seconds(30);
constexpr int kRequestsPerSecond = 100;

struct SplitFixture {
  EntryState state;
  TimePoint now{Seconds(1)};
  std::uint64_t next_request = 1;

  SplitFixture() {
    const EntryVm self{.name = "entry-1", .region = "cusco"};
    const EntryVm other{.name = "entry-2", .region = "junin"};
    const Deployment deployment{
        .regions = {{"cusco", {"cusco-a"}}, {"junin", {"junin-a"}}},
        .services = {{"status-board", {RequestClass::kUrgent}}},
        .entries = {self, other},
        .shift_cap_percent = kCapPercent,
        .shift_window = kWindow};
    state = MakeEntryState(deployment, self, {1, 2}, 1);
    Run(ConfigurationAdopted{{.version = 1,
                              .client_accounts = {{"roads", "gold"}},
                              .plans = {{.name = "gold",
                                         .services = {"status-board"},
                                         .classes = {RequestClass::kUrgent},
                                         .regions = {"cusco", "junin"}}}}});
    Run(MembersChanged{{self, other}});
    SetServers({"cusco", "junin"});
  }

  Actions Run(const Event& event) {
    Actions actions;
    Step(state, event, now, actions);
    return actions;
  }

  void SetServers(const std::vector<std::string>& regions) {
    ServersChanged changed;
    for (const std::string& region : regions) {
      changed.servers.push_back({.name = region + "-1",
                                 .service = "status-board",
                                 .region = region,
                                 .slots = 100});
    }
    Run(changed);
  }

  // Sends the requests of one second. Returns how many were sent to "junin" and
  // how many were refused.
  std::pair<int, int> RunSecond() {
    int moved = 0;
    int refused = 0;
    for (int i = 0; i < kRequestsPerSecond; ++i) {
      now += Seconds(1) / kRequestsPerSecond;
      const std::uint64_t id = next_request++;
      for (const Action& action : Run(RequestArrived{.request = id,
                                  .client_account = "roads",
                                  .service = "status-board",
                                  .request_class = RequestClass::kUrgent,
                                  .deadline = now + Seconds(5)})) {
        const auto* slot_request = std::get_if<SendSlotRequest>(&action);
        moved += slot_request != nullptr && slot_request->pool.region == "junin"
                     ? 1
                     : 0;
        const auto* answer = std::get_if<AnswerCaller>(&action);
        refused +=
            answer != nullptr && answer->verdict == Verdict::kNotRun ? 1 : 0;
      }
      Run(BackendResponded{id, 1, AttemptOutcome::kAnswered, {}});
      Run(CallerDisconnected{id});
    }
    return {moved, refused};
  }
};

}  // namespace

// Guards against a sudden shift of all traffic to another region when the
// servers of the region of the entry VM are lost (I1), and against refusals
// that are not reported as "not run".
TEST_CASE("traffic leaves a lost region no faster than the cap") {
  SplitFixture fixture;
  for (int second = 0; second < 60; ++second)
    CHECK(fixture.RunSecond().first == 0);
  fixture.SetServers({"junin"});
  std::vector<int> moved;
  int refused = 0;
  for (int second = 0; second < 150; ++second) {
    const auto [to_junin, not_run] = fixture.RunSecond();
    moved.push_back(to_junin);
    refused += not_run;
  }
  // The test covers 5 windows of 10% each. The share of a single second differs
  // from the split randomly, so the test compares means over 10 s.
  const auto mean = [&](std::size_t from) {
    int sum = 0;
    for (std::size_t i = from; i < from + 10; ++i)
      sum += moved[i];
    return static_cast<double>(sum) / (10 * kRequestsPerSecond);
  };
  constexpr double kSamplingTolerance = 0.05;
  for (std::size_t from = 0; from + 40 <= moved.size(); ++from)
    CHECK(mean(from + 30) - mean(from) <=
          kCapPercent / 100.0 + kSamplingTolerance);
  CHECK(mean(0) <= kCapPercent / 100.0);
  CHECK(mean(140) > 0.2);
  CHECK(refused > 0);
}

}  // namespace cicadadrum
