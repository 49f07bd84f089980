// Tests of reading and following a table of the store.

#include <doctest/doctest.h>

#include <optional>
#include <utility>

#include "cicadadrum/discovery/table.h"

namespace cicadadrum::discovery {

namespace {

constexpr TimePoint kStart{Seconds(100)};

struct TableFixture {
  TableState state = MakeTableState({.table = "servers"}, 1);
  TimePoint now = kStart;
  std::optional<ReadTable> read;
  std::optional<FollowTable> follow;
  std::vector<TableRow> rows;  // Of all RowsChanged since the last TakeRows.
  bool is_first_read = false;
  TimePoint wake = kNever;
  std::vector<bool> reachability;
  std::vector<Duration> confirmed_ages;
  std::vector<TableConfirmed> confirmations;
  std::uint64_t era = 0;  // Of the store in the next responses.
  std::vector<EraChanged> era_changes;
  std::vector<OldRowsIgnored> ignored;
  std::size_t held_rows = 0;  // Of the last RestoredTableRead.
  std::size_t settled_count = 0;

  void Step(const TableEvent& event) {
    TableActions actions;
    StepTable(state, event, now, actions);
    for (const TableAction& action : actions) {
      if (const auto* call = std::get_if<ReadTable>(&action))
        read = *call;
      if (const auto* call = std::get_if<FollowTable>(&action))
        follow = *call;
      if (const auto* changed = std::get_if<RowsChanged>(&action)) {
        rows.insert(rows.end(), changed->rows.begin(), changed->rows.end());
        is_first_read = is_first_read || changed->is_first_read;
      }
      if (const auto* reached = std::get_if<StoreReachabilityChanged>(&action))
        reachability.push_back(reached->reachable);
      if (const auto* confirmed = std::get_if<TableConfirmed>(&action))
        confirmed_ages.push_back(confirmed->age);
      if (const auto* confirmed = std::get_if<TableConfirmed>(&action))
        confirmations.push_back(*confirmed);
      if (const auto* change = std::get_if<EraChanged>(&action))
        era_changes.push_back(*change);
      if (const auto* restored = std::get_if<RestoredTableRead>(&action))
        held_rows = restored->held_rows;
      if (std::holds_alternative<RestoredTableSettled>(action))
        ++settled_count;
      if (const auto* old_rows = std::get_if<OldRowsIgnored>(&action))
        ignored.push_back(*old_rows);
      if (const auto* timer_wake = std::get_if<TableWake>(&action))
        wake = timer_wake->at;
    }
  }

  std::vector<TableRow> TakeRows() { return std::exchange(rows, {}); }

  // Advances the time to the last TableWake.
  void Wait() {
    now = std::max(now, wake);
    Step(TableTimerExpired{});
  }

  std::vector<TableRow> InEra(std::vector<TableRow> response) const {
    for (TableRow& row : response)
      row.version.era = era;
    return response;
  }

  void AnswerRead(std::vector<TableRow> response,
                  std::uint64_t version,
                  bool has_more = false) {
    Step(TableAnswered{.call = read->call,
                       .rows = InEra(std::move(response)),
                       .version = {era, version},
                       .has_more = has_more});
  }

  void AnswerFollow(std::vector<TableRow> response, std::uint64_t version) {
    Wait();
    Step(TableAnswered{.call = follow->call,
                       .rows = InEra(std::move(response)),
                       .version = {era, version}});
  }

  void FailFollow(TableFailure failure) {
    Wait();
    Step(TableFailed{follow->call, failure, era});
  }

