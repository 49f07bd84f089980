// Selects entry VMs for a caller.

#include "cicadadrum/caller/choice.h"

#include <algorithm>

namespace cicadadrum {

bool NeedsLookup(const CallerState& state,
                 const std::string& service,
                 TimePoint now) {
  const auto found = state.lookups.find(service);
  return found == state.lookups.end() || found->second.expires_at <= now;
}

std::vector<std::string> RankAddresses(CallerState& state,
                                       const std::string& service,
                                       TimePoint now) {
  std::vector<std::string> ranked;
  const auto found = state.lookups.find(service);
  if (found != state.lookups.end())
    ranked = found->second.addresses;
  std::vector<std::string> seed_addresses = state.seed_addresses;
  // The order is random, so that the first lookups of all callers are spread
  // over the entry VMs.
  for (std::size_t i = seed_addresses.size(); i > 1; --i)
    std::swap(seed_addresses[i - 1],
              seed_addresses[RandomBelow(state.random, i)]);
  for (const std::string& seed : seed_addresses) {
    if (std::find(ranked.begin(), ranked.end(), seed) == ranked.end())
      ranked.push_back(seed);
  }
  std::stable_partition(
      ranked.begin(), ranked.end(), [&](const std::string& address) {
        const auto failed = state.failed_until.find(address);
        return failed == state.failed_until.end() || failed->second <= now;
      });
  return ranked;
}

void RecordFailure(CallerState& state,
                   const std::string& address,
                   TimePoint now) {
  state.failed_until[address] = now + kFailedEntryBackoff;
}

void RecordVersion(CallerState& state, std::uint64_t version) {
  state.configuration_floor = std::max(state.configuration_floor, version);
}

}  // namespace cicadadrum
