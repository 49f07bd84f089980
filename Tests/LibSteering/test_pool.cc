// Tests of the scheduling, health and plan rules of a slot pool.

#include <doctest/doctest.h>

#include <array>
#include <set>

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

namespace {

struct PoolFixture {
  Pool pool;
  TimePoint now{Seconds(1)};
  std::uint64_t next_id = 1;

  explicit PoolFixture(std::uint32_t servers, std::uint32_t slots = 4) {
    std::vector<BackendServer> list;
    list.reserve(servers);
    for (std::uint32_t i = 0; i < servers; ++i)
      list.push_back({.name = "s" + std::to_string(i), .slots = slots});
    PoolActions actions;
    UpdatePoolServers(pool, list, now, actions);
  }

  SlotRequest MakeRequest(RequestClass request_class,
                          const std::string& client_account = "c",
                          std::uint64_t fingerprint = 0) {
    return {.entry = "e",
            .id = next_id++,
            .client_account = client_account,
            .request_class = request_class,
            .deadline = now + Seconds(2),
            .fingerprint = fingerprint};
  }

  PoolActions Submit(const SlotRequest& request) {
    PoolActions actions;
    RequestSlot(pool, request, now, actions);
    return actions;
  }

  PoolActions Return(std::uint64_t lease,
                     AttemptOutcome outcome = AttemptOutcome::kAnswered,
                     Duration latency = Milliseconds(10)) {
    PoolActions actions;
    ReturnSlot(pool, lease, outcome, latency, now, actions);
    return actions;
  }

  PoolActions Advance(Duration time) {
    now += time;
    PoolActions actions;
    AdvancePool(pool, now, actions);
    return actions;
  }

  // Runs one routine request that takes `latency` on any server.
  void RunRoutineRequest(Duration latency) {
    const PoolActions actions = Submit(MakeRequest(RequestClass::kRoutine));
    now += latency;
    for (const PoolAction& action : actions) {
      if (const auto* grant = std::get_if<SlotGrant>(&action))
        Return(grant->lease, AttemptOutcome::kAnswered, latency);
    }
  }
};

std::vector<SlotGrant> Grants(const PoolActions& actions) {
  std::vector<SlotGrant> grants;
  for (const PoolAction& action : actions) {
    if (const auto* grant = std::get_if<SlotGrant>(&action))
      grants.push_back(*grant);
  }
  return grants;
}

RefusalReason Refusal(const PoolActions& actions) {
  for (const PoolAction& action : actions) {
    if (const auto* refusal = std::get_if<SlotRefusal>(&action))
      return refusal->reason;
  }
  return RefusalReason::kNone;
}

ServerState StateOf(const Pool& pool, const std::string& name) {
  return pool.servers[pool.server_index.at(name)].state;
}

}  // namespace

// Guards against short requests that wait for a part of an upload in the last
// slots of a server, and against bulk requests that fill a pool.
TEST_CASE(
    "bulk requests leave two slots of each server and half of the pool free") {
  PoolFixture fixture(3, 5);
  std::map<std::string, int> granted;
  int total = 0;
  for (int i = 0; i < 12; ++i) {
    for (const auto& grant :
         Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kBulk)))) {
      ++granted[grant.server];
      ++total;
    }
  }
  CHECK(total == 7);
  for (const auto& [server, count] : granted)
    CHECK(count <= 3);
}

// Guards against bulk requests in the slots that are reserved for short
// requests.
TEST_CASE("bulk requests do not use the last two free slots of a server") {
  PoolFixture fixture(2, 5);
  for (int i = 0; i < 6; ++i)
    fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine));
  CHECK(
      Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kBulk))).empty());
  CHECK(Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)))
            .size() == 1);
}

// Guards against a burst of one client account that delays all other client
// accounts.
TEST_CASE(
    "a single request is granted before the queued burst of another client "
    "account") {
  PoolFixture fixture(1, 1);
  const auto first = Grants(
      fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine, "burst")));
  for (int i = 0; i < 40; ++i)
    fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine, "burst"));
  const SlotRequest other =
      fixture.MakeRequest(RequestClass::kRoutine, "other");
  fixture.Submit(other);
  auto grants = Grants(fixture.Return(first.front().lease));
  grants = Grants(fixture.Return(grants.front().lease));
  REQUIRE(grants.size() == 1);
  CHECK(grants.front().id == other.id);
}

