// Tests of requests that wait for the tokens of their accounts' quotas.

#include <doctest/doctest.h>

#include <string>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

const std::string kOther = "entry-2";

// An entry VM beside another one that owns the quota of the account, and
// answers when the test says so.
struct QuotaFixture : RoutingFixture {
  explicit QuotaFixture(double requests_per_second = 5)
      : RoutingFixture({MakeServer("a"), MakeServer("b")}) {
    Step(Members({"entry-1", kOther}));
    RoutingConfiguration configuration = state.table.configuration;
    configuration.version = 2;
    configuration.has_client_accounts = true;
    configuration.client_accounts = {
        {.name = AccountOwnedBy(kOther),
         .keys = {"key"},
         .requests_per_second = requests_per_second,
         .burst = requests_per_second}};
    Step(ConfigurationAdopted{configuration});
    Collect();
    messages.clear();
  }

  // Returns a name of an account whose only cell the member owns.
  std::string AccountOwnedBy(const std::string& member) {
    for (int i = 0;; ++i) {
      quota::QuotaState trial = state.quota;
      quota::QuotaOutput output;
      std::string name = "account-" + std::to_string(i);
      quota::UpdateLimits(trial, {{name, 5, 5}}, now, output);
      const quota::Cell& cell = trial.cells.begin()->second;
      if (quota::MemberName(trial, cell.order.front()) == member)
        return name;
    }
  }

  void Collect() {
    messages.insert(messages.end(), quota_messages.begin(),
                    quota_messages.end());
    quota_messages.clear();
  }

  std::uint64_t ArriveWithKey() {
    const std::uint64_t id = next_request++;
    Step(RequestArrived{.request = id,
                        .host = "host:80",
                        .path = "/read/x",
                        .object = id,
                        .remaining = Seconds(3),
                        .fingerprint = id,
                        .key = "key"});
    Collect();
    return id;
  }

  // Answers the last request for tokens.
  void Answer(std::uint16_t tokens, std::uint16_t retry_after_ms = 0) {
    const quota::QuotaItem request = messages.back().message.items.back();
    Step(QuotaMessageReceived{{.sender = quota::NameTag(kOther),
                               .items = {{.cell = request.cell,
                                          .kind = quota::ItemKind::kGrant,
                                          .sequence = request.sequence,
                                          .tokens = tokens,
                                          .retry_after_ms = retry_after_ms}}}});
    Collect();
  }

  std::vector<SendQuotaMessage> messages;
};

}  // namespace

// Guards against attempts without a token, and against requests that stay after
// their token has arrived.
TEST_CASE("a request waits for its token and is then sent") {
  QuotaFixture fixture;
  fixture.ArriveWithKey();
  CHECK(fixture.sent.empty());
  REQUIRE(fixture.messages.size() == 1);
  CHECK(fixture.messages.back().receiver == kOther);
  fixture.now += Milliseconds(20);
  fixture.Answer(1);
  CHECK(fixture.sent.size() == 1);
  CHECK(fixture.refused.empty());
}

// Guards against holding requests that the quota does not allow.
TEST_CASE(
    "a request over the quota is refused at once, with a time to return") {
  QuotaFixture fixture;
  fixture.ArriveWithKey();
  fixture.Answer(0, 400);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused.back().reason == RefusalReason::kQuotaExceeded);
  CHECK(fixture.refused.back().retry_after >= Milliseconds(400));
  CHECK(fixture.sent.empty());
  // The owner has just said that it has no tokens.
  fixture.ArriveWithKey();
  CHECK(fixture.refused.size() == 2);
}

// Guards against requests that wait for a silent owner until their deadline.
TEST_CASE("a request without an answer is refused after a part of its time") {
  QuotaFixture fixture;
  fixture.ArriveWithKey();
  for (int i = 0; i < 10 && fixture.refused.empty(); ++i) {
    fixture.now = std::max(fixture.now, fixture.wake_at);
    fixture.Step(TimerExpired{});
  }
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused.back().reason == RefusalReason::kQuotaExceeded);
  CHECK(fixture.now <= kStart + Milliseconds(100));
}

// Guards against retries beyond the quota, and against status 429 for a request
// that may have run.
TEST_CASE("a retry takes a token of its own") {
  QuotaFixture fixture;
  fixture.ArriveWithKey();
  fixture.Answer(1);
  fixture.End(ServerOutcome::kLost);
  fixture.Collect();
  CHECK(fixture.sent.size() == 1);
  fixture.Answer(0, 400);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused.back().reason == RefusalReason::kFailed);
  CHECK(fixture.refused.back().verdict == Verdict::kMayHaveRun);
}

// Guards against tokens that are lost with requests refused for other reasons.
TEST_CASE("a request that is refused elsewhere returns its token") {
  QuotaFixture fixture;
  fixture.ArriveWithKey();
  fixture.Step(ServersChanged{.removed = {"a", "b"}});
  fixture.Answer(1);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused.back().reason == RefusalReason::kNoServer);
  fixture.Step(ServersChanged{.updated = {MakeServer("c")}});
  const std::size_t asked = fixture.messages.size();
  fixture.ArriveWithKey();
  CHECK(fixture.sent.size() == 1);
  CHECK(fixture.messages.size() == asked);
}

// Guards against tokens of before a suspension: the clock has not advanced.
TEST_CASE("tokens are not used after a suspension") {
  QuotaFixture fixture;
  fixture.ArriveWithKey();
  fixture.Answer(2);
  CHECK(fixture.sent.size() == 1);
  fixture.Step(SuspensionEnded{.duration = Seconds(1)});
  fixture.Collect();
  fixture.ArriveWithKey();
  CHECK(fixture.sent.size() == 1);
}

// Guards against changes for deployments without limits.
TEST_CASE("requests of accounts without a limit need no token") {
  QuotaFixture fixture(0);
  fixture.ArriveWithKey();
  CHECK(fixture.sent.size() == 1);
  CHECK(fixture.messages.empty());
}

}  // namespace cicadadrum::routing
