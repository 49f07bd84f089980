// Authenticates requests by the keys of client accounts.
//
// A revoked key must end everywhere within a bound, also at an entry VM that is
// cut off. An entry VM therefore trusts the keys that it knows only for a time
// after the query whose answer confirmed them.

#ifndef CICADADRUM_ROUTING_ACCOUNTS_H_
#define CICADADRUM_ROUTING_ACCOUNTS_H_

#include <optional>
#include <string>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Whether a key of the configuration in force can't have been revoked for
// longer than the bound on revocations allows.
bool AreKeysCertain(const RoutingState& state, TimePoint now);

// Returns why a request with this key may not be sent to a server of the route
// now, or nothing if it may. An empty key stands for none.
std::optional<RefusalReason> FindKeyRefusal(const RoutingState& state,
                                            const Route& route,
                                            const std::string& key,
                                            TimePoint now);

// Returns the reason for refusing a request that no route matches.
RefusalReason RefusalWithoutRoute(const RoutingState& state, TimePoint now);

// Sets the account and priority of the request from its key, and restricts the
// home regions of `request.route`, which must be as configured, to those of the
// account. Returns false if this leaves no region.
bool AssignAccount(const RoutingState& state, RequestState& request);

void RecordKeyConfirmation(RoutingState& state,
                           const ConfigurationConfirmed& event,
                           TimePoint now);

void RecordKeySuspension(RoutingState& state, const SuspensionEnded& event);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_ACCOUNTS_H_