  void ReadTableOnce(std::vector<TableRow> response, std::uint64_t version) {
    Step(TableTimerExpired{});
    AnswerRead(std::move(response), version);
  }
};

TableRow Put(const std::string& key, std::uint64_t version) {
  return {.key = key, .value = "value", .version = {0, version}};
}

TableRow Removal(const std::string& key, std::uint64_t version) {
  return {.key = key, .version = {0, version}, .removed = true};
}

}  // namespace

TEST_CASE("a table is read in full once and then followed") {
  TableFixture table;
  table.Step(TableTimerExpired{});
  REQUIRE(table.read);
  table.AnswerRead({Put("a", 1), Put("b", 2)}, 5, /*has_more=*/true);
  CHECK(table.TakeRows().empty());
  CHECK(table.read->from == std::string("b\0", 2));
  table.AnswerRead({Put("c", 3)}, 6);
  CHECK(table.TakeRows().size() == 3);
  CHECK(table.is_first_read);
  table.Wait();
  REQUIRE(table.follow);
  // Changes between the partial reads must not be missed.
  CHECK(table.follow->after.number == 5);
}

// Guards against restoring a removed row: a server whose removal arrived in the
// same response as its last heartbeat got requests until the process ended.
TEST_CASE("only the last of several changes of a row is applied") {
  TableFixture table;
  table.ReadTableOnce({Put("a", 1)}, 1);
  table.TakeRows();
  table.AnswerFollow({Put("a", 2), Removal("a", 3)}, 3);
  const auto rows = table.TakeRows();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].removed);
  table.AnswerFollow({Put("a", 4), Removal("a", 5), Put("a", 6)}, 6);
  const auto next_rows = table.TakeRows();
  REQUIRE(next_rows.size() == 1);
  CHECK(next_rows[0].version.number == 6);
}

// Guards against missing changes that the change log no longer contains.
TEST_CASE("a truncated change log leads to a full read that reports removals") {
  TableFixture table;
  table.ReadTableOnce({Put("a", 1), Put("b", 2)}, 2);
  table.TakeRows();
  table.FailFollow(TableFailure::kHistoryLost);
  table.AnswerRead({Put("b", 2), Put("c", 9)}, 10);
  const auto rows = table.TakeRows();
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].key == "c");
  CHECK(rows[1].key == "a");
  CHECK(rows[1].removed);
}

// Guards against removing live servers whose rows expired during an outage of
// the store, and against keeping servers that do not write their rows again.
TEST_CASE("removals are deferred for a grace period after a store outage") {
  TableFixture table;
  table.ReadTableOnce({Put("a", 1), Put("b", 2)}, 2);
  table.TakeRows();
  const TimePoint outage = table.now;
  while (table.now < outage + Seconds(4))
    table.FailFollow(TableFailure::kNoAnswer);
  CHECK(table.reachability == std::vector<bool>{false});
  table.AnswerFollow({Removal("a", 3), Removal("b", 4)}, 4);
  const TimePoint returned = table.now;
  CHECK(table.reachability == std::vector<bool>{false, true});
  CHECK(table.TakeRows().empty());
  table.AnswerFollow({Put("a", 5)}, 5);
  CHECK(table.TakeRows().size() == 1);
  table.now = returned + Milliseconds(1700);
  table.Step(TableTimerExpired{});
  const auto rows = table.TakeRows();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].key == "b");
  CHECK(rows[0].removed);
}

// Guards against an outage that the log does not explain: rows that the store
// gave out again under lower versions were dropped without a trace.
TEST_CASE("a new era of the store and ignored rows are reported") {
  TableFixture table;
  table.era = 1;
  table.ReadTableOnce({Put("a", 44)}, 44);
  CHECK(table.era_changes.empty());
  table.AnswerFollow({Put("a", 40)}, 44);
  REQUIRE(table.ignored.size() == 1);
  CHECK(table.ignored[0].count == 1);
  CHECK(table.ignored[0].key == "a");
  table.era = 2;
  table.FailFollow(TableFailure::kHistoryLost);
  REQUIRE(table.era_changes.size() == 1);
  CHECK(table.era_changes[0].old_era == 1);
  CHECK(table.era_changes[0].new_era == 2);
}

// Guards against rows that are ignored because the store comes back from a copy
// and assigns versions again that it assigned before.
TEST_CASE("rows written again after a restore of the store are applied") {
  TableFixture table;
  table.era = 1;
  table.ReadTableOnce({Put("a", 44), Put("b", 20)}, 44);
  table.TakeRows();
  table.era = 2;
  table.FailFollow(TableFailure::kHistoryLost);
  table.AnswerRead({Put("a", 10), Put("b", 20)}, 20);
  table.TakeRows();
  table.AnswerFollow({Put("a", 21), Removal("b", 22)}, 22);
  table.now += Seconds(10);
  table.Step(TableTimerExpired{});
  const auto rows = table.TakeRows();
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].key == "a");
  CHECK(rows[1].removed);
}

