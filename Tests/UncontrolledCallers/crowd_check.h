// Checks of the real program while crowds of uncontrolled callers visit it.

#ifndef CICADADRUM_TESTS_UNCONTROLLEDCALLERS_CROWD_CHECK_H_
#define CICADADRUM_TESTS_UNCONTROLLEDCALLERS_CROWD_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "crowd.h"
#include "entry_process.h"

namespace cicadadrum::platform {

// What the entry VM has, and what its configuration allows callers.
struct CrowdLimits {
  double memory_megabytes = 0;
  std::uint64_t max_descriptors = 0;
  // Descriptors that must stay free, for connections to servers and the store.
  std::uint64_t free_descriptors = 0;
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 4'000'000;
  int header_timeout_ms = 0;
  int idle_timeout_ms = 0;
};

// The callers of one address, one for each script.
struct CrowdAt {
  const std::string& (EntryProcess::*address)() const;
  std::vector<CallerScript> scripts;
};

// Sends the crowds, and checks that the entry VM lives, keeps to its memory and
// descriptors, and answers ordinary callers while the crowds are connected and
// afterwards.
void CheckCrowds(const CrowdLimits& limits, std::vector<CrowdAt> crowds_at);

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_UNCONTROLLEDCALLERS_CROWD_CHECK_H_
