// Tests of requests with keys of client accounts.

#include <doctest/doctest.h>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kRevocationTime = Seconds(4);
constexpr Duration kTrustedTime = Milliseconds(3600);

Route PublicRoute() {
  Route route = MakeRoute("open", RouteKind::kSafe, "desk");
  route.is_public = true;
  return route;
}

Route SafeRoute() {
  Route route = MakeRoute("read", RouteKind::kSafe, "desk");
  route.timeout = Seconds(20);
  route.priority = 5;
  return route;
}

// An entry VM that has just read a configuration with two accounts.
struct AccountsFixture : RoutingFixture {
  RoutingConfiguration configuration{
      .version = 2,
      .routes = {SafeRoute(), PublicRoute()},
      .has_client_accounts = true,
      .client_accounts = {{.name = "one", .keys = {"k1", "k2"}, .priority = 1},
                          {.name = "two", .keys = {"k3"}}}};

  AccountsFixture()
      : RoutingFixture({MakeServer("s1"), MakeServer("s22", "south-a")}) {
    state.options.bounds.revokes_everywhere = true;
    state.options.bounds.revocation_time = kRevocationTime;
    Adopt();
    Confirm({});
  }

  // Puts `configuration` in force under the next version.
  void Adopt() {
    ++configuration.version;
    Step(ConfigurationAdopted{configuration});
  }

  void Confirm(Duration query_age) {
    Step(ConfigurationConfirmed{.query_age = query_age});
  }

  void Send(const std::string& key, const std::string& route = "read") {
    Step(RequestArrived{.request = next_request++,
                        .host = "host",
                        .path = "/" + route + "/x",
                        .remaining = Seconds(20),
                        .fingerprint = next_request,
                        .key = key});
  }

  // Sends a request and returns why it was refused, or kNone if it was not.
  RefusalReason Try(const std::string& key, const std::string& route = "read") {
    const std::size_t refusals = refused.size();
    Send(key, route);
    if (refused.size() > refusals)
      return refused.back().reason;
    End(ServerOutcome::kSucceeded);
    return RefusalReason::kNone;
  }
};

}  // namespace

// Guards against requests that run without a valid key.
TEST_CASE("a request runs with a known key or on a public route") {
  AccountsFixture fixture;
  CHECK(fixture.Try("k2") == RefusalReason::kNone);
  CHECK(fixture.sent.back().account == "one");
  CHECK(fixture.sent.back().hides_credentials);
  CHECK(fixture.Try("k4") == RefusalReason::kUnknownKey);
  CHECK(fixture.Try("") == RefusalReason::kUnknownKey);
  CHECK(fixture.refused.back().verdict == Verdict::kNotRun);
  CHECK(fixture.Try("k3", "open") == RefusalReason::kNone);
  CHECK(fixture.sent.back().account == "two");
  CHECK(fixture.Try("k4", "open") == RefusalReason::kNone);
  CHECK(fixture.sent.back().account.empty());
  CHECK(fixture.sent.back().hides_credentials);
  CHECK(fixture.Try("k1", "none") == RefusalReason::kNoRoute);
}

// Guards against requests that are refused where operators have set no
// accounts, and against an empty list that is taken for none.
TEST_CASE("keys matter only if the configuration has a list of accounts") {
  AccountsFixture fixture;
  fixture.configuration.client_accounts.clear();
  fixture.Adopt();
  CHECK(fixture.Try("k1") == RefusalReason::kUnknownKey);
  fixture.configuration.has_client_accounts = false;
  fixture.Adopt();
  fixture.state.keys_confirmed_at.reset();
  fixture.state.configuration_confirmed_at.reset();
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
  CHECK(!fixture.sent.back().hides_credentials);
  CHECK(fixture.Try("k1", "none") == RefusalReason::kNoRoute);
}

// Guards against a key that is served longer than the bound on revocations.
TEST_CASE("keys are served for 0.9 of the bound after their confirmation") {
  AccountsFixture fixture;
  fixture.now += kTrustedTime - Milliseconds(1);
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
  fixture.now += Milliseconds(1);
  CHECK(fixture.Try("k1") == RefusalReason::kConfigurationOutdated);
  CHECK(fixture.refused.back().verdict == Verdict::kNotRun);
  CHECK(fixture.refused.back().retry_after > Duration::zero());
  CHECK(fixture.Try("k1", "open") == RefusalReason::kConfigurationOutdated);
  CHECK(fixture.Try("", "open") == RefusalReason::kNone);
  fixture.Confirm(kTrustedTime);
  CHECK(fixture.Try("k1") == RefusalReason::kConfigurationOutdated);
  fixture.Confirm(Seconds(3));
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
  // An older confirmation that arrives late takes nothing back.
  fixture.Confirm(kTrustedTime);
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
  fixture.Step(SuspensionEnded{Seconds(1)});
  CHECK(fixture.Try("k1") == RefusalReason::kConfigurationOutdated);
}

