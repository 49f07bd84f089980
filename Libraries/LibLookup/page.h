// Encoding of one page of blocks.
//
// The addresses of a page differ in few bits. Each address is stored as its
// difference from the page's first address, without the trailing zero bits that
// all differences have in common, in as few bytes as the largest difference
// needs. Block lengths are stored only if they differ within the page.

#ifndef CICADADRUM_LOOKUP_PAGE_H_
#define CICADADRUM_LOOKUP_PAGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "cicadadrum/lookup/block_table.h"

namespace cicadadrum {

// A decoded block. The family is that of the BlockFamily that contains the
// page.
struct BlockEntry {
  std::uint64_t bits = 0;
  std::uint8_t length = 0;
  SiteId site = kNoSite;
};

// Value of BlockPage::length if the lengths of the blocks differ.
constexpr std::uint8_t kMixedLengths = 255;

struct BlockPage {
  std::uint64_t base = 0;  // Address of the first block.
  std::uint16_t count = 0;
  std::uint8_t shift = 0;  // Trailing zero bits that are not stored.
  std::uint8_t width = 0;  // Bytes per address, 1 to 8.
  // Length of all blocks, or kMixedLengths.
  std::uint8_t length = kMixedLengths;
  // Columns of addresses, lengths (if they differ) and sites, in this order.
  std::unique_ptr<std::uint8_t[]> data;
};

// Encodes `count` blocks. `count` must not be zero, and `entries` must be
// sorted by address and length.
std::shared_ptr<const BlockPage> EncodePage(const BlockEntry* entries,
                                            std::size_t count);

// Appends the blocks of `page` to `entries`.
void DecodePage(const BlockPage& page, std::vector<BlockEntry>& entries);

// Returns the number of blocks whose address is at most `bits`. `bits` must not
// be less than the page's first address.
std::size_t CountUpTo(const BlockPage& page, std::uint64_t bits);

// Returns the block at position `slot`, which must be less than the page's
// `count`.
BlockEntry EntryAt(const BlockPage& page, std::size_t slot);

// Returns the column of sites, which has `count` bytes. The pointer is valid
// for the lifetime of the page.
const std::uint8_t* SitesOf(const BlockPage& page);

// Returns the heap memory that the page uses, in bytes, including the
// allocator's overhead.
std::size_t PageBytes(const BlockPage& page);

// Returns a mask of the first `length` bits; `length` is at most 64.
constexpr std::uint64_t MaskOf(std::uint8_t length) {
  return length == 0 ? 0 : ~std::uint64_t{0} << (64 - length);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_PAGE_H_
