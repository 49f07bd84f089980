// The choice of the entry VMs that callers are told to use, by what each of
// them can carry.

#ifndef CICADADRUM_LOOKUP_SELECT_ENTRIES_H_
#define CICADADRUM_LOOKUP_SELECT_ENTRIES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

struct SelectionOptions {
  std::string responder;  // Name of the entry VM that answers the lookup.
  std::string responder_region;
  // Mean size of a request and its response; 0 if unknown.
  double request_bytes = 0;
  std::size_t max_count = 64;
};

// Returns the entry VMs in `live` that a caller in `region` may use: those of
// the region, or all if it has none. Callers use each of the returned ones
// alike, so the strongest are always returned, and a weaker one only by some of
// the responders: by a share of them that is the requests a second that the
// weaker one can carry over those that the strongest can. Equally strong ones
// are all returned, up to `max_count`. The result of one responder changes only
// with `live`, little with each member, and in steps with `request_bytes`, so
// that callers keep their connections.
std::vector<EntryVm> SelectEntries(std::vector<EntryVm> live,
                                   std::string_view region,
                                   const SelectionOptions& options);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_SELECT_ENTRIES_H_
