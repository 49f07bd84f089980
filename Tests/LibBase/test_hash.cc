// Tests of hashing and rendezvous hashing.

#include <doctest/doctest.h>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

// Guards against a change of the hash function, after which entry VMs of
// different versions would choose different pool owners.
TEST_CASE("the hash of a key has a fixed value") {
  CHECK(HashBytes("cusco/status-board") == 4890265668037775547ULL);
}

// Guards against changing the owners of all keys when one candidate is removed.
TEST_CASE("removing a candidate moves only the keys that it owned") {
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
