// Selects entry VMs for a caller from cached lookup responses. The functions
// perform no input or output.

#ifndef CICADADRUM_CALLER_CHOICE_H_
#define CICADADRUM_CALLER_CHOICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum {

// The cached lookup response for one service.
struct CachedLookup {
  std::vector<std::string> addresses;  // Addresses of entry VMs, best first.
  TimePoint expires_at{};
  std::deque<std::string>
      request_keys;  // Request keys that have not been used yet.
};

struct CallerState {
  std::vector<std::string>
      seed_addresses;  // Addresses of entry VMs from the caller's settings.
  std::map<std::string, CachedLookup> lookups;  // By service.
  std::map<std::string, TimePoint>
      failed_until;  // End of the backoff of each entry VM that failed, by
                     // address.
  std::uint64_t configuration_floor =
      0;  // Highest configuration version in any response so far; never
          // decreases.
  Random random;
};

// After a failure, an entry VM is used only after all others for this time.
constexpr Duration kFailedEntryBackoff = Seconds(5);

// Returns whether the cached lookup response for `service` is missing or has
// expired.
bool NeedsLookup(const CallerState& state,
                 const std::string& service,
                 TimePoint now);

// Returns the addresses of the entry VMs for `service`, best first: the
// addresses of the cached lookup response, even if the response has expired,
// then the seed addresses in random order. Entry VMs whose backoff has not
// ended come last.
std::vector<std::string> RankAddresses(CallerState& state,
                                       const std::string& service,
                                       TimePoint now);

// Starts the backoff of the entry VM at `address`.
void RecordFailure(CallerState& state,
                   const std::string& address,
                   TimePoint now);
// Raises the configuration floor to `version` if `version` is higher.
void RecordVersion(CallerState& state, std::uint64_t version);

}  // namespace cicadadrum

#endif  // CICADADRUM_CALLER_CHOICE_H_
