// The encoding of one page of blocks.
//
// The addresses of a page differ in few bits: they are stored as differences to
// the first one, without the zero bits that all of them end with, in as few
// bytes as the largest needs. The lengths are stored only if they differ.

#ifndef CICADADRUM_LOOKUP_PAGE_H_
#define CICADADRUM_LOOKUP_PAGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "cicadadrum/lookup/block_table.h"

namespace cicadadrum {

// A decoded block of one family.
struct BlockEntry {
  std::uint64_t bits = 0;
  std::uint8_t length = 0;
  SiteId site = kNoSite;
};

constexpr std::uint8_t kMixedLengths = 255;

struct BlockPage {
  std::uint64_t base = 0;  // Address of the first block.
  std::uint16_t count = 0;
  std::uint8_t shift = 0;                // Zero bits cut off.
  std::uint8_t width = 0;                // Bytes per address, 1 to 8.
  std::uint8_t length = kMixedLengths;   // Of all blocks, or kMixedLengths.
  std::unique_ptr<std::uint8_t[]> data;  // Addresses, lengths, sites.
};

// Encodes entries that are sorted by address and length; not empty.
std::shared_ptr<const BlockPage> EncodePage(const BlockEntry* entries,
                                            std::size_t count);

void DecodePage(const BlockPage& page, std::vector<BlockEntry>& entries);

// Returns the number of blocks whose address is at most `bits`. `bits` must not
// be below the page's first address.
std::size_t CountUpTo(const BlockPage& page, std::uint64_t bits);

BlockEntry EntryAt(const BlockPage& page, std::size_t slot);

// Returns the sites of the blocks, `count` bytes.
const std::uint8_t* SitesOf(const BlockPage& page);

// Bytes of heap memory that the page takes, with the allocator's overhead.
std::size_t PageBytes(const BlockPage& page);

constexpr std::uint64_t MaskOf(std::uint8_t length) {
  return length == 0 ? 0 : ~std::uint64_t{0} << (64 - length);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_PAGE_H_
