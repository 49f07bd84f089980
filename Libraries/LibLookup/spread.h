// Hash buckets of the blocks of a lost site.

#ifndef CICADADRUM_LOOKUP_SPREAD_H_
#define CICADADRUM_LOOKUP_SPREAD_H_

#include <cstddef>
#include <cstdint>

#include "cicadadrum/base/random.h"
#include "cicadadrum/lookup/block_table.h"
#include "page.h"

namespace cicadadrum {

constexpr std::size_t SpreadBucket(std::uint64_t bits, std::uint8_t length) {
  Random random{bits ^ length};
  return RandomBelow(random, kSpreadBuckets);
}

// Counts a block of `site` in or out.
void CountBlock(BlockTable& table, const BlockEntry& block, bool added);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_SPREAD_H_
