// Tests of rows that are written again after their removal, while entry VMs
// change between the store and a relay.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"
#include "relay_world.h"

namespace cicadadrum::discovery {

namespace {

const std::vector<std::string> kNames = {"north-1", "north-2", "north-3",
                                         "south-1", "south-2"};
const std::vector<std::string> kServers = {"a", "b", "c", "d"};

// All entry VMs have the rows of the store after this time without faults: a
// timeout, a back-off of a peer, and the grace period.
constexpr Duration kSettlingTime = Seconds(10);

TableOptions MakeOptions() {
  return {.table = "servers",
          .period = Milliseconds(800),
          .wait = Milliseconds(400),
          .restored_row_hold = Seconds(5),
          .peer_wait = Milliseconds(300),
          .max_age = Milliseconds(1300)};
}

void PutServers(RelayWorld& world) {
  for (const std::string& server : kServers)
    world.Put(server);
}

void SetStoreUnreachable(RelayWorld& world, bool is_unreachable) {
  for (const std::string& name : world.Names())
    world.entry(name).store_unreachable = is_unreachable;
}

void CheckKeys(RelayWorld& world) {
  for (const std::string& name : world.Names()) {
    CAPTURE(name);
    CHECK(world.entry(name).Keys() == world.Keys());
  }
}

}  // namespace

// Guards against entry VMs that lose all servers for good: they defer the
// removals that they read from the store, and follow a relay that has seen the
// rows come back and for which nothing has changed.
TEST_CASE(
    "rows that return after an outage are known to followers of a relay") {
  for (int outage = 4000; outage <= 6500; outage += 100) {
    for (int others_later = 0; others_later <= 600; others_later += 150) {
      for (int returned_later = 200; returned_later <= 1800;
           returned_later += 200) {
        CAPTURE(outage);
        CAPTURE(others_later);
        CAPTURE(returned_later);
        RelayWorld world(kNames, MakeOptions());
        PutServers(world);
        world.RunUntil(kRelayStart + Seconds(3));
        SetStoreUnreachable(world, true);
        world.RunUntil(world.now + Milliseconds(outage));
        for (const std::string& server : kServers)
          world.Remove(server);
        world.entry(world.RelayOf("north")).store_unreachable = false;
        world.RunUntil(world.now + Milliseconds(others_later));
        SetStoreUnreachable(world, false);
        world.RunUntil(world.now + Milliseconds(returned_later));
        for (const std::string& server : kServers)
          world.Repeat(server);
        world.RunUntil(world.now + kSettlingTime);
        CheckKeys(world);
      }
    }
  }
}

// Guards against the same loss without an outage: a relay that was cut off from
// the store reads the removal and the new row in one response, and a follower
// has read the removal alone.
TEST_CASE(
    "a row that returns while the relay is cut off is known to followers") {
  for (int cut = 1000; cut <= 4000; cut += 100) {
    for (int away = 100; away <= 1000; away += 100) {
      CAPTURE(cut);
      CAPTURE(away);
      RelayWorld world(kNames, MakeOptions());
      PutServers(world);
      world.RunUntil(kRelayStart + Seconds(3));
      RelayEntry& relay = world.entry(world.RelayOf("north"));
      relay.store_unreachable = true;
      world.RunUntil(world.now + Milliseconds(cut));
      world.Remove("a");
      world.RunUntil(world.now + Milliseconds(away));
      relay.store_unreachable = false;
      world.Repeat("a");
      world.RunUntil(world.now + kSettlingTime);
      CheckKeys(world);
    }
  }
}

// Guards against a removal of before a restore of the store that outlasts it: a
// relay that has never seen the removal gives the row with the version of
// before.
TEST_CASE("a row of a relay's full table ends an earlier removal") {
  for (int cut = 1000; cut <= 4000; cut += 100) {
    CAPTURE(cut);
    RelayWorld world({"north-1", "north-2", "north-3"}, MakeOptions());
    PutServers(world);
    world.RunUntil(kRelayStart + Seconds(3));
    const std::uint64_t copy = world.version();
    RelayEntry& relay = world.entry(world.RelayOf("north"));
    relay.store_unreachable = true;
    world.RunUntil(world.now + Milliseconds(cut));
    world.Remove("a");
    world.RunUntil(world.now + Seconds(1));
    SetStoreUnreachable(world, true);
    relay.store_unreachable = false;
    world.Restore(copy);
    world.RunUntil(world.now + kSettlingTime);
    CheckKeys(world);
  }
}

// Guards against followers that miss a row which changed while the table was
// read in full: they may go on from the version of the read, and know a removal
// from another source.
TEST_CASE("a row that is newer than the full read it came with is passed on") {
  TableState table = MakeTableState(MakeOptions(), 1);
  TableActions actions;
  const auto step = [&](const TableEvent& event) {
    actions.clear();
    StepTable(table, event, kRelayStart, actions);
  };
  step(TableTimerExpired{});
  step(TableAnswered{.call = table.open_call,
                     .rows = {{.key = "a", .version = {1, 2}}},
                     .version = {1, 4}});
  table.next_call_at = kRelayStart;
  step(TableTimerExpired{});
  step(TableFailed{.call = table.open_call,
                   .failure = TableFailure::kHistoryLost,
                   .era = 1});
  step(TableAnswered{.call = table.open_call,
                     .rows = {{.key = "a", .version = {1, 9}}},
                     .version = {1, 7}});
  const auto changed = std::ranges::find_if(actions, [](const auto& action) {
    return std::holds_alternative<RowsChanged>(action);
  });
  REQUIRE(changed != actions.end());
  CHECK(std::get<RowsChanged>(*changed).keys_to_relay.contains("a"));
}

// Guards against a server that is used for good after its removal: a follower
// that received its row from a relay which held others back, and then goes on
// from a relay that has never had the row, would get no removal.
TEST_CASE("a peer that lacks rows which another peer passed on is refused") {
  TableState table = MakeTableState(MakeOptions(), 1);
  TableActions actions;
  const auto step = [&](const TableEvent& event) {
    actions.clear();
    StepTable(table, event, kRelayStart, actions);
  };
  const auto answer = [&](std::uint64_t version, std::vector<TableRow> rows) {
    table.next_call_at = kRelayStart;
    step(TableTimerExpired{});
    step(TableAnswered{.call = table.open_call,
                       .rows = std::move(rows),
                       .version = {1, version},
                       .sequence = 3});
    return table.version;
  };
  const auto is_confirmed = [&] {
    return std::ranges::any_of(actions, [](const auto& action) {
      return std::holds_alternative<TableConfirmed>(action);
    });
  };
  answer(4, {});
  step(SourcesChanged{.before_store = {"first"}});
  answer(5, {{.key = "a", .version = {1, 9}}});
  CHECK(is_confirmed());
  answer(5, {});
  CHECK(is_confirmed());
  step(SourcesChanged{.before_store = {"second"}});
  CHECK(answer(7, {}) == TableVersion{1, 5});
  CHECK_FALSE(is_confirmed());
}

// Guards against a difference between entry VMs and the store that stays after
// all faults, whichever source gave which of a removal and the row after it.
TEST_CASE(
    "after faults of any order all entry VMs have the rows of the store") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    CAPTURE(seed);
    Random random{.state = seed};
    RelayWorld world(kNames, MakeOptions());
    PutServers(world);
    world.RunUntil(kRelayStart + Seconds(3));
    for (int i = 0; i < 60; ++i) {
      world.RunUntil(world.now +
                     Milliseconds(static_cast<int>(RandomBelow(random, 700))));
      RelayEntry& entry = world.entry(kNames[RandomBelow(random, 5)]);
      const std::string& server = kServers[RandomBelow(random, 4)];
      const std::uint64_t action = RandomBelow(random, 21);
      if (action < 6)
        world.Repeat(server);
      else if (action < 10)
        world.Remove(server);
      else if (action < 13)
        entry.is_frozen = !entry.is_frozen;
      else if (action < 16)
        entry.store_unreachable = !entry.store_unreachable;
      else if (action < 19) {
        SetStoreUnreachable(world, RandomBelow(random, 2) == 0);
      } else if (action < 20) {
        world.TruncateChangeLog();
      } else {
        world.Restore(world.version() -
                      std::min(world.version(), RandomBelow(random, 4)));
      }
    }
    SetStoreUnreachable(world, false);
    for (const std::string& name : kNames)
      world.entry(name).is_frozen = false;
    world.RunUntil(world.now + kSettlingTime);
    CheckKeys(world);
  }
}

}  // namespace cicadadrum::discovery