// Guards against a full queue that refuses the client account with the fewest
// waiting requests.
TEST_CASE(
    "a full queue refuses the client account with the most waiting requests") {
  PoolFixture fixture(1, 1);
  fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine, "burst"));
  for (int i = 0; i < 64; ++i)
    fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine, "burst"));
  const SlotRequest other =
      fixture.MakeRequest(RequestClass::kRoutine, "other");
  const PoolActions actions = fixture.Submit(other);
  CHECK(Refusal(actions) == RefusalReason::kQueueFull);
  CHECK(fixture.pool.request_index.contains({"e", other.id}));
}

// Guards against a request that waits although it cannot meet its deadline.
TEST_CASE(
    "a request that cannot finish by its deadline is refused on arrival") {
  PoolFixture fixture(1, 1);
  fixture.RunRoutineRequest(Milliseconds(100));
  fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine));
  for (int i = 0; i < 10; ++i)
    fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine));
  SlotRequest request = fixture.MakeRequest(RequestClass::kRoutine);
  request.deadline = fixture.now + Milliseconds(300);
  const PoolActions actions = fixture.Submit(request);
  CHECK(Refusal(actions) == RefusalReason::kDeadline);
  CHECK(std::get<SlotRefusal>(actions.front()).retry_after > Milliseconds(300));
}

// Guards against a client account that exceeds the limits of its plan.
TEST_CASE(
    "requests beyond the rate or concurrency limit of a plan are refused") {
  PoolFixture fixture(4);
  SlotRequest request = fixture.MakeRequest(RequestClass::kRoutine);
  request.limits = {.requests_per_second = 0, .concurrency = 1};
  const auto lease = Grants(fixture.Submit(request)).at(0).lease;
  request.id = fixture.next_id++;
  CHECK(Refusal(fixture.Submit(request)) == RefusalReason::kConcurrencyLimit);
  fixture.Return(lease);
  request.limits = {.requests_per_second = 2, .concurrency = 0};
  request.client_account = "rated";
  int granted = 0;
  for (int i = 0; i < 5; ++i) {
    request.id = fixture.next_id++;
    granted += static_cast<int>(Grants(fixture.Submit(request)).size());
  }
  CHECK(granted == 2);
}

// Guards against requests that are sent to a slow server, and against a server
// that stays unused after it has become fast again.
TEST_CASE("a slow server is probed and becomes ready when it is fast again") {
  PoolFixture fixture(4, 1);
  for (int i = 0; i < 40; ++i)
    fixture.RunRoutineRequest(Milliseconds(10));
  const std::string slow = "s1";
  for (int i = 0; i < 24; ++i) {
    const auto grant =
        Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)))
            .at(0);
    const Duration latency = Milliseconds(grant.server == slow ? 100 : 10);
    fixture.now += Milliseconds(1);
    fixture.Return(grant.lease, AttemptOutcome::kAnswered, latency);
  }
  REQUIRE(StateOf(fixture.pool, slow) == ServerState::kSlow);
  for (int i = 0; i < 100; ++i) {
    fixture.now += Milliseconds(20);
    fixture.RunRoutineRequest(Milliseconds(10));
  }
  CHECK(StateOf(fixture.pool, slow) == ServerState::kReady);
}

// Guards against a slow server that is recognized only after it has answered.
TEST_CASE("a server with overdue requests in progress is marked as slow") {
  PoolFixture fixture(2, 4);
  for (int i = 0; i < 40; ++i)
    fixture.RunRoutineRequest(Milliseconds(10));
  std::vector<SlotGrant> granted;
  granted.reserve(8);
  for (int i = 0; i < 8; ++i)
    granted.push_back(
        Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)))
            .at(0));
  fixture.now += Milliseconds(10);
  for (const SlotGrant& grant : granted) {
    if (grant.server == "s0")
      fixture.Return(grant.lease);
  }
  for (int i = 0; i < 5; ++i)
    fixture.Advance(Milliseconds(10));
  CHECK(StateOf(fixture.pool, "s1") == ServerState::kSlow);
  CHECK(StateOf(fixture.pool, "s0") == ServerState::kReady);
}

