// Tests of relays between entry VMs and of the selection of a source.

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "cicadadrum/base/random.h"
#include "relay_world.h"

namespace cicadadrum::discovery {

namespace {

// Time within which a change must reach every entry VM that can call the store.
constexpr Duration kPropagationBound = Seconds(2);

TableOptions MakeOptions() {
  return {.table = "servers",
          .period = kPropagationBound * 2 / 5,
          .wait = kPropagationBound / 5,
          .timeout = Milliseconds(700),
          .peer_wait = kPropagationBound * 3 / 20,
          .max_age = kPropagationBound * 13 / 20};
}

// Time within which a key must be revoked.
constexpr Duration kRevocationTime = Seconds(2);

// Returns the options of the operators' table, as cicadadrum-platform derives
// them from kRevocationTime.
TableOptions MakeOperatorOptions() {
  constexpr Duration kBound = kRevocationTime * 3 / 5;
  return {.table = "op",
          .period = Milliseconds(100),
          .wait = kBound * 3 / 10,
          .peer_wait = kBound * 3 / 20,
          .max_age = kBound * 9 / 20,
          .max_query_age = kRevocationTime * 3 / 4};
}

const std::vector<std::string> kNames = {"north-1", "north-2", "north-3",
                                         "south-1", "south-2"};

struct RelayFixture {
  RelayState state = MakeRelayState(100);
  TimePoint now = kRelayStart;
  std::vector<SendRelayResponse> replies;
  TimePoint wake = kNever;

  void Step(const RelayEvent& event) {
    RelayActions actions;
    StepRelay(state, event, now, actions);
    for (const RelayAction& action : actions) {
      if (const auto* reply = std::get_if<SendRelayResponse>(&action))
        replies.push_back(*reply);
      if (const auto* timer_wake = std::get_if<RelayWake>(&action))
        wake = timer_wake->at;
    }
  }

  void UpdateRows(std::vector<TableRow> rows, std::uint64_t version) {
    Step(RelayRowsUpdated{.rows = std::move(rows),
                          .version = {0, version},
                          .age = Duration::zero()});
  }

  RelayResponse Request(const RelayRequest& request) {
    const std::size_t before = replies.size();
    Step(RelayRequestReceived{before + 1, request});
    REQUIRE(replies.size() == before + 1);
    return replies.back().response;
  }
};

// Returns the first action of a kind, or null.
template <typename Action>
const Action* Find(const TableActions& actions) {
  for (const TableAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action))
      return found;
  }
  return nullptr;
}

TableRow Put(const std::string& key, std::uint64_t version) {
  return {.key = key, .value = "value", .version = {0, version}};
}

}  // namespace

TEST_CASE("a request waits for the next change") {
  RelayFixture relay;
  relay.UpdateRows({Put("a", 1)}, 1);
  const std::uint64_t sequence = relay.Request({.all_rows = true}).sequence;
  relay.Step(RelayRequestReceived{
      7, {.after = {0, 1}, .sequence = sequence, .wait = Milliseconds(300)}});
  CHECK(relay.replies.size() == 1);
  relay.now += Milliseconds(100);
  relay.UpdateRows({Put("b", 2)}, 2);
  REQUIRE(relay.replies.size() == 2);
  CHECK(relay.replies[1].call == 7);
  REQUIRE(relay.replies[1].response.rows.size() == 1);
  CHECK(relay.replies[1].response.rows[0].key == "b");
  CHECK(relay.replies[1].response.version.number == 2);
}

TEST_CASE("a request gets a response with the age when its wait ends") {
  RelayFixture relay;
  relay.UpdateRows({Put("a", 1)}, 1);
  const std::uint64_t sequence = relay.Request({.all_rows = true}).sequence;
  relay.Step(RelayRequestReceived{
      7, {.after = {0, 1}, .sequence = sequence, .wait = Milliseconds(300)}});
  CHECK(relay.wake == relay.now + Milliseconds(300));
  relay.now = relay.wake;
  relay.Step(RelayTimerExpired{});
  REQUIRE(relay.replies.size() == 2);
  CHECK(relay.replies[1].response.rows.empty());
  CHECK(relay.replies[1].response.age == Milliseconds(300));
  // The request does not get a second response.
  relay.now += Seconds(1);
  relay.Step(RelayTimerExpired{});
  CHECK(relay.replies.size() == 2);
}

