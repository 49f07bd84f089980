// The faults that the soak test injects.

#ifndef CICADADRUM_TESTS_SOAK_FAULTS_H_
#define CICADADRUM_TESTS_SOAK_FAULTS_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include <boost/leaf.hpp>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum::platform {

enum class Fault : std::uint8_t {
  kKill,
  kStop,
  kPause,
  kStoreLink,
  kServerLink,
  kServerBehaviour,
  kServerLeaves,
  kServersPause,
  kServerLimits,
  kReplaceServer,
  kConfiguration,
  kTruncateChangeLog,
  kStoreBehaviour,
  kRestoreStore,
  // A caller sends the request that crashes each server that runs it.
  kCrashingRequest,
  // A server restarts under its id and is cold. Its next heartbeat says so.
  kServerRestart,
};

}  // namespace cicadadrum::platform

namespace cicadadrum {

template <>
struct EnumNames<platform::Fault> {
  static constexpr auto kTable = std::to_array<EnumName<platform::Fault>>({
      {platform::Fault::kKill, "kill"},
      {platform::Fault::kStop, "stop"},
      {platform::Fault::kPause, "pause"},
      {platform::Fault::kStoreLink, "store-link"},
      {platform::Fault::kServerLink, "server-link"},
      {platform::Fault::kServerBehaviour, "server-behaviour"},
      {platform::Fault::kServerLeaves, "server-leaves"},
      {platform::Fault::kServersPause, "servers-pause"},
      {platform::Fault::kServerLimits, "server-limits"},
      {platform::Fault::kReplaceServer, "replace-server"},
      {platform::Fault::kConfiguration, "configuration"},
      {platform::Fault::kTruncateChangeLog, "forget-history"},
      {platform::Fault::kStoreBehaviour, "store-behaviour"},
      {platform::Fault::kRestoreStore, "restore-store"},
      {platform::Fault::kCrashingRequest, "crashing-request"},
      {platform::Fault::kServerRestart, "server-restart"},
  });
};

}  // namespace cicadadrum

namespace cicadadrum::platform {

// Returns all faults in the order of their table.
std::vector<Fault> AllFaults();

// Parses a list of names that are separated by commas. Error:
// kInvalidSettings for an unknown name.
boost::leaf::result<std::vector<Fault>> ParseFaults(std::string_view names);

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_FAULTS_H_
