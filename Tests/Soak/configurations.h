// The configurations that the operator of the soak test writes, and the
// requests that callers send for them.

#ifndef CICADADRUM_TESTS_SOAK_CONFIGURATIONS_H_
#define CICADADRUM_TESTS_SOAK_CONFIGURATIONS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/base/random.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

// A failure domain of the entry VMs and servers.
struct SoakFailureDomain {
  std::string name;
  std::string region;
};

// Returns all failure domains. Consecutive ones lie in different regions.
const std::vector<SoakFailureDomain>& SoakFailureDomains();

// Returns the failure domain of the entry VM or server with this number.
const SoakFailureDomain& SoakFailureDomainOf(std::size_t number);

// Returns the routes of a version of the configuration. Each version moves
// every route with a home region to another region, adds one route, and drops
// the route that the version before the previous one added.
std::vector<ConfiguredRoute> RoutesOfVersion(std::uint64_t version);

// Returns the route for downloads, which all versions have. ChooseRoute never
// chooses it.
ConfiguredRoute DownloadRoute();

// Path of the request that crashes each server that runs it. All versions have
// its route, which is idempotent.
constexpr std::string_view kCrashingPath = "/read/crash";

// Returns whether all versions have the route.
bool IsLastingRoute(const ConfiguredRoute& route);

// Chooses the route of a caller's request. The newest version of the
// configuration is `version`. Some requests use a route that was added lately
// or is already dropped.
ConfiguredRoute ChooseRoute(std::uint64_t version, Random& random);

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_CONFIGURATIONS_H_
