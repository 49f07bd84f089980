// The rows of a table: which of them a response changes, which are published,
// and which wait because the store may have lost changes.

#ifndef CICADADRUM_DISCOVERY_TABLE_ROWS_H_
#define CICADADRUM_DISCOVERY_TABLE_ROWS_H_

#include <set>
#include <string>
#include <vector>

#include "cicadadrum/discovery/table.h"

namespace cicadadrum::discovery {

// The rows of a response that lead to actions.
struct ResponseEffects {
  std::vector<TableRow> changed;
  std::set<std::string> keys_to_relay;  // As in RowsChanged.
  std::set<std::string> removed_keys;   // Removed earlier in the response.
  OldRowsIgnored ignored;
  DeferralChanged deferred{.outcome = DeferralOutcome::kDeferred};
  DeferralChanged returned{.outcome = DeferralOutcome::kReturned};
};

// Drops all but the last change of each row, because a response may contain
// several changes of one row.
void KeepLastChanges(std::vector<TableRow>& rows);

// Adds the row to the changed rows if it is newer than the last published
// change. Defers a removal that arrives during the grace period.
void ApplyRow(TableState& state,
              const TableRow& row,
              TimePoint now,
              ResponseEffects& effects);

// Applies a full read. Published rows that are absent from it are removed.
void ApplyFullRead(TableState& state, TimePoint now, ResponseEffects& effects);

// Appends the actions for the effects.
void PublishEffects(ResponseEffects effects,
                    bool is_first_read,
                    TableActions& actions);

// Whether no row and no removal waits to be published.
bool IsSettled(const TableState& state);

// Publishes deferred removals and held rows whose time has come.
void PublishDeferredChanges(TableState& state,
                            TimePoint now,
                            TableActions& actions);

}  // namespace cicadadrum::discovery

#endif  // CICADADRUM_DISCOVERY_TABLE_ROWS_H_
