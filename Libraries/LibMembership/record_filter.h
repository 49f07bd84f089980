// A Bloom filter of the records one node holds, as text in a pull: the answer
// leaves out what is in it.

#ifndef CICADADRUM_MEMBERSHIP_RECORD_FILTER_H_
#define CICADADRUM_MEMBERSHIP_RECORD_FILTER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "cicadadrum/membership/membership.h"

namespace cicadadrum {

// Returns the filter of all records of the table. Another salt makes other
// false positives, so that repeated pulls find every record.
std::string MakeRecordFilter(const MembershipState& state, std::uint64_t salt);

// Whether the filter may hold the record. About 2 of 100 records that it does
// not hold seem to be in it. An empty filter holds nothing.
bool IsInFilter(std::string_view filter,
                std::uint64_t salt,
                const MemberUpdate& record);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_RECORD_FILTER_H_