// Guards against a configuration that never comes into force because its row
// has the number that an earlier change of the row had before the restore.
TEST_CASE("a version that is assigned again stands for another change") {
  TableFixture table;
  table.era = 1;
  table.ReadTableOnce({Put("a", 44)}, 44);
  table.era = 2;
  table.FailFollow(TableFailure::kHistoryLost);
  table.AnswerRead({Put("a", 43)}, 43);
  table.TakeRows();
  table.AnswerFollow({Put("a", 44)}, 44);
  const auto rows = table.TakeRows();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].version == TableVersion{2, 44});
}

// Guards against missing the changes between the copy and the last known
// version: the store has passed that version again.
TEST_CASE("a table is read in full again after a restore of the store") {
  TableFixture table;
  table.era = 1;
  table.ReadTableOnce({Put("a", 44)}, 44);
  table.TakeRows();
  table.read.reset();
  table.era = 2;
  table.AnswerFollow({Put("b", 50)}, 50);
  CHECK(table.TakeRows().empty());
  REQUIRE(table.read);
  CHECK(table.read->from.empty());
}

// Guards against using a server again that left between the copy and the
// restore: the copy still has its row.
TEST_CASE("a removed row that a restored store has again is held back") {
  for (const char* change : {"none", "removal", "put"}) {
    CAPTURE(change);
    TableFixture table;
    table.era = 1;
    table.ReadTableOnce({Put("a", 1), Put("b", 2)}, 2);
    table.AnswerFollow({Removal("b", 3)}, 44);
    table.TakeRows();
    table.era = 2;
    table.FailFollow(TableFailure::kHistoryLost);
    table.AnswerRead({Put("a", 1), Put("b", 2)}, 2);
    const TimePoint restored = table.now;
    auto rows = table.TakeRows();
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].key == "a");
    CHECK(table.held_rows == 1);
    // Entry VMs that follow this one must not continue from the new era yet.
    CHECK(table.state.complete_version == TableVersion{1, 44});
    if (change == std::string("removal")) {
      table.AnswerFollow({Removal("b", 3)}, 3);
      // Followers that hold the row back too must learn of the removal.
      const auto removals = table.TakeRows();
      REQUIRE(removals.size() == 1);
      CHECK(removals[0].key == "b");
      CHECK(removals[0].removed);
    }
    if (change == std::string("put")) {
      table.AnswerFollow({Put("b", 3)}, 3);
      CHECK(table.now < restored + table.state.options.restored_row_hold);
      CHECK(table.TakeRows().size() == 1);
    }
    table.now = restored + table.state.options.restored_row_hold;
    table.Step(TableTimerExpired{});
    CHECK(table.TakeRows().size() == (change == std::string("none") ? 1 : 0));
    CHECK(table.settled_count == 1);
    CHECK(table.state.complete_version.era == 2);
  }
}

// Guards against publishing a row that only the copy of an earlier restore had.
TEST_CASE("a held row is dropped if the next full read lacks it") {
  TableFixture table;
  table.era = 1;
  table.ReadTableOnce({Put("b", 2)}, 2);
  table.AnswerFollow({Removal("b", 3)}, 44);
  table.era = 2;
  table.FailFollow(TableFailure::kHistoryLost);
  table.AnswerRead({Put("b", 2)}, 2);
  CHECK(table.held_rows == 1);
  table.TakeRows();
  table.era = 3;
  table.FailFollow(TableFailure::kHistoryLost);
  table.AnswerRead({}, 1);
  CHECK(table.held_rows == 0);
  table.now += table.state.options.restored_row_hold;
  table.Step(TableTimerExpired{});
  CHECK(table.TakeRows().empty());
}

// Guards against undoing an evacuation or removing a server that the operator
// or the server writes again shortly after the restore.
TEST_CASE("removals of rows that a restored store lacks are deferred") {
  TableFixture table;
  table.era = 1;
  table.ReadTableOnce({Put("a", 1), Put("b", 40), Put("c", 41)}, 44);
  table.TakeRows();
  table.era = 2;
  table.FailFollow(TableFailure::kHistoryLost);
  table.AnswerRead({Put("a", 1)}, 2);
  const TimePoint restored = table.now;
  CHECK(table.TakeRows().size() == 1);
  CHECK(table.state.complete_version == TableVersion{1, 44});
  table.AnswerFollow({Put("b", 3)}, 3);
  CHECK(table.TakeRows().size() == 1);
  table.now = restored + table.state.options.recovery_grace_period;
  table.Step(TableTimerExpired{});
  const auto rows = table.TakeRows();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].key == "c");
  CHECK(rows[0].removed);
  CHECK(table.state.complete_version == TableVersion{2, 3});
}

