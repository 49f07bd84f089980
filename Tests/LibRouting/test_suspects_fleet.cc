// Tests of the evidence about requests that crash servers, over many entry VMs
// in virtual time. The bounds are those of the operators' rules: at most three
// retries of a crashing request once it has crashed three servers; and 95 in
// 100 harmless requests answered while servers are up.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

#include "routing_fixture.h"
#include "suspect_world.h"

namespace cicadadrum::routing {

namespace {

constexpr std::uint64_t kCrashing = 1'000'000;
constexpr std::size_t kAllowedLateRetries = 3;
constexpr double kMinAnswered = 0.95;
// Harmless requests have the fingerprints from 1 on.
constexpr std::uint64_t kHarmless = 12;
// Of the deployments without other figures.
constexpr std::size_t kEntries = 3;
constexpr std::size_t kServers = 6;

double AnsweredShare(SuspectWorld& world, std::uint64_t fingerprint) {
  const FingerprintCounts& counts = world.Of(fingerprint);
  return static_cast<double>(counts.answered) /
         static_cast<double>(std::max<std::size_t>(counts.sent, 1));
}

double LeastAnsweredShare(SuspectWorld& world) {
  double least = 1;
  for (std::uint64_t i = 1; i <= kHarmless; ++i)
    least = std::min(least, AnsweredShare(world, i));
  return least;
}

void SendHarmlessRequests(SuspectWorld& world, Duration length) {
  for (std::uint64_t i = 1; i <= kHarmless; ++i)
    world.SendRepeatedly(i, Milliseconds(40), world.now() + length);
}

// Trouble of servers that begins at `start`.
struct Trouble {
  const char* name;
  void (*begin)(SuspectWorld& world, TimePoint start);
};

void CrashOneAfterTheOther(SuspectWorld& world, TimePoint start) {
  for (std::int64_t i = 0; i < 12; ++i)
    world.At(start + Seconds(3) * i, [&world, i] {
      world.CrashServer(static_cast<std::size_t>(i) % kServers);
    });
}

void LoseFailureDomains(SuspectWorld& world, TimePoint start) {
  world.At(start, [&world] { world.CrashFailureDomain("north-a"); });
  world.At(start + Seconds(15),
           [&world] { world.CrashFailureDomain("north-b"); });
}

void DropIdleConnections(SuspectWorld& world, TimePoint start) {
  for (std::int64_t i = 0; i < 150; ++i)
    world.At(start + Milliseconds(200) * i, [&world, i] {
      world.DropIdleConnections(static_cast<std::size_t>(i) % kServers);
    });
}

void CrashAndDropIdleConnections(SuspectWorld& world, TimePoint start) {
  CrashOneAfterTheOther(world, start);
  DropIdleConnections(world, start);
}

void SendCrashingRequests(SuspectWorld& world, TimePoint start) {
  world.MakeCrashing(kCrashing);
  for (std::int64_t i = 0; i < 8; ++i)
    world.At(start + Seconds(2) * i, [&world, i] {
      world.Send(static_cast<std::size_t>(i) % kEntries, kCrashing);
    });
}

void SendCrashingRequestsAndDropIdle(SuspectWorld& world, TimePoint start) {
  SendCrashingRequests(world, start);
  DropIdleConnections(world, start);
}

constexpr auto kTroubles = std::to_array<Trouble>({
    {"one server after the other crashes", CrashOneAfterTheOther},
    {"failure domains are lost", LoseFailureDomains},
    {"servers drop idle connections", DropIdleConnections},
    {"servers crash and drop idle connections", CrashAndDropIdleConnections},
    {"a request crashes servers", SendCrashingRequests},
    {"a request crashes servers, and servers drop idle connections",
     SendCrashingRequestsAndDropIdle},
});

}  // namespace

// Guards against a crashing request that is never blocked, because entry VMs
// reuse connections and each of them sees few of its arrivals.
TEST_CASE("a crashing request stops, however many entry VMs receive it") {
  for (const std::size_t entries : {2, 10, 76}) {
    for (const std::string route : {"read", "write"}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(entries);
        CAPTURE(route);
        CAPTURE(seed);
        SuspectWorld world(
            {.entries = entries, .servers = 6 + entries, .seed = seed});
        world.MakeCrashing(kCrashing);
        SendHarmlessRequests(world, Seconds(60));
        world.RunUntil(world.now() + Seconds(5));
        world.SendRepeatedly(kCrashing, Milliseconds(500),
                             world.now() + Seconds(55), route);
        world.RunUntil(world.now() + Seconds(60));
        const FingerprintCounts& counts = world.Of(kCrashing);
        CHECK(counts.answered == 0);
        CHECK(counts.late_retries <= kAllowedLateRetries);
        CHECK(counts.blocked > counts.sent * 8 / 10);
        CHECK(LeastAnsweredShare(world) >= kMinAnswered);
        MESSAGE(entries << " entry VMs, " << route << ", seed " << seed << ": "
                        << counts.crashes << " crashes, " << counts.late_retries
                        << " late retries, harmless "
                        << LeastAnsweredShare(world));
      }
    }
  }
}

