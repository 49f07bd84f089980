// Passes the rows of a table to other entry VMs, so that one entry VM of a
// region, the region's relay, reads the store for all of them.
//
// The relay numbers changes itself: the store's versions give no order, because
// a removal that was deferred for a while has a version below those of the
// changes that were passed on before it.
//
// A row that was written again without a change is not passed on, as long as
// every other entry VM has it. One that may have received its removal, from the
// store or from another relay, has not: it takes the version that the relay
// confirms for the statement that the row is still removed.

#ifndef CICADADRUM_DISCOVERY_RELAY_H_
#define CICADADRUM_DISCOVERY_RELAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/discovery/table.h"

namespace cicadadrum::discovery {

// A request of one entry VM to another for the rows of a table.
struct RelayRequest {
  std::string table;
  bool all_rows = false;  // Return all rows, whatever the requester has.
  // The requester has all changes up to this version. An unknown era stands for
  // the era of the receiver.
  TableVersion after;
  // Of the last response of this relay; 0 if another source gave the rows.
  std::uint64_t sequence = 0;
  Duration wait{};  // How long to wait for a change before responding.
};

struct RelayResponse {
  // If set, only the era of `version` is set among the members below.
  std::optional<TableFailure> failure;
  std::vector<TableRow> rows;
  TableVersion version;        // The rows are complete up to it.
  std::uint64_t sequence = 0;  // To be sent with the next request.
  Duration age{};  // Time since the rows were last known to be complete.
  // Time since the query was sent whose answer confirmed the rows, over all
  // relays; nothing if unknown.
  std::optional<Duration> query_age;
  TableVersion history_begin;  // RelayState::history_begin.
};

// --- Events ---

// This entry VM's table has changed, or a source of the table has responded.
// The event is sent for every response, even if no row has changed.
struct RelayRowsUpdated {
  std::vector<TableRow> rows;
  TableVersion version;               // TableState::complete_version.
  TableVersion history_begin;         // TableState::history_begin.
  std::optional<Duration> age;        // Of the response, if there was one.
  std::optional<Duration> query_age;  // As in TableConfirmed.
};

struct RelayRequestReceived {
  std::uint64_t call = 0;  // Unique within a RelayState.
  RelayRequest request;
};

// The requester no longer waits for the response.
struct RelayRequestCancelled {
  std::uint64_t call = 0;
};

// The time of the last RelayWake has come.
struct RelayTimerExpired {};

using RelayEvent = std::variant<RelayRowsUpdated,
                                RelayRequestReceived,
                                RelayRequestCancelled,
                                RelayTimerExpired>;

// --- Actions ---

// Respond to the call. Each RelayRequestReceived leads to exactly one, unless
// the request is cancelled first.
struct SendRelayResponse {
  std::uint64_t call = 0;
  RelayResponse response;
};

// Send a RelayTimerExpired at this time. Replaces the last RelayWake.
struct RelayWake {
  TimePoint at = kNever;
};

using RelayAction = std::variant<SendRelayResponse, RelayWake>;
using RelayActions = std::vector<RelayAction>;

// --- State ---

struct RelayRow {
  TableRow row;
  std::uint64_t sequence = 0;  // Number of the row's last change.
  // Of the table when the row was passed on, or the higher one of the row.
  TableVersion version;
};

// A request that waits for the next change.
struct WaitingRequest {
  std::uint64_t call = 0;
  RelayRequest request;
  TimePoint until;
};

struct RelayState {
  bool has_data = false;       // The first RelayRowsUpdated has arrived.
  std::uint64_t sequence = 0;  // Of the last change.
  // Removals among the changes up to these numbers have been discarded, or are
  // unknown because the table was read in full.
  std::uint64_t discarded_sequence = 0;
  TableVersion discarded_version;
  // TableState::history_begin. Requesters that continue from a response take it
  // over, because they pass on no more of the history than this relay.
  TableVersion history_begin;
  TableVersion version;     // The rows are complete up to it.
  TimePoint complete_at{};  // When the rows were last known to be complete.
  // When the last query was sent whose answer confirmed the rows. Rows of a new
  // era may be older than those that were confirmed before.
  std::optional<TimePoint> queried_at;
  std::uint64_t rows_era = 0;            // The newest of the rows.
  std::map<std::string, RelayRow> rows;  // By key, removals included.
  std::vector<WaitingRequest> waiting;
};

// Returns the changed rows that are passed on. `needed_keys` are the keys of
// the rows whose new content other entry VMs need.
std::vector<TableRow> SelectRowsToRelay(
    const RowsChanged& changed,
    const std::set<std::string>& needed_keys);

// Returns the state of a relay without rows. `first_sequence` must not be 0 and
// must be larger than every sequence that an earlier run of this entry VM used.
RelayState MakeRelayState(std::uint64_t first_sequence);

// Applies one event and appends the actions that follow, the last of which is
// always a RelayWake. `now` must include the time for which the VM was
// suspended, because receivers rely on the age.
void StepRelay(RelayState& state,
               const RelayEvent& event,
               TimePoint now,
               RelayActions& actions);

// --- Selection of relays ---

// An entry VM that can be a relay.
struct RelayCandidate {
  std::string name;
  std::string region;
  double link_megabits_per_second = 0;  // 0 if unknown.
};

// Returns the sources of rows for the entry VM `self`: the relay of its region
// before the store, the relays of other regions after the store. All entry VMs
// of a region choose the same relay for it, provided that `live` is the same;
// the relay itself reads the store.
SourcesChanged ChooseSources(const std::vector<RelayCandidate>& live,
                             const RelayCandidate& self);

}  // namespace cicadadrum::discovery

#endif  // CICADADRUM_DISCOVERY_RELAY_H_
