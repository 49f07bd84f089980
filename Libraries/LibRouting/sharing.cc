// Batches of observations and their receivers.

#include "sharing.h"

#include <algorithm>
#include <utility>

#include "observations.h"

namespace cicadadrum::routing {

namespace {

// An entry VM sends this many messages a second at most. With about 100 bytes
// each they stay within the 5 KB a second that control may cost a node.
constexpr std::int64_t kMessagesPerSecond = 40;

// More receivers would hear of a server more rarely than its speed changes.
constexpr std::size_t kMaxReceivers = 6;

// With this many other entry VMs in the failure domain, the rest of the region
// is not told, because bytes between failure domains have a price.
constexpr std::size_t kEnoughInDomain = 4;

// Least time between two messages to one entry VM.
constexpr Duration kShortestPeriod = Milliseconds(50);

// A server that answered somebody this shortly before is not taken to be out of
// reach.
constexpr Duration kProofOfLife = Seconds(1);

// Keeps a message within one datagram.
constexpr std::size_t kMaxPending = 40;

// An entry VM that is cut off itself can't reach servers that answer others.
void DoubtReach(Server& server, TimePoint at, TimePoint now) {
  const bool answers_others = at - server.answered_at < kProofOfLife;
  if (!answers_others && server.rests_until <= now)
    NoteUnreachable(server, now);
}

Duration PeriodFor(std::size_t receivers) {
  const Duration paced =
      Seconds(1) * static_cast<std::int64_t>(receivers) / kMessagesPerSecond;
  return std::max(kShortestPeriod, paced);
}

std::vector<std::string> NamesOfOthers(const RoutingState& state,
                                       std::string FleetMember::*place,
                                       const std::string& own) {
  std::vector<std::string> names;
  for (const FleetMember& member : state.members) {
    if (member.name != state.options.name && member.*place == own)
      names.push_back(member.name);
  }
  return names;
}

}  // namespace

void QueueObservation(RoutingState& state,
                      const RequestState& request,
                      const AttemptEnded& end,
                      TimePoint now) {
  Sharing& sharing = state.sharing;
  const bool ran = end.outcome == ServerOutcome::kSucceeded ||
                   end.outcome == ServerOutcome::kFailed;
  const bool handled_object = ran && request.route.sticky;
  const bool unreachable = end.outcome == ServerOutcome::kNotSent;
  if (sharing.receivers.empty() || sharing.pending.size() >= kMaxPending ||
      (!handled_object && !end.report && !unreachable))
    return;
  if (sharing.pending.empty()) {
    const std::size_t count = std::min(kMaxReceivers, sharing.receivers.size());
    sharing.due = now + PeriodFor(count);
  }
  sharing.pending.emplace_back(
      now, ServerObservation{
               .server = ServerTag(request.server),
               .object = handled_object ? ObjectTag(request.object) : kNoObject,
               .report = end.report,
               .unreachable = unreachable});
}

void ShareIfDue(RoutingState& state, TimePoint now, RoutingActions& actions) {
  Sharing& sharing = state.sharing;
  if (now < sharing.due)
    return;
  sharing.due = kNever;
  ShareObservations share;
  for (auto& [at, observation] : std::exchange(sharing.pending, {})) {
    observation.age = now - at;
    share.observations.push_back(observation);
  }
  const std::size_t count = std::min(kMaxReceivers, sharing.receivers.size());
  for (std::size_t i = 0; i < count; ++i) {
    share.receivers.push_back(
        sharing.receivers[sharing.next_receiver % sharing.receivers.size()]);
    ++sharing.next_receiver;
  }
  if (count > 0)
    actions.emplace_back(std::move(share));
}

void ChooseReceivers(RoutingState& state) {
  const RoutingOptions& own = state.options;
  std::vector<std::string> names =
      NamesOfOthers(state, &FleetMember::failure_domain, own.failure_domain);
  if (names.size() < kEnoughInDomain)
    names = NamesOfOthers(state, &FleetMember::region, own.region);
  state.sharing.receivers = std::move(names);
}

void TakeObservations(RoutingState& state,
                      const ObservationsReceived& event,
                      TimePoint now) {
  for (const ServerObservation& observation : event.observations) {
    const auto id = state.server_of_tag.find(observation.server);
    if (id == state.server_of_tag.end())
      continue;
    Server& server = state.servers.at(id->second);
    if (observation.object != kNoObject)
      RememberObject(server, observation.object);
    const TimePoint at = now - observation.age;
    if (observation.unreachable)
      DoubtReach(server, at, now);
    else
      NoteAnswer(server, at);
    if (!observation.report || at <= server.reported_at)
      continue;
    TakeReport(server, *observation.report, at);
  }
}

}  // namespace cicadadrum::routing
