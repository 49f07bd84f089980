// Tests of attempts that end because their server is cold, according to the
// check of a new connection.

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kColdLeft = Seconds(3);
constexpr Duration kCheckTime = Milliseconds(7);

struct ColdCheckFixture : RoutingFixture {
  using RoutingFixture::RoutingFixture;

  // An entry VM that has just started has no share of a cold server's rate.
  void TakeColdAllowance() { state.started_at = now; }

  void EndAsCold() {
    now += kCheckTime;
    EndAttempt(sent.back(),
               {.outcome = ServerOutcome::kCold, .cold_left = kColdLeft});
  }
};

}  // namespace

TEST_CASE("attempts that end as cold do not use the retry budget") {
  ColdCheckFixture fixture({MakeServer("s1"), MakeServer("s2")});
  // The budget allows no retry.
  fixture.state.options.bounds.retry_ratio = 0;
  fixture.state.options.bounds.retry_extra = 0;
  constexpr std::uint32_t kRequests = 20;
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    fixture.now += kColdLeft;
    fixture.TakeColdAllowance();
    fixture.Arrive("read", i);
    const std::string cold = fixture.sent.back().server;
    fixture.EndAsCold();
    CHECK(fixture.sent.back().server != cold);
    fixture.now += Milliseconds(50);
    fixture.End(ServerOutcome::kSucceeded);
  }
  CHECK(fixture.delivered.size() == kRequests);
  const ServiceState& service = fixture.state.services.at("desk");
  CHECK(service.retries_in_window == 0);
  // The window of 10 s has at most one attempt for each request.
  CHECK(service.requests_in_window <= 4);
}

// Guards against taking a busy server for an unreachable one: it would receive
// nothing during its back-off, and others would be told.
TEST_CASE("a server that answers a check late is not backed off") {
  for (const std::string route : {"read", "write"}) {
    CAPTURE(route);
    ColdCheckFixture fixture({MakeServer("s1"), MakeServer("s2")});
    fixture.state.options.bounds.retry_ratio = 0;
    fixture.Arrive(route, 1);
    REQUIRE(fixture.sent.size() == 1);
    const std::string busy = fixture.sent[0].server;
    CHECK(fixture.sent[0].cold_check->max_wait == Duration(Seconds(2)) / 3);
    fixture.now += fixture.sent[0].cold_check->max_wait;
    fixture.End(ServerOutcome::kBusy);
    REQUIRE(fixture.sent.size() == 2);
    CHECK(fixture.sent[1].server != busy);
    CHECK(fixture.state.servers.at(busy).backoff_until <= fixture.now);
    CHECK(fixture.state.services.at("desk").retries_in_window == 0);
    fixture.now += fixture.sent[1].cold_check->max_wait;
    fixture.End(ServerOutcome::kBusy);
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused[0].verdict == Verdict::kNotRun);
    CHECK(fixture.refused[0].reason == RefusalReason::kOverloaded);
  }
}

TEST_CASE("a request that can't be repeated is sent elsewhere after a check") {
  ColdCheckFixture fixture({MakeServer("s1"), MakeServer("s2")});
  fixture.TakeColdAllowance();
  fixture.Arrive("write");
  REQUIRE(fixture.sent.size() == 1);
  CHECK(fixture.sent.back().cold_check.has_value());
  fixture.EndAsCold();
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent[1].server != fixture.sent[0].server);
  fixture.End(ServerOutcome::kSucceeded);
  CHECK(fixture.delivered.size() == 1);
  CHECK(fixture.refused.empty());
}

TEST_CASE("a request whose servers are all cold is refused with a time") {
  for (const std::string route : {"read", "write"}) {
    CAPTURE(route);
    ColdCheckFixture fixture(
        {MakeServer("s1"), MakeServer("s2"), MakeServer("s3")});
    fixture.TakeColdAllowance();
    const TimePoint deadline = fixture.now + Seconds(2);
    fixture.Arrive(route);
    for (int i = 0; i < 3 && fixture.refused.empty(); ++i)
      fixture.EndAsCold();
    REQUIRE(fixture.refused.size() == 1);
    CHECK(fixture.refused.back().verdict == Verdict::kNotRun);
    CHECK(fixture.refused.back().retry_after > Duration::zero());
    CHECK(fixture.now + fixture.refused.back().retry_after < deadline);
  }
}

TEST_CASE("a cold server is sent no more than its share until it is warm") {
  ColdCheckFixture fixture({MakeServer("s1")});
  fixture.Arrive("read", 1);
  fixture.EndAsCold();
  // The attempt that was not sent has not used the share: (10 x 1.5 + 5) x
  // 0.75.
  std::size_t served = 0;
  fixture.End(ServerOutcome::kSucceeded);
  ++served;
  for (std::uint64_t i = 2; i <= 40; ++i) {
    if (!fixture.Serve("read", i, Milliseconds(5)).empty())
      ++served;
    CHECK(!fixture.sent.back().cold_check);
  }
  CHECK(served == 15);
  fixture.now += kColdLeft;
  CHECK(fixture.Serve("read", 1, Milliseconds(5)) == "s1");
  CHECK(fixture.sent.back().cold_check);
}

TEST_CASE(
    "a warm server is not held to the cold rate after a lost connection") {
  for (const ServerOutcome loss :
       {ServerOutcome::kLost, ServerOutcome::kLostUnused,
        ServerOutcome::kNotSent}) {
    ColdCheckFixture fixture({MakeServer("s1")});
    fixture.Serve("read", 1, Milliseconds(5));
    fixture.Arrive("write", 1);
    fixture.End(loss);
    // After the back-off of a server that could not be reached.
    fixture.now += Milliseconds(500);
    for (std::uint64_t i = 0; i < 60; ++i) {
      CHECK(fixture.Serve("read", 1, Milliseconds(5)) == "s1");
      CHECK(fixture.sent.back().cold_check);
    }
  }
}

TEST_CASE("a new row of a cold server does not renew its rate") {
  ServerEntry row = MakeServer("s1");
  row.cold_left = kColdLeft;
  ServerEntry restarted = row;
  restarted.row_version = 2;
  restarted.started_unix_ms = 1;
  for (const bool is_removed : {false, true}) {
    CAPTURE(is_removed);
    ColdCheckFixture fixture({row});
    for (std::uint64_t i = 0; i < 60; ++i) {
      if (i == 30 && is_removed)
        fixture.Step(ServersChanged{.removed = {row.id}});
      if (i == 30)
        fixture.Step(ServersChanged{.updated = {is_removed ? row : restarted}});
      fixture.Serve("read", 1, Milliseconds(5));
    }
    // The rate that all entry VMs together may use: 10 x 1.5 + 5.
    CHECK(fixture.sent.size() <= 20);
  }
}

}  // namespace cicadadrum::routing
