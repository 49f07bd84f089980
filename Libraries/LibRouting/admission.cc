// Limits the wait in queues by priority.

#include "admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "observations.h"

namespace cicadadrum::routing {

namespace {

// A request may wait in a server's queue if its response is expected within
// this share of the latency objective. With a longer queue every response would
// miss the objective.
constexpr double kResponseTimeShare = 0.9;
// A request may always wait for this share of the latency objective, even where
// the work alone takes most of the objective.
constexpr double kMinQueueTimeShare = 0.25;

// Half-life of the counts of requests by priority, in ms. A priority whose
// requests have stopped keeps no room in the queues for long.
constexpr double kDemandHalfLifeMs = 5000;
// Below this count, a priority has no recent requests.
constexpr double kMinRequests = 0.1;

// Share of the requests of each priority that are treated as the most urgent
// ones. No priority may be served less often than a quarter of the mean served
// share; the rest is a margin for random variation.
constexpr double kUrgentShare = 0.3;

double RequestsAt(const PriorityDemand& demand, TimePoint now) {
  return demand.requests *
         std::exp2(-ToMs(now - demand.updated_at) / kDemandHalfLifeMs);
}

}  // namespace

double MaxWaitMs(const RequestState& request, double work_ms, TimePoint now) {
  const double objective_ms = ToMs(request.route.latency_objective);
  const double left_ms = objective_ms * kResponseTimeShare -
                         ToMs(now - request.arrived_at) - work_ms;
  return std::max(objective_ms * kMinQueueTimeShare, left_ms);
}

void RecordDemand(ServiceState& service,
                  std::uint32_t priority,
                  double max_wait_ms,
                  TimePoint now) {
  PriorityDemand& demand = service.demand[priority];
  demand.requests = RequestsAt(demand, now) + 1;
  demand.updated_at = now;
  demand.max_wait_ms += (max_wait_ms - demand.max_wait_ms) / demand.requests;
}

double DrawPriorityWaitMs(RoutingState& state,
                          const RequestState& request,
                          TimePoint now) {
  double more_urgent = 0;
  double total = 0;
  double max_wait_ms = std::numeric_limits<double>::infinity();
  for (const auto& [priority, demand] :
       state.services.at(request.service).demand) {
    const double requests = RequestsAt(demand, now);
    if (requests < kMinRequests)
      continue;
    total += requests;
    if (priority >= request.priority)
      continue;
    more_urgent += requests;
    max_wait_ms = std::min(max_wait_ms, demand.max_wait_ms);
  }
  if (more_urgent == 0 || RandomUnit(state.random) < kUrgentShare)
    return max_wait_ms;
  return max_wait_ms * (1 - more_urgent / total);
}

}  // namespace cicadadrum::routing
