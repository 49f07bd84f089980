// Counts the bytes that the program allocates.

#ifndef CICADADRUM_UTILITIES_DECISION_COST_ALLOCATION_COUNTER_H_
#define CICADADRUM_UTILITIES_DECISION_COST_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace cicadadrum {

// Returns the number of bytes that operator new has allocated since the start
// of the program, including those that were freed.
std::uint64_t AllocatedBytes();

}  // namespace cicadadrum

#endif  // CICADADRUM_UTILITIES_DECISION_COST_ALLOCATION_COUNTER_H_
