// Keeps a local copy of one table of a store with versioned rows. The table is
// read in full once and then followed by requests for changes. It is read in
// full again if the store's change log no longer reaches back to the last known
// version.
//
// Calls to the store are paced, because each call has a cost and rows change
// more often than the copy has to be updated. Most entry VMs request the rows
// from a peer, another entry VM that reads the store for them. An entry VM
// calls the store directly as soon as the peer fails or reports that its copy
// is old. Every row carries the version that the store gave it, so rows may be
// applied from any source.
//
// A store may come back from an older copy of itself. It then has lost changes,
// assigns their versions again, and has a new era, which is therefore part of
// every version. The table is read in full in the new era. Published rows that
// are missing are removed only after a grace period, and rows whose removal was
// published before are held back for a while, because their writers write the
// lost changes again.

#ifndef CICADADRUM_DISCOVERY_TABLE_H_
#define CICADADRUM_DISCOVERY_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::discovery {

// How a table is read and at which pace.
struct TableOptions {
  std::string table;
  // Minimum time from a response of the store to the next request for changes.
  Duration period = Seconds(1);
  // How long the store may keep a request for changes open.
  Duration wait = Milliseconds(1500);
  // Timeout of a call to the store, in addition to `wait`. A call that hangs
  // because a link was cut delays updates after the link has recovered.
  Duration timeout = Milliseconds(700);
  // Bounds of the back-off after failed calls to the store.
  Duration min_backoff = Milliseconds(100);
  Duration max_backoff = Milliseconds(500);
  // How long removals are deferred after the store has recovered from an
  // outage. The writers of the removed rows may still be alive and write the
  // rows again within about 2 s of the recovery, which is detected up to a
  // back-off and a timeout later.
  Duration recovery_grace_period = Milliseconds(1700);
  // How long a row that was removed in an earlier era is held back if the store
  // has it again in a new era. Its writer may remove it again, or it expires.
  Duration restored_row_hold = Milliseconds(1700);
  // How long a peer may keep a request for changes open.
  Duration peer_wait = Milliseconds(300);
  // Timeout of a call to a peer, in addition to `peer_wait`.
  Duration peer_timeout = Milliseconds(300);
  // The next source replaces a peer whose rows were last known to be complete
  // longer ago than this.
  Duration max_age = Milliseconds(1300);
  // The same for RelayResponse::query_age, which then must be known. No limit
  // if unset.
  std::optional<Duration> max_query_age;
  // How long no request is sent to a peer that failed.
  Duration peer_backoff = Seconds(2);
};

// Position in the store's sequence of changes. Numbers are ordered only within
// an era, and rise within it.
struct TableVersion {
  std::uint64_t era = 0;  // 0 if unknown.
  std::uint64_t number = 0;

  auto operator<=>(const TableVersion&) const = default;
};

// One row, or the removal of one.
struct TableRow {
  std::string key;
  std::string value;     // Decoded bytes; empty for a removal.
  TableVersion version;  // Assigned by the store.
  bool removed = false;
};

// --- Events ---

// Why a call brought no rows.
enum class TableFailure : std::uint8_t {
  kHistoryLost,  // The change log no longer reaches back to the version.
  kRefused,      // The source responded with an error and did nothing.
  kNoAnswer,     // No response arrived in time.
  kBehind,       // The peer's rows are older than those of the requester.
};

// The time of the last TableWake has come.
struct TableTimerExpired {};

// Names of the peers that may be called, by descending preference: those that
// are preferred to the store, and those to which the store is preferred.
struct SourcesChanged {
  std::vector<std::string> before_store;
  std::vector<std::string> after_store;
};

