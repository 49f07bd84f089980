// Authenticates requests by the keys of client accounts.

#include "accounts.h"

#include <algorithm>

namespace cicadadrum::routing {

namespace {

// A confirmation counts for 9 of 10 parts of the bound on revocations. The rest
// covers differences between the rates of clocks.
constexpr std::int64_t kTrustedParts = 9;
constexpr std::int64_t kParts = 10;

// Whether a newer configuration would be known by now. Without this, a request
// that nothing matches may belong to a newer configuration.
bool IsConfigurationRecent(const RoutingState& state, TimePoint now) {
  return !state.is_configuration_disputed && state.configuration_confirmed_at &&
         now - *state.configuration_confirmed_at <=
             state.options.bounds.configuration_time;
}

}  // namespace

bool AreKeysCertain(const RoutingState& state, TimePoint now) {
  const FleetBounds& bounds = state.options.bounds;
  if (!bounds.revokes_everywhere)
    return true;
  return state.keys_confirmed_at &&
         now - *state.keys_confirmed_at <
             bounds.revocation_time / kParts * kTrustedParts;
}

std::optional<RefusalReason> FindKeyRefusal(const RoutingState& state,
                                            const Route& route,
                                            const std::string& key,
                                            TimePoint now) {
  const RoutingConfiguration& configuration = state.table.configuration;
  if (!configuration.has_client_accounts)
    return std::nullopt;
  const bool is_known = FindAccount(state.table, key) != nullptr;
  if (is_known && !AreKeysCertain(state, now))
    return RefusalReason::kConfigurationOutdated;
  if (is_known || route.is_public)
    return std::nullopt;
  if (!IsConfigurationRecent(state, now))
    return RefusalReason::kConfigurationOutdated;
  return configuration.has_unreadable_accounts && !key.empty()
             ? RefusalReason::kUnreadableAccount
             : RefusalReason::kUnknownKey;
}

RefusalReason RefusalWithoutRoute(const RoutingState& state, TimePoint now) {
  return !state.table.configuration.has_client_accounts ||
                 IsConfigurationRecent(state, now)
             ? RefusalReason::kNoRoute
             : RefusalReason::kConfigurationOutdated;
}

bool AssignAccount(const RoutingState& state, RequestState& request) {
  if (state.table.configuration.has_client_accounts)
    request.hides_credentials = true;
  const ClientAccount* account = FindAccount(state.table, request.key);
  request.account = account == nullptr ? std::string() : account->name;
  request.priority = request.route.priority;
  if (account == nullptr)
    return true;
  request.priority = account->priority.value_or(request.route.priority);
  std::vector<std::string>& homes = request.route.home_regions;
  if (account->home_regions.empty())
    return true;
  if (homes.empty()) {
    homes = account->home_regions;
    return true;
  }
  std::erase_if(homes, [&](const std::string& region) {
    return std::find(account->home_regions.begin(), account->home_regions.end(),
                     region) == account->home_regions.end();
  });
  return !homes.empty();
}

void RecordKeyConfirmation(RoutingState& state,
                           const ConfigurationConfirmed& event,
                           TimePoint now) {
  state.is_configuration_disputed = event.is_disputed;
  if (event.is_disputed || !event.query_age)
    return;
  const TimePoint confirmed_at = now - *event.query_age;
  state.keys_confirmed_at =
      std::max(state.keys_confirmed_at.value_or(confirmed_at), confirmed_at);
}

void RecordKeySuspension(RoutingState& state, const SuspensionEnded& event) {
  if (state.keys_confirmed_at)
    *state.keys_confirmed_at -= event.duration;
}

}  // namespace cicadadrum::routing
