// Routes and services as an operator configures them, and the lookup of the
// route that a request belongs to.

#ifndef CICADADRUM_ROUTING_CONFIGURATION_H_
#define CICADADRUM_ROUTING_CONFIGURATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::routing {

// How often a server may run a request of a route.
enum class RouteKind : std::uint8_t {
  kSafe,    // The request is idempotent and may run more than once.
  kUnsafe,  // The request runs at most once.
  kUpload,  // The request has a large body and runs at most once.
  // The response has a large body; the request is idempotent.
  kDownload,
};

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::RouteKind> {
  static constexpr auto kTable = std::to_array<EnumName<routing::RouteKind>>({
      {routing::RouteKind::kSafe, "safe"},
      {routing::RouteKind::kUnsafe, "unsafe"},
      {routing::RouteKind::kUpload, "upload"},
      {routing::RouteKind::kDownload, "download"},
  });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

constexpr bool IsIdempotent(RouteKind kind) {
  return kind == RouteKind::kSafe || kind == RouteKind::kDownload;
}

// A service that receives part of a route's requests.
struct ServiceShare {
  std::string service;
  double weight = 1;  // Relative to the weights of the route's other services.
  bool operator==(const ServiceShare&) const = default;
};

// A set of requests, selected by host and path prefix, that are handled alike.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Of the path. Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  // A request that has no response after this time is refused.
  Duration timeout{};
  // A response has its full value for the caller if it arrives within this
  // time.
  Duration latency_objective{};
  std::uint32_t priority = 0;  // 0 is the most urgent.
  // Number of servers that one request may be sent to, at least 1.
  std::uint32_t max_attempts = 1;
  bool sticky = false;     // Servers work faster on objects in their cache.
  bool is_public = false;  // Requests need no key of a client account.
  // Regions whose servers may run the requests. Empty allows all regions.
  std::vector<std::string> home_regions;
  std::vector<ServiceShare> shares;  // Empty only if the route is unreadable.
  // Whether the route could be read. Requests of a route that could not are
  // refused; of it, only host and prefix are known.
  bool is_readable = true;
  bool operator==(const Route&) const = default;
};

// Callers that authenticate with the same keys and share a quota.
struct ClientAccount {
  std::string name;
  std::vector<std::string> keys;
  // 0 is the most urgent. The priority of the route applies if unset.
  std::optional<std::uint32_t> priority;
  // Quota of requests over all entry VMs; 0 for no limit.
  double requests_per_second = 0;
  // Requests that the quota allows at once after a time without requests.
  double burst = 0;
  // Regions whose servers may run the requests. Empty allows all regions.
  std::vector<std::string> home_regions;
  bool operator==(const ClientAccount&) const = default;
};

// Settings that apply to all servers of a service.
struct ServiceRule {
  std::string name;
  std::string health_path;            // Path of the health check.
  std::uint32_t max_connections = 0;  // To one server, from all its clients.
  // How long a server stays cold after its start.
  Duration cold_time{};
  double cold_requests_per_second = 0;  // Rate that a cold server tolerates.
  bool operator==(const ServiceRule&) const = default;
};

// Limits on the requests and connections of callers.
struct CallerLimits {
  std::uint64_t header_bytes = 16384;
  std::uint64_t body_bytes = 67108864;
  Duration header_timeout = Seconds(3);
  Duration idle_timeout = Seconds(15);
  bool operator==(const CallerLimits&) const = default;
};

// One version of the configuration; a higher number is newer.
struct RoutingConfiguration {
  std::uint64_t version = 0;  // 0 if no configuration is known.
  std::vector<Route> routes;
  std::vector<ServiceRule> services;
  CallerLimits limits;
  // Requests need the key of a client account, except those of public routes.
  bool has_client_accounts = false;
  std::vector<ClientAccount> client_accounts;
  // An account could not be read, so an unknown key may be one of its keys.
  bool has_unreadable_accounts = false;
};

// A configuration with indices of its routes by host and its accounts by key.
struct RouteTable {
  RoutingConfiguration configuration;
  // For each host the indices of its routes, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
  // Index of the first account with each key.
  std::unordered_map<std::string, std::size_t> account_by_key;
};

// Builds the indices.
RouteTable MakeRouteTable(RoutingConfiguration configuration);

// Returns the route of `host` with the longest prefix that `path` starts with,
// or null if no route matches. `path` must not include the query. A port in
// `host` is ignored. The pointer is valid until `table` changes.
const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path);

// Returns the account with the key, or null if there is none. The pointer is
// valid until `table` changes.
const ClientAccount* FindAccount(const RouteTable& table,
                                 const std::string& key);

// How the keys of a configuration differ from those in force.
struct KeyChanges {
  std::size_t added = 0;
  std::size_t revoked = 0;
  std::size_t moved = 0;  // To an account of another name.
};

// Counts the changes from the keys of `table` to those of `next`.
KeyChanges CountKeyChanges(const RouteTable& table,
                           const RoutingConfiguration& next);

// Returns the settings of the service, or null if the service is not
// configured. The pointer is valid until `table` changes.
const ServiceRule* FindService(const RouteTable& table,
                               std::string_view service);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_CONFIGURATION_H_
