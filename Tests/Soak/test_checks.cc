// Tests that the checks of the soak test find the faults that they are for, and
// accept what entry VMs may do.

#include <doctest/doctest.h>

#include "checks.h"
#include "configurations.h"

namespace cicadadrum::platform {

namespace {

// Time from one version of the configuration to the next.
constexpr Duration kVersionInterval = Seconds(10);
// Time by which a version has to be in force.
constexpr Duration kInForceAfter = kConfigurationBound + kMachineAllowance;

TimePoint AcknowledgedAt(std::uint64_t version) {
  return TimePoint() + kVersionInterval * static_cast<std::int64_t>(version);
}

std::string HomeRegion(std::uint64_t version, const std::string& prefix) {
  for (const ConfiguredRoute& route : RoutesOfVersion(version)) {
    if (route.host == "host" && route.prefix == prefix)
      return route.home_regions.at(0);
  }
  return "";
}

// Four versions and the requests of one process of an entry VM.
struct Run {
  SoakRecords records;

  Run() {
    for (std::uint64_t version = 1; version <= 4; ++version)
      records.configurations.push_back(
          {version, AcknowledgedAt(version), RoutesOfVersion(version)});
  }

  RequestRecord& Send(const std::string& path,
                      TimePoint sent_at,
                      bool is_in_touch = true) {
    const std::string id = "id-" + std::to_string(records.requests.size());
    return records.requests[id] = {.id = id,
                                   .host = "host",
                                   .path = path,
                                   .entry = "entry-1",
                                   .process = 1,
                                   .is_in_touch = is_in_touch,
                                   .sent_at = sent_at};
  }

  void Arrive(const RequestRecord& request,
              const std::string& region,
              Duration after_sending = Milliseconds(1)) {
    records.arrivals.push_back({.at = request.sent_at + after_sending,
                                .request_id = request.id,
                                .host = request.host,
                                .path = request.path,
                                .server = "s-1",
                                .region = region});
  }

  void AnswerNotFound(RequestRecord& request) {
    request.status = 404;
    request.answered_at = request.sent_at + Milliseconds(1);
  }

  // Lets a server see the effect of the version, which drops the temporary
  // route of the version before the previous one.
  void ShowVersion(std::uint64_t version, TimePoint at) {
    const std::string number = std::to_string(version);
    Arrive(Send("/temporary/" + number + "/1", at, false), "north");
  }
};

constexpr TimePoint kRunBegin = TimePoint() + Seconds(100);
// Time from the sending of a request to the arrival of its response.
constexpr Duration kResponseTime = Milliseconds(20);

// Requests from entry VMs to server s-1 and what the server announces. Requests
// arrive when they are sent.
struct AnnouncementRun {
  SoakRecords records;

  // Returns the id of the request.
  std::string Arrive(const std::string& entry, TimePoint at) {
    std::string id = "id-" + std::to_string(records.requests.size());
    records.requests[id] = {.id = id,
                            .host = "host",
                            .path = "/read/1",
                            .entry = entry,
                            .process = 1,
                            .sent_at = at,
                            .answered_at = at + kResponseTime};
    records.arrivals.push_back({.at = at, .request_id = id, .server = "s-1"});
    return id;
  }

  std::string AnnounceLeaving(TimePoint at) {
    std::string id = Arrive("entry-1", at);
    records.arrivals.back().said_leaving = true;
    records.requests.at(id).said_leaving = true;
    return id;
  }

  std::string AskForPause(TimePoint at) {
    std::string id = Arrive("entry-1", at);
    records.arrivals.back().asked_for_pause = true;
    return id;
  }

  void Disturb(const std::string& entry, TimePoint at) {
    records.disturbances[entry].push_back(at);
  }
};

}  // namespace

TEST_CASE("each version moves the home of every route") {
  for (const std::string prefix :
       {"/home/", "/home/nested/", "/home-write/", "/home-long/"}) {
    CAPTURE(prefix);
    for (std::uint64_t version = 1; version < 5; ++version)
      CHECK(HomeRegion(version, prefix) != HomeRegion(version + 1, prefix));
  }
  CHECK(HomeRegion(1, "/home/") != HomeRegion(1, "/home/nested/"));
}

// Guards against a check that accepts requests outside the home regions.
TEST_CASE("an arrival in the home of an older version is found") {
  Run run;
  const RequestRecord& request =
      run.Send("/home/1", AcknowledgedAt(3) + kInForceAfter);
  run.Arrive(request, HomeRegion(2, "/home/"));
  const auto violations = FindOutdatedDecisions(run.records);
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rule == Rule::kHome);
  CHECK(violations[0].request_id == request.id);
}