// Guards against requests that are lost one after the other on a server that is
// down.
TEST_CASE("a server that refuses connections is down until a probe succeeds") {
  PoolFixture fixture(2, 1);
  const auto grant =
      Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kUrgent))).at(0);
  fixture.Return(grant.lease, AttemptOutcome::kConnectionRefused, {});
  CHECK(StateOf(fixture.pool, grant.server) == ServerState::kDown);
  for (int i = 0; i < 3; ++i) {
    const auto next =
        Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kUrgent)))
            .at(0);
    CHECK(next.server != grant.server);
    fixture.Return(next.lease);
  }
  fixture.Advance(Milliseconds(200));
  const auto probe =
      Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine))).at(0);
  CHECK(probe.server == grant.server);
  fixture.Return(probe.lease);
  CHECK(StateOf(fixture.pool, grant.server) == ServerState::kWarming);
}

// Guards against requests of a process that has crashed, whose late ends raise
// the limit of the next one or mark it as down.
TEST_CASE("late ends of requests do not change a server that has recovered") {
  PoolFixture fixture(1, 4);
  std::array<SlotGrant, 4> granted;
  for (SlotGrant& grant : granted)
    grant = Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)))
                .at(0);
  fixture.now += Milliseconds(100);
  fixture.Return(granted[0].lease, AttemptOutcome::kConnectionLost);
  fixture.Advance(Seconds(1));
  const auto probe =
      Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)));
  REQUIRE(probe.size() == 1);
  fixture.now += Milliseconds(100);
  fixture.Return(probe[0].lease);
  REQUIRE(StateOf(fixture.pool, "s0") == ServerState::kWarming);
  fixture.Return(granted[1].lease);
  CHECK(fixture.pool.servers[0].limit == 1);
  fixture.Return(granted[2].lease, AttemptOutcome::kConnectionLost);
  fixture.Return(granted[3].lease, AttemptOutcome::kTimedOut, Seconds(2));
  CHECK(StateOf(fixture.pool, "s0") == ServerState::kWarming);
  CHECK(fixture.pool.servers[0].slowness == 1);
}

// Guards against a burst of requests on a server with cold caches.
TEST_CASE("a new server starts with a limit of one request") {
  PoolFixture fixture(1, 1);
  PoolActions actions;
  UpdatePoolServers(fixture.pool,
                    {{.name = "s0", .slots = 1}, {.name = "new", .slots = 6}},
                    fixture.now, actions);
  std::map<std::string, int> granted;
  for (int i = 0; i < 6; ++i) {
    for (const auto& grant :
         Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine))))
      ++granted[grant.server];
  }
  CHECK(granted["new"] == 1);
}

// Guards against a burst of requests on a process that has replaced the server
// under its name.
TEST_CASE("a server at another address starts with a limit of one request") {
  PoolFixture fixture(1, 6);
  PoolActions actions;
  UpdatePoolServers(fixture.pool,
                    {{.name = "s0", .address = "192.0.2.7:80", .slots = 6}},
                    fixture.now, actions);
  std::size_t granted = 0;
  for (int i = 0; i < 6; ++i)
    granted +=
        Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)))
            .size();
  CHECK(granted == 1);
}

// Guards against a server that sheds requests and receives as many as before.
TEST_CASE("a shed request lowers the limit of its server") {
  PoolFixture fixture(1, 4);
  std::vector<SlotGrant> granted;
  granted.reserve(4);
  for (int i = 0; i < 4; ++i)
    granted.push_back(
        Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)))
            .at(0));
  fixture.Return(granted[3].lease, AttemptOutcome::kShed, {});
  CHECK(Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine)))
            .empty());
}

