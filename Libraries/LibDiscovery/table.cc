// Reading and following a table.

#include "cicadadrum/discovery/table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cicadadrum::discovery {

namespace {

// Failures shorter than this let no row of a live writer lapse.
constexpr Duration kShortestOutage = Seconds(1);

// Failures in a row after which the store counts as out of reach.
constexpr std::uint32_t kFailuresToReport = 2;

void StartCall(TableState& state, TableActions& actions) {
  state.open_call = state.next_call++;
  state.next_at = kNever;
  if (state.phase == TablePhase::kUnread) {
    // A zero byte makes the key the next one after the last row read.
    const std::string from =
        state.pages.empty() ? std::string()
                            : state.pages.back().key + std::string(1, '\0');
    actions.emplace_back(ReadTable{.call = state.open_call,
                                   .from = from,
                                   .timeout = state.options.timeout});
    return;
  }
  actions.emplace_back(
      FollowTable{.call = state.open_call,
                  .after = state.version,
                  .wait = state.options.wait,
                  .timeout = state.options.wait + state.options.timeout});
}

// A feed may hold several changes of one row, of which the last one counts.
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

// Adds the row to `changed` unless it must wait for the end of the grace.
void TakeRow(TableState& state,
             const TableRow& row,
             TimePoint now,
             std::vector<TableRow>& changed) {
  if (!row.removed) {
    state.vanished.erase(row.key);
    std::uint64_t& version = state.known[row.key];
    if (version == row.version)
      return;
    version = row.version;
    changed.push_back(row);
    return;
  }
  if (!state.known.contains(row.key))
    return;
  if (now < state.grace_until) {
    state.vanished[row.key] = row.version;
    return;
  }
  state.known.erase(row.key);
  changed.push_back(row);
}

// Rows that a whole read lacks are gone.
void TakeWhole(TableState& state, TimePoint now, RowsChanged& changed) {
  std::set<std::string> present;
  for (const TableRow& row : state.pages) {
    present.insert(row.key);
    TakeRow(state, row, now, changed.rows);
  }
  std::vector<std::string> absent;
  for (const auto& [key, version] : state.known) {
    if (!present.contains(key))
      absent.push_back(key);
  }
  for (const std::string& key : absent) {
    TakeRow(state,
            {.key = key, .version = state.pages_version, .removed = true}, now,
            changed.rows);
  }
  state.pages.clear();
  changed.first = !state.ever_read;
  state.ever_read = true;
}

void EndGrace(TableState& state, TimePoint now, TableActions& actions) {
  if (state.vanished.empty() || now < state.grace_until)
    return;
  RowsChanged changed;
  for (const auto& [key, version] : state.vanished) {
    state.known.erase(key);
    changed.rows.push_back({.key = key, .version = version, .removed = true});
  }
  state.vanished.clear();
  actions.emplace_back(std::move(changed));
}

void NoteSuccess(TableState& state, TimePoint now, TableActions& actions) {
  if (state.failures > 0 && now - state.failing_since >= kShortestOutage)
    state.grace_until = now + state.options.return_grace;
  if (!state.reachable)
    actions.emplace_back(StoreReach{true});
  state.reachable = true;
  state.failures = 0;
}

void Apply(TableState& state,
           const TableTick& /*event*/,
           TimePoint now,
           TableActions& actions) {
  EndGrace(state, now, actions);
  if (state.open_call == 0 && now >= state.next_at)
    StartCall(state, actions);
}

void Apply(TableState& state,
           const TableAnswered& event,
           TimePoint now,
           TableActions& actions) {
  if (event.call != state.open_call)
    return;
  state.open_call = 0;
  NoteSuccess(state, now, actions);
  if (state.phase == TablePhase::kUnread) {
    if (state.pages.empty())
      state.pages_version = event.version;
    state.pages.insert(state.pages.end(), event.rows.begin(), event.rows.end());
    if (event.more && !event.rows.empty())
      return StartCall(state, actions);
    // Changes made while the pages were read come with the first feed.
    state.version = state.pages_version;
    state.phase = TablePhase::kFollowing;
    RowsChanged changed;
    TakeWhole(state, now, changed);
    if (!changed.rows.empty() || changed.first)
      actions.emplace_back(std::move(changed));
  } else {
    RowsChanged changed;
    for (const TableRow& row : event.rows)
      TakeRow(state, row, now, changed.rows);
    KeepLastChanges(changed.rows);
    state.version = std::max(state.version, event.version);
    if (!changed.rows.empty())
      actions.emplace_back(std::move(changed));
  }
  state.next_at = now + state.options.period;
}

void Apply(TableState& state,
           const TableFailed& event,
           TimePoint now,
           TableActions& actions) {
  if (event.call != state.open_call)
    return;
  state.open_call = 0;
  if (event.failure == TableFailure::kHistoryLost) {
    state.phase = TablePhase::kUnread;
    state.pages.clear();
    return StartCall(state, actions);
  }
  if (state.failures++ == 0)
    state.failing_since = now;
  if (state.failures == kFailuresToReport && state.reachable) {
    state.reachable = false;
    actions.emplace_back(StoreReach{false});
  }
  const std::uint32_t doublings = std::min<std::uint32_t>(state.failures, 5);
  const Duration longest =
      std::min(state.options.longest_backoff,
               state.options.shortest_backoff * (1 << doublings));
  const auto jitter = static_cast<std::int64_t>(
      RandomUnit(state.random) * static_cast<double>(longest.count()) / 2);
  state.next_at = now + longest / 2 + Duration(jitter);
}

}  // namespace

TableState MakeTableState(TableOptions options, std::uint64_t seed) {
  TableState state;
  state.options = std::move(options);
  state.random.state = seed;
  return state;
}

void StepTable(TableState& state,
               const TableEvent& event,
               TimePoint now,
               TableActions& actions) {
  std::visit([&](const auto& present) { Apply(state, present, now, actions); },
             event);
  TimePoint at = state.open_call == 0 ? state.next_at : kNever;
  if (!state.vanished.empty())
    at = std::min(at, state.grace_until);
  actions.emplace_back(TableWake{at});
}

}  // namespace cicadadrum::discovery
