// Responds to requests for rows from this entry VM's copy of a table.

#include "cicadadrum/discovery/relay.h"

#include <algorithm>
#include <set>

#include "cicadadrum/base/hash.h"

namespace cicadadrum::discovery {

namespace {

// If more removals than this are retained, the older half is discarded.
constexpr std::size_t kMaxRemovals = 512;

// A relay's link has at least this share of the speed of the fastest one in its
// region.
constexpr double kMinRelayLinkShare = 0.5;

void DiscardOldRemovals(RelayState& state) {
  std::vector<std::uint64_t> removals;  // Their sequence numbers.
  for (const auto& [key, relayed] : state.rows) {
    if (relayed.row.removed)
      removals.push_back(relayed.sequence);
  }
  if (removals.size() <= kMaxRemovals)
    return;
  std::sort(removals.begin(), removals.end());
  state.discarded_sequence = removals[removals.size() / 2];
  std::erase_if(state.rows, [&](const auto& entry) {
    const RelayRow& relayed = entry.second;
    const bool is_discarded =
        relayed.row.removed && relayed.sequence <= state.discarded_sequence;
    if (is_discarded)
      state.discarded_version =
          std::max(state.discarded_version,
                   {relayed.version.era, relayed.version.number + 1});
    return is_discarded;
  });
}

bool HasUsableSequence(const RelayState& state, const RelayRequest& request) {
  return request.sequence > state.discarded_sequence &&
         request.sequence <= state.sequence;
}

std::optional<TableFailure> FailureOf(const RelayState& state,
                                      const RelayRequest& request) {
  if (!state.has_data || request.after > state.version)
    return TableFailure::kBehind;
  if (request.all_rows || HasUsableSequence(state, request))
    return std::nullopt;
  // The versions of two eras do not tell which changes the requester has.
  if (request.after.era != state.version.era ||
      request.after < state.discarded_version)
    return TableFailure::kHistoryLost;
  return std::nullopt;
}

bool IsRowRequested(const RelayState& state,
                    const RelayRequest& request,
                    const RelayRow& relayed) {
  if (request.all_rows)
    return !relayed.row.removed;
  if (HasUsableSequence(state, request))
    return relayed.sequence > request.sequence;
  // A row may have been passed on after the requester received this version.
  return relayed.version >= request.after;
}

RelayResponse ResponseFor(const RelayState& state,
                          const RelayRequest& request,
                          TimePoint now) {
  RelayResponse response{.failure = FailureOf(state, request),
                         .version = {.era = state.version.era}};
  if (response.failure)
    return response;
  const bool has_all = !request.all_rows && request.sequence == state.sequence;
  for (const auto& [key, relayed] : state.rows) {
    if (has_all)
      break;
    if (IsRowRequested(state, request, relayed))
      response.rows.push_back(relayed.row);
  }
  response.version = state.version;
  response.sequence = state.sequence;
  response.age = now - state.complete_at;
  if (state.queried_at)
    response.query_age = now - *state.queried_at;
  response.history_begin = state.history_begin;
  return response;
}

// Whether to send the response before the end of the wait.
bool IsImmediate(const RelayRequest& request, const RelayResponse& response) {
  return request.all_rows || response.failure || !response.rows.empty();
}

void Apply(RelayState& state,
           const RelayRowsUpdated& event,
           TimePoint now,
           RelayActions& actions) {
  if (!state.has_data)
    state.discarded_version = event.version;
  state.has_data = true;
  state.history_begin = std::max(state.history_begin, event.history_begin);
  state.discarded_version =
      std::max(state.discarded_version, event.history_begin);
  state.version = std::max(state.version, event.version);
  if (event.age)
    state.complete_at = std::max(state.complete_at, now - *event.age);
  for (const TableRow& row : event.rows) {
    if (row.version.era <= state.rows_era)
      continue;
    state.rows_era = row.version.era;
    state.queried_at.reset();
  }
  if (event.query_age) {
    const TimePoint queried_at = now - *event.query_age;
    state.queried_at =
        std::max(state.queried_at.value_or(queried_at), queried_at);
  }
  for (const TableRow& row : event.rows)
    state.rows[row.key] = {row, ++state.sequence,
                           std::max(state.version, row.version)};
  DiscardOldRemovals(state);
  if (event.rows.empty())
    return;
  std::erase_if(state.waiting, [&](const WaitingRequest& waiting) {
    const RelayResponse response = ResponseFor(state, waiting.request, now);
    if (!IsImmediate(waiting.request, response))
      return false;
    actions.emplace_back(SendRelayResponse{waiting.call, response});
    return true;
  });
}

void Apply(RelayState& state,
           const RelayRequestReceived& event,
           TimePoint now,
           RelayActions& actions) {
  WaitingRequest waiting{event.call, event.request, now + event.request.wait};
  if (waiting.request.after.era == 0)
    waiting.request.after.era = state.version.era;
  RelayResponse response = ResponseFor(state, waiting.request, now);
  if (IsImmediate(waiting.request, response) ||
      event.request.wait <= Duration::zero()) {
    actions.emplace_back(SendRelayResponse{event.call, std::move(response)});
    return;
  }
  // The request now waits for a change after the current sequence.
  waiting.request.sequence = state.sequence;
  state.waiting.push_back(std::move(waiting));
}

void Apply(RelayState& state,
           const RelayRequestCancelled& event,
           TimePoint /*now*/,
           RelayActions& /*actions*/) {
  std::erase_if(state.waiting, [&](const WaitingRequest& waiting) {
    return waiting.call == event.call;
  });
}

void Apply(RelayState& state,
           const RelayTimerExpired& /*event*/,
           TimePoint now,
           RelayActions& actions) {
  std::erase_if(state.waiting, [&](const WaitingRequest& waiting) {
    if (now < waiting.until)
      return false;
    actions.emplace_back(SendRelayResponse{
        waiting.call, ResponseFor(state, waiting.request, now)});
    return true;
  });
}

// Returns the name of the region's relay, or an empty string if the region has
// no candidate. A relay sends each change to all entry VMs of its region, so
// one with a slow link is chosen only if the others are as slow.
std::string RelayOf(const std::vector<RelayCandidate>& live,
                    const std::string& region) {
  double fastest = 0;
  for (const RelayCandidate& candidate : live) {
    if (candidate.region == region)
      fastest = std::max(fastest, candidate.link_megabits_per_second);
  }
  std::vector<std::string> names;
  for (const RelayCandidate& candidate : live) {
    if (candidate.region == region &&
        candidate.link_megabits_per_second >= fastest * kMinRelayLinkShare)
      names.push_back(candidate.name);
  }
  return std::string(RendezvousWinner("relay/" + region, names));
}

}  // namespace

std::vector<TableRow> SelectRowsToRelay(
    const RowsChanged& changed,
    const std::set<std::string>& needed_keys) {
  std::vector<TableRow> rows;
  for (const TableRow& row : changed.rows) {
    if (needed_keys.contains(row.key) ||
        changed.keys_to_relay.contains(row.key))
      rows.push_back(row);
  }
  return rows;
}

RelayState MakeRelayState(std::uint64_t first_sequence) {
  return {.sequence = first_sequence, .discarded_sequence = first_sequence - 1};
}

void StepRelay(RelayState& state,
               const RelayEvent& event,
               TimePoint now,
               RelayActions& actions) {
  std::visit([&](const auto& present) { Apply(state, present, now, actions); },
             event);
  TimePoint at = kNever;
  for (const WaitingRequest& waiting : state.waiting)
    at = std::min(at, waiting.until);
  actions.emplace_back(RelayWake{at});
}

SourcesChanged ChooseSources(const std::vector<RelayCandidate>& live,
                             const RelayCandidate& self) {
  std::set<std::string> regions;
  for (const RelayCandidate& candidate : live)
    regions.insert(candidate.region);
  SourcesChanged sources;
  for (const std::string& region : regions) {
    const std::string relay = RelayOf(live, region);
    if (relay == self.name)
      continue;
    (region == self.region ? sources.before_store : sources.after_store)
        .push_back(relay);
  }
  return sources;
}

}  // namespace cicadadrum::discovery
