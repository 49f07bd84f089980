// Choice of the entry VM at a caller, from cached look-up answers. Free
// functions without input or output.

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

// A look-up answer, kept for one service.
struct CachedLookup {
  std::vector<std::string> addresses;  // Of entry VMs, best first.
  TimePoint expires_at{};
  std::deque<std::string> request_keys;  // Not used yet.
};

struct CallerState {
  std::vector<std::string>
      seed_addresses;  // Addresses of entry VMs from the caller's settings.
  std::map<std::string, CachedLookup> lookups;  // By service.
  std::map<std::string, TimePoint>
      failed_until;  // Entry VMs that failed, by address.
  std::uint64_t configuration_floor =
      0;  // Highest version any answer has named; never decreases.
  Random random;
};

// How long an entry VM that could not be reached is tried only after all
// others.
constexpr Duration kFailedEntryBackoff = Seconds(5);

// Whether the cached answer for `service` is missing or has expired.
bool NeedsLookup(const CallerState& state,
                 const std::string& service,
                 TimePoint now);

// Returns the entry VMs to ask for `service`, best first: those of the cached
// answer, also of an expired one, then the seeds; entry VMs that failed lately
// last.
std::vector<std::string> RankAddresses(CallerState& state,
                                       const std::string& service,
                                       TimePoint now);

void RecordFailure(CallerState& state,
                   const std::string& address,
                   TimePoint now);
void RecordVersion(CallerState& state, std::uint64_t version);

}  // namespace cicadadrum

#endif  // CICADADRUM_CALLER_CHOICE_H_
