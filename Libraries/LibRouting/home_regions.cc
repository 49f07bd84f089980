// Decides whether the known home regions of a route still apply.

#include "home_regions.h"

#include <algorithm>

namespace cicadadrum::routing {

bool IsRegionAllowed(const Route& route, const std::string& region) {
  return route.home_regions.empty() ||
         std::find(route.home_regions.begin(), route.home_regions.end(),
                   region) != route.home_regions.end();
}

bool AreHomeRegionsCertain(const RoutingState& state,
                           const Route& route,
                           TimePoint now) {
  if (route.home_regions.empty())
    return true;
  return state.configuration_confirmed_at &&
         now - *state.configuration_confirmed_at <=
             state.options.bounds.configuration_time;
}

void RecordConfirmation(RoutingState& state,
                        const ConfigurationConfirmed& event,
                        TimePoint now) {
  const TimePoint confirmed_at = now - event.age;
  state.configuration_confirmed_at = std::max(
      state.configuration_confirmed_at.value_or(confirmed_at), confirmed_at);
}

void RecordSuspension(RoutingState& state, const SuspensionEnded& event) {
  if (state.configuration_confirmed_at)
    *state.configuration_confirmed_at -= event.duration;
}

}  // namespace cicadadrum::routing
