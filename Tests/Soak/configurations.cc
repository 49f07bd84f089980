// Builds the routes of each version.

#include "configurations.h"

#include <array>
#include <string>

#include "stand_ins.h"

namespace cicadadrum::platform {

namespace {

constexpr std::array<const char*, 3> kRegions = {"north", "middle", "south"};
constexpr std::string_view kTemporaryPrefix = "/temporary/";
// Number of versions in which a temporary route exists.
constexpr std::uint64_t kTemporaryVersions = 2;
// Of 100 requests, this number uses a route with a home region, and this number
// a temporary route; the others use a lasting route without a home region.
constexpr std::uint64_t kHomePercent = 55;
constexpr std::uint64_t kTemporaryPercent = 15;

std::vector<std::string> HomeAt(std::uint64_t number) {
  return {kRegions[number % kRegions.size()]};
}

std::vector<ConfiguredRoute> RoutesWithoutHome() {
  return {{.name = "r1", .prefix = "/read/"},
          {.name = "r2", .prefix = "/write/", .kind = "unsafe"}};
}

std::vector<ConfiguredRoute> RoutesWithHome(std::uint64_t version) {
  return {{.name = "home-safe",
           .prefix = "/home/",
           .home_regions = HomeAt(version)},
          {.name = "home-nested",
           .prefix = "/home/nested/",
           .home_regions = HomeAt(version + 1)},
          {.name = "home-unsafe",
           .prefix = "/home-write/",
           .kind = "unsafe",
           .home_regions = HomeAt(version + 2)},
          {.name = "home-long",
           .prefix = "/home-long/",
           .timeout_ms = 5000,
           .attempts = 4,
           .home_regions = HomeAt(version)},
          {.name = "home-other-host",
           .host = "other-host",
           .prefix = "/home/",
           .home_regions = HomeAt(version + 2)}};
}

ConfiguredRoute TemporaryRoute(std::uint64_t version) {
  const std::string number = std::to_string(version);
  return {.name = "temporary-" + number,
          .prefix = std::string(kTemporaryPrefix) + number + "/"};
}

ConfiguredRoute PickRoute(const std::vector<ConfiguredRoute>& routes,
                          Random& random) {
  return routes[RandomBelow(random, routes.size())];
}

}  // namespace

const std::vector<SoakFailureDomain>& SoakFailureDomains() {
  static const std::vector<SoakFailureDomain> domains = {
      {"north-a", "north"}, {"middle-a", "middle"}, {"south-a", "south"},
      {"north-b", "north"}, {"middle-b", "middle"}, {"south-b", "south"}};
  return domains;
}

const SoakFailureDomain& SoakFailureDomainOf(std::size_t number) {
  return SoakFailureDomains()[number % SoakFailureDomains().size()];
}

std::vector<ConfiguredRoute> RoutesOfVersion(std::uint64_t version) {
  std::vector<ConfiguredRoute> routes = RoutesWithoutHome();
  routes.push_back(DownloadRoute());
  for (ConfiguredRoute& route : RoutesWithHome(version))
    routes.push_back(std::move(route));
  for (std::uint64_t i = 0; i < kTemporaryVersions && i < version; ++i)
    routes.push_back(TemporaryRoute(version - i));
  return routes;
}

ConfiguredRoute DownloadRoute() {
  return {.name = "r3",
          .prefix = std::string(kDownloadPrefix),
          .kind = "download",
          .timeout_ms = 2000};
}

bool IsLastingRoute(const ConfiguredRoute& route) {
  return !route.prefix.starts_with(kTemporaryPrefix);
}

ConfiguredRoute ChooseRoute(std::uint64_t version, Random& random) {
  const std::uint64_t percent = RandomBelow(random, 100);
  if (percent < kHomePercent)
    return PickRoute(RoutesWithHome(version), random);
  if (percent >= kHomePercent + kTemporaryPercent)
    return PickRoute(RoutesWithoutHome(), random);
  const std::uint64_t age = RandomBelow(random, kTemporaryVersions + 2);
  return TemporaryRoute(version > age ? version - age : version);
}

}  // namespace cicadadrum::platform