// A source responded to the call with this number. An unknown era stands for
// the last known one.
struct TableAnswered {
  std::uint64_t call = 0;
  std::vector<TableRow> rows;
  TableVersion version;   // Of the source's table at this response.
  bool has_more = false;  // The response covers only part of the table.
  // Set by peers only: the number of the peer's last change, and the time since
  // the peer's rows were known to be complete.
  std::uint64_t sequence = 0;
  Duration age{};
  // Set by peers only: as in RelayResponse.
  std::optional<Duration> query_age;
  TableVersion history_begin;
  // Time from the call to this response, with the time for which the VM was
  // suspended.
  Duration delay{};
};

// The call with this number failed.
struct TableFailed {
  std::uint64_t call = 0;
  TableFailure failure = TableFailure::kNoAnswer;
  std::uint64_t era = 0;  // Of the source's table; 0 if unknown.
};

using TableEvent =
    std::variant<TableTimerExpired, SourcesChanged, TableAnswered, TableFailed>;

// --- Actions ---
//
// At most one call is open at a time. Each ReadTable and FollowTable must be
// answered by a TableAnswered or a TableFailed with its call number, when its
// timeout has passed at the latest, unless a response is arriving.

// Read the rows with keys from `from` on.
struct ReadTable {
  std::uint64_t call = 0;  // Unique within a TableState.
  std::string peer;        // Empty for the store.
  std::string from;        // Empty for the first row; peers return all rows.
  Duration timeout{};
};

// Request the rows that changed after the version `after`.
struct FollowTable {
  std::uint64_t call = 0;
  std::string peer;  // Empty for the store.
  TableVersion after;
  std::uint64_t sequence = 0;  // Of the peer's last response; 0 if unknown.
  Duration wait{};             // How long the source may keep the call open.
  Duration timeout{};          // Of the call in total, including `wait`.
};

// Apply these new, changed and removed rows.
struct RowsChanged {
  std::vector<TableRow> rows;
  bool is_first_read = false;  // This is the first full read of this process.
  // Keys of rows that other entry VMs must receive even if they change nothing
  // here: others may have received a removal before the row, from another
  // source.
  std::set<std::string> keys_to_relay;
};

// All changes of the table up to `age` ago are known.
struct TableConfirmed {
  Duration age{};
  // Time since the oldest query behind the response was sent, over all relays.
  // Nothing if unknown, or if the table is not settled.
  std::optional<Duration> query_age;
  // The store has not come back from an older copy of itself just now. Until
  // the table is settled, lost changes may be missing.
  bool is_settled = true;
};

// A response showed a new era of the store.
struct EraChanged {
  std::uint64_t old_era = 0;
  std::uint64_t new_era = 0;
  TableVersion version;  // Last known version of the table.
};

// A full read in a new era has been applied.
struct RestoredTableRead {
  std::size_t held_rows = 0;
  std::size_t deferred_removals = 0;
};

// Each held row and each deferred removal of a RestoredTableRead has been
// published or replaced by a later change.
struct RestoredTableSettled {
  TableVersion version;  // TableState::complete_version.
};

// Rows of a response were not applied, because a newer version of each of them
// had been applied before.
struct OldRowsIgnored {
  std::size_t count = 0;
  std::string key;  // Of the last of the rows, as an example.
  TableVersion version;
  TableVersion known_version;
};

// What became of removals that the grace period concerns.
enum class DeferralOutcome : std::uint8_t {
  kDeferred,   // They will be published when the grace period ends.
  kReturned,   // Their rows were written again, and stay published.
  kPublished,  // The grace period has ended.
};

// Removals were deferred, or deferred removals ended in one of two ways.
struct DeferralChanged {
  DeferralOutcome outcome{};
  std::size_t rows = 0;
  std::string key;  // Of the last of the rows, as an example.
  TableVersion version;
};

// The store became unreachable or reachable.
struct StoreReachabilityChanged {
  bool reachable = true;
};

// The next call goes to another source than the last one.
struct SourceSelected {
  std::string peer;  // Empty for the store.
};

// Send a TableTimerExpired at this time. Replaces the last TableWake.
struct TableWake {
  TimePoint at = kNever;
};