// Guards against an entry VM that goes on to pass the request on, because it
// missed the evidence while it was cut off, or lost it with its process.
TEST_CASE(
    "a crashing request stops though an entry VM is cut off or restarts") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    SuspectWorld world({.entries = 10, .servers = 16, .seed = seed});
    world.MakeCrashing(kCrashing);
    SendHarmlessRequests(world, Seconds(60));
    const TimePoint start = world.now() + Seconds(5);
    world.At(start, [&] {
      world.CutEntry(3, true);
      world.SendRepeatedly(kCrashing, Milliseconds(300), start + Seconds(55));
    });
    world.At(start + Seconds(10), [&] { world.CutEntry(3, false); });
    for (std::size_t i = 1; i < 10; ++i)
      world.At(start + Seconds(5) * static_cast<std::int64_t>(i),
               [&world, i] { world.RestartEntry(i); });
    world.RunUntil(start + Seconds(60));
    const FingerprintCounts& counts = world.Of(kCrashing);
    CHECK(counts.answered == 0);
    CHECK(counts.late_retries <= kAllowedLateRetries);
    CHECK(counts.blocked > counts.sent * 8 / 10);
  }
}

// Guards against harmless requests that are blocked, because servers crash, are
// restarted or drop connections for reasons of their own.
TEST_CASE("harmless requests are answered beside crashes of servers") {
  for (const Trouble& trouble : kTroubles) {
    CAPTURE(trouble.name);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed);
      SuspectWorld world(
          {.entries = kEntries, .servers = kServers, .seed = seed});
      SendHarmlessRequests(world, Seconds(40));
      const TimePoint start = world.now() + Seconds(2);
      trouble.begin(world, start);
      world.RunUntil(start + Seconds(45));
      CHECK(LeastAnsweredShare(world) >= kMinAnswered);
    }
  }
}

// Guards against counting each of several equal requests that one crash ends.
TEST_CASE("equal requests that were in flight at a crash are not blocked") {
  for (std::size_t equal = 1; equal <= 40; ++equal) {
    CAPTURE(equal);
    SuspectWorld world({.entries = 2, .servers = 4, .seed = equal});
    const TimePoint start = world.now() + Seconds(1);
    world.At(start, [&] {
      for (std::size_t i = 0; i < equal; ++i)
        world.Send(i % 2, 1);
    });
    for (std::size_t server = 0; server < 4; ++server)
      world.At(start + Milliseconds(30),
               [&world, server] { world.CrashServer(server); });
    world.At(start + Seconds(5), [&world] {
      world.SendRepeatedly(2, Milliseconds(50), world.now() + Seconds(10));
      world.SendRepeatedly(1, Milliseconds(50), world.now() + Seconds(10));
    });
    world.RunUntil(start + Seconds(20));
    CHECK(world.Of(1).blocked == 0);
    CHECK(world.Of(1).answered >= 200 * 95 / 100);
  }
}

}  // namespace cicadadrum::routing