// Guards against a request that crashes all servers of a pool, and against
// blocking requests that only ran on the same servers.
TEST_CASE(
    "a fingerprint is blocked after three crashes, harmless fingerprints are "
    "not") {
  PoolFixture fixture(6, 2);
  constexpr std::uint64_t kCrashing = 7;
  constexpr std::uint64_t kHarmless = 8;
  bool blocked = false;
  for (int crash = 0; crash < 3; ++crash) {
    const auto crashing_grants = Grants(fixture.Submit(
        fixture.MakeRequest(RequestClass::kRoutine, "c", kCrashing)));
    REQUIRE(crashing_grants.size() == 1);
    // The harmless request runs on all servers, including the one that crashes.
    std::vector<SlotGrant> harmless_grants;
    std::uint64_t shared_server_lease = 0;
    while (shared_server_lease == 0) {
      harmless_grants.push_back(
          Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kRoutine, "c",
                                                    kHarmless)))
              .at(0));
      if (harmless_grants.back().server == crashing_grants[0].server)
        shared_server_lease = harmless_grants.back().lease;
    }
    for (const SlotGrant& grant : harmless_grants) {
      if (grant.lease != shared_server_lease)
        fixture.Return(grant.lease);
    }
    // A second request with the crashing fingerprint waits, because suspects
    // run one at a time.
    const SlotRequest second =
        fixture.MakeRequest(RequestClass::kRoutine, "c", kCrashing);
    if (crash > 0)
      CHECK(Grants(fixture.Submit(second)).empty());
    PoolActions actions;
    CancelSlot(fixture.pool, "e", second.id, fixture.now, actions);
    actions = fixture.Return(crashing_grants[0].lease,
                             AttemptOutcome::kConnectionLost);
    for (const PoolAction& action : actions)
      blocked = blocked || std::holds_alternative<FingerprintBlocked>(action);
    fixture.Return(shared_server_lease, AttemptOutcome::kConnectionLost);
    CHECK(fixture.pool.suspects.contains(kHarmless));
    const auto rerun_grants = Grants(fixture.Submit(
        fixture.MakeRequest(RequestClass::kRoutine, "c", kHarmless)));
    fixture.Return(rerun_grants.at(0).lease);
    CHECK(!fixture.pool.suspects.contains(kHarmless));
  }
  CHECK(blocked);
  CHECK(Refusal(fixture.Submit(
            fixture.MakeRequest(RequestClass::kRoutine, "c", kCrashing))) ==
        RefusalReason::kBlocked);
}

// Guards against a harmless request that is blocked because several of its
// attempts were in flight when servers crashed at the same time.
TEST_CASE("equal requests that crashes end at the same time count once") {
  PoolFixture fixture(3, 4);
  constexpr std::uint64_t kHarmless = 8;
  constexpr std::size_t kEqualRequests = 12;
  std::vector<SlotGrant> grants;
  grants.reserve(kEqualRequests);
  for (std::size_t i = 0; i < kEqualRequests; ++i)
    grants.push_back(Grants(fixture.Submit(fixture.MakeRequest(
                                RequestClass::kRoutine, "c", kHarmless)))
                         .at(0));
  for (const SlotGrant& grant : grants) {
    fixture.now += Milliseconds(1);
    for (const PoolAction& action :
         fixture.Return(grant.lease, AttemptOutcome::kConnectionLost))
      CHECK(!std::holds_alternative<FingerprintBlocked>(action));
  }
  CHECK(fixture.pool.suspects.at(kHarmless).crashes == 1);
}

// Guards against two owners that together grant twice the slots of a server.
TEST_CASE("a new owner grants half the slots until the leases are reported") {
  PoolFixture fixture(1, 4);
  PoolActions actions;
  AssumePoolOwnership(fixture.pool, {"other"}, fixture.now, actions);
  std::size_t granted = 0;
  for (int i = 0; i < 4; ++i)
    granted +=
        Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kUrgent)))
            .size();
  CHECK(granted == 2);
  actions.clear();
  AdoptLeases(fixture.pool, "other",
              {{.lease = 900, .server = "s0", .deadline = fixture.now}},
              fixture.now, actions);
  CHECK(Grants(actions).size() == 1);
}

