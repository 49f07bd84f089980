// Hands the rows of a table on to other entry VMs, so that one entry VM of a
// region reads the store for all of them.
//
// Changes are numbered by the relay itself, because the rows that a store held
// back for a while have versions below those that were handed on before them.

#ifndef CICADADRUM_DISCOVERY_RELAY_H_
#define CICADADRUM_DISCOVERY_RELAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/discovery/table.h"

namespace cicadadrum::discovery {

// What an entry VM asks of another one.
struct RelayRequest {
  std::string table;
  bool all_rows = false;       // All rows, whatever was known before.
  std::uint64_t after = 0;     // Version up to which the rows are known.
  std::uint64_t sequence = 0;  // Of the last answer; 0 if it came from another.
  Duration wait{};             // For an answer without rows.
};

struct RelayResponse {
  std::optional<TableFailure> failure;  // The members below are not set.
  std::vector<TableRow> rows;
  std::uint64_t version = 0;   // Rows are complete up to it.
  std::uint64_t sequence = 0;  // To be named with the next question.
  Duration age{};  // Time since it was known that the rows are complete.
};

// --- Events ---

// Rows that have changed, and the state of the own reads. It comes with every
// answer of the own source, also without rows.
struct RelayRowsUpdated {
  std::vector<TableRow> rows;
  std::uint64_t version = 0;    // TableState::complete_version.
  std::optional<Duration> age;  // Of the answer; nothing without an answer.
};

struct RelayRequestReceived {
  std::uint64_t call = 0;  // Never used again.
  RelayRequest request;
};

// Nobody waits for the answer any more.
struct RelayRequestCancelled {
  std::uint64_t call = 0;
};

struct RelayTimerExpired {};

using RelayEvent = std::variant<RelayRowsUpdated,
                                RelayRequestReceived,
                                RelayRequestCancelled,
                                RelayTimerExpired>;

// --- Actions ---

struct SendRelayResponse {
  std::uint64_t call = 0;
  RelayResponse response;
};

struct RelayWake {
  TimePoint at = kNever;
};

using RelayAction = std::variant<SendRelayResponse, RelayWake>;
using RelayActions = std::vector<RelayAction>;

// --- State ---

struct RelayRow {
  TableRow row;
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;  // Of the table when the row was handed on.
};

struct WaitingRequest {
  std::uint64_t call = 0;
  RelayRequest request;
  TimePoint until;
};

struct RelayState {
  bool has_data = false;
  std::uint64_t sequence = 0;  // Of the last change.
  // Removals are not known of changes up to these.
  std::uint64_t discarded_sequence = 0;
  std::uint64_t discarded_version = 0;
  std::uint64_t version = 0;
  TimePoint complete_at{};  // When the rows were last known to be complete.
  std::map<std::string, RelayRow> rows;  // By key, removals included.
  std::vector<WaitingRequest> waiting;
};

// `first_sequence` must be larger than what an earlier run has used, and not 0.
RelayState MakeRelayState(std::uint64_t first_sequence);

// Applies one event and appends the actions that follow, the last of which is
// always a RelayWake. `now` must count the time for which the VM was suspended,
// because receivers rely on the age.
void StepRelay(RelayState& state,
               const RelayEvent& event,
               TimePoint now,
               RelayActions& actions);

// --- Who reads for whom ---

// An entry VM that may hand rows on.
struct RelayCandidate {
  std::string name;
  std::string region;
};

// Returns the sources of rows for the entry VM `self`: the relay of its region
// before the store, those of other regions after it. The relay of a region is
// the same for all its entry VMs and reads the store itself.
SourcesChanged ChooseSources(const std::vector<RelayCandidate>& live,
                             const RelayCandidate& self);

}  // namespace cicadadrum::discovery

#endif  // CICADADRUM_DISCOVERY_RELAY_H_
