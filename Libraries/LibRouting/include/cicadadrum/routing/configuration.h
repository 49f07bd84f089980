// Routes and services as an operator configures them, and the look-up of the
// route of a request.

#ifndef CICADADRUM_ROUTING_CONFIGURATION_H_
#define CICADADRUM_ROUTING_CONFIGURATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::routing {

// What may be repeated.
enum class RouteKind : std::uint8_t {
  kSafe,    // Idempotent: may run more than once.
  kUnsafe,  // Runs at most once for each request of a caller.
  kUpload,  // A large body; otherwise like kUnsafe.
};

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::RouteKind> {
  static constexpr auto kTable = std::to_array<EnumName<routing::RouteKind>>({
      {routing::RouteKind::kSafe, "safe"},
      {routing::RouteKind::kUnsafe, "unsafe"},
      {routing::RouteKind::kUpload, "upload"},
  });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

constexpr bool IsIdempotent(RouteKind kind) {
  return kind == RouteKind::kSafe;
}

struct ServiceShare {
  std::string service;
  double weight = 1;
  bool operator==(const ServiceShare&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout{};              // After which a request is answered anyway.
  Duration latency_objective{};    // A response within it has its full value.
  std::uint32_t priority = 0;      // 0 is the most urgent.
  std::uint32_t max_attempts = 1;  // Servers that one request may be sent to.
  bool sticky = false;             // Servers are faster with objects they know.
  std::vector<std::string> home_regions;  // Empty for all regions.
  std::vector<ServiceShare> shares;       // Not empty.
  bool operator==(const Route&) const = default;
};

struct ServiceRule {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;    // Of one server, from all callers.
  Duration cold_time{};                 // How long a started server stays cold.
  double cold_requests_per_second = 0;  // That a cold server tolerates.
  bool operator==(const ServiceRule&) const = default;
};

struct CallerLimits {
  std::uint64_t header_bytes = 16384;
  std::uint64_t body_bytes = 67108864;
  Duration header_timeout = Seconds(3);
  Duration idle_timeout = Seconds(15);
  bool operator==(const CallerLimits&) const = default;
};

struct RoutingConfiguration {
  std::uint64_t version = 0;  // 0 if none is known.
  std::vector<Route> routes;
  std::vector<ServiceRule> services;
  CallerLimits limits;
};

// A configuration with an index of its routes by host.
struct RouteTable {
  RoutingConfiguration configuration;
  // Indices of the routes of a host, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> by_host;
};

RouteTable MakeRouteTable(RoutingConfiguration configuration);

// Returns the route of the host whose prefix is the longest that begins `path`
// (without a query), or null. A port in `host` is ignored.
const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path);

// Returns null if the service is not configured.
const ServiceRule* FindService(const RouteTable& table,
                               std::string_view service);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_CONFIGURATION_H_
