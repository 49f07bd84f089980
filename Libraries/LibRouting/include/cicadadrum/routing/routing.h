// The request core decides which server receives a request, when a request is
// retried, and when it is refused.
//
// Each entry VM chooses servers independently. The cost of a server is the time
// until its response would arrive. Between servers of similar cost, rendezvous
// hashing of object and server decides, so that all entry VMs send an object to
// the same few servers.

#ifndef CICADADRUM_ROUTING_ROUTING_H_
#define CICADADRUM_ROUTING_ROUTING_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/quota/quota.h"
#include "cicadadrum/routing/actions.h"
#include "cicadadrum/routing/events.h"
#include "cicadadrum/shift/split.h"

namespace cicadadrum::routing {

// Where this entry VM runs, and the bounds that it keeps to.
struct RoutingOptions {
  std::string name;  // Of this entry VM.
  std::string region;
  std::string failure_domain;
  // Region of each failure domain of the deployment.
  std::map<std::string, std::string> region_by_domain;
  double link_megabits_per_second = 0;  // Of this entry VM; 0 if unknown.
  // Memory for responses on their way from servers to callers; 0 for no bound.
  std::uint64_t response_memory_bytes = 0;
  FleetBounds bounds;
};

// One incarnation of a server.
struct ServerIncarnation {
  std::string id;
  std::int64_t started_unix_ms = 0;
  auto operator<=>(const ServerIncarnation&) const = default;
};

inline ServerIncarnation IncarnationOf(const ServerEntry& entry) {
  return {entry.id, entry.started_unix_ms};
}

// How an attempt is counted in the retry window of its service, and in
// Server::recent_sends.
struct AttemptCount {
  std::string service;
  // The choice of the server, or later if the attempt waited for its
  // connection.
  TimePoint at{};
  bool is_retry = false;
};

// A request in progress: the caller has received no response yet.
struct RequestState {
  std::string host;
  std::string path;
  // As configured when the request arrived or was last retried.
  Route route;
  std::uint64_t configuration = 0;  // Version that `route` was taken from.
  std::string key;                  // As in RequestArrived.
  std::string account;  // Name of the client account; empty without one.
  // Expiry of the token of the account's quota for the next attempt.
  std::optional<TimePoint> quota_token;
  // Why the request is refused if no server may receive it, once it has the
  // token that it waits for.
  RefusalReason reason_without_server = RefusalReason::kNoServer;
  // Of the client account, or of the route without one. 0 is the most urgent.
  std::uint32_t priority = 0;
  // A configuration with client accounts was in force during the request.
  bool hides_credentials = false;
  std::string service;
  std::uint64_t object = 0;  // A random number if the caller named none.
  std::uint64_t fingerprint = 0;
  std::uint64_t body_bytes = 0;
  // Estimated size of the response's body, as of the last attempt.
  std::uint64_t expected_response_bytes = 0;
  TimePoint arrived_at;
  TimePoint caller_deadline;
  // The earlier of the route's timeout and the caller's deadline, the latter
  // less a margin for the response.
  TimePoint deadline;
  std::uint32_t attempts = 0;  // Number of attempts started so far.
  // Those of `attempts` that were replaced (see IsReplaced).
  std::uint32_t unsent_attempts = 0;
  AttemptCount attempt_count;              // Of the current attempt.
  std::vector<std::string> tried_servers;  // Ids.
  Verdict verdict = Verdict::kNotRun;      // Of the attempts that have ended.
  bool attempt_in_progress = false;
  std::string server;  // Id of the server of the current attempt.
  std::int64_t server_started_unix_ms = 0;  // Start time of that server.
  TimePoint sent_at;
  // The current attempt is counted in the allowance of the server's limit.
  bool is_limit_counted = false;
  // Estimated duration of the current attempt.
  Duration expected_duration{};
  // The values that `expected_duration` was computed from. When the attempt
  // ends, samples of work and slowness are these values times the ratio of
  // observed to expected duration.
  double expected_work_ms = 0;
  double expected_slowness = 1;
  double expected_work_factor = 1;  // Of the server's VM.
  // Of the current attempt.
  CacheAffinity cache_affinity = CacheAffinity::kFresh;
};

// Returns the server of the request's current attempt.
inline ServerIncarnation IncarnationOf(const RequestState& request) {
  return {request.server, request.server_started_unix_ms};
}

// Mean time that a server works on a request, without the time in its queue.
struct WorkEstimate {
  double milliseconds = 0;  // 0 before the first sample.
  std::uint32_t samples = 0;
};

// Sizes of the bodies of a route's responses.
struct ResponseSize {
  double mean_bytes = 0;
  std::uint32_t samples = 0;
  // The mean is above the size of a large transfer. Has hysteresis, so that the
  // requests of a route do not change their split again and again.
  bool is_large = false;
};

// Work estimates for the requests of one route.
struct RouteWorkEstimates {
  WorkEstimate fresh;  // The server has not handled the object recently.
  WorkEstimate known;  // The server has handled the object recently.
  // The server is one that receives the object first, and is not known to have
  // handled it. Other entry VMs may have sent the object there.
  WorkEstimate shared;
};

// Recent requests of one priority to a service.
struct PriorityDemand {
  double requests = 0;  // Decays with time.
  TimePoint updated_at{};
  // Mean wait in a queue that their objectives allow.
  double max_wait_ms = 0;
};

// What this entry VM has observed of a service.
struct ServiceState {
  std::map<std::uint32_t, PriorityDemand> demand;  // By priority.
  std::vector<std::string> servers;  // Ids, in the order they were first seen.
  // By name of the route.
  std::unordered_map<std::string, RouteWorkEstimates> work;
  // Attempts within the last retry window, the oldest first. True for a retry.
  std::deque<std::pair<TimePoint, bool>> sends_in_window;
  // The service's servers close idle connections without notice. Until this
  // time, requests that are not idempotent are sent over new connections.
  TimePoint connection_reuse_suspended_until{};
  std::uint32_t retries_in_window = 0;
  std::uint32_t requests_in_window = 0;  // Without the retries.
};

// The split of each service's requests between regions. The split follows the
// load of the servers in each region and moves no faster than the shift cap
// allows. All routes of a service share it, so the work on the splits does not
// grow with the configuration.
struct RegionShares {
  // Each service has one entry for its requests with large bodies and one for
  // the others.
  SplitState split;
  TimePoint next_advance{};
  // Number of requests by name of the split. The counts decay with time.
  std::map<std::string, double> requests_by_split;
  // Number of requests sent to another region than the split assigns, and of
  // all requests. Both counts decay with time.
  double overrides = 0;
  double requests = 0;
};

// Observations that wait to be sent to other entry VMs.
struct ObservationSharing {
  // Names of entry VMs that use the same servers.
  std::vector<std::string> receivers;
  // Counter whose remainder is the index of the next receiver.
  std::size_t next_receiver = 0;
  // Observations with the time at which each was made.
  std::vector<std::pair<TimePoint, ServerObservation>> pending;
  TimePoint send_at = kNever;  // Time at which `pending` is to be sent.
};

// Maximum number of servers without an entry whose advice is kept.
constexpr std::size_t kMaxUnlistedAdvice = 4096;

// What a server without an entry has stated. It applies again if the entry
// returns.
struct UnlistedAdvice {
  ServerAdvice advice;
  // As in Server.
  std::optional<RequestLimit> limit;
  TimePoint limit_stated_at;
  TimePoint cold_until;
  TimePoint recorded_at;
};

// The full state of the request core, which StepRouting updates.
struct RoutingState {
  RoutingOptions options;
  Random random;
  RouteTable table;
  // Latest time at which the configuration in `table` was the newest one, as
  // far as a source has confirmed it.
  std::optional<TimePoint> configuration_confirmed_at;
  // Latest time at which a query was sent whose answer confirmed the keys of
  // the configuration in `table`.
  std::optional<TimePoint> keys_confirmed_at;
  bool is_configuration_disputed = false;  // As of the last confirmation.
  bool servers_known = false;  // A full list of servers has been received.
  bool stopping = false;
  TimePoint accept_until{};  // End of accepting requests while stopping.
  // While stopping, no request has a later deadline.
  TimePoint stop_at = kNever;
  RegionShares shares;
  std::unordered_map<std::string, Server> servers;         // By id.
  std::unordered_map<std::string, ServiceState> services;  // By name.
  std::unordered_map<std::uint32_t, std::string> server_id_by_tag;
  // Invariant: contains no incarnation of `servers`, and at most
  // kMaxUnlistedAdvice elements.
  std::map<ServerIncarnation, UnlistedAdvice> unlisted_advice;
  // Server::recent_sends of ids without an entry. The rate of a cold server
  // holds for its id, whichever incarnations received the requests.
  std::unordered_map<std::string, std::deque<TimePoint>> unlisted_sends;
  std::set<std::string> evacuated_domains;  // Failure domains.
  std::vector<FleetMember> members;         // Live entry VMs with this one.
  std::uint64_t members_version = 0;        // Rises when `members` changes.
  ObservationSharing sharing;
  // Time of the loss of each entry VM that is no longer live. For a while it
  // keeps its share of the fleet bounds, because it may still send requests.
  // Invariant: contains no name of `members`.
  std::map<std::string, TimePoint> lost_members;
  TimePoint started_at = kNever;  // Time of the first event.
  std::unordered_map<std::uint64_t, RequestState> requests;  // By id.
  // Deadline and id of each request in progress.
  std::set<std::pair<TimePoint, std::uint64_t>> deadlines;
  // By name of the route.
  std::unordered_map<std::string, ResponseSize> response_sizes;
  // Mean size of the bodies of a request and its response, over all routes; 0
  // before the first response.
  double mean_transfer_bytes = 0;
  // Credits of the weighted round robin between a route's services, by name of
  // the route. Only routes with several services have an entry.
  std::unordered_map<std::string, std::vector<double>> split_credit;
  Suspicions suspicions;
  quota::QuotaState quota;
  // What quota functions have decided. Empty between two steps.
  quota::QuotaOutput quota_output;
};

// Returns the state before the first event. Equal seeds, events and times
// lead to equal actions.
RoutingState MakeRoutingState(RoutingOptions options, std::uint64_t seed);

// Applies one event at time `now` and appends the resulting actions, the last
// of which is always a WakeAt. The caller must perform the actions in their
// order and must not let `now` go back between calls.
void StepRouting(RoutingState& state,
                 const RoutingEvent& event,
                 TimePoint now,
                 RoutingActions& actions);

// A suspect, for operators.
struct SuspectSummary {
  std::uint64_t fingerprint = 0;
  std::uint32_t losses = 0;  // Servers that were lost one after the other.
  // Time for which its requests are refused; zero if they are not.
  Duration blocked_for{};
};

// Returns the suspects that this entry VM knows, in no particular order.
std::vector<SuspectSummary> ListSuspects(const RoutingState& state,
                                         TimePoint now);

// Whether the entry VM can serve callers: it has a configuration and a full
// list of servers, and is not stopping.
bool IsReady(const RoutingState& state);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_ROUTING_H_
