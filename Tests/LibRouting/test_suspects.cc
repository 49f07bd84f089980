// Tests of the evidence about requests that crash servers, at one entry VM.

#include <doctest/doctest.h>

#include <set>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

std::vector<ServerEntry> MakeServers(std::size_t count) {
  std::vector<ServerEntry> servers;
  for (std::size_t i = 0; i < count; ++i)
    servers.push_back(MakeServer("s" + std::to_string(i)));
  return servers;
}

// Sends equal writes, one after the other, each of which is lost.
void LoseWrites(RoutingFixture& fixture,
                std::uint64_t object,
                std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    fixture.Arrive("write", object);
    fixture.now += Milliseconds(10);
    fixture.End(ServerOutcome::kLost);
    fixture.now += Seconds(5);
  }
}

SuspectRecord MakeRecord(std::uint64_t fingerprint,
                         std::uint64_t version,
                         std::uint32_t losses) {
  return {.slot = static_cast<std::uint32_t>(fingerprint % kSuspectSlots),
          .version = version,
          .fingerprint = fingerprint,
          .losses = losses,
          .servers = std::vector<std::uint64_t>(losses, 1)};
}

}  // namespace

// Guards against a request that crashes one server after another.
TEST_CASE("equal requests that have crashed servers are blocked") {
  RoutingFixture fixture(MakeServers(6));
  LoseWrites(fixture, 9, 3);
  REQUIRE(fixture.published.size() == 3);
  CHECK(fixture.published.back().record.losses == 3);
  CHECK(fixture.suspicions.back().change == SuspicionChange::kBlocked);
  const std::size_t before = fixture.sent.size();
  fixture.Arrive("write", 9);
  CHECK(fixture.sent.size() == before);
  REQUIRE(!fixture.refused.empty());
  CHECK(fixture.refused.back().reason == RefusalReason::kBlocked);
  CHECK(fixture.refused.back().verdict == Verdict::kNotRun);
  CHECK(fixture.refused.back().retry_after > Duration::zero());
  fixture.Arrive("write", 10);
  CHECK(fixture.sent.size() == before + 1);
}

// Guards against losses that are not counted because connections are reused,
// which the loss of an idle connection resembles.
TEST_CASE(
    "a loss on a reused connection is evidence, to be confirmed on new "
    "connections") {
  RoutingFixture fixture(MakeServers(6));
  fixture.Arrive("read", 1);
  CHECK(!fixture.sent.back().fresh_connection);
  fixture.End(ServerOutcome::kLostUnused);
  REQUIRE(fixture.sent.size() == 2);
  CHECK(fixture.sent.back().fresh_connection);
  fixture.now += Milliseconds(10);
  fixture.End(ServerOutcome::kLost);
  fixture.now += Seconds(1);
  fixture.Arrive("read", 1);
  CHECK(fixture.sent.back().fresh_connection);
  fixture.now += Milliseconds(10);
  fixture.End(ServerOutcome::kLost);
  CHECK(fixture.suspicions.back().change == SuspicionChange::kBlocked);
}

// Guards against blocking writes because servers close idle connections.
TEST_CASE("lost idle connections alone never block a request") {
  RoutingFixture fixture(MakeServers(6));
  for (int i = 0; i < 20; ++i) {
    fixture.Arrive("write", 1);
    const bool fresh = fixture.sent.back().fresh_connection;
    fixture.now += Milliseconds(2);
    fixture.End(fresh ? ServerOutcome::kSucceeded : ServerOutcome::kLostUnused);
    fixture.now += Seconds(6);
  }
  for (const ReportSuspicion& suspicion : fixture.suspicions)
    CHECK(suspicion.change != SuspicionChange::kBlocked);
  CHECK(fixture.published.size() <= 20);
}

// Guards against counting each of several attempts that one crash ends.
TEST_CASE("attempts that are lost at the same time are one loss") {
  RoutingFixture fixture(MakeServers(8));
  for (int i = 0; i < 20; ++i)
    fixture.Arrive("write", 1);
  std::set<std::string> lost;
  for (const SendAttempt& attempt : std::vector(fixture.sent)) {
    lost.insert(attempt.server);
    fixture.now += Milliseconds(1);
    fixture.EndAttempt(attempt, {.outcome = ServerOutcome::kLost});
  }
  CHECK(lost.size() > 1);
  REQUIRE(fixture.state.suspicions.suspects.contains(1));
  CHECK(fixture.state.suspicions.suspects.at(1).losses == 1);
}

// Guards against counting a server twice that loses one request after another.
TEST_CASE("losses at the same server are one loss") {
  RoutingFixture fixture(MakeServers(1));
  LoseWrites(fixture, 1, 5);
  CHECK(fixture.state.suspicions.suspects.at(1).losses == 1);
}

// Guards against blocking a request because servers spoil responses.
TEST_CASE("malformed responses are no evidence of crashes") {
  RoutingFixture fixture(MakeServers(6));
  for (int i = 0; i < 6; ++i) {
    fixture.Arrive("write", 1);
    fixture.now += Milliseconds(10);
    fixture.End(ServerOutcome::kMalformed);
    fixture.now += Seconds(5);
  }
  CHECK(fixture.refused.back().verdict == Verdict::kMayHaveRun);
  CHECK(fixture.suspicions.empty());
  CHECK(fixture.sent.size() == 6);
}

