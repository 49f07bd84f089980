// Policies in which each entry VM chooses the backend server without a pool
// owner. They are the baselines for the comparison with the pool owner.

#ifndef CICADADRUM_BENCH_DIRECT_CHOICE_H_
#define CICADADRUM_BENCH_DIRECT_CHOICE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/bench/simulation.h"
#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// The state of a server as one entry VM knows it.
struct DirectServer {
  BackendServer description;
  std::uint32_t in_flight = 0;  // Open requests of this entry VM.
  std::uint32_t reported = 0;   // Requests in progress in the last load report.
};

// The servers that one entry VM knows, by pool.
struct DirectChooser {
  std::map<PoolKey, std::vector<DirectServer>> pools;
  std::map<PoolKey, std::size_t> next_server_index;  // For kRoundRobin.
};

// Returns the server for `request`, valid until `chooser` changes. Returns
// nullptr if the request avoids all servers of the pool or if they are leaving,
// and for Policy::kPoolOwner.
DirectServer* ChooseDirectly(DirectChooser& chooser,
                             Policy policy,
                             const PoolKey& pool,
                             const SlotRequest& request,
                             Random& random);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_DIRECT_CHOICE_H_
