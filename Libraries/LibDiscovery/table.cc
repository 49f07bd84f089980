// Reads a table in full and follows its changes.

#include "cicadadrum/discovery/table.h"

#include <algorithm>
#include <utility>

#include "table_rows.h"

namespace cicadadrum::discovery {

namespace {

// No row of a live writer expires during a shorter outage.
constexpr Duration kMinOutage = Seconds(1);

// Consecutive failures after which the store is reported as unreachable.
constexpr std::uint32_t kFailuresUntilUnreachable = 2;

// Back-off of a store that fails while peers respond.
constexpr Duration kStoreBackoffWithPeers = Seconds(2);
// Peers count as responding for this time after a fresh response.
constexpr Duration kPeerAnswerValidity = Seconds(1);

// The store's era before it has come back from a copy of itself.
constexpr std::uint64_t kFirstEra = 1;

// Minimum time between calls to a peer that responds immediately.
constexpr Duration kPeerPeriod = Milliseconds(20);

TableSource* FindSource(TableState& state, const std::string& peer) {
  for (TableSource& source : state.sources) {
    if (source.peer == peer)
      return &source;
  }
  return nullptr;
}

// Returns the preferred source that is not in back-off, or the one whose
// back-off ends first. A full read goes to the store if possible, because a
// relay would have to send the full table to each entry VM of its region.
TableSource& SelectSource(TableState& state, TimePoint now) {
  if (state.phase == TablePhase::kUnread) {
    TableSource* store = FindSource(state, {});
    if (store->backoff_until <= now)
      return *store;
  }
  for (TableSource& source : state.sources) {
    if (source.backoff_until <= now)
      return source;
  }
  return *std::min_element(state.sources.begin(), state.sources.end(),
                           [](const TableSource& a, const TableSource& b) {
                             return a.backoff_until < b.backoff_until;
                           });
}

// Whether the called peer's changes lead from its last response to the next.
bool HasPeerSequence(const TableState& state) {
  return state.phase == TablePhase::kFollowing && !state.call_peer.empty() &&
         state.sequence_peer == state.call_peer;
}

// Calls the selected source, or schedules the call for the end of the source's
// back-off.
void StartCall(TableState& state, TimePoint now, TableActions& actions) {
  const TableSource& source = SelectSource(state, now);
  if (source.backoff_until > now) {
    state.next_call_at = source.backoff_until;
    return;
  }
  const TableOptions& options = state.options;
  const bool is_peer_call = !source.peer.empty();
  state.open_call = state.next_call++;
  state.next_call_at = kNever;
  if (state.call_peer != source.peer)
    actions.emplace_back(SourceSelected{source.peer});
  state.call_peer = source.peer;
  const Duration timeout =
      is_peer_call ? options.peer_timeout : options.timeout;
  state.call_wait = Duration::zero();
  if (state.phase == TablePhase::kUnread) {
    if (state.full_read_peer != source.peer)
      state.full_read_rows.clear();
    state.full_read_peer = source.peer;
    // The last key with a zero byte appended is the next possible key.
    const std::string from =
        state.full_read_rows.empty()
            ? std::string()
            : state.full_read_rows.back().key + std::string(1, '\0');
    actions.emplace_back(ReadTable{.call = state.open_call,
                                   .peer = source.peer,
                                   .from = from,
                                   .timeout = timeout});
    return;
  }
  const Duration wait = is_peer_call ? options.peer_wait : options.wait;
  state.call_wait = wait;
  actions.emplace_back(
      FollowTable{.call = state.open_call,
                  .peer = source.peer,
                  .after = state.version,
                  .sequence = HasPeerSequence(state) ? state.sequence : 0,
                  .wait = wait,
                  .timeout = wait + timeout});
}

void RecordStoreSuccess(TableState& state,
                        TimePoint now,
                        TableActions& actions) {
  if (state.consecutive_failures > 0 && now - state.failing_since >= kMinOutage)
    state.removals_deferred_until = now + state.options.recovery_grace_period;
  if (!state.reachable)
    actions.emplace_back(StoreReachabilityChanged{true});
  state.reachable = true;
  state.consecutive_failures = 0;
}

// Starts a full read because the changes between the last known version and the
// versions of the source cannot be requested.
void RestartFullRead(TableState& state, TimePoint now, TableActions& actions) {
  state.phase = TablePhase::kUnread;
  state.full_read_rows.clear();
  StartCall(state, now, actions);
}

// Whether the response continues from the last known version. A response of a
// new era does so only if the peer has sent this entry VM all of its changes.
bool ContinuesFromKnownVersion(const TableState& state,
                               const TableVersion& version) {
  return HasPeerSequence(state) || version.era <= state.version.era;
}

// Applies the full read and sets the times until which its removals are
// deferred and its rows are held.
void CompleteFullRead(TableState& state, TimePoint now, TableActions& actions) {
  const bool is_first_read = !std::exchange(state.initial_read_done, true);
  const bool is_new_era =
      !is_first_read && state.full_read_version.era > state.version.era;
  // The first FollowTable returns the changes made during the full read.
  state.version = state.full_read_version;
  state.history_begin = state.full_read_version;
  state.phase = TablePhase::kFollowing;
  if (is_new_era) {
    state.removals_deferred_until =
        std::max(state.removals_deferred_until,
                 now + state.options.recovery_grace_period);
    state.rows_held_until = now + state.options.restored_row_hold;
  }
  // A process that has just started cannot tell how long ago the restore was.
  if (is_new_era || (is_first_read && state.version.era > kFirstEra))
    state.settled_from = now + state.options.restored_row_hold;
  ResponseEffects effects;
  ApplyFullRead(state, now, effects);
  PublishEffects(std::move(effects), is_first_read, actions);
  if (!is_new_era)
    return;
  actions.emplace_back(RestoredTableRead{state.held_rows.size(),
                                         state.deferred_removals.size()});
  state.settles_restored_table = true;
}

// Returns the confirmation by a response that has been applied.
TableConfirmed ConfirmationBy(const TableState& state,
                              const TableAnswered& event,
                              TimePoint now) {
  const TimePoint queried_at = now - event.query_age.value_or(Duration::zero());
  const bool is_settled =
      !state.settles_restored_table && queried_at >= state.settled_from;
  return {.age = event.age,
          .query_age = is_settled ? event.query_age : std::nullopt,
          .is_settled = is_settled};
}

void ApplyFullReadPage(TableState& state,
                       const TableAnswered& event,
                       TimePoint now,
                       TableActions& actions) {
  // The rows of two eras form no consistent table.
  if (!state.full_read_rows.empty() &&
      event.version.era != state.full_read_version.era)
    return RestartFullRead(state, now, actions);
  if (state.full_read_rows.empty())
    state.full_read_version = event.version;
  state.full_read_rows.insert(state.full_read_rows.end(), event.rows.begin(),
                              event.rows.end());
  if (event.has_more && !event.rows.empty())
    return StartCall(state, now, actions);
  // The pages of a longer read are of different ages.
  const bool has_one_page = state.full_read_rows.size() == event.rows.size();
  CompleteFullRead(state, now, actions);
  if (has_one_page)
    actions.emplace_back(ConfirmationBy(state, event, now));
}

void ApplyChanges(TableState& state,
                  const TableAnswered& event,
                  TimePoint now,
                  TableActions& actions) {
  ResponseEffects effects;
  for (const TableRow& row : event.rows) {
    ApplyRow(state, row, now, effects);
    // A peer passes on only rows that another entry VM may lack.
    if (!state.call_peer.empty())
      effects.keys_to_relay.insert(row.key);
  }
  KeepLastChanges(effects.changed);
  // A peer that has read the table in a new era passes on its rows at once.
  if (event.version.era > state.version.era)
    state.settled_from = now + state.options.restored_row_hold;
  state.version = std::max(state.version, event.version);
  state.history_begin = std::max(state.history_begin, event.history_begin);
  PublishEffects(std::move(effects), /*is_first_read=*/false, actions);
  actions.emplace_back(ConfirmationBy(state, event, now));
}

// Sets unknown eras to the last known one, and adds the time for which the
// response was under way or waited to be read to its age.
TableAnswered CompleteResponse(const TableState& state, TableAnswered event) {
  const auto set_era = [&state](TableVersion& version) {
    if (version.era == 0)
      version.era = state.era;
  };
  set_era(event.version);
  for (TableRow& row : event.rows)
    set_era(row.version);
  event.age += std::max(Duration::zero(), event.delay - state.call_wait);
  // The source may have written the response as soon as the query was sent.
  if (state.call_peer.empty())
    event.query_age = event.delay;
  else if (event.query_age)
    *event.query_age += event.delay;
  return event;
}

// Reports an era that is newer than the last known one.
void RecordEra(TableState& state, std::uint64_t era, TableActions& actions) {
  if (era <= state.era)
    return;
  if (state.era != 0)
    actions.emplace_back(EraChanged{state.era, era, state.version});
  state.era = era;
}

void Apply(TableState& state,
           const TableTimerExpired& /*event*/,
           TimePoint now,
           TableActions& actions) {
  PublishDeferredChanges(state, now, actions);
  if (state.open_call == 0 && now >= state.next_call_at)
    StartCall(state, now, actions);
}

void Apply(TableState& state,
           const SourcesChanged& event,
           TimePoint /*now*/,
           TableActions& /*actions*/) {
  std::vector<TableSource> sources;
  const auto add = [&](const std::string& peer) {
    const TableSource* existing = FindSource(state, peer);
    sources.push_back(existing == nullptr ? TableSource{.peer = peer}
                                          : *existing);
  };
  for (const std::string& peer : event.before_store)
    add(peer);
  add({});
  for (const std::string& peer : event.after_store)
    add(peer);
  state.sources = std::move(sources);
}

// Whether the rows of a peer were confirmed so long ago that the next source
// must be called.
bool IsOld(const TableState& state, const TableAnswered& event) {
  const auto& max_query_age = state.options.max_query_age;
  return event.age > state.options.max_age ||
         (max_query_age &&
          (!event.query_age || *event.query_age > *max_query_age));
}

// Puts a peer into back-off if its rows are older than allowed or its version
// is below the local version. Returns whether the rows may be used; old rows
// may be, rows of a lower version may not.
bool AcceptPeerAnswer(TableState& state,
                      const TableAnswered& event,
                      bool names_era,
                      TimePoint now) {
  if (state.call_peer.empty())
    return true;
  // A peer that names no era may have rows of an earlier one.
  const bool is_behind =
      event.version < state.version ||
      (!HasPeerSequence(state) && event.version < state.newest_row_version) ||
      (!names_era && state.era != 0);
  if (is_behind || IsOld(state, event)) {
    if (TableSource* source = FindSource(state, state.call_peer))
      source->backoff_until = now + state.options.peer_backoff;
  } else {
    state.fresh_peer_answer_at = now;
  }
  return !is_behind;
}

void Apply(TableState& state,
           const TableAnswered& received,
           TimePoint now,
           TableActions& actions) {
  if (received.call != state.open_call)
    return;
  const TableAnswered event = CompleteResponse(state, received);
  state.open_call = 0;
  state.next_call_at = now + kPeerPeriod;
  RecordEra(state, event.version.era, actions);
  if (!AcceptPeerAnswer(state, event, received.version.era != 0, now))
    return;
  if (state.call_peer.empty()) {
    RecordStoreSuccess(state, now, actions);
    state.next_call_at = now + state.options.period;
  }
  const bool is_full_read = state.phase == TablePhase::kUnread;
  if (!is_full_read && !ContinuesFromKnownVersion(state, event.version))
    return RestartFullRead(state, now, actions);
  state.sequence_peer = state.call_peer;
  state.sequence = event.sequence;
  if (is_full_read)
    ApplyFullReadPage(state, event, now, actions);
  else
    ApplyChanges(state, event, now, actions);
}

// Returns the time until the next call to the store after a failure.
Duration StoreBackoff(TableState& state, TimePoint now) {
  if (now - state.fresh_peer_answer_at < kPeerAnswerValidity)
    return kStoreBackoffWithPeers;
  const std::uint32_t doublings =
      std::min<std::uint32_t>(state.consecutive_failures, 5);
  const Duration longest = std::min(
      state.options.max_backoff, state.options.min_backoff * (1 << doublings));
  const auto jitter = static_cast<std::int64_t>(
      RandomUnit(state.random) * static_cast<double>(longest.count()) / 2);
  return longest / 2 + Duration(jitter);
}

void RecordStoreFailure(TableState& state,
                        TimePoint now,
                        TableActions& actions) {
  if (state.consecutive_failures++ == 0)
    state.failing_since = now;
  if (state.consecutive_failures == kFailuresUntilUnreachable &&
      state.reachable) {
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
  RecordEra(state, event.era, actions);
  const bool is_peer_call = !state.call_peer.empty();
  // The change log of a peer is short; the store may still have the changes.
  // No source has the changes that lead from one era to the next.
  if (event.failure == TableFailure::kHistoryLost &&
      (!is_peer_call || event.era > state.version.era))
    return RestartFullRead(state, now, actions);
  if (!is_peer_call)
    RecordStoreFailure(state, now, actions);
  if (TableSource* source = FindSource(state, state.call_peer))
    source->backoff_until = now + (is_peer_call ? state.options.peer_backoff
                                                : StoreBackoff(state, now));
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
  if (IsSettled(state)) {
    state.complete_version = state.version;
    if (std::exchange(state.settles_restored_table, false))
      actions.emplace_back(RestoredTableSettled{state.version});
  }
  TimePoint at = state.open_call == 0 ? state.next_call_at : kNever;
  if (!state.deferred_removals.empty())
    at = std::min(at, state.removals_deferred_until);
  if (!state.held_rows.empty())
    at = std::min(at, state.rows_held_until);
  actions.emplace_back(TableWake{at});
}

}  // namespace cicadadrum::discovery
