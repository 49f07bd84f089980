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

// While peers answer, a store that fails is tried again after this time only.
constexpr Duration kStoreRestWithPeers = Seconds(2);
constexpr Duration kPeerMemory = Seconds(1);

// Least time between calls to a peer that answers at once.
constexpr Duration kPeerPeriod = Milliseconds(20);

TableSource* FindSource(TableState& state, const std::string& peer) {
  for (TableSource& source : state.sources) {
    if (source.peer == peer)
      return &source;
  }
  return nullptr;
}

// A table that is not known at all comes from the store if possible, because a
// relay would have to send it to each entry VM of its region.
TableSource& FirstRested(TableState& state, TimePoint now) {
  if (state.phase == TablePhase::kUnread) {
    TableSource* store = FindSource(state, {});
    if (store->rests_until <= now)
      return *store;
  }
  for (TableSource& source : state.sources) {
    if (source.rests_until <= now)
      return source;
  }
  return *std::min_element(state.sources.begin(), state.sources.end(),
                           [](const TableSource& a, const TableSource& b) {
                             return a.rests_until < b.rests_until;
                           });
}

// Asks the first source that is not resting, or waits for one.
void StartCall(TableState& state, TimePoint now, TableActions& actions) {
  const TableSource& source = FirstRested(state, now);
  if (source.rests_until > now) {
    state.next_at = source.rests_until;
    return;
  }
  const TableOptions& options = state.options;
  const bool at_peer = !source.peer.empty();
  state.open_call = state.next_call++;
  state.next_at = kNever;
  if (state.asked_peer != source.peer)
    actions.emplace_back(SourceSelected{source.peer});
  state.asked_peer = source.peer;
  const Duration timeout = at_peer ? options.peer_timeout : options.timeout;
  if (state.phase == TablePhase::kUnread) {
    if (state.pages_peer != source.peer)
      state.pages.clear();
    state.pages_peer = source.peer;
    // A zero byte makes the key the next one after the last row read.
    const std::string from =
        state.pages.empty() ? std::string()
                            : state.pages.back().key + std::string(1, '\0');
    actions.emplace_back(ReadTable{.call = state.open_call,
                                   .peer = source.peer,
                                   .from = from,
                                   .timeout = timeout});
    return;
  }
  const bool is_followed = at_peer && state.followed_peer == source.peer;
  const Duration wait = at_peer ? options.peer_wait : options.wait;
  actions.emplace_back(FollowTable{.call = state.open_call,
                                   .peer = source.peer,
                                   .after = state.version,
                                   .sequence = is_followed ? state.sequence : 0,
                                   .wait = wait,
                                   .timeout = wait + timeout});
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
    // Another source may know an older one.
    if (version >= row.version)
      return;
    version = row.version;
    changed.push_back(row);
    return;
  }
  const auto known = state.known.find(row.key);
  if (known == state.known.end() || row.version < known->second)
    return;
  if (now < state.grace_until) {
    state.vanished[row.key] = row.version;
    return;
  }
  state.known.erase(known);
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
    actions.emplace_back(StoreReachabilityChanged{true});
  state.reachable = true;
  state.failures = 0;
}

void Apply(TableState& state,
           const TableTimerExpired& /*event*/,
           TimePoint now,
           TableActions& actions) {
  EndGrace(state, now, actions);
  if (state.open_call == 0 && now >= state.next_at)
    StartCall(state, now, actions);
}

void Apply(TableState& state,
           const SourcesChanged& event,
           TimePoint /*now*/,
           TableActions& /*actions*/) {
  std::vector<TableSource> sources;
  const auto add = [&](const std::string& peer) {
    const TableSource* known = FindSource(state, peer);
    sources.push_back(known == nullptr ? TableSource{.peer = peer} : *known);
  };
  for (const std::string& peer : event.before_store)
    add(peer);
  add({});
  for (const std::string& peer : event.after_store)
    add(peer);
  state.sources = std::move(sources);
}

// An answer of a peer counts as a failure if what it knows is old or less than
// what is known here. Returns whether the rows may be used all the same.
bool CheckPeer(TableState& state, const TableAnswered& event, TimePoint now) {
  if (state.asked_peer.empty())
    return true;
  const bool is_behind = event.version < state.version;
  if (is_behind || event.age > state.options.longest_age) {
    if (TableSource* source = FindSource(state, state.asked_peer))
      source->rests_until = now + state.options.peer_rest;
  } else {
    state.peer_answered_at = now;
  }
  return !is_behind;
}

void Apply(TableState& state,
           const TableAnswered& event,
           TimePoint now,
           TableActions& actions) {
  if (event.call != state.open_call)
    return;
  state.open_call = 0;
  state.next_at = now + kPeerPeriod;
  if (!CheckPeer(state, event, now))
    return;
  if (state.asked_peer.empty()) {
    NoteSuccess(state, now, actions);
    state.next_at = now + state.options.period;
  }
  state.followed_peer = state.asked_peer;
  state.sequence = event.sequence;
  if (state.phase == TablePhase::kUnread) {
    if (state.pages.empty())
      state.pages_version = event.version;
    state.pages.insert(state.pages.end(), event.rows.begin(), event.rows.end());
    if (event.more && !event.rows.empty())
      return StartCall(state, now, actions);
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
}

// Returns for how long the store is not asked after a failure.
Duration StoreRest(TableState& state, TimePoint now) {
  if (now - state.peer_answered_at < kPeerMemory)
    return kStoreRestWithPeers;
  const std::uint32_t doublings = std::min<std::uint32_t>(state.failures, 5);
  const Duration longest =
      std::min(state.options.longest_backoff,
               state.options.shortest_backoff * (1 << doublings));
  const auto jitter = static_cast<std::int64_t>(
      RandomUnit(state.random) * static_cast<double>(longest.count()) / 2);
  return longest / 2 + Duration(jitter);
}

void NoteStoreFailure(TableState& state, TimePoint now, TableActions& actions) {
  if (state.failures++ == 0)
    state.failing_since = now;
  if (state.failures == kFailuresToReport && state.reachable) {
    state.reachable = false;
    actions.emplace_back(StoreReachabilityChanged{false});
  }
}

void Apply(TableState& state,
           const TableFailed& event,
           TimePoint now,
           TableActions& actions) {
  if (event.call != state.open_call)
    return;
  state.open_call = 0;
  const bool at_peer = !state.asked_peer.empty();
  // A peer's history is short; that of the store may still have the changes.
  if (event.failure == TableFailure::kHistoryLost && !at_peer) {
    state.phase = TablePhase::kUnread;
    state.pages.clear();
    return StartCall(state, now, actions);
  }
  if (!at_peer)
    NoteStoreFailure(state, now, actions);
  if (TableSource* source = FindSource(state, state.asked_peer))
    source->rests_until =
        now + (at_peer ? state.options.peer_rest : StoreRest(state, now));
  StartCall(state, now, actions);
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
  if (state.vanished.empty())
    state.complete_version = state.version;
  TimePoint at = state.open_call == 0 ? state.next_at : kNever;
  if (!state.vanished.empty())
    at = std::min(at, state.grace_until);
  actions.emplace_back(TableWake{at});
}

}  // namespace cicadadrum::discovery