// Guards against missing a removal that the relay deferred after an outage of
// the store: its version is below the version that was passed on before.
// Guards against a relay that makes keys younger than their confirmation.
TEST_CASE("a relay states the age of the query behind its rows") {
  RelayFixture relay;
  relay.Step(RelayRowsUpdated{.version = {0, 10}, .age = Duration::zero()});
  CHECK(!relay.Request({.all_rows = true}).query_age);
  const auto update = [&](std::optional<Duration> query_age) {
    relay.Step(RelayRowsUpdated{
        .version = {0, 10}, .age = Duration::zero(), .query_age = query_age});
  };
  update(Milliseconds(300));
  relay.now += Milliseconds(100);
  CHECK(relay.Request({.all_rows = true}).query_age == Milliseconds(400));
  update(Milliseconds(600));
  update(std::nullopt);
  CHECK(relay.Request({.all_rows = true}).query_age == Milliseconds(400));
  update(Milliseconds(50));
  CHECK(relay.Request({.all_rows = true}).query_age == Milliseconds(50));
}

TEST_CASE("a deferred removal with an old version is passed on") {
  RelayFixture relay;
  relay.UpdateRows({Put("a", 1), Put("b", 2)}, 2);
  const RelayResponse first = relay.Request({.all_rows = true});
  relay.UpdateRows({Put("c", 9)}, 9);
  const RelayResponse second =
      relay.Request({.after = first.version, .sequence = first.sequence});
  CHECK(second.version.number == 9);
  relay.UpdateRows({{.key = "a", .version = {0, 4}, .removed = true}}, 9);
  for (const std::uint64_t sequence : {second.sequence, std::uint64_t{0}}) {
    const RelayResponse third =
        relay.Request({.after = second.version, .sequence = sequence});
    bool has_removal = false;
    for (const TableRow& row : third.rows)
      has_removal = has_removal || (row.key == "a" && row.removed);
    CHECK(has_removal);
  }
}

TEST_CASE("a relay with older rows than the requester reports a failure") {
  RelayFixture relay;
  CHECK(relay.Request({.all_rows = true}).failure == TableFailure::kBehind);
  relay.UpdateRows({Put("a", 5)}, 5);
  CHECK(relay.Request({.after = {0, 6}}).failure == TableFailure::kBehind);
  // The relay does not have the removals from before its first read.
  CHECK(relay.Request({.after = {0, 3}}).failure == TableFailure::kHistoryLost);
  CHECK_FALSE(relay.Request({.after = {0, 5}}).failure);
}

// Guards against memory that grows with every removed server.
TEST_CASE("old removals are discarded") {
  RelayFixture relay;
  relay.UpdateRows({Put("a", 1)}, 1);
  for (std::uint64_t i = 2; i < 3000; ++i)
    relay.UpdateRows(
        {{.key = std::to_string(i), .version = {0, i}, .removed = true}}, i);
  CHECK(relay.state.rows.size() < 600);
  CHECK(relay.Request({.after = {0, 100}}).failure ==
        TableFailure::kHistoryLost);
  CHECK(relay.Request({.after = {0, 100}, .sequence = 200}).failure ==
        TableFailure::kHistoryLost);
  CHECK(relay.Request({.all_rows = true}).rows.size() == 1);
}

TEST_CASE("all entry VMs of a region use the same relay") {
  RelayWorld world(kNames, MakeOptions());
  const std::string relay = world.RelayOf("north");
  const std::string remote_relay = world.RelayOf("south");
  for (const std::string name : {"north-1", "north-2", "north-3"}) {
    const auto& sources = world.entry(name).table.sources;
    REQUIRE(sources.size() == (name == relay ? 2 : 3));
    CHECK(sources.back().peer == remote_relay);
    CHECK(sources.front().peer == (name == relay ? "" : relay));
  }
}

