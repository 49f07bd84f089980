// Lookup of routes, client accounts and services.

#include "cicadadrum/routing/configuration.h"

#include <algorithm>
#include <unordered_set>

namespace cicadadrum::routing {

RouteTable MakeRouteTable(RoutingConfiguration configuration) {
  RouteTable table{.configuration = std::move(configuration)};
  const std::vector<Route>& routes = table.configuration.routes;
  for (std::size_t i = 0; i < routes.size(); ++i)
    table.by_host[routes[i].host].push_back(i);
  for (auto& [host, indices] : table.by_host) {
    std::stable_sort(indices.begin(), indices.end(),
                     [&](std::size_t a, std::size_t b) {
                       return routes[a].prefix.size() > routes[b].prefix.size();
                     });
  }
  const std::vector<ClientAccount>& accounts =
      table.configuration.client_accounts;
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    for (const std::string& key : accounts[i].keys)
      table.account_by_key.emplace(key, i);
  }
  return table;
}

const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path) {
  const auto found =
      table.by_host.find(std::string(host.substr(0, host.find(':'))));
  if (found == table.by_host.end())
    return nullptr;
  for (const std::size_t index : found->second) {
    const Route& route = table.configuration.routes[index];
    if (path.starts_with(route.prefix))
      return &route;
  }
  return nullptr;
}

const ClientAccount* FindAccount(const RouteTable& table,
                                 const std::string& key) {
  const auto found = table.account_by_key.find(key);
  return found == table.account_by_key.end()
             ? nullptr
             : &table.configuration.client_accounts[found->second];
}

KeyChanges CountKeyChanges(const RouteTable& table,
                           const RoutingConfiguration& next) {
  KeyChanges changes;
  std::size_t kept = 0;
  std::unordered_set<std::string_view> keys;
  for (const ClientAccount& account : next.client_accounts) {
    for (const std::string& key : account.keys) {
      if (!keys.insert(key).second)
        continue;
      const ClientAccount* known = FindAccount(table, key);
      if (known == nullptr)
        ++changes.added;
      else if (known->name != account.name)
        ++changes.moved;
      kept += known == nullptr ? 0 : 1;
    }
  }
  changes.revoked = table.account_by_key.size() - kept;
  return changes;
}

const ServiceRule* FindService(const RouteTable& table,
                               std::string_view service) {
  for (const ServiceRule& rule : table.configuration.services) {
    if (rule.name == service)
      return &rule;
  }
  return nullptr;
}

}  // namespace cicadadrum::routing
