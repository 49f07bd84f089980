// A Bloom filter of the member records that a node has. A pull includes the
// filter as text, and the response omits the records that the filter contains.

#ifndef CICADADRUM_MEMBERSHIP_RECORD_FILTER_H_
#define CICADADRUM_MEMBERSHIP_RECORD_FILTER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cicadadrum/membership/membership.h"

namespace cicadadrum {

// Returns the filter of all records in the table. Each salt leads to different
// false positives, so that repeated pulls find every record.
std::string MakeRecordFilter(const MembershipState& state, std::uint64_t salt);

// Returns whether the filter may contain the record. The result is a false
// positive for about 2 of 100 records. An empty filter contains nothing.
bool IsInFilter(std::string_view filter,
                std::uint64_t salt,
                const MemberUpdate& record);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_RECORD_FILTER_H_
