// Keeps requests of routes with home regions inside these regions.

#ifndef CICADADRUM_ROUTING_HOME_REGIONS_H_
#define CICADADRUM_ROUTING_HOME_REGIONS_H_

#include <string>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Whether servers of the region may run the requests of the route.
bool IsRegionAllowed(const Route& route, const std::string& region);

// Whether the home regions of the route are still those that the operators have
// set. An entry VM can't know if no source has confirmed its configuration for
// longer than a new one takes to be in force. Contact with other entry VMs is
// no substitute: they may be cut off from the store together with this one.
bool AreHomeRegionsCertain(const RoutingState& state,
                           const Route& route,
                           TimePoint now);

void RecordConfirmation(RoutingState& state,
                        const ConfigurationConfirmed& event,
                        TimePoint now);

void RecordSuspension(RoutingState& state, const SuspensionEnded& event);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_HOME_REGIONS_H_