// Guards against a restarted entry VM that serves keys of a configuration which
// it has from a peer, or confirmed by a relay of an earlier release.
TEST_CASE("no key is served before a confirmation of known age") {
  AccountsFixture fixture;
  fixture.state.keys_confirmed_at.reset();
  CHECK(fixture.Try("k1") == RefusalReason::kConfigurationOutdated);
  fixture.Step(ConfigurationConfirmed{});
  CHECK(fixture.Try("k1") == RefusalReason::kConfigurationOutdated);
  fixture.Step(
      ConfigurationConfirmed{.query_age = Seconds(0), .is_disputed = true});
  CHECK(fixture.Try("k1") == RefusalReason::kConfigurationOutdated);
  fixture.state.options.bounds.revokes_everywhere = false;
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
}

// Guards against a 401 or 404 for what a newer configuration contains.
TEST_CASE("a key and a route are unknown only while nothing newer can exist") {
  AccountsFixture fixture;
  const auto check = [&](RefusalReason key, RefusalReason route) {
    CHECK(fixture.Try("k4") == key);
    CHECK(fixture.Try("k1", "none") == route);
  };
  constexpr RefusalReason kOutdated = RefusalReason::kConfigurationOutdated;
  fixture.Step(ConfigurationConfirmed{.is_disputed = true});
  check(kOutdated, kOutdated);
  fixture.Confirm({});
  check(RefusalReason::kUnknownKey, RefusalReason::kNoRoute);
  fixture.now += MakeOptions().bounds.configuration_time + Milliseconds(1);
  check(kOutdated, kOutdated);
}

// Guards against a 401 for a key of an account that a later release can read.
TEST_CASE("an account that can't be read costs unknown keys only") {
  AccountsFixture fixture;
  fixture.configuration.has_unreadable_accounts = true;
  fixture.Adopt();
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
  CHECK(fixture.Try("k4") == RefusalReason::kUnreadableAccount);
  CHECK(fixture.Try("") == RefusalReason::kUnknownKey);
  CHECK(fixture.Try("k4", "open") == RefusalReason::kNone);
}

// Guards against sending a request again after its key was revoked.
TEST_CASE("a key that is gone before the next attempt ends the retries") {
  struct Case {
    ServerOutcome outcome;
    Verdict verdict;
  };
  for (const Case& ended : {Case{ServerOutcome::kRejected, Verdict::kNotRun},
                            Case{ServerOutcome::kLost, Verdict::kMayHaveRun},
                            Case{ServerOutcome::kCold, Verdict::kNotRun}}) {
    CAPTURE(NameOf(ended.outcome));
    AccountsFixture fixture;
    fixture.Send("k3");
    fixture.configuration.client_accounts.pop_back();
    fixture.Adopt();
    fixture.End(ended.outcome);
    CHECK(fixture.sent.size() == 1);
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused[0].reason == RefusalReason::kUnknownKey);
    CHECK(fixture.refused[0].verdict == ended.verdict);
  }
}

// Guards against retries at an entry VM that can't know of a revocation.
TEST_CASE("a request is not sent again once keys are uncertain") {
  AccountsFixture fixture;
  fixture.Send("k1");
  fixture.now += kTrustedTime;
  fixture.End(ServerOutcome::kRejected);
  CHECK(fixture.sent.size() == 1);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kConfigurationOutdated);
}

// Guards against a retry in the name of the account that had the key before.
TEST_CASE("a key that moves takes its requests to the other account") {
  AccountsFixture fixture;
  fixture.Send("k1");
  CHECK(fixture.state.requests.begin()->second.priority == 1);
  fixture.configuration.client_accounts[0].keys = {"k2"};
  fixture.configuration.client_accounts[1].keys = {"k3", "k1"};
  fixture.Adopt();
  fixture.End(ServerOutcome::kRejected);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].account == "two");
  CHECK(fixture.state.requests.begin()->second.priority == 5);
}

// Guards against servers in regions that the account or the route excludes.
TEST_CASE("home regions of account and route bind together") {
  AccountsFixture fixture;
  auto& account_homes = fixture.configuration.client_accounts[0].home_regions;
  auto& route_homes = fixture.configuration.routes[0].home_regions;
  account_homes = {"south"};
  fixture.Adopt();
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
  CHECK(fixture.sent.back().server == "s22");
  CHECK(fixture.Try("k3") == RefusalReason::kNone);
  route_homes = {"north", "south"};
  account_homes = {"north", "west"};
  fixture.Adopt();
  CHECK(fixture.Try("k1") == RefusalReason::kNone);
  CHECK(fixture.sent.back().server == "s1");
  account_homes = {"west"};
  fixture.Adopt();
  CHECK(fixture.Try("k1") == RefusalReason::kNoServer);
  // The homes change while a request is in progress.
  fixture.Send("k3");
  fixture.configuration.client_accounts[1].home_regions = {"west"};
  fixture.Adopt();
  fixture.End(ServerOutcome::kRejected);
  CHECK(fixture.state.requests.empty());
}

}  // namespace cicadadrum::routing
