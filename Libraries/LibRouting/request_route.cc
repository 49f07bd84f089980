// Routes of requests in progress, and changes of them.

#include "request_route.h"

#include <algorithm>

#include "accounts.h"

namespace cicadadrum::routing {

namespace {

// Whether the route sends requests to the service.
bool UsesService(const Route& route, const std::string& service) {
  return std::any_of(route.shares.begin(), route.shares.end(),
                     [&](const ServiceShare& share) {
                       return share.service == service && share.weight > 0;
                     });
}

}  // namespace

std::string ChooseService(RoutingState& state, const Route& route) {
  if (route.shares.size() == 1)
    return route.shares.front().service;
  std::vector<double>& credit = state.split_credit[route.name];
  if (credit.size() != route.shares.size())
    credit.assign(route.shares.size(), 0);
  double total = 0;
  for (std::size_t i = 0; i < credit.size(); ++i) {
    credit[i] += route.shares[i].weight;
    total += route.shares[i].weight;
  }
  const auto best = static_cast<std::size_t>(
      std::max_element(credit.begin(), credit.end()) - credit.begin());
  credit[best] -= total;
  return route.shares[best].service;
}

void ShortenDeadline(RoutingState& state,
                     std::uint64_t id,
                     RequestState& request,
                     TimePoint deadline) {
  if (deadline >= request.deadline)
    return;
  state.deadlines.erase({request.deadline, id});
  request.deadline = deadline;
  state.deadlines.emplace(deadline, id);
}

bool RefreshRoute(RoutingState& state,
                  std::uint64_t id,
                  RequestState& request) {
  if (request.configuration == state.table.configuration.version)
    return true;
  const Route* route = FindRoute(state.table, request.host, request.path);
  if (route == nullptr || !route->is_readable)
    return false;
  // Earlier attempts may have relied on the kind of the earlier route.
  const RouteKind kind =
      IsIdempotent(request.route.kind) ? route->kind : request.route.kind;
  request.route = *route;
  request.route.kind = kind;
  request.configuration = state.table.configuration.version;
  if (!AssignAccount(state, request))
    return false;
  ShortenDeadline(state, id, request, request.arrived_at + route->timeout);
  if (UsesService(*route, request.service))
    return true;
  request.service = ChooseService(state, *route);
  // The retry budget of a service is looked up before its servers are.
  state.services.try_emplace(request.service);
  return true;
}

}  // namespace cicadadrum::routing
