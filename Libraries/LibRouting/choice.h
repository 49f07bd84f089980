// The choice of the server for an attempt.

#ifndef CICADADRUM_ROUTING_CHOICE_H_
#define CICADADRUM_ROUTING_CHOICE_H_

#include <optional>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// The chosen server and the estimates behind the choice.
struct ServerChoice {
  Server* server = nullptr;  // Null if no server may receive the request.
  ChoiceInputs inputs;
  // Estimated time until the response, without the cost of distance.
  Duration expected_duration{};
  // The part of `expected_duration` that is work, at a server of usual speed.
  double work_ms = 0;
  bool is_queued = false;  // The request would wait behind other requests.
  // The server has enough free capacity to respond in good time.
  bool admitted = true;
  CacheAffinity cache_affinity = CacheAffinity::kFresh;
};

// Returns the server of the request's service with the least cost within the
// region that is chosen for the request. Servers that the request was sent to
// before are left out.
ServerChoice ChooseServer(RoutingState& state,
                          const RequestState& request,
                          TimePoint now);

// Returns when the first server of the request's service may receive requests
// again, if none may now and at least one of them has asked for a pause.
std::optional<TimePoint> FirstPauseEnd(const RoutingState& state,
                                       const RequestState& request,
                                       TimePoint now);

// Whether a server of the request's service receives the request only because
// this entry VM has used its share of the server's limit.
bool IsHeldByLimits(RoutingState& state,
                    const RequestState& request,
                    TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_CHOICE_H_