// Guards against calls to the store from every entry VM, because the store
// supports a limited number of calls.
TEST_CASE("changes reach all entry VMs while only relays call the store") {
  RelayWorld world(kNames, MakeOptions());
  world.Put("a");
  world.RunUntil(kRelayStart + Seconds(5));
  std::map<std::string, std::uint64_t> calls;
  for (const std::string& name : kNames)
    calls[name] = world.entry(name).store_calls;
  for (int i = 0; i < 10; ++i) {
    const std::string key = "key-" + std::to_string(i);
    world.Put(key);
    world.RunUntil(world.now + kPropagationBound * 7 / 10);
    for (const std::string& name : kNames)
      CHECK(world.entry(name).rows.contains(key));
    world.Remove(key);
    world.RunUntil(world.now + kPropagationBound * 7 / 10);
    for (const std::string& name : kNames)
      CHECK_FALSE(world.entry(name).rows.contains(key));
  }
  for (const std::string& name : kNames) {
    const bool is_reader =
        name == world.RelayOf("north") || name == world.RelayOf("south");
    CHECK((world.entry(name).store_calls > calls[name]) == is_reader);
  }
}

// Guards against keys that are refused although nothing has failed.
TEST_CASE("relays confirm the rows well within the bound on revocations") {
  RelayWorld world(kNames, MakeOperatorOptions());
  world.Put("config");
  world.RunUntil(kRelayStart + Seconds(3));
  Duration oldest{};
  while (world.now < kRelayStart + Seconds(30)) {
    world.RunUntil(world.now + Milliseconds(1));
    for (const std::string& name : kNames)
      oldest = std::max(oldest, world.now - world.entry(name).confirmed_at);
  }
  CAPTURE(oldest.count());
  CHECK(oldest < kRevocationTime * 3 / 4);
}

// Guards against a revoked key that is served, because its row is confirmed as
// of a later time than the one that it is from.
TEST_CASE("no entry VM confirms rows that lack an earlier change") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    Random random{.state = seed};
    RelayWorld world(kNames, MakeOperatorOptions());
    world.Put("config");
    for (int i = 0; i < 200; ++i) {
      world.RunUntil(world.now +
                     Milliseconds(static_cast<int>(RandomBelow(random, 400))));
      RelayEntry& entry = world.entry(kNames[RandomBelow(random, 5)]);
      const std::uint64_t action = RandomBelow(random, 10);
      if (action < 4)
        world.Put(action < 2 ? "config" : "other");
      else if (action < 6)
        entry.is_frozen = !entry.is_frozen;
      else if (action < 9)
        entry.store_unreachable = !entry.store_unreachable;
      else if (world.version() > 3) {
        world.Restore(world.version() - 1 - RandomBelow(random, 3));
        // The lost changes are written again within the hold time.
        world.RunUntil(world.now + Milliseconds(static_cast<int>(
                                       RandomBelow(random, 1500))));
        world.Put("config");
        world.Put("other");
      }
    }
    CHECK(world.false_confirmations == 0);
  }
}

// Guards against a region that misses changes because its relay cannot reach
// the store or is frozen. The bound applies to every entry VM that can reach
// the store, at whichever moment the relay fails.
TEST_CASE("changes arrive within the bound when the relay fails") {
  for (const bool is_frozen : {false, true}) {
    for (int offset = 0; offset < 1500; offset += 50) {
      RelayWorld world(kNames, MakeOptions());
      world.Put("a");
      world.RunUntil(kRelayStart + Seconds(4) + Milliseconds(offset));
      const std::string relay = world.RelayOf("north");
      (is_frozen ? world.entry(relay).is_frozen
                 : world.entry(relay).store_unreachable) = true;
      world.Remove("a");
      world.Put("b");
      world.RunUntil(world.now + kPropagationBound);
      for (const std::string& name : kNames) {
        CAPTURE(is_frozen);
        CAPTURE(offset);
        CAPTURE(name);
        if (name == relay)
          continue;
        CHECK_FALSE(world.entry(name).rows.contains("a"));
        CHECK(world.entry(name).rows.contains("b"));
      }
    }
  }
}