// Guards against a table that is composed of rows from before and after a
// restore.
TEST_CASE("a full read starts again if the era changes during it") {
  TableFixture table;
  table.era = 1;
  table.Step(TableTimerExpired{});
  table.AnswerRead({Put("a", 1), Put("b", 2)}, 5, /*has_more=*/true);
  table.era = 2;
  table.AnswerRead({Put("c", 3)}, 4);
  CHECK(table.TakeRows().empty());
  CHECK(table.read->from.empty());
  table.AnswerRead({Put("a", 1)}, 4);
  CHECK(table.TakeRows().size() == 1);
}

// Guards against full reads after each response that does not name the era.
TEST_CASE("a response without an era belongs to the last known era") {
  TableFixture table;
  table.era = 3;
  table.ReadTableOnce({Put("a", 1)}, 5);
  table.TakeRows();
  table.read.reset();
  table.era = 0;
  table.AnswerFollow({Put("a", 6)}, 6);
  CHECK(table.TakeRows().size() == 1);
  CHECK_FALSE(table.read);
  CHECK(table.state.version == TableVersion{3, 6});
}

// Guards against calls beyond the store's rate limit and against a back-off
// that is longer than the bound within which a leaving server must be noticed.
TEST_CASE("calls are paced and the back-off lasts at most a second") {
  TableFixture table;
  table.ReadTableOnce({Put("a", 1)}, 1);
  CHECK(table.wake == table.now + Seconds(1));
  for (int i = 0; i < 20; ++i) {
    table.FailFollow(TableFailure::kRefused);
    CHECK(table.wake > table.now);
    CHECK(table.wake <= table.now + Seconds(1));
  }
}

TEST_CASE("the response to an earlier call is ignored") {
  TableFixture table;
  table.ReadTableOnce({Put("a", 1)}, 1);
  table.TakeRows();
  table.Wait();
  const std::uint64_t old_call = table.follow->call;
  table.Step(TableFailed{old_call, TableFailure::kNoAnswer});
  table.Wait();
  table.Step(
      TableAnswered{.call = old_call, .rows = {Put("a", 9)}, .version = 9});
  CHECK(table.TakeRows().empty());
}

TEST_CASE(
    "a response that waited to be read confirms nothing newer than itself") {
  TableFixture table;
  table.Step(TableTimerExpired{});
  table.AnswerRead({{.key = "a", .value = "1", .version = {0, 5}}}, 5);
  table.Wait();
  table.confirmed_ages.clear();
  const Duration waited = Seconds(9);
  table.Step(TableAnswered{.call = table.follow->call,
                           .version = {0, 5},
                           .delay = table.follow->wait + waited});
  REQUIRE(table.confirmed_ages.size() == 1);
  CHECK(table.confirmed_ages[0] == waited);
}

TEST_CASE("a peer's rows are as old as the peer says and the way took") {
  TableFixture table;
  table.Step(TableTimerExpired{});
  table.AnswerRead({}, 5);
  table.Step(SourcesChanged{.before_store = {"relay"}});
  table.Wait();
  REQUIRE(table.follow->peer == "relay");
  table.confirmed_ages.clear();
  table.Step(TableAnswered{.call = table.follow->call,
                           .version = {0, 5},
                           .sequence = 1,
                           .age = Milliseconds(200),
                           .delay = table.follow->wait + Milliseconds(50)});
  REQUIRE(table.confirmed_ages.size() == 1);
  CHECK(table.confirmed_ages[0] == Milliseconds(250));
}