// Guards against a slot that stays in use because its grant and its
// cancellation crossed on the network.
TEST_CASE("cancelling a granted request frees its slot") {
  PoolFixture fixture(1, 1);
  const SlotRequest first = fixture.MakeRequest(RequestClass::kUrgent);
  fixture.Submit(first);
  fixture.Submit(fixture.MakeRequest(RequestClass::kUrgent));
  PoolActions actions;
  CancelSlot(fixture.pool, "e", first.id, fixture.now, actions);
  CHECK(Grants(actions).size() == 1);
}

// Guards against old or false load reports that determine the choice of
// servers.
TEST_CASE("a load report affects the choice of servers until it expires") {
  PoolFixture fixture(2, 4);
  RecordLoadReport(fixture.pool, "s0", {3, fixture.now}, fixture.now);
  const auto first =
      Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kUrgent))).at(0);
  CHECK(first.server == "s1");
  fixture.Return(first.lease);
  fixture.Advance(Seconds(6));
  std::set<std::string> used;
  for (int i = 0; i < 8; ++i) {
    const auto grant =
        Grants(fixture.Submit(fixture.MakeRequest(RequestClass::kUrgent)))
            .at(0);
    used.insert(grant.server);
  }
  CHECK(used.size() == 2);
}

// Guards against an upload that restarts with each part: after the crash of a
// failure domain, parts were sent to any server that was free or due for a
// probe, and uploads did not complete.
TEST_CASE(
    "all parts of an upload use the same substitute when their server is "
    "down") {
  PoolFixture fixture(4);
  const auto part = [&] {
    SlotRequest request = fixture.MakeRequest(RequestClass::kBulk);
    request.preferred = "s0";
    request.only_preferred = true;
    return Grants(fixture.Submit(request));
  };
  const auto state = [&] {
    return fixture.pool.servers[fixture.pool.server_index.at("s0")].state;
  };
  for (int i = 0; i < 10 && state() != ServerState::kDown; ++i) {
    const auto grants = part();
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].server == "s0");
    fixture.Return(grants[0].lease, AttemptOutcome::kConnectionRefused);
  }
  REQUIRE(state() == ServerState::kDown);
  std::set<std::string> substitutes;
  for (int i = 0; i < 5; ++i) {
    const auto grants = part();
    REQUIRE(grants.size() == 1);
    substitutes.insert(grants[0].server);
    fixture.Return(grants[0].lease);
  }
  CHECK(substitutes.size() == 1);
  CHECK(!substitutes.contains("s0"));
  // Even if a probe of "s0" has been due for a long time, a part that belongs
  // to "s1" does not serve as the probe.
  fixture.Advance(Seconds(60));
  SlotRequest other = fixture.MakeRequest(RequestClass::kBulk);
  other.preferred = "s1";
  other.only_preferred = true;
  const auto grants = Grants(fixture.Submit(other));
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].server == "s1");
}

// Guards against a server that never recovers in a pool with only bulk
// requests: its limit of one slot was below the number of slots reserved from
// bulk, and the uploads that belong to the server did not complete.
TEST_CASE(
    "a recovering server accepts bulk requests in a pool with only bulk "
    "requests") {
  PoolFixture fixture(2);
  const auto part = [&] {
    SlotRequest request = fixture.MakeRequest(RequestClass::kBulk);
    request.preferred = "s0";
    request.only_preferred = true;
    return Grants(fixture.Submit(request));
  };
  PoolServer& server = fixture.pool.servers[fixture.pool.server_index.at("s0")];
  while (server.state != ServerState::kDown) {
    const auto grants = part();
    REQUIRE(grants.size() == 1);
    fixture.Return(grants[0].lease, AttemptOutcome::kConnectionRefused);
  }
  fixture.now += Seconds(60);
  for (int i = 0; i < 200 && server.state != ServerState::kReady; ++i) {
    const auto grants = part();
    REQUIRE(grants.size() == 1);
    fixture.now += Milliseconds(200);
    fixture.Return(grants[0].lease, AttemptOutcome::kAnswered,
                   Milliseconds(200));
  }
  CHECK(server.state == ServerState::kReady);
}

}  // namespace cicadadrum