TEST_CASE("a complete response clears a suspect at all entry VMs") {
  for (const ServerOutcome outcome :
       {ServerOutcome::kSucceeded, ServerOutcome::kFailed}) {
    CAPTURE(NameOf(outcome));
    RoutingFixture fixture(MakeServers(6));
    LoseWrites(fixture, 1, 2);
    fixture.Arrive("write", 1);
    fixture.End(outcome);
    CHECK(fixture.suspicions.back().change == SuspicionChange::kCleared);
    CHECK(fixture.published.back().record.losses == 0);
    CHECK(fixture.published.back().record.version >
          fixture.published[1].record.version);
    CHECK(fixture.state.suspicions.suspects.empty());
    fixture.now += Seconds(5);
    LoseWrites(fixture, 1, 2);
    CHECK(fixture.suspicions.back().change == SuspicionChange::kSuspected);
  }
}

// Guards against a harmless request that stays blocked.
TEST_CASE("a blocked request is tried again alone, and less and less often") {
  RoutingFixture fixture(MakeServers(12));
  LoseWrites(fixture, 1, 3);
  Duration last_block = fixture.suspicions.back().block_time;
  for (int i = 0; i < 4; ++i) {
    fixture.now += last_block;
    const std::size_t before = fixture.sent.size();
    fixture.Arrive("write", 1);
    fixture.Arrive("write", 1);
    REQUIRE(fixture.sent.size() == before + 1);
    CHECK(fixture.refused.back().reason == RefusalReason::kBlocked);
    fixture.now += Milliseconds(10);
    fixture.End(ServerOutcome::kLost);
    CHECK(fixture.suspicions.back().block_time > last_block);
    last_block = fixture.suspicions.back().block_time;
  }
  fixture.now += last_block;
  fixture.Arrive("write", 1);
  fixture.End(ServerOutcome::kSucceeded);
  const std::size_t before = fixture.sent.size();
  fixture.Arrive("write", 1);
  fixture.Arrive("write", 1);
  CHECK(fixture.sent.size() == before + 2);
}

// Guards against equal requests that crash servers side by side.
TEST_CASE("equal requests wait for the trial of a suspect") {
  RoutingFixture fixture(MakeServers(6));
  LoseWrites(fixture, 1, 1);
  const std::size_t before = fixture.sent.size();
  for (int i = 0; i < 5; ++i)
    fixture.Arrive("read", 1, Milliseconds(500));
  const std::uint64_t leaving = fixture.Arrive("read", 1, Milliseconds(500));
  fixture.Arrive("read", 2);
  REQUIRE(fixture.sent.size() == before + 2);
  fixture.Step(CallerDisconnected{.request = leaving});
  SUBCASE("a success lets all go on") {
    fixture.EndAttempt(fixture.sent[before],
                       {.outcome = ServerOutcome::kSucceeded});
    CHECK(fixture.sent.size() == before + 6);
  }
  SUBCASE("a rejection makes the next one the trial") {
    fixture.EndAttempt(fixture.sent[before],
                       {.outcome = ServerOutcome::kRejected});
    CHECK(fixture.sent.size() == before + 3);
  }
  SUBCASE("after a second loss the next trial is delayed") {
    fixture.now += Milliseconds(10);
    fixture.EndAttempt(fixture.sent[before], {.outcome = ServerOutcome::kLost});
    CHECK(fixture.sent.size() == before + 2);
    CHECK(fixture.wake_at > fixture.now);
    CHECK(fixture.wake_at <= fixture.now + Milliseconds(500));
    fixture.now = fixture.wake_at;
    fixture.Step(TimerExpired{});
    REQUIRE(fixture.sent.size() == before + 3);
    fixture.now += Milliseconds(1);
    fixture.End(ServerOutcome::kLost);
    CHECK(fixture.sent.size() == before + 3);
    CHECK(fixture.refused.back().reason == RefusalReason::kBlocked);
    // Only the request with the object 2 is left.
    CHECK(fixture.state.requests.size() == 1);
  }
  SUBCASE("their deadlines hold") {
    fixture.now += Milliseconds(500);
    fixture.Step(TimerExpired{});
    CHECK(fixture.refused.size() >= 5);
    CHECK(fixture.refused.back().verdict == Verdict::kNotRun);
    CHECK(fixture.state.requests.size() == 1);
    CHECK(fixture.state.suspicions.waiting.empty());
  }
  SUBCASE("the caller of the trial leaves") {
    fixture.Step(CallerDisconnected{.request = fixture.sent[before].request});
    CHECK(fixture.sent.size() == before + 3);
  }
}

// Guards against requests that wait for as long as a slow trial lasts.
TEST_CASE("a long trial does not hold back equal requests") {
  RoutingFixture fixture(MakeServers(6));
  LoseWrites(fixture, 1, 1);
  const std::size_t before = fixture.sent.size();
  fixture.Arrive("write", 1);
  fixture.Arrive("write", 1);
  CHECK(fixture.sent.size() == before + 1);
  REQUIRE(fixture.wake_at <= fixture.now + Seconds(1));
  fixture.now = fixture.wake_at;
  fixture.Step(TimerExpired{});
  CHECK(fixture.sent.size() == before + 2);
}

