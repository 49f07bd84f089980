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

}  // namespace cicadadrum::platform
