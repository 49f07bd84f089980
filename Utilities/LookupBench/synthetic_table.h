// Client blocks made for the measurements.

#ifndef CICADADRUM_LOOKUP_BENCH_SYNTHETIC_TABLE_H_
#define CICADADRUM_LOOKUP_BENCH_SYNTHETIC_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cicadadrum/lookup/block_table.h"

namespace cicadadrum {

constexpr std::size_t kSites = 180;

// Returns `count` different blocks in order with a site each: two thirds IPv4
// with lengths 18 to 28, mostly 24, one third IPv6 with lengths 32 to 56,
// mostly
// 48. One block in ten lies inside another.
std::vector<BlockChange> MakeBlocks(std::size_t count, std::uint64_t seed);

// Returns addresses, each inside a random block of `blocks`.
std::vector<ClientAddress> MakeAddresses(const std::vector<BlockChange>& blocks,
                                         std::size_t count,
                                         std::uint64_t seed);

// Loads the blocks in parts of `part` changes, as a new node does.
BlockTable LoadTable(const std::vector<BlockChange>& blocks, std::size_t part);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_BENCH_SYNTHETIC_TABLE_H_
