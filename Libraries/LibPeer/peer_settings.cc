// Generates the identity of a run of an entry VM's process.

#include "cicadadrum/peer/peer_settings.h"

#include <chrono>
#include <random>

namespace cicadadrum {

Incarnation NewIncarnation() {
  std::random_device device;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return {static_cast<std::uint64_t>(microseconds),
          (static_cast<std::uint64_t>(device()) << 32) | device()};
}

}  // namespace cicadadrum
