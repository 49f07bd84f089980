// Answers questions for rows from what the own reads have brought.

#include "cicadadrum/discovery/relay.h"

#include <algorithm>
#include <set>

#include "cicadadrum/base/hash.h"

namespace cicadadrum::discovery {

namespace {

// With more removals than this, the older half is forgotten.
constexpr std::size_t kMaxRemovals = 512;

void ForgetRemovals(RelayState& state) {
  std::vector<std::uint64_t> removals;  // Sequences.
  for (const auto& [key, held] : state.rows) {
    if (held.row.removed)
      removals.push_back(held.sequence);
  }
  if (removals.size() <= kMaxRemovals)
    return;
  std::sort(removals.begin(), removals.end());
  state.forgotten_sequence = removals[removals.size() / 2];
  std::erase_if(state.rows, [&](const auto& entry) {
    const RelayRow& held = entry.second;
    const bool forgotten =
        held.row.removed && held.sequence <= state.forgotten_sequence;
    if (forgotten)
      state.forgotten_version =
          std::max(state.forgotten_version, held.version + 1);
    return forgotten;
  });
}

bool FollowsThisRelay(const RelayState& state, const RelayRequest& ask) {
  return ask.sequence > state.forgotten_sequence &&
         ask.sequence <= state.sequence;
}

std::optional<TableFailure> FailureOf(const RelayState& state,
                                      const RelayRequest& ask) {
  if (!state.fed || ask.after > state.version)
    return TableFailure::kBehind;
  if (ask.whole || FollowsThisRelay(state, ask))
    return std::nullopt;
  if (ask.after < state.forgotten_version)
    return TableFailure::kHistoryLost;
  return std::nullopt;
}

bool IsNews(const RelayState& state,
            const RelayRequest& ask,
            const RelayRow& held) {
  if (ask.whole)
    return !held.row.removed;
  if (FollowsThisRelay(state, ask))
    return held.sequence > ask.sequence;
  // Rows of the same version may have been handed on later.
  return held.version >= ask.after;
}

RelayResponse AnswerFor(const RelayState& state,
                        const RelayRequest& ask,
                        TimePoint now) {
  RelayResponse answer{.failure = FailureOf(state, ask)};
  if (answer.failure)
    return answer;
  const bool has_all = !ask.whole && ask.sequence == state.sequence;
  for (const auto& [key, held] : state.rows) {
    if (has_all)
      break;
    if (IsNews(state, ask, held))
      answer.rows.push_back(held.row);
  }
  answer.version = state.version;
  answer.sequence = state.sequence;
  answer.age = now - state.complete_at;
  return answer;
}

// Whether to answer before the end of the wait.
bool IsDue(const RelayRequest& ask, const RelayResponse& answer) {
  return ask.whole || answer.failure || !answer.rows.empty();
}

void Apply(RelayState& state,
           const RelayRowsUpdated& event,
           TimePoint now,
           RelayActions& actions) {
  if (!state.fed)
    state.forgotten_version = event.version;
  state.fed = true;
  state.version = std::max(state.version, event.version);
  if (event.age)
    state.complete_at = std::max(state.complete_at, now - *event.age);
  for (const TableRow& row : event.rows)
    state.rows[row.key] = {row, ++state.sequence, state.version};
  ForgetRemovals(state);
  if (event.rows.empty())
    return;
  std::erase_if(state.waiting, [&](const WaitingAsk& waiting) {
    const RelayResponse answer = AnswerFor(state, waiting.ask, now);
    if (!IsDue(waiting.ask, answer))
      return false;
    actions.emplace_back(SendRelayResponse{waiting.call, answer});
    return true;
  });
}

void Apply(RelayState& state,
           const RelayRequestReceived& event,
           TimePoint now,
           RelayActions& actions) {
  RelayResponse answer = AnswerFor(state, event.ask, now);
  if (IsDue(event.ask, answer) || event.ask.wait <= Duration::zero()) {
    actions.emplace_back(SendRelayResponse{event.call, std::move(answer)});
    return;
  }
  // From here on, only what is newer than this answer is news.
  WaitingAsk waiting{event.call, event.ask, now + event.ask.wait};
  waiting.ask.sequence = state.sequence;
  state.waiting.push_back(std::move(waiting));
}

void Apply(RelayState& state,
           const RelayRequestCancelled& event,
           TimePoint /*now*/,
           RelayActions& /*actions*/) {
  std::erase_if(state.waiting, [&](const WaitingAsk& waiting) {
    return waiting.call == event.call;
  });
}

void Apply(RelayState& state,
           const RelayTimerExpired& /*event*/,
           TimePoint now,
           RelayActions& actions) {
  std::erase_if(state.waiting, [&](const WaitingAsk& waiting) {
    if (now < waiting.until)
      return false;
    actions.emplace_back(
        SendRelayResponse{waiting.call, AnswerFor(state, waiting.ask, now)});
    return true;
  });
}

// Returns the name of the region's relay, or nothing without candidates.
std::string RelayOf(const std::vector<RelayCandidate>& live,
                    const std::string& region) {
  std::vector<std::string> names;
  for (const RelayCandidate& candidate : live) {
    if (candidate.region == region)
      names.push_back(candidate.name);
  }
  return std::string(RendezvousWinner("relay/" + region, names));
}

}  // namespace

RelayState MakeRelayState(std::uint64_t first_sequence) {
  return {.sequence = first_sequence, .forgotten_sequence = first_sequence - 1};
}

void StepRelay(RelayState& state,
               const RelayEvent& event,
               TimePoint now,
               RelayActions& actions) {
  std::visit([&](const auto& present) { Apply(state, present, now, actions); },
             event);
  TimePoint at = kNever;
  for (const WaitingAsk& waiting : state.waiting)
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
