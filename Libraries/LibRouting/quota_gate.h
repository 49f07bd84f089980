// Lets requests wait for the tokens of their accounts' quotas.

#ifndef CICADADRUM_ROUTING_QUOTA_GATE_H_
#define CICADADRUM_ROUTING_QUOTA_GATE_H_

#include <cstdint>
#include <string>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Whether the request may be sent to a server. If it needs a token and there is
// none, it is dispatched again or refused when AdvanceQuotas knows the
// decision.
bool HoldsQuotaToken(RoutingState& state,
                     std::uint64_t id,
                     RefusalReason reason_without_server,
                     TimePoint now);

// Takes back the token of a request that ends without using it.
void ReturnQuotaToken(RoutingState& state, const RequestState& request);

// Applies the limits of the configuration.
void UpdateQuotas(RoutingState& state, TimePoint now);

void UpdateQuotaMembers(RoutingState& state, TimePoint now);

// Does what is due by now, dispatches or refuses the requests on which there
// is a decision, and sends messages to other entry VMs.
void AdvanceQuotas(RoutingState& state, TimePoint now, RoutingActions& actions);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_QUOTA_GATE_H_
