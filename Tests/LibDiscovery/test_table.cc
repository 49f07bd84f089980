// Tests of following a table of the store.

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
  std::vector<TableRow> rows;  // Of all RowsChanged since the last Take.
  bool is_first_read = false;
  TimePoint wake = kNever;
  std::vector<bool> reachability;

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
      if (const auto* timer_wake = std::get_if<TableWake>(&action))
        wake = timer_wake->at;
    }
  }

  std::vector<TableRow> TakeRows() { return std::exchange(rows, {}); }

  // Lets time pass until the next call starts.
  void Wait() {
    now = std::max(now, wake);
    Step(TableTimerExpired{});
  }

  void AnswerRead(std::vector<TableRow> response,
                  std::uint64_t version,
                  bool has_more = false) {
    Step(TableAnswered{read->call, std::move(response), version, has_more});
  }

  void AnswerFollow(std::vector<TableRow> response, std::uint64_t version) {
    Wait();
    Step(TableAnswered{follow->call, std::move(response), version, false});
  }

  void FailFollow(TableFailure failure) {
    Wait();
    Step(TableFailed{follow->call, failure});
  }

  void ReadTableOnce(std::vector<TableRow> response, std::uint64_t version) {
    Step(TableTimerExpired{});
    AnswerRead(std::move(response), version);
  }
};

TableRow Put(const std::string& key, std::uint64_t version) {
  return {.key = key, .value = "value", .version = version};
}

TableRow Removal(const std::string& key, std::uint64_t version) {
  return {.key = key, .version = version, .removed = true};
}

}  // namespace

TEST_CASE("a table is read whole once and then followed") {
  TableFixture table;
  table.Step(TableTimerExpired{});
  REQUIRE(table.read);
  table.AnswerRead({Put("a", 1), Put("b", 2)}, 5, /*more=*/true);
  CHECK(table.TakeRows().empty());
  CHECK(table.read->from == std::string("b\0", 2));
  table.AnswerRead({Put("c", 3)}, 6);
  CHECK(table.TakeRows().size() == 3);
  CHECK(table.is_first_read);
  table.Wait();
  REQUIRE(table.follow);
  // Changes between the pages must not be missed.
  CHECK(table.follow->after == 5);
}

// Guards against bringing a removed row back: a server that was removed in the
// same feed as its last heartbeat got requests until the process ended.
TEST_CASE("the last of several changes of a row counts") {
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
  CHECK(next_rows[0].version == 6);
}

// Guards against missing what changed while the history was lost.
TEST_CASE("lost history leads to a whole read that reports what is gone") {
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

// Guards against dropping live servers whose entries lapsed while the store
// was away, and against keeping those that don't come back.
TEST_CASE("rows that vanish as the store returns are kept for a while") {
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

// Guards against calls beyond the store's rate and against a wait that lasts
// longer than the bound on leaving servers.
TEST_CASE("calls are paced and failures back off within a second") {
  TableFixture table;
  table.ReadTableOnce({Put("a", 1)}, 1);
  CHECK(table.wake == table.now + Seconds(1));
  for (int i = 0; i < 20; ++i) {
    table.FailFollow(TableFailure::kRefused);
    CHECK(table.wake > table.now);
    CHECK(table.wake <= table.now + Seconds(1));
  }
}

TEST_CASE("the answer to an earlier call is dropped") {
  TableFixture table;
  table.ReadTableOnce({Put("a", 1)}, 1);
  table.TakeRows();
  table.Wait();
  const std::uint64_t old_call = table.follow->call;
  table.Step(TableFailed{old_call, TableFailure::kNoAnswer});
  table.Wait();
  table.Step(TableAnswered{old_call, {Put("a", 9)}, 9, false});
  CHECK(table.TakeRows().empty());
}

}  // namespace cicadadrum::discovery
