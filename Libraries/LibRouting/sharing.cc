// Sends batches of observations to other entry VMs and applies received ones.

#include "sharing.h"

#include <algorithm>
#include <utility>

#include "observations.h"
#include "server_limit.h"

namespace cicadadrum::routing {

namespace {

// Maximum number of messages that an entry VM sends per second. At about 100
// bytes each, the messages stay within the 5 KB a second that control traffic
// may use per node.
constexpr std::int64_t kMessagesPerSecond = 40;

// Maximum number of receivers of one batch. With more receivers, the period
// between batches would exceed the time in which a server's speed changes.
constexpr std::size_t kMaxReceivers = 6;

// With this many other entry VMs in the failure domain, observations are not
// sent to the rest of the region, because traffic between failure domains has a
// price.
constexpr std::size_t kMinReceiversInDomain = 4;

// Minimum time between two batches, and so between two messages to one entry
// VM.
constexpr Duration kMinBatchPeriod = Milliseconds(50);

// A server that responded to any entry VM within this time before a report that
// it is unreachable is not treated as unreachable.
constexpr Duration kLivenessWindow = Seconds(1);

// Maximum number of observations that are queued, so that a batch fits in one
// datagram.
constexpr std::size_t kMaxPendingObservations = 40;

// Applies another entry VM's report that it could not reach the server. If the
// server responds to others, that entry VM may itself be cut off, and the
// report is ignored.
void ApplyUnreachableReport(Server& server, TimePoint at, TimePoint now) {
  const bool has_recent_response =
      at - server.last_response_at < kLivenessWindow;
  if (!has_recent_response && server.backoff_until <= now)
    RecordUnreachable(server, now);
}

// A process of an earlier release names the incarnation only of a server that
// is leaving or limited.
bool IsOfOtherIncarnation(const Server& server,
                          const ServerObservation& observation) {
  return observation.incarnation != 0 &&
         observation.incarnation !=
             IncarnationTag(server.entry.started_unix_ms);
}

Duration BatchPeriod(std::size_t receivers) {
  const Duration min_period =
      Seconds(1) * static_cast<std::int64_t>(receivers) / kMessagesPerSecond;
  return std::max(kMinBatchPeriod, min_period);
}

std::vector<std::string> OtherMemberNames(const RoutingState& state,
                                          std::string FleetMember::*location,
                                          const std::string& value) {
  std::vector<std::string> names;
  for (const FleetMember& member : state.members) {
    if (member.name != state.options.name && member.*location == value)
      names.push_back(member.name);
  }
  return names;
}

}  // namespace

void QueueObservation(RoutingState& state,
                      const RequestState& request,
                      const AttemptEnded& end,
                      TimePoint now) {
  ObservationSharing& sharing = state.sharing;
  const bool server_responded = end.outcome == ServerOutcome::kSucceeded ||
                                end.outcome == ServerOutcome::kFailed;
  const bool handled_object = server_responded && request.route.sticky;
  const bool unreachable = end.outcome == ServerOutcome::kNotSent;
  if (sharing.receivers.empty() ||
      sharing.pending.size() >= kMaxPendingObservations ||
      (!handled_object && !end.report && !unreachable && !end.leaving &&
       !end.limit))
    return;
  if (sharing.pending.empty()) {
    const std::size_t count = std::min(kMaxReceivers, sharing.receivers.size());
    sharing.send_at = now + BatchPeriod(count);
  }
  sharing.pending.emplace_back(
      now, ServerObservation{
               .server = ServerTag(request.server),
               .object = handled_object ? ObjectTag(request.object) : kNoObject,
               .report = end.report,
               .unreachable = unreachable,
               .leaving = end.leaving,
               .incarnation = IncarnationTag(request.server_started_unix_ms),
               .limit = end.limit});
}

void SendObservationsIfDue(RoutingState& state,
                           TimePoint now,
                           RoutingActions& actions) {
  ObservationSharing& sharing = state.sharing;
  if (now < sharing.send_at)
    return;
  sharing.send_at = kNever;
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

void UpdateReceivers(RoutingState& state) {
  const RoutingOptions& self = state.options;
  std::vector<std::string> names = OtherMemberNames(
      state, &FleetMember::failure_domain, self.failure_domain);
  if (names.size() < kMinReceiversInDomain)
    names = OtherMemberNames(state, &FleetMember::region, self.region);
  state.sharing.receivers = std::move(names);
}

void ApplyObservations(RoutingState& state,
                       const ObservationsReceived& event,
                       TimePoint now) {
  for (const ServerObservation& observation : event.observations) {
    const auto id = state.server_id_by_tag.find(observation.server);
    if (id == state.server_id_by_tag.end())
      continue;
    Server& server = state.servers.at(id->second);
    if (IsOfOtherIncarnation(server, observation))
      continue;
    if (observation.object != kNoObject)
      RecordHandledObject(server, observation.object);
    const bool is_same_incarnation =
        observation.incarnation == IncarnationTag(server.entry.started_unix_ms);
    const TimePoint at = now - observation.age;
    if (observation.leaving && is_same_incarnation)
      server.advice.leaving = true;
    if (observation.limit && is_same_incarnation)
      ApplyLimit(state, server, *observation.limit, at, now);
    if (observation.unreachable)
      ApplyUnreachableReport(server, at, now);
    else
      RecordResponse(server, at);
    if (!observation.report || at <= server.reported_at)
      continue;
    ApplyLoadReport(server, *observation.report, at);
  }
}

}  // namespace cicadadrum::routing