TEST_CASE("the longest prefix and the host determine the home") {
  Run run;
  const TimePoint at = AcknowledgedAt(3) + kInForceAfter;
  run.Arrive(run.Send("/home/nested/1", at), HomeRegion(3, "/home/nested/"));
  CHECK(FindOutdatedDecisions(run.records).empty());
  run.Arrive(run.Send("/home/nested/1", at), HomeRegion(3, "/home/"));
  RequestRecord& other_host = run.Send("/home/1", at);
  other_host.host = "other-host";
  run.Arrive(other_host, HomeRegion(3, "/home/"));
  CHECK(FindOutdatedDecisions(run.records).size() == 2);
}

TEST_CASE("both versions may be in force within the bound") {
  Run run;
  const TimePoint at = AcknowledgedAt(3) + kInForceAfter - Milliseconds(1);
  run.Arrive(run.Send("/home/1", at), HomeRegion(2, "/home/"));
  run.Arrive(run.Send("/home/1", at), HomeRegion(3, "/home/"));
  CHECK(FindOutdatedDecisions(run.records).empty());
  run.Arrive(run.Send("/home/1", at), HomeRegion(1, "/home/"));
  CHECK(FindOutdatedDecisions(run.records).size() == 1);
}

TEST_CASE("a version that is written after the arrival allows nothing") {
  Run run;
  const TimePoint at = AcknowledgedAt(3) - Seconds(1);
  run.Arrive(run.Send("/home/1", at), HomeRegion(3, "/home/"));
  CHECK(FindOutdatedDecisions(run.records).size() == 1);
  run.records.arrivals.clear();
  run.Arrive(run.Send("/home/1", at), HomeRegion(3, "/home/"), Seconds(2));
  CHECK(FindOutdatedDecisions(run.records).empty());
}

TEST_CASE("an entry VM out of touch may use any version of the run") {
  Run run;
  const TimePoint at = AcknowledgedAt(3) + kInForceAfter;
  run.Arrive(run.Send("/home/1", at, false), HomeRegion(1, "/home/"));
  CHECK(FindOutdatedDecisions(run.records).empty());
  // The other regions are homes of versions that have been written, but no
  // server lies in this one.
  run.Arrive(run.Send("/home/1", at, false), "elsewhere");
  CHECK(FindOutdatedDecisions(run.records).size() == 1);
}

// Guards against a check that misses what a paused entry VM decides at once
// when it resumes.
TEST_CASE(
    "an outdated decision of an entry VM out of touch is reported apart") {
  Run run;
  const TimePoint at = AcknowledgedAt(3) + kInForceAfter;
  run.Arrive(run.Send("/home/1", at, false), HomeRegion(3, "/home/"));
  run.Arrive(run.Send("/home/1", at, true), HomeRegion(2, "/home/"));
  run.Arrive(run.Send("/home/1", at, false), "elsewhere");
  RequestRecord& cut_off = run.Send("/home/1", at, false);
  cut_off.is_cut_off = true;
  run.Arrive(cut_off, HomeRegion(2, "/home/"));
  CHECK(FindOutdatedDecisionsOutOfTouch(run.records).empty());
  run.Arrive(run.Send("/home/1", at, false), HomeRegion(2, "/home/"));
  const auto violations = FindOutdatedDecisionsOutOfTouch(run.records);
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rule == Rule::kHome);
}

// Guards against a check that misses routes which are unknown for too long.
TEST_CASE("a 404 for an added route is found after the bound") {
  Run run;
  run.AnswerNotFound(
      run.Send("/temporary/3/1", AcknowledgedAt(3) + kInForceAfter));
  const auto violations = FindOutdatedDecisions(run.records);
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rule == Rule::kConfiguration);
  run.records.requests.clear();
  run.AnswerNotFound(run.Send(
      "/temporary/3/1", AcknowledgedAt(3) + kInForceAfter - Milliseconds(1)));
  CHECK(FindOutdatedDecisions(run.records).empty());
}