// Guards against a harmless suspect that is lost with a guilty one again.
TEST_CASE("suspects are tried at different servers") {
  RoutingFixture fixture(MakeServers(6));
  std::vector<SendAttempt> attempts;
  for (std::uint64_t object = 1; object <= 4; ++object) {
    fixture.Arrive("read", object);
    attempts.push_back(fixture.sent.back());
  }
  fixture.now += Milliseconds(10);
  for (const SendAttempt& attempt : attempts)
    fixture.EndAttempt(attempt, {.outcome = ServerOutcome::kLost});
  std::set<std::string> servers;
  for (std::size_t i = 4; i < fixture.sent.size(); ++i)
    servers.insert(fixture.sent[i].server);
  CHECK(fixture.sent.size() == 8);
  CHECK(servers.size() == 4);
}

// Guards against memory that grows with the number of different requests.
TEST_CASE("a stream of suspects holds a bounded amount of memory") {
  RoutingFixture fixture(MakeServers(6));
  LoseWrites(fixture, 1'000'000, 3);
  for (std::uint64_t object = 1; object <= 3 * kMaxSuspects; ++object) {
    fixture.Arrive("write", object);
    fixture.now += Milliseconds(1);
    if (!fixture.sent.empty() &&
        fixture.sent.back().request + 1 == fixture.next_request)
      fixture.End(ServerOutcome::kLost);
    fixture.now += Milliseconds(50);
  }
  CHECK(fixture.state.suspicions.suspects.size() <= kMaxSuspects);
  CHECK(fixture.state.suspicions.waiting.empty());
  // The request with the most evidence is not displaced.
  CHECK(fixture.state.suspicions.suspects.contains(1'000'000));
  std::size_t published = 0;
  for (const PublishSuspect& publish : fixture.published)
    published += publish.record.losses == 1 ? 1 : 0;
  // 1,536 losses in 78 s, of which 4 a second may be published.
  CHECK(published <= 4 * 80);
}

TEST_CASE("records of other entry VMs are adopted if they are newer") {
  RoutingFixture fixture(MakeServers(6));
  fixture.Step(SuspectRecordReceived{MakeRecord(9, 515, 3)});
  fixture.Arrive("write", 9);
  REQUIRE(fixture.refused.size() == 1);
  CHECK(fixture.refused[0].reason == RefusalReason::kBlocked);
  // Out of date.
  fixture.Step(SuspectRecordReceived{MakeRecord(9, 512, 0)});
  fixture.Arrive("write", 9);
  CHECK(fixture.refused.size() == 2);
  fixture.Step(SuspectRecordReceived{MakeRecord(9, 768, 0)});
  fixture.Arrive("write", 9);
  CHECK(fixture.sent.size() == 1);
  // A record for a slot that isn't its own.
  SuspectRecord foreign = MakeRecord(10, 1000, 3);
  ++foreign.slot;
  fixture.Step(SuspectRecordReceived{foreign});
  fixture.Arrive("write", 10);
  CHECK(fixture.sent.size() == 2);
}

// Guards against two entry VMs that count the same losses twice, or lose some
// because both published at the same time.
TEST_CASE("evidence of two entry VMs adds up along one chain of losses") {
  RoutingFixture one(MakeServers(6));
  RoutingFixture two(MakeServers(6));
  one.Arrive("write", 9);
  two.Arrive("write", 9);
  const SendAttempt concurrent = two.sent.back();
  one.now += Milliseconds(10);
  one.End(ServerOutcome::kLost);
  two.now = one.now + Milliseconds(100);
  two.Step(SuspectRecordReceived{one.published.back().record});
  // This attempt was sent before the first loss was known there.
  two.now += Milliseconds(10);
  two.EndAttempt(concurrent, {.outcome = ServerOutcome::kLost});
  CHECK(two.state.suspicions.suspects.at(9).losses == 1);
  two.now += Milliseconds(10);
  two.Arrive("write", 9);
  two.now += Milliseconds(10);
  two.End(ServerOutcome::kLost);
  CHECK(two.published.back().record.losses == 2);
  one.now = two.now;
  one.Step(SuspectRecordReceived{two.published.back().record});
  one.now += Milliseconds(10);
  one.Arrive("write", 9);
  one.now += Milliseconds(10);
  one.End(ServerOutcome::kLost);
  CHECK(one.suspicions.back().losses >= 2);
}

TEST_CASE("the operator clears a blocked fingerprint") {
  RoutingFixture fixture(MakeServers(6));
  LoseWrites(fixture, 9, 3);
  fixture.Step(SuspectCleared{.fingerprint = 9});
  CHECK(fixture.published.back().record.losses == 0);
  const std::size_t before = fixture.sent.size();
  fixture.Arrive("write", 9);
  CHECK(fixture.sent.size() == before + 1);
}

}  // namespace cicadadrum::routing
