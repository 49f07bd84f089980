// Assignment of a site's blocks to hash buckets, by which the blocks of a lost
// site are redistributed.

#ifndef CICADADRUM_LOOKUP_SPREAD_H_
#define CICADADRUM_LOOKUP_SPREAD_H_

#include <cstddef>
#include <cstdint>

#include "cicadadrum/base/random.h"
#include "cicadadrum/lookup/block_table.h"
#include "page.h"

namespace cicadadrum {

// Returns the hash bucket of a block, an index into SiteSpread.
constexpr std::size_t SpreadBucket(std::uint64_t bits, std::uint8_t length) {
  Random random{bits ^ length};
  return RandomBelow(random, kSpreadBuckets);
}

// Updates the bucket counts of the block's site: increments the count of the
// block's bucket if the block was added, decrements the count if the block was
// removed.
void CountBlock(BlockTable& table, const BlockEntry& block, bool added);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_SPREAD_H_