TEST_CASE("a 404 for a route that all versions have is found at once") {
  Run run;
  run.AnswerNotFound(run.Send("/read/1", AcknowledgedAt(3), false));
  CHECK(FindOutdatedDecisions(run.records).size() == 1);
}

TEST_CASE("a dropped route that is still served is found after the bound") {
  Run run;
  run.Arrive(run.Send("/temporary/1/1", AcknowledgedAt(3) + kInForceAfter),
             "north");
  const auto violations = FindOutdatedDecisions(run.records);
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rule == Rule::kConfiguration);
  run.records.arrivals.clear();
  run.Arrive(run.Send("/temporary/2/1", AcknowledgedAt(3) + kInForceAfter),
             "north");
  CHECK(FindOutdatedDecisions(run.records).empty());
}

// Guards against retries that use the route of the first attempt.
TEST_CASE("a late attempt by the route at the sending is reported apart") {
  Run run;
  const RequestRecord& request =
      run.Send("/home-long/1", AcknowledgedAt(3) - Milliseconds(100));
  run.Arrive(request, HomeRegion(2, "/home-long/"), Seconds(1));
  CHECK(FindOutdatedRetries(run.records).empty());
  run.Arrive(request, HomeRegion(2, "/home-long/"), Seconds(3));
  CHECK(FindOutdatedDecisions(run.records).empty());
  const auto retries = FindOutdatedRetries(run.records);
  REQUIRE(retries.size() == 1);
  CHECK(retries[0].rule == Rule::kHome);
  run.records.arrivals.back().may_be_held_up = true;
  CHECK(FindOutdatedRetries(run.records).empty());
}

// Guards against a check that misses the return to an older configuration.
TEST_CASE("an older version after a newer one in one process is found") {
  Run run;
  const TimePoint seen_at = AcknowledgedAt(3) + Milliseconds(100);
  run.ShowVersion(3, seen_at);
  const TimePoint bound = seen_at + Milliseconds(1) + kDowngradeBound;
  const std::string old_home = HomeRegion(2, "/home/");
  run.Arrive(run.Send("/home/1", bound - Milliseconds(1), false), old_home);
  CHECK(FindDowngrades(run.records).empty());
  RequestRecord& other_process = run.Send("/home/1", bound, false);
  other_process.process = 2;
  run.Arrive(other_process, old_home);
  CHECK(FindDowngrades(run.records).empty());
  RequestRecord& other_entry = run.Send("/home/1", bound, false);
  other_entry.entry = "entry-2";
  run.Arrive(other_entry, old_home);
  CHECK(FindDowngrades(run.records).empty());
  run.Arrive(run.Send("/home/1", bound, false), old_home);
  run.AnswerNotFound(run.Send("/temporary/3/1", bound, false));
  const auto violations = FindDowngrades(run.records);
  REQUIRE(violations.size() == 2);
  CHECK(violations[0].rule == Rule::kDowngrade);
}

TEST_CASE("a retry of a request that was sent before is no downgrade") {
  Run run;
  const TimePoint seen_at = AcknowledgedAt(3) + Milliseconds(100);
  const RequestRecord request =
      run.Send("/home/1", seen_at - Seconds(1), false);
  run.ShowVersion(3, seen_at);
  run.Arrive(request, HomeRegion(2, "/home/"), Seconds(2));
  CHECK(FindDowngrades(run.records).empty());
}

// Guards against a check that misses requests to servers that leave.
TEST_CASE("a request after the announcement of a leaving is found") {
  AnnouncementRun run;
  run.AnnounceLeaving(kRunBegin);
  run.Arrive("entry-1", kRunBegin + kResponseTime);
  CHECK(FindRequestsAfterLeaving(run.records).empty());
  const std::string late =
      run.Arrive("entry-1", kRunBegin + kResponseTime + Milliseconds(1));
  const auto violations = FindRequestsAfterLeaving(run.records);
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rule == Rule::kLeaving);
  CHECK(violations[0].request_id == late);
}