TEST_CASE(
    "an entry VM that cannot reach the store gets changes from its peers") {
  RelayWorld world(kNames, MakeOptions());
  world.Put("a");
  const std::string relay = world.RelayOf("north");
  world.RunUntil(kRelayStart + Seconds(3));
  // The relay of "north" switches to the relay of "south". The other entry VMs
  // of "north" follow, because none of them reaches the store.
  for (const std::string name : {"north-1", "north-2", "north-3"})
    world.entry(name).store_unreachable = true;
  world.RunUntil(world.now + Seconds(3));
  world.Remove("a");
  world.Put("b");
  world.RunUntil(world.now + Seconds(4));
  for (const std::string& name : kNames) {
    CAPTURE(name);
    CHECK_FALSE(world.entry(name).rows.contains("a"));
    CHECK(world.entry(name).rows.contains("b"));
  }
}

// Guards against full tables that the relay sends to each entry VM of a region.
// With 300 entry VMs and 3,000 servers, the bytes that this sent between
// failure domains cost a third of the score of a simulated day.
TEST_CASE("a full read goes to the store while the store responds") {
  TableState table = MakeTableState(MakeOptions(), 1);
  TableActions actions;
  const auto step = [&](const TableEvent& event, TimePoint at) {
    actions.clear();
    StepTable(table, event, at, actions);
  };
  step(SourcesChanged{.before_store = {"peer"}}, kRelayStart);
  step(TableTimerExpired{}, kRelayStart);
  REQUIRE(Find<ReadTable>(actions) != nullptr);
  CHECK(Find<ReadTable>(actions)->peer.empty());
  step(TableAnswered{.call = 1, .rows = {Put("a", 8)}, .version = {0, 8}},
       kRelayStart);
  step(TableTimerExpired{}, kRelayStart + Seconds(2));
  REQUIRE(Find<FollowTable>(actions) != nullptr);
  CHECK(Find<FollowTable>(actions)->peer == "peer");
  REQUIRE(Find<SourceSelected>(actions) != nullptr);
  CHECK(Find<SourceSelected>(actions)->peer == "peer");
  // The relay began to read later than this entry VM; the store still has the
  // changes in between.
  step(TableFailed{2, TableFailure::kHistoryLost}, kRelayStart + Seconds(2));
  REQUIRE(Find<FollowTable>(actions) != nullptr);
  CHECK(Find<FollowTable>(actions)->peer.empty());
  CHECK(Find<FollowTable>(actions)->after.number == 8);
}

TEST_CASE("a full read goes to a peer while the store does not respond") {
  TableState table = MakeTableState(MakeOptions(), 1);
  TableActions actions;
  StepTable(table, SourcesChanged{.before_store = {"peer"}}, kRelayStart,
            actions);
  StepTable(table, TableTimerExpired{}, kRelayStart, actions);
  actions.clear();
  StepTable(table, TableFailed{1, TableFailure::kNoAnswer}, kRelayStart,
            actions);
  REQUIRE(Find<ReadTable>(actions) != nullptr);
  CHECK(Find<ReadTable>(actions)->peer == "peer");
}

// Guards against a fault from the soak test (seed 351): a relay that deferred
// removals after an outage nevertheless reported the store's latest version. An
// entry VM that then switched to the store continued from that version and kept
// the removed servers permanently.
TEST_CASE("deferred removals reach entry VMs that switch to the store") {
  for (int outage = 800; outage < 2800; outage += 200) {
    for (int offset = 0; offset < 1800; offset += 100) {
      RelayWorld world({"north-1", "north-2", "north-3"}, MakeOptions());
      world.Put("a");
      world.Put("b");
      world.RunUntil(kRelayStart + Seconds(3) + Milliseconds(offset % 700));
      const std::string relay = world.RelayOf("north");
      const std::string other = relay == "north-1" ? "north-2" : "north-1";
      const auto set_store_unreachable = [&](bool store_unreachable) {
        for (const std::string name : {"north-1", "north-2", "north-3"})
          world.entry(name).store_unreachable = store_unreachable;
      };
      set_store_unreachable(true);
      world.RunUntil(world.now + Milliseconds(outage));
      world.Remove("a");
      set_store_unreachable(false);
      world.RunUntil(world.now + Milliseconds(offset));
      world.entry(other).is_frozen = true;
      world.RunUntil(world.now + Milliseconds(900));
      world.entry(other).is_frozen = false;
      // The store's version advances in the meantime.
      for (int i = 0; i < 12; ++i) {
        world.Put("c");
        world.RunUntil(world.now + Milliseconds(300));
      }
      world.RunUntil(world.now + Seconds(4));
      for (const std::string name : {"north-1", "north-2", "north-3"}) {
        CAPTURE(outage);
        CAPTURE(offset);
        CAPTURE(name);
        CHECK_FALSE(world.entry(name).rows.contains("a"));
        CHECK(world.entry(name).rows.contains("b"));
      }
    }
  }
}

