// Applies the rows of responses to the state of a table.

#include "table_rows.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cicadadrum::discovery {

namespace {

// Removals are remembered for this time, which is longer than the age of a copy
// from which a store comes back, and only up to this number.
constexpr Duration kRemovalMemory = Seconds(60);
constexpr std::size_t kMaxRemovedRows = 512;

void RecordIgnoredRow(const TableRow& row,
                      TableVersion known_version,
                      OldRowsIgnored& ignored) {
  ++ignored.count;
  ignored.key = row.key;
  ignored.version = row.version;
  ignored.known_version = known_version;
}

void RecordDeferral(const std::string& key,
                    TableVersion version,
                    DeferralChanged& change) {
  ++change.rows;
  change.key = key;
  change.version = version;
}

void Publish(TableState& state,
             const TableRow& row,
             std::vector<TableRow>& changed) {
  state.removed_rows.erase(row.key);
  state.published_versions[row.key] = row.version;
  changed.push_back(row);
}

void DiscardOldRemovals(TableState& state, TimePoint now) {
  std::erase_if(state.removed_rows, [&](const auto& entry) {
    return now - entry.second.removed_at > kRemovalMemory;
  });
  if (state.removed_rows.size() > kMaxRemovedRows)
    state.removed_rows.erase(
        std::min_element(state.removed_rows.begin(), state.removed_rows.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.removed_at < b.second.removed_at;
                         }));
}

void PublishRemoval(TableState& state,
                    const TableRow& removal,
                    TimePoint now,
                    std::vector<TableRow>& changed) {
  state.published_versions.erase(removal.key);
  state.removed_rows[removal.key] = {removal.version, now};
  DiscardOldRemovals(state, now);
  changed.push_back(removal);
}

// Returns the version of the row's last published change, or null if the row is
// unknown.
const TableVersion* FindKnownVersion(const TableState& state,
                                     const std::string& key) {
  const auto published = state.published_versions.find(key);
  if (published != state.published_versions.end())
    return &published->second;
  const auto removed = state.removed_rows.find(key);
  return removed == state.removed_rows.end() ? nullptr
                                             : &removed->second.version;
}

// Whether a row of a full read is held back: the store has it again although
// its removal was published in an earlier era.
bool IsHeldBack(const TableState& state, const TableRow& row) {
  const auto removed = state.removed_rows.find(row.key);
  // Peers have published what they pass on.
  return state.full_read_peer.empty() && removed != state.removed_rows.end() &&
         removed->second.version.era < row.version.era;
}

// Returns the newest removal of the row that was published or is deferred, or
// null.
const TableVersion* FindRemoval(const TableState& state,
                                const std::string& key) {
  const auto deferred = state.deferred_removals.find(key);
  if (deferred != state.deferred_removals.end())
    return &deferred->second;
  const auto removed = state.removed_rows.find(key);
  return removed == state.removed_rows.end() ? nullptr
                                             : &removed->second.version;
}

// Returns the row of a full read with a version above that of an earlier
// removal. A peer does not know the row's last version if the row was written
// again without a change.
TableRow WithVersionOfRead(const TableState& state, TableRow row) {
  const TableVersion* removal = FindRemoval(state, row.key);
  if (removal != nullptr && row.version < *removal &&
      *removal < state.full_read_version)
    row.version = state.full_read_version;
  return row;
}

}  // namespace

void KeepLastChanges(std::vector<TableRow>& rows) {
  std::set<std::string> seen;
  std::vector<TableRow> last;
  for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
    if (seen.insert(row->key).second)
      last.push_back(std::move(*row));
  }
  std::reverse(last.begin(), last.end());
  rows = std::move(last);
}

void ApplyRow(TableState& state,
              const TableRow& row,
              TimePoint now,
              ResponseEffects& effects) {
  state.newest_row_version = std::max(state.newest_row_version, row.version);
  const TableVersion* known = FindKnownVersion(state, row.key);
  // The response of another source may contain an older version.
  if (known != nullptr && row.version < *known)
    return RecordIgnoredRow(row, *known, effects.ignored);
  const auto held = state.held_rows.find(row.key);
  if (held != state.held_rows.end() && held->second.version < row.version)
    state.held_rows.erase(held);
  if (!row.removed) {
    bool follows_removal = effects.removed_keys.contains(row.key);
    const auto deferred = state.deferred_removals.find(row.key);
    if (deferred != state.deferred_removals.end() &&
        deferred->second < row.version) {
      state.deferred_removals.erase(deferred);
      RecordDeferral(row.key, row.version, effects.returned);
      follows_removal = true;
    }
    if (known != nullptr && *known == row.version)
      return;
    if (follows_removal)
      effects.keys_to_relay.insert(row.key);
    return Publish(state, row, effects.changed);
  }
  effects.removed_keys.insert(row.key);
  // A removal of an unknown row is published too: a follower may have the row
  // from another source.
  const bool is_published = state.published_versions.contains(row.key);
  if (is_published && now < state.removals_deferred_until) {
    state.deferred_removals[row.key] = row.version;
    RecordDeferral(row.key, row.version, effects.deferred);
  } else if (is_published || known == nullptr || *known < row.version) {
    PublishRemoval(state, row, now, effects.changed);
  }
}

void ApplyFullRead(TableState& state, TimePoint now, ResponseEffects& effects) {
  std::set<std::string> present;
  state.held_rows.clear();
  for (const TableRow& row : state.full_read_rows) {
    present.insert(row.key);
    // A follower may go on from the version of the read.
    if (row.version > state.full_read_version)
      effects.keys_to_relay.insert(row.key);
    if (IsHeldBack(state, row))
      state.held_rows[row.key] = row;
    else
      ApplyRow(state, WithVersionOfRead(state, row), now, effects);
  }
  std::vector<std::string> absent;
  for (const auto& [key, version] : state.published_versions) {
    if (!present.contains(key))
      absent.push_back(key);
  }
  for (const std::string& key : absent) {
    ApplyRow(state,
             {.key = key, .version = state.full_read_version, .removed = true},
             now, effects);
  }
  state.full_read_rows.clear();
}

void PublishEffects(ResponseEffects effects,
                    bool is_first_read,
                    TableActions& actions) {
  if (!effects.changed.empty() || is_first_read)
    actions.emplace_back(RowsChanged{std::move(effects.changed), is_first_read,
                                     std::move(effects.keys_to_relay)});
  if (effects.ignored.count > 0)
    actions.emplace_back(std::move(effects.ignored));
  for (DeferralChanged* change : {&effects.deferred, &effects.returned}) {
    if (change->rows > 0)
      actions.emplace_back(std::move(*change));
  }
}

bool IsSettled(const TableState& state) {
  return state.deferred_removals.empty() && state.held_rows.empty();
}

void PublishDeferredChanges(TableState& state,
                            TimePoint now,
                            TableActions& actions) {
  RowsChanged changed;
  DeferralChanged published{.outcome = DeferralOutcome::kPublished};
  if (now >= state.removals_deferred_until) {
    for (const auto& [key, version] :
         std::exchange(state.deferred_removals, {})) {
      RecordDeferral(key, version, published);
      PublishRemoval(state, {.key = key, .version = version, .removed = true},
                     now, changed.rows);
    }
  }
  if (now >= state.rows_held_until) {
    for (const auto& [key, row] : std::exchange(state.held_rows, {}))
      Publish(state, row, changed.rows);
  }
  if (!changed.rows.empty())
    actions.emplace_back(std::move(changed));
  if (published.rows > 0)
    actions.emplace_back(std::move(published));
}

}  // namespace cicadadrum::discovery