// Guards against keys that are trusted longer than the bound on revocations,
// because a response was written before the source had waited.
TEST_CASE("the age of queries includes all waits and adds up over relays") {
  TableFixture table;
  table.Step(TableTimerExpired{});
  table.Step(TableAnswered{
      .call = table.read->call, .version = {0, 5}, .delay = Milliseconds(20)});
  CHECK(table.confirmations.back().query_age == Milliseconds(20));
  table.Wait();
  table.Step(TableAnswered{.call = table.follow->call,
                           .version = {0, 5},
                           .delay = Milliseconds(300)});
  CHECK(table.confirmations.back().age == Duration::zero());
  CHECK(table.confirmations.back().query_age == Milliseconds(300));
  table.Step(SourcesChanged{.before_store = {"relay"}});
  table.Wait();
  table.Step(TableAnswered{.call = table.follow->call,
                           .version = {0, 5},
                           .sequence = 1,
                           .query_age = Milliseconds(200),
                           .delay = Milliseconds(50)});
  CHECK(table.confirmations.back().query_age == Milliseconds(250));
}

// Guards against keys that are refused because a relay can't confirm them.
TEST_CASE("the store replaces a peer whose queries are old or of unknown age") {
  for (const std::optional<Duration> age :
       {std::optional<Duration>(), std::optional(Milliseconds(900))}) {
    TableFixture table;
    table.state.options.max_query_age = Milliseconds(800);
    table.Step(TableTimerExpired{});
    table.AnswerRead({}, 5);
    table.Step(SourcesChanged{.before_store = {"relay"}});
    table.Wait();
    REQUIRE(table.follow->peer == "relay");
    table.Step(TableAnswered{.call = table.follow->call,
                             .version = {0, 5},
                             .sequence = 1,
                             .query_age = age});
    CHECK(table.confirmations.back().query_age == age);
    table.Wait();
    CHECK(table.follow->peer.empty());
  }
}

// Guards against keys that an older copy of the store confirms before their
// revocation is written again.
TEST_CASE("a restored store confirms no keys until the table is settled") {
  TableFixture table;
  table.state.options.period = Milliseconds(100);
  table.era = 1;
  table.ReadTableOnce({Put("a", 5)}, 5);
  CHECK(table.confirmations.back().query_age);
  table.era = 2;
  table.AnswerFollow({}, 4);
  const std::size_t before = table.confirmations.size();
  table.AnswerRead({Put("a", 3)}, 4);
  REQUIRE(table.confirmations.size() == before + 1);
  CHECK(!table.confirmations.back().is_settled);
  CHECK(!table.confirmations.back().query_age);
  table.AnswerFollow({}, 4);
  CHECK(!table.confirmations.back().query_age);
  // Sent before the table was settled, and answered after.
  table.Wait();
  table.now += table.state.options.restored_row_hold;
  table.Step(TableAnswered{.call = table.follow->call,
                           .version = {2, 4},
                           .delay = table.state.options.restored_row_hold});
  CHECK(!table.confirmations.back().query_age);
  table.AnswerFollow({}, 4);
  CHECK(table.confirmations.back().query_age);
}

// Guards against the same at a process that starts after the restore.
TEST_CASE("the first read of a restored store confirms no keys") {
  TableFixture table;
  table.era = 2;
  table.ReadTableOnce({Put("a", 5)}, 5);
  CHECK(!table.confirmations.back().is_settled);
  table.now += table.state.options.restored_row_hold;
  table.AnswerFollow({}, 5);
  CHECK(table.confirmations.back().query_age);
}

TEST_CASE("a peer with an older version confirms nothing") {
  TableFixture table;
  table.Step(TableTimerExpired{});
  table.AnswerRead({}, 5);
  table.Step(SourcesChanged{.before_store = {"relay"}});
  table.Wait();
  table.confirmed_ages.clear();
  table.Step(TableAnswered{
      .call = table.follow->call, .version = {0, 4}, .sequence = 1});
  CHECK(table.confirmed_ages.empty());
}

TEST_CASE("a peer that names no era gives no rows once the store has an era") {
  TableFixture table;
  table.era = 1;
  table.Step(TableTimerExpired{});
  table.AnswerRead({{.key = "a", .value = "1", .version = {0, 5}}}, 5);
  table.TakeRows();
  table.Step(SourcesChanged{.before_store = {"relay"}});
  table.Wait();
  REQUIRE(table.follow->peer == "relay");
  table.Step(
      TableAnswered{.call = table.follow->call,
                    .rows = {{.key = "a", .value = "old", .version = {0, 44}}},
                    .version = {0, 44},
                    .sequence = 1});
  CHECK(table.TakeRows().empty());
  table.Wait();
  CHECK(table.follow->peer.empty());
}

}  // namespace cicadadrum::discovery
