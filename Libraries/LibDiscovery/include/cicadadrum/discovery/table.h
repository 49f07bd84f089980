// Follows one table of a store that keeps versioned rows: reads it whole once,
// then asks for changes, and reads it whole again when the changes in between
// are forgotten.
//
// Calls to the store are paced, because each has a price and the rows change
// more often than anybody needs to know. Most entry VMs ask another one that
// reads the store for them, and the store itself as soon as that one fails or
// says that its own knowledge is old. Rows are facts of the store with
// versions, so they are taken from any source.

#ifndef CICADADRUM_DISCOVERY_TABLE_H_
#define CICADADRUM_DISCOVERY_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::discovery {

struct TableOptions {
  std::string table;
  // Least time from one answer to the next call for changes.
  Duration period = Seconds(1);
  // How long the store may keep a call for changes open.
  Duration wait = Milliseconds(1500);
  // Of a call, beside `wait`. A call that hangs since a link was cut delays the
  // news after the link is back.
  Duration timeout = Milliseconds(700);
  Duration min_backoff = Milliseconds(100);
  Duration max_backoff = Milliseconds(500);
  // Rows that vanish while the store comes back are kept this long, because
  // their writers may still be there and write them again within about 2 s of
  // the return, which is seen up to a back-off and a timeout later.
  Duration recovery_grace_period = Milliseconds(1700);
  // How long a peer may keep a call for changes open, and the time beyond it
  // after which the call has failed.
  Duration peer_wait = Milliseconds(300);
  Duration peer_timeout = Milliseconds(300);
  // A peer whose rows have not been known to be complete for longer than this
  // is left for the next source.
  Duration max_age = Milliseconds(1300);
  // For which a peer that failed is not asked.
  Duration peer_backoff = Seconds(2);
};

struct TableRow {
  std::string key;
  std::string value;  // Decoded bytes.
  std::uint64_t version = 0;
  bool removed = false;
};

// --- Events ---

enum class TableFailure : std::uint8_t {
  kHistoryLost,  // The changes since the version are not available.
  kRefused,      // The store answered and did nothing.
  kNoAnswer,
  kBehind,  // A peer knows less than the asker.
};

// The time of the last TableWake has come.
struct TableTimerExpired {};

// Peers to ask, by name, in this order: some before the store, some after it.
struct SourcesChanged {
  std::vector<std::string> before_store;
  std::vector<std::string> after_store;
};

struct TableAnswered {
  std::uint64_t call = 0;
  std::vector<TableRow> rows;
  std::uint64_t version = 0;  // Of the store at this answer.
  bool has_more = false;      // Only part of the table was read.
  // Of a peer: its number of the last change, and the age of what it knows.
  std::uint64_t sequence = 0;
  Duration age{};
};

struct TableFailed {
  std::uint64_t call = 0;
  TableFailure failure = TableFailure::kNoAnswer;
};

using TableEvent =
    std::variant<TableTimerExpired, SourcesChanged, TableAnswered, TableFailed>;

// --- Actions ---

// Read rows from the key `from` on.
struct ReadTable {
  std::uint64_t call = 0;  // Never used again.
  std::string peer;        // Empty for the store.
  std::string from;        // Empty for the first row; a peer gives all rows.
  Duration timeout{};
};

// Ask for the rows that changed after `after`.
struct FollowTable {
  std::uint64_t call = 0;
  std::string peer;  // Empty for the store.
  std::uint64_t after = 0;
  std::uint64_t sequence = 0;  // Of the peer's last answer; 0 for none.
  Duration wait{};
  Duration timeout{};  // Of the whole call.
};

// Rows that are new or changed, and keys that are gone. `first` marks the first
// whole read of this process.
struct RowsChanged {
  std::vector<TableRow> rows;
  bool is_first_read = false;
};

// The store was found out of reach or back.
struct StoreReachabilityChanged {
  bool reachable = true;
};

// Another source than the last one is asked.
struct SourceSelected {
  std::string peer;  // Empty for the store.
};

struct TableWake {
  TimePoint at = kNever;
};

using TableAction = std::variant<ReadTable,
                                 FollowTable,
                                 RowsChanged,
                                 StoreReachabilityChanged,
                                 SourceSelected,
                                 TableWake>;
using TableActions = std::vector<TableAction>;

// --- State ---

enum class TablePhase : std::uint8_t { kUnread, kFollowing };

// Where the table is read.
struct TableSource {
  std::string peer;           // Empty for the store.
  TimePoint backoff_until{};  // After a failure.
};

struct TableState {
  TableOptions options;
  // In the order in which they are tried. The store is always among them.
  std::vector<TableSource> sources = {{}};
  std::string call_peer;       // Of the open call; empty for the store.
  std::string full_read_peer;  // Of the whole read under way.
  std::string sequence_peer;   // Whose `sequence` is known.
  std::uint64_t sequence = 0;
  TimePoint fresh_peer_answer_at{
      -Seconds(60)};  // Last answer that was not old.
  Random random;
  TablePhase phase = TablePhase::kUnread;
  bool initial_read_done = false;
  std::uint64_t version = 0;  // Followed up to here.
  // The rows that were given out are complete up to here. It stands still while
  // removals are held back, because who goes on from it gets nothing older.
  std::uint64_t complete_version = 0;
  // Invariant: the keys that were given out as present, with their versions.
  std::map<std::string, std::uint64_t> published_versions;
  std::vector<TableRow> full_read_rows;  // Of the whole read under way.
  std::uint64_t full_read_version = 0;
  std::uint64_t next_call = 1;
  std::uint64_t open_call = 0;  // 0 if none.
  TimePoint next_call_at{};
  std::uint32_t consecutive_failures = 0;  // In a row.
  bool reachable = true;
  TimePoint failing_since{};
  TimePoint removals_deferred_until{};  // After the store's return.
  std::map<std::string, std::uint64_t>
      deferred_removals;  // Removals held back.
};

TableState MakeTableState(TableOptions options, std::uint64_t seed);

// Applies one event and appends the actions that follow, the last of which is
// always a TableWake. The first event is a TableTimerExpired.
void StepTable(TableState& state,
               const TableEvent& event,
               TimePoint now,
               TableActions& actions);

}  // namespace cicadadrum::discovery

namespace cicadadrum {

template <>
struct EnumNames<discovery::TableFailure> {
  static constexpr auto kTable =
      std::to_array<EnumName<discovery::TableFailure>>({
          {discovery::TableFailure::kHistoryLost, "history-lost"},
          {discovery::TableFailure::kRefused, "refused"},
          {discovery::TableFailure::kNoAnswer, "no-answer"},
          {discovery::TableFailure::kBehind, "behind"},
      });
};

template <>
struct EnumNames<discovery::TablePhase> {
  static constexpr auto kTable =
      std::to_array<EnumName<discovery::TablePhase>>({
          {discovery::TablePhase::kUnread, "unread"},
          {discovery::TablePhase::kFollowing, "following"},
      });
};

}  // namespace cicadadrum

#endif  // CICADADRUM_DISCOVERY_TABLE_H_
