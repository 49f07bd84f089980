// Encodes, decodes and searches pages.

#include "page.h"

#include <algorithm>
#include <bit>
#include <cstring>

namespace cicadadrum {

namespace {

// Number of unused bytes at the end of a page's data. An address is read as
// eight bytes and then masked, whatever the width, so the last read extends
// past the columns.
constexpr std::size_t kPadding = 8;

// Size of the reference counts of a std::shared_ptr.
constexpr std::size_t kSharedOverhead = 16;

// Size of the header of an allocation in the GNU C library.
constexpr std::size_t kAllocationOverhead = 16;

std::size_t DataBytes(const BlockPage& page) {
  const std::size_t per_block =
      page.width + (page.length == kMixedLengths ? 2U : 1U);
  return page.count * per_block + kPadding;
}

std::uint64_t DifferenceAt(const BlockPage& page, std::size_t slot) {
  std::uint64_t value = 0;
  std::memcpy(&value, page.data.get() + slot * page.width, sizeof(value));
  return value & (~std::uint64_t{0} >> (64 - 8 * page.width));
}

std::uint8_t LengthAt(const BlockPage& page, std::size_t slot) {
  if (page.length != kMixedLengths)
    return page.length;
  return page.data[static_cast<std::size_t>(page.count) * page.width + slot];
}

void ChooseFormat(BlockPage& page,
                  const BlockEntry* entries,
                  std::size_t count) {
  std::uint64_t differences = 0;
  bool same_length = true;
  for (std::size_t i = 0; i < count; ++i) {
    differences |= entries[i].bits - page.base;
    same_length = same_length && entries[i].length == entries[0].length;
  }
  page.shift = static_cast<std::uint8_t>(
      differences == 0 ? 0 : std::countr_zero(differences));
  const auto bits =
      static_cast<unsigned>(std::bit_width(differences >> page.shift));
  page.width = static_cast<std::uint8_t>(std::max(1U, (bits + 7) / 8));
  page.length = same_length ? entries[0].length : kMixedLengths;
}

}  // namespace

std::shared_ptr<const BlockPage> EncodePage(const BlockEntry* entries,
                                            std::size_t count) {
  static_assert(std::endian::native == std::endian::little);
  auto page = std::make_shared<BlockPage>();
  page->base = entries[0].bits;
  page->count = static_cast<std::uint16_t>(count);
  ChooseFormat(*page, entries, count);
  page->data = std::make_unique<std::uint8_t[]>(DataBytes(*page));
  std::uint8_t* addresses = page->data.get();
  std::uint8_t* lengths = addresses + count * page->width;
  std::uint8_t* sites =
      page->length == kMixedLengths ? lengths + count : lengths;
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t difference =
        (entries[i].bits - page->base) >> page->shift;
    std::memcpy(addresses + i * page->width, &difference, page->width);
    if (page->length == kMixedLengths)
      lengths[i] = entries[i].length;
    sites[i] = entries[i].site;
  }
  return page;
}

void DecodePage(const BlockPage& page, std::vector<BlockEntry>& entries) {
  for (std::size_t i = 0; i < page.count; ++i)
    entries.push_back(EntryAt(page, i));
}

std::size_t CountUpTo(const BlockPage& page, std::uint64_t bits) {
  const std::uint64_t wanted = (bits - page.base) >> page.shift;
  std::size_t first = 0;
  std::size_t count = page.count;
  // Invariant: the differences of the blocks before `first` are at most
  // `wanted`; those of the blocks from `first + count` on are greater.
  while (count > 0) {
    const std::size_t half = count / 2;
    const bool at_most = DifferenceAt(page, first + half) <= wanted;
    first = at_most ? first + half + 1 : first;
    count = at_most ? count - half - 1 : half;
  }
  return first;
}

BlockEntry EntryAt(const BlockPage& page, std::size_t slot) {
  return {page.base + (DifferenceAt(page, slot) << page.shift),
          LengthAt(page, slot), SitesOf(page)[slot]};
}

const std::uint8_t* SitesOf(const BlockPage& page) {
  const std::size_t columns =
      page.width + (page.length == kMixedLengths ? 1U : 0U);
  return page.data.get() + page.count * columns;
}

std::size_t PageBytes(const BlockPage& page) {
  return sizeof(BlockPage) + kSharedOverhead + DataBytes(page) +
         2 * kAllocationOverhead;
}

}  // namespace cicadadrum