TEST_CASE("the announcement of a leaving binds one entry VM and one server") {
  AnnouncementRun run;
  run.AnnounceLeaving(kRunBegin);
  run.Arrive("entry-2", kRunBegin + Seconds(1));
  run.Arrive("entry-1", kRunBegin + Seconds(1));
  run.records.arrivals.back().server = "s-2";
  CHECK(FindRequestsAfterLeaving(run.records).empty());
}

TEST_CASE("an announcement that reaches no caller does not count") {
  AnnouncementRun run;
  const std::string id = run.AnnounceLeaving(kRunBegin);
  run.records.requests.at(id).said_leaving = false;
  run.Arrive("entry-1", kRunBegin + Seconds(1));
  CHECK(FindRequestsAfterLeaving(run.records).empty());
}

// Guards against a check that lets a restarted entry VM ignore announcements.
TEST_CASE("a restart excuses requests until the next announcement") {
  AnnouncementRun run;
  run.AnnounceLeaving(kRunBegin);
  run.Disturb("entry-2", kRunBegin + Milliseconds(500));
  run.Arrive("entry-1", kRunBegin + Milliseconds(600));
  CHECK(FindRequestsAfterLeaving(run.records).size() == 1);
  run.Disturb("entry-1", kRunBegin + Milliseconds(550));
  CHECK(FindRequestsAfterLeaving(run.records).empty());
  run.AnnounceLeaving(kRunBegin + Seconds(1));
  run.Arrive("entry-1", kRunBegin + Seconds(2));
  CHECK(FindRequestsAfterLeaving(run.records).size() == 1);
}

// Guards against a check that misses requests beyond a server's limit, or
// counts those of entry VMs that were not told or were disturbed.
TEST_CASE("requests beyond a limit are found") {
  constexpr Duration kInterval = Milliseconds(100);
  const auto run_with = [&](double limit, auto change) {
    AnnouncementRun run;
    for (int i = 0; i < 100; ++i) {
      run.Arrive("entry-1", kRunBegin + kInterval * i);
      run.records.arrivals.back().stated_limit = limit;
    }
    change(run.records);
    return FindBrokenLimits(run.records);
  };
  const auto unchanged = [](SoakRecords& /*records*/) {};
  // 10 requests a second are 40 in a window.
  const auto violations = run_with(5, unchanged);
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rule == Rule::kLimit);
  CHECK(run_with(6, unchanged).empty());
  CHECK(run_with(0, unchanged).empty());
  CHECK(run_with(5, [](SoakRecords& records) {
          records.disturbances["entry-1"] = {kRunBegin + Seconds(5)};
        }).empty());
  CHECK(run_with(5, [](SoakRecords& records) {
          for (auto& [id, request] : records.requests)
            request.answered_at = kNever;
        }).empty());
  CHECK(run_with(5, [](SoakRecords& records) {
          for (ArrivalRecord& arrival : records.arrivals)
            arrival.may_be_held_up = true;
        }).empty());
}

// Guards against a check that misses requests to servers that want a pause.
TEST_CASE("a third request in the rest of a pause is found") {
  AnnouncementRun run;
  const std::string asking = run.AskForPause(kRunBegin);
  for (int i = 0; i < 3; ++i)
    run.Arrive("entry-1", kRunBegin + kPauseGrace);
  run.Arrive("entry-1", kRunBegin + kServerPause);
  for (int i = 0; i < 2; ++i)
    run.Arrive("entry-1", kRunBegin + kPauseGrace + Milliseconds(1));
  CHECK(FindBrokenPauses(run.records).empty());
  run.Arrive("entry-2", kRunBegin + kServerPause - Milliseconds(1));
  run.Arrive("entry-1", kRunBegin + kServerPause - Milliseconds(1));
  run.records.arrivals.back().server = "s-2";
  CHECK(FindBrokenPauses(run.records).empty());
  run.Arrive("entry-1", kRunBegin + kServerPause - Milliseconds(1));
  const auto violations = FindBrokenPauses(run.records);
  REQUIRE(violations.size() == 1);
  CHECK(violations[0].rule == Rule::kPause);
  CHECK(violations[0].request_id == asking);
}

