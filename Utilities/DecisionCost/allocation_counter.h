// Counts what the program allocates.

#ifndef CICADADRUM_UTILITIES_DECISION_COST_ALLOCATION_COUNTER_H_
#define CICADADRUM_UTILITIES_DECISION_COST_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace cicadadrum {

// Returns the bytes that operator new has returned since the start. Bytes that
// were freed still count.
std::uint64_t AllocatedBytes();

}  // namespace cicadadrum

#endif  // CICADADRUM_UTILITIES_DECISION_COST_ALLOCATION_COUNTER_H_
