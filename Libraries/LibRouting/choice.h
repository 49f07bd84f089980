// Which server gets an attempt.

#ifndef CICADADRUM_ROUTING_CHOICE_H_
#define CICADADRUM_ROUTING_CHOICE_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

struct ServerChoice {
  Server* server = nullptr;  // Null if no server may take the request.
  ChoiceInputs inputs;
  Duration
      expected_duration{};  // Until the response, without the cost of distance.
  double work_ms = 0;       // At a server of usual speed, within `expected`.
  bool is_queued = false;   // Other requests are ahead of it.
  bool admitted = true;     // It need not wait longer than is worth it.
  CacheAffinity cache_affinity = CacheAffinity::kFresh;
};

// Returns the cheapest server of the request's service that it was not sent to
// before.
ServerChoice ChooseServer(RoutingState& state,
                          const RequestState& request,
                          TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_CHOICE_H_
