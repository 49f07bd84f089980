// Policies in which each entry VM chooses the backend server by itself. They
// are the baselines that the pool owner is compared with.

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

// What one entry VM knows about a server.
struct DirectServer {
  BackendServer description;
  std::uint32_t in_flight = 0;  // Requests of this entry VM.
  std::uint32_t reported = 0;   // Requests in progress by the last report.
};

struct DirectChooser {
  std::map<PoolKey, std::vector<DirectServer>> pools;
  std::map<PoolKey, std::size_t> next_server_index;  // For kRoundRobin.
};

// Returns the server for `request`, or nullptr if all are avoided.
DirectServer* ChooseDirectly(DirectChooser& chooser,
                             Policy policy,
                             const PoolKey& pool,
                             const SlotRequest& request,
                             Random& random);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_DIRECT_CHOICE_H_
