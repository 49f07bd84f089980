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

// A live entry VM with the hash by which it is ranked.
struct RankedEntry {
  std::uint64_t name_hash = 0;
  std::uint32_t index = 0;  // Index into EntryDirectory::entries.
};

// The live entry VMs of one region.
struct DirectoryRegion {
  std::string name;
  std::uint64_t name_hash = 0;
  std::vector<RankedEntry> entries;
};

// The live entry VMs in order of region and name, and per region the hashes of
// their names.
struct EntryDirectory {
  std::vector<EntryVm> entries;
  std::vector<DirectoryRegion> regions;
};

// Builds the directory of the entry VMs in `live`, which may be in any order.
EntryDirectory MakeEntryDirectory(std::vector<EntryVm> live);

// Default number of entry VMs in a ranked list.
constexpr std::size_t kDefaultRankLimit = 6;

// Returns at most `limit` indexes into `directory.entries`, best first. The
// entry VMs of `region` come first, in order of the rendezvous hash of client
// account and service, with the first two in different failure domains where
// possible. A third of the list (at least one place, if there is another region
// and `limit` is at least 2) is reserved for the best entry VMs of other
// regions, each from a different region as far as possible, so that a cached
// list remains usable after the loss of a failure domain or of the region. If
// an entry VM is removed from the directory, other entry VMs move only as far
// as is needed to fill its place.
std::vector<std::uint32_t> RankEntries(const EntryDirectory& directory,
                                       std::string_view region,
                                       std::string_view client_account,
                                       std::string_view service,
                                       std::size_t limit = kDefaultRankLimit);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_RANK_ENTRIES_H_