TEST_CASE("a signal or a fault of the link within a pause excuses requests") {
  AnnouncementRun run;
  run.AskForPause(kRunBegin);
  for (int i = 0; i < 3; ++i)
    run.Arrive("entry-1", kRunBegin + Seconds(1));
  run.Disturb("entry-2", kRunBegin + Milliseconds(100));
  run.Disturb("entry-1", kRunBegin - Milliseconds(1));
  run.records.link_changes["s-1"] = {
      {kRunBegin - Seconds(2), ProxyMode::kReset},
      {kRunBegin - Seconds(1), ProxyMode::kPass},
      {kRunBegin + kServerPause + Milliseconds(1), ProxyMode::kReset}};
  run.records.link_changes["s-2"] = {{kRunBegin, ProxyMode::kReset}};
  CHECK(FindBrokenPauses(run.records).size() == 1);
  run.records.link_changes["s-1"].pop_back();
  run.records.link_changes["s-1"].pop_back();
  CHECK(FindBrokenPauses(run.records).empty());
  run.records.link_changes.clear();
  run.Disturb("entry-1", kRunBegin + kServerPause);
  CHECK(FindBrokenPauses(run.records).empty());
}

TEST_CASE("a link is impaired from its fault to its repair") {
  const std::vector<LinkChange> changes = {
      {kRunBegin, ProxyMode::kDelay},
      {kRunBegin + Seconds(1), ProxyMode::kPass}};
  const Duration instant = Milliseconds(1);
  const auto is_impaired_at = [&](TimePoint at) {
    return IsLinkImpaired(changes, at, at);
  };
  CHECK(!IsLinkImpaired({}, kRunBegin, kRunBegin + Seconds(1)));
  CHECK(!is_impaired_at(kRunBegin - instant));
  CHECK(is_impaired_at(kRunBegin));
  CHECK(is_impaired_at(kRunBegin + Milliseconds(500)));
  CHECK(is_impaired_at(kRunBegin + Seconds(1)));
  CHECK(!is_impaired_at(kRunBegin + Seconds(1) + instant));
  CHECK(IsLinkImpaired(changes, kRunBegin - instant, kRunBegin + Seconds(2)));
}

// The third server crashes at second 2; retries count from second 6 on.
TEST_CASE("retries of a crashing request count after its third crash") {
  Run run;
  const std::string path(kCrashingPath);
  const auto send = [&](int second, bool is_in_touch = true) {
    const RequestRecord& request =
        run.Send(path, TimePoint() + Seconds(second), is_in_touch);
    run.Arrive(request, "north");
    run.Arrive(request, "north", Milliseconds(60));
  };
  for (int second = 1; second <= 5; ++second)
    send(second);
  send(7, false);
  for (int second = 8; second <= 10; ++second)
    send(second);
  CHECK(FindLateCrashRetries(run.records).empty());
  send(11);
  REQUIRE(FindLateCrashRetries(run.records).size() == 1);
  CHECK(FindLateCrashRetries(run.records)[0].rule == Rule::kCrash);
}

// Guards against a check that misses a flood by several entry VMs together.
TEST_CASE("requests beyond the rate of a cold server are found") {
  AnnouncementRun run;
  const auto arrive = [&](Duration after, bool is_cold = true) {
    std::string id = run.Arrive(
        "entry-" + std::to_string(run.records.arrivals.size() % 2 + 1),
        kRunBegin + after);
    run.records.arrivals.back().is_at_cold_server = is_cold;
    return id;
  };
  for (std::size_t i = 0; i < kMaxColdArrivals; ++i)
    arrive(Duration::zero());
  arrive(Milliseconds(500), false);
  arrive(kColdWindow);
  run.records.arrivals.back().server = "s-2";
  arrive(kColdWindow);
  CHECK(FindColdFloods(run.records).empty());
  const std::string last = arrive(kColdWindow - Milliseconds(1));
  REQUIRE(FindColdFloods(run.records).size() == 1);
  CHECK(FindColdFloods(run.records)[0].rule == Rule::kCold);
  CHECK(FindColdFloods(run.records)[0].request_id == last);
  run.records.arrivals.back().may_be_held_up = true;
  CHECK(FindColdFloods(run.records).empty());
}

}  // namespace cicadadrum::platform