// Guards against rows that are ignored because the store comes back from a copy
// and assigns versions again that it assigned before.
TEST_CASE("changes after a restore of the store reach all entry VMs") {
  for (int offset = 0; offset < 1500; offset += 100) {
    RelayWorld world(kNames, MakeOptions());
    world.Put("a");
    const std::uint64_t copy = world.version();
    for (int i = 0; i < 10; ++i)
      world.Put("b");
    world.RunUntil(kRelayStart + Seconds(4) + Milliseconds(offset));
    world.Restore(copy);
    world.RunUntil(world.now + Milliseconds(offset));
    world.Put("a");
    world.Put("b");
    world.RunUntil(world.now + kPropagationBound);
    for (const std::string& name : kNames) {
      CAPTURE(offset);
      CAPTURE(name);
      CHECK(world.entry(name).IsVersionApplied("a", copy + 1));
      CHECK(world.entry(name).IsVersionApplied("b", copy + 2));
    }
    world.Remove("b");
    world.RunUntil(world.now + kPropagationBound * 2);
    for (const std::string& name : kNames)
      CHECK_FALSE(world.entry(name).rows.contains("b"));
  }
}

// Guards against missing a change that the relay passed on while it deferred
// removals: the table's complete version was below the version of the change.
TEST_CASE("a change passed on during deferred removals has its own version") {
  RelayFixture relay;
  relay.UpdateRows({Put("a", 1)}, 50);
  relay.UpdateRows({Put("b", 60)}, 50);
  relay.UpdateRows({}, 60);
  // The requester read the store up to version 55.
  const RelayResponse response = relay.Request({.after = {0, 55}});
  REQUIRE(response.rows.size() == 1);
  CHECK(response.rows[0].key == "b");
}

// Guards against full reads of every entry VM after a restore, and against
// missing the changes that the store lost.
TEST_CASE("a follower continues into a new era only by the peer's sequence") {
  for (const bool has_sequence : {true, false}) {
    CAPTURE(has_sequence);
    TableState table = MakeTableState(MakeOptions(), 1);
    TableActions actions;
    const auto step = [&](const TableEvent& event, TimePoint at) {
      actions.clear();
      StepTable(table, event, at, actions);
    };
    step(TableTimerExpired{}, kRelayStart);
    step(TableAnswered{.call = 1, .rows = {}, .version = {1, 8}}, kRelayStart);
    step(SourcesChanged{.before_store = {"peer"}}, kRelayStart);
    TimePoint now = kRelayStart + Seconds(2);
    step(TableTimerExpired{}, now);
    if (has_sequence) {
      step(TableAnswered{.call = 2, .version = {1, 8}, .sequence = 5}, now);
      now += Seconds(1);
      step(TableTimerExpired{}, now);
    }
    step(TableAnswered{.call = has_sequence ? 3U : 2U,
                       .rows = {{.key = "a", .version = {2, 4}}},
                       .version = {2, 4},
                       .sequence = 6},
         now);
    CHECK((Find<RowsChanged>(actions) != nullptr) == has_sequence);
    CHECK((Find<ReadTable>(actions) != nullptr) != has_sequence);
  }
}

TEST_CASE("a relay sends no changes between versions of two eras") {
  RelayFixture relay;
  relay.Step(RelayRowsUpdated{.rows = {{.key = "a", .version = {1, 44}}},
                              .version = {1, 44},
                              .age = Duration::zero()});
  const std::uint64_t sequence = relay.Request({.all_rows = true}).sequence;
  relay.Step(RelayRowsUpdated{.rows = {{.key = "b", .version = {2, 21}}},
                              .version = {2, 21},
                              .age = Duration::zero()});
  const RelayResponse refusal = relay.Request({.after = {1, 50}});
  CHECK(refusal.failure == TableFailure::kHistoryLost);
  CHECK(refusal.version.era == 2);
  const RelayResponse response =
      relay.Request({.after = {1, 44}, .sequence = sequence});
  REQUIRE(response.rows.size() == 1);
  CHECK(response.version == TableVersion{2, 21});
  CHECK(relay.Request({.after = {3, 1}}).failure == TableFailure::kBehind);
  // A requester that knows no eras.
  CHECK_FALSE(relay.Request({.after = {0, 21}}).failure);
}

