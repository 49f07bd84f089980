// The request core: which server gets a request, when it is sent again, and
// when it is refused.
//
// Each entry VM chooses by itself. A server's cost is the time until it would
// answer; rendezvous hashing of object and server decides between near equals,
// so that all entry VMs keep an object on the same few servers.

#ifndef CICADADRUM_ROUTING_ROUTING_H_
#define CICADADRUM_ROUTING_ROUTING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/routing/events.h"
#include "cicadadrum/shift/split.h"

namespace cicadadrum::routing {

// Bounds that hold for the whole fleet; each entry VM keeps its share of them.
struct FleetBounds {
  double retry_ratio = 0.2;  // Retries to requests of a service.
  double retry_extra = 0;    // Retries beyond the ratio.
  Duration retry_window = Seconds(10);
  double cold_load_factor = 1;  // Times the rate a cold server tolerates.
  double cold_extra = 0;        // Requests a second beyond it.
  // Share of a region's requests that may change the region in which they run
  // from one window to the next.
  double max_shift = 0.15;
  Duration shift_window = Seconds(2);
};

struct RoutingOptions {
  std::string name;  // Of this entry VM.
  std::string region;
  std::string failure_domain;
  std::map<std::string, std::string> region_by_domain;  // By failure domain.
  FleetBounds bounds;
};

// A request that has no answer yet.
struct RequestState {
  Route route;  // As configured when the request arrived.
  std::string service;
  std::uint64_t object = 0;  // A random number if the caller named none.
  std::uint64_t fingerprint = 0;
  std::uint64_t body_bytes = 0;
  TimePoint arrived_at;
  TimePoint caller_deadline;
  TimePoint deadline;  // The route's timeout or the caller's, whichever first.
  std::uint32_t attempts = 0;  // Sent so far.
  std::vector<std::string> tried_servers;
  Verdict verdict = Verdict::kNotRun;  // Of the attempts that have ended.
  bool attempt_in_progress = false;
  std::string server;  // Of the current attempt.
  TimePoint sent_at;
  Duration expected_duration{};  // Time within which the attempt should end.
  // What the expectation was made of; samples are taken in proportion to it.
  double expected_work_ms = 0;
  double expected_slowness = 1;
  double expected_work_factor = 1;  // Of the server's VM.
  CacheAffinity cache_affinity =
      CacheAffinity::kFresh;  // Of the current attempt.
};

// Mean time that a server works on a request, without waiting.
struct WorkEstimate {
  double milliseconds = 0;  // 0 before the first sample.
  std::uint32_t samples = 0;
};

// Work on an object that the server has not handled recently, and on one that
// it has.
struct RouteWorkEstimates {
  WorkEstimate fresh;
  WorkEstimate known;
};

// What this entry VM has observed of a service.
struct ServiceState {
  std::vector<std::string> servers;  // Ids, in the order they were first seen.
  std::unordered_map<std::string, RouteWorkEstimates>
      work;  // By name of the route.
  std::deque<std::pair<TimePoint, bool>> sends_in_window;  // True for a retry.
  // Its servers drop kept connections without notice; requests that may not be
  // repeated go over new ones until then.
  TimePoint connection_reuse_suspended_until{};
  std::uint32_t retries_in_window = 0;
  std::uint32_t requests_in_window = 0;
};

// The split of each route and service between regions. It follows the load of
// their servers under the shift cap.
struct RegionShares {
  SplitState split;  // Its services are named "route service".
  std::set<std::string> large_body_splits;  // Those of them with large bodies.
  TimePoint next_advance{};
  // Requests sent elsewhere than the split says, of those in the last window.
  double overrides = 0;
  double requests = 0;
};

// Observations on their way to other entry VMs.
struct ObservationSharing {
  // Entry VMs that use the same servers.
  std::vector<std::string> receivers;
  std::size_t next_receiver = 0;  // The one that is told next.
  std::vector<std::pair<TimePoint, ServerObservation>> pending;
  TimePoint send_at = kNever;  // When `pending` is sent.
};

struct RoutingState {
  RoutingOptions options;
  Random random;
  RouteTable table;
  bool servers_known = false;
  bool stopping = false;
  TimePoint accept_until{};  // While stopping.
  RegionShares shares;
  std::unordered_map<std::string, Server> servers;  // By id.
  std::unordered_map<std::string, ServiceState> services;
  std::unordered_map<std::uint32_t, std::string> server_id_by_tag;
  std::set<std::string> evacuated_domains;  // Failure domains.
  std::vector<FleetMember> members;
  ObservationSharing sharing;
  // The largest number of members of the last while. Bounds are shared by it,
  // because members that are out of reach may go on sending.
  std::size_t fleet_size = 1;
  TimePoint fleet_size_updated_at{};
  TimePoint started_at = kNever;  // Time of the first event.
  std::unordered_map<std::uint64_t, RequestState> requests;
  std::set<std::pair<TimePoint, std::uint64_t>> deadlines;
  // Progress of the weighted split of each route with several shares.
  std::unordered_map<std::string, std::vector<double>> split_credit;
  std::unordered_map<std::uint64_t, std::uint32_t>
      crash_counts;  // By fingerprint.
  std::set<std::uint64_t> blocked_fingerprints;
};

RoutingState MakeRoutingState(RoutingOptions options, std::uint64_t seed);

// Applies one event at time `now` and appends the actions that follow, the last
// of which is always a WakeAt.
void StepRouting(RoutingState& state,
                 const RoutingEvent& event,
                 TimePoint now,
                 RoutingActions& actions);

// Whether the entry VM can serve callers.
bool IsReady(const RoutingState& state);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_ROUTING_H_
