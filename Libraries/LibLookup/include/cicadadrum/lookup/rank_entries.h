// Ranking of entry VMs for a caller.

#ifndef CICADADRUM_LOOKUP_RANK_ENTRIES_H_
#define CICADADRUM_LOOKUP_RANK_ENTRIES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

struct RankedEntry {
  std::uint64_t name_hash = 0;
  std::uint32_t index = 0;  // Into EntryDirectory::entries.
};

// The live entry VMs of one region.
struct DirectoryRegion {
  std::string name;
  std::uint64_t name_hash = 0;
  std::vector<RankedEntry> entries;
};

// The live entry VMs by region, with the hashes of their names.
struct EntryDirectory {
  std::vector<EntryVm> entries;
  std::vector<DirectoryRegion> regions;
};

EntryDirectory MakeEntryDirectory(std::vector<EntryVm> live);

constexpr std::size_t kDefaultRankLimit = 6;

// Returns at most `limit` indexes into `directory.entries`, best first. The
// entry VMs of `region` come first, in order of the rendezvous hash of customer
// and service, with the first two in different failure domains where possible.
// A third of the list (at least one place, if there is another region) is left
// for the best entry VMs of other regions, each of a different region as far as
// possible, so that a cached list outlives the loss of a failure domain or of
// the region. The removal of an entry VM changes the places of others only to
// fill its own.
std::vector<std::uint32_t> RankEntries(const EntryDirectory& directory,
                                       std::string_view region,
                                       std::string_view customer,
                                       std::string_view service,
                                       std::size_t limit = kDefaultRankLimit);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_RANK_ENTRIES_H_
