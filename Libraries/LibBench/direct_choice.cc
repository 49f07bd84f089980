// The policies round robin, least requests in flight and power of two choices.

#include "direct_choice.h"

#include <algorithm>

namespace cicadadrum {

namespace {

using Candidates = std::vector<DirectServer*>;

Candidates FindCandidates(std::vector<DirectServer>& servers,
                          const SlotRequest& request) {
  Candidates candidates;
  for (DirectServer& server : servers) {
    const bool avoided =
        std::find(request.avoid.begin(), request.avoid.end(),
                  server.description.name) != request.avoid.end();
    if (!avoided && !server.description.leaving)
      candidates.push_back(&server);
  }
  return candidates;
}

DirectServer* LeastInFlight(const Candidates& candidates, Random& random) {
  const std::size_t start = RandomBelow(random, candidates.size());
  DirectServer* best = candidates[start];
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    DirectServer* candidate = candidates[(start + i) % candidates.size()];
    if (candidate->in_flight < best->in_flight)
      best = candidate;
  }
  return best;
}

DirectServer* LessLoadedOfTwo(const Candidates& candidates, Random& random) {
  const auto load = [](const DirectServer* server) {
    return static_cast<double>(server->in_flight + server->reported) /
           server->description.slots;
  };
  DirectServer* first = candidates[RandomBelow(random, candidates.size())];
  DirectServer* second = candidates[RandomBelow(random, candidates.size())];
  return load(second) < load(first) ? second : first;
}

}  // namespace

DirectServer* ChooseDirectly(DirectChooser& chooser,
                             Policy policy,
                             const PoolKey& pool,
                             const SlotRequest& request,
                             Random& random) {
  const Candidates candidates = FindCandidates(chooser.pools[pool], request);
  if (candidates.empty())
    return nullptr;
  switch (policy) {
    case Policy::kRoundRobin:
      return candidates[chooser.next_server_index[pool]++ % candidates.size()];
    case Policy::kLeastInFlight:
      return LeastInFlight(candidates, random);
    case Policy::kPowerOfTwo:
      return LessLoadedOfTwo(candidates, random);
    case Policy::kPoolOwner:
      break;
  }
  return nullptr;
}

}  // namespace cicadadrum