using TableAction = std::variant<ReadTable,
                                 FollowTable,
                                 RowsChanged,
                                 TableConfirmed,
                                 EraChanged,
                                 RestoredTableRead,
                                 RestoredTableSettled,
                                 OldRowsIgnored,
                                 DeferralChanged,
                                 StoreReachabilityChanged,
                                 SourceSelected,
                                 TableWake>;
using TableActions = std::vector<TableAction>;

// --- State ---

enum class TablePhase : std::uint8_t { kUnread, kFollowing };

// The store, or a peer from which the table can be read.
struct TableSource {
  std::string peer;           // Empty for the store.
  TimePoint backoff_until{};  // No call before this time, after a failure.
};

// The last published removal of a key.
struct RemovedRow {
  TableVersion version;
  TimePoint removed_at;
};

struct TableState {
  TableOptions options;
  // By descending preference. The store is always among them.
  std::vector<TableSource> sources = {{}};
  std::string call_peer;       // Target of the last call; empty for the store.
  std::string full_read_peer;  // Source of the full read in progress.
  std::string sequence_peer;   // The peer that `sequence` belongs to.
  std::uint64_t sequence = 0;
  // Time of the last peer response that was neither old nor behind.
  TimePoint fresh_peer_answer_at{-Seconds(60)};
  Random random;
  TablePhase phase = TablePhase::kUnread;
  bool initial_read_done = false;
  // The newest era of the store that a response showed. The era rises each time
  // the store loses changes. 0 stands for an unknown era.
  std::uint64_t era = 0;
  TableVersion version;  // All changes up to it have been received.
  // Of the rows that were received. Above `version` if a peer passed rows on
  // while it deferred removals or held rows.
  TableVersion newest_row_version;
  // The published rows are complete up to this version. The version does not
  // advance while removals are deferred or rows are held, because a reader that
  // continues from it receives no older changes.
  TableVersion complete_version;
  // Versions of the rows that were published and not removed since, by key.
  std::map<std::string, TableVersion> published_versions;
  // Removals of the last minute, by key; no key is also in published_versions.
  std::map<std::string, RemovedRow> removed_rows;
  std::vector<TableRow> full_read_rows;  // Of the full read in progress.
  TableVersion full_read_version;
  // Of the last full read, here or at a peer that the rows came from. Rows that
  // were added and removed, or removed and added, before it are unknown.
  TableVersion history_begin;
  std::uint64_t next_call = 1;
  std::uint64_t open_call = 0;  // 0 if none.
  Duration call_wait{};  // How long the source may keep the last call open.
  TimePoint next_call_at{};
  std::uint32_t consecutive_failures = 0;  // Of calls to the store.
  bool reachable = true;                   // The last reported state.
  TimePoint failing_since{};               // Set while the store fails.
  // End of the grace period after the store has recovered.
  TimePoint removals_deferred_until{};
  // Versions of removals that are not published yet, by key.
  std::map<std::string, TableVersion> deferred_removals;
  // Rows of the new era that are not published yet, by key; see
  // TableOptions::restored_row_hold.
  std::map<std::string, TableRow> held_rows;
  TimePoint rows_held_until{};
  bool settles_restored_table = false;  // A RestoredTableSettled is to follow.
  // After a restore of the store, answers to earlier queries may lack changes
  // that are written again.
  TimePoint settled_from = TimePoint::min();
};

// Returns the state of a table that has not been read. `seed` determines the
// jitter of the back-off.
TableState MakeTableState(TableOptions options, std::uint64_t seed);

// Applies one event and appends the actions that follow, the last of which is
// always a TableWake. The first event must be a SourcesChanged or a
// TableTimerExpired; the latter starts the first call.
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
struct EnumNames<discovery::DeferralOutcome> {
  static constexpr auto kTable =
      std::to_array<EnumName<discovery::DeferralOutcome>>({
          {discovery::DeferralOutcome::kDeferred, "deferred"},
          {discovery::DeferralOutcome::kReturned, "returned"},
          {discovery::DeferralOutcome::kPublished, "published"},
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
