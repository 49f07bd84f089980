// Synthetic client blocks for the benchmarks.

#ifndef CICADADRUM_LOOKUP_BENCH_SYNTHETIC_TABLE_H_
#define CICADADRUM_LOOKUP_BENCH_SYNTHETIC_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cicadadrum/lookup/block_table.h"

namespace cicadadrum {

// Number of sites among which the blocks are distributed.
constexpr std::size_t kSites = 180;

// Returns `count` different blocks in ascending order, each with a random site:
// two thirds IPv4 with lengths 18 to 28, mostly 24, one third IPv6 with lengths
// 32 to 56, mostly 48. One block in ten is nested in another block.
std::vector<BlockChange> MakeBlocks(std::size_t count, std::uint64_t seed);

// Returns `count` addresses, each inside a random block of `blocks`, which must
// not be empty.
std::vector<ClientAddress> MakeAddresses(const std::vector<BlockChange>& blocks,
                                         std::size_t count,
                                         std::uint64_t seed);

// Loads the blocks into a new table in updates of at most `part` changes, as a
// new node does. `blocks` must be sorted.
BlockTable LoadTable(const std::vector<BlockChange>& blocks, std::size_t part);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_BENCH_SYNTHETIC_TABLE_H_