// Guards against full reads from the relay by all entry VMs, and against an
// entry VM that stays in the old era while it cannot reach the store.
TEST_CASE("a peer of a newer era leads to a full read") {
  TableState table = MakeTableState(MakeOptions(), 1);
  TableActions actions;
  const auto step = [&](const TableEvent& event, TimePoint at) {
    actions.clear();
    StepTable(table, event, at, actions);
  };
  step(TableTimerExpired{}, kRelayStart);
  step(TableAnswered{.call = 1, .rows = {}, .version = {1, 8}}, kRelayStart);
  step(SourcesChanged{.before_store = {"peer"}}, kRelayStart);
  const TimePoint now = kRelayStart + Seconds(2);
  step(TableTimerExpired{}, now);
  step(TableFailed{2, TableFailure::kHistoryLost, 2}, now);
  REQUIRE(Find<ReadTable>(actions) != nullptr);
  CHECK(Find<ReadTable>(actions)->peer.empty());
  step(TableFailed{3, TableFailure::kNoAnswer}, now);
  REQUIRE(Find<ReadTable>(actions) != nullptr);
  CHECK(Find<ReadTable>(actions)->peer == "peer");
}

// Guards against removing rows that a peer with an older copy does not have.
TEST_CASE("a response of a peer with an older copy removes no rows") {
  TableState table = MakeTableState(MakeOptions(), 1);
  TableActions actions;
  const auto step = [&](const TableEvent& event, TimePoint at) {
    actions.clear();
    StepTable(table, event, at, actions);
  };
  step(TableTimerExpired{}, kRelayStart);
  step(TableAnswered{.call = 1, .rows = {Put("a", 8)}, .version = {0, 8}},
       kRelayStart);
  step(SourcesChanged{.before_store = {"peer"}}, kRelayStart);
  step(TableTimerExpired{}, kRelayStart + Seconds(2));
  step(TableAnswered{.call = 2, .rows = {}, .version = {0, 5}},
       kRelayStart + Seconds(2));
  CHECK(table.published_versions.contains("a"));
  CHECK(table.version.number == 8);
  // The next call goes to the store instead.
  step(TableTimerExpired{}, kRelayStart + Seconds(3));
  REQUIRE(Find<FollowTable>(actions) != nullptr);
  CHECK(Find<FollowTable>(actions)->peer.empty());
}

TEST_CASE(
    "a relay that has read the table in full doesn't hide removals before") {
  RelayFixture relay;
  relay.UpdateRows({Put("a", 1)}, 1);
  // The row "b" was added at version 5 and removed at version 8.
  relay.Step(RelayRowsUpdated{
      .version = {0, 10}, .history_begin = {0, 10}, .age = Duration::zero()});
  CHECK(relay.Request({.after = {0, 6}}).failure == TableFailure::kHistoryLost);
  CHECK_FALSE(relay.Request({.after = {0, 10}}).failure);
}

// Guards against a relay whose link is full for seconds when it sends a large
// row to all entry VMs of its region.
TEST_CASE("the relay of a region has one of the fastest links") {
  const std::vector<RelayCandidate> live = {
      {"north-1", "north", 10},  {"north-2", "north", 200},
      {"north-3", "north", 10},  {"north-4", "north", 190},
      {"south-1", "south", 10},  {"south-2", "south", 10},
      {"middle-1", "middle", 0}, {"middle-2", "middle", 0}};
  std::set<std::string> relays;
  for (const RelayCandidate& self : live) {
    const SourcesChanged sources = ChooseSources(live, self);
    relays.insert(sources.before_store.begin(), sources.before_store.end());
    relays.insert(sources.after_store.begin(), sources.after_store.end());
  }
  // All entry VMs name the same relay for each region.
  CHECK(relays.size() == 3);
  CHECK(relays.contains("north-2") != relays.contains("north-4"));
}

}  // namespace cicadadrum::discovery
