// Tests of hashing and rendezvous ranking.

#include <doctest/doctest.h>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

// Guards against a change of the hash: entry VMs of two versions would choose
// different pool owners.
TEST_CASE("hash values are fixed") {
  CHECK(HashBytes("cusco/status-board") == 4890265668037775547ULL);
}

// Guards against a reshuffle of all owners when one candidate leaves.
TEST_CASE("removing a candidate moves only the keys it won") {
  const std::vector<std::string> before = {"entry-1", "entry-2", "entry-3",
                                           "entry-4"};
  const std::vector<std::string> after = {"entry-1", "entry-2", "entry-4"};
  for (int i = 0; i < 200; ++i) {
    const std::string key = "pool-" + std::to_string(i);
    if (RendezvousWinner(key, before) != "entry-3")
      CHECK(RendezvousWinner(key, before) == RendezvousWinner(key, after));
  }
}

}  // namespace cicadadrum
