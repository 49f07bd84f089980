// Generates synthetic client blocks for the benchmarks.

#include "synthetic_table.h"

#include <algorithm>
#include <cstdlib>

#include "cicadadrum/base/random.h"

namespace cicadadrum {

namespace {

std::uint64_t MaskOf(std::uint8_t length) {
  return length == 0 ? 0 : ~std::uint64_t{0} << (64 - length);
}

ClientBlock RandomIpv4(Random& random) {
  const bool is_usual = RandomBelow(random, 10) < 7;
  const auto length =
      static_cast<std::uint8_t>(is_usual ? 24 : 18 + RandomBelow(random, 11));
  // Addresses 1.0.0.0 to 223.255.255.255.
  const std::uint64_t first = (1 + RandomBelow(random, 223)) << 56;
  return {AddressFamily::kIpv4,
          (first | (NextRandom(random) >> 8)) & MaskOf(length), length};
}

ClientBlock RandomIpv6(Random& random) {
  const bool is_usual = RandomBelow(random, 10) < 7;
  const auto length =
      static_cast<std::uint8_t>(is_usual ? 48 : 32 + RandomBelow(random, 25));
  // Global unicast 2000::/3, in 4,096 allocations of 20 bits.
  const std::uint64_t allocation = RandomBelow(random, 4096) << 44;
  const std::uint64_t bits =
      (std::uint64_t{1} << 61) | allocation | (NextRandom(random) >> 20);
  return {AddressFamily::kIpv6, bits & MaskOf(length), length};
}

// Returns a random block inside `block` that is 1 to 4 bits longer, up to a
// length of 28 for IPv4 and 60 for IPv6. A block that already has this length
// is returned unchanged.
ClientBlock RandomNestedBlock(Random& random, const ClientBlock& block) {
  const int longest = block.family == AddressFamily::kIpv4 ? 28 : 60;
  const auto length = static_cast<std::uint8_t>(std::min<int>(
      longest, block.length + 1 + static_cast<int>(RandomBelow(random, 4))));
  const std::uint64_t suffix = NextRandom(random) & ~MaskOf(block.length);
  return {block.family, (block.bits | suffix) & MaskOf(length), length};
}

ClientBlock RandomBlock(Random& random) {
  const bool is_ipv4 = RandomBelow(random, 3) < 2;
  return is_ipv4 ? RandomIpv4(random) : RandomIpv6(random);
}

void SortAndDeduplicate(std::vector<BlockChange>& blocks) {
  std::sort(blocks.begin(), blocks.end(),
            [](const BlockChange& a, const BlockChange& b) {
              return a.block < b.block;
            });
  const auto end = std::unique(blocks.begin(), blocks.end(),
                               [](const BlockChange& a, const BlockChange& b) {
                                 return a.block == b.block;
                               });
  blocks.erase(end, blocks.end());
}

}  // namespace

std::vector<BlockChange> MakeBlocks(std::size_t count, std::uint64_t seed) {
  Random random{seed};
  std::vector<BlockChange> blocks;
  blocks.reserve(count + count / 8);
  while (blocks.size() < count) {
    const std::size_t wanted = count - blocks.size();
    const std::size_t known = blocks.size();
    for (std::size_t i = 0; i < wanted + wanted / 100 + 1; ++i) {
      const bool is_nested = RandomBelow(random, 10) == 0 && known + i > 0;
      const ClientBlock block =
          is_nested ? RandomNestedBlock(
                          random, blocks[RandomBelow(random, known + i)].block)
                    : RandomBlock(random);
      blocks.push_back(
          {block, static_cast<SiteId>(RandomBelow(random, kSites))});
    }
    SortAndDeduplicate(blocks);
  }
  while (blocks.size() > count)
    blocks.erase(blocks.begin() + static_cast<std::ptrdiff_t>(
                                      RandomBelow(random, blocks.size())));
  return blocks;
}

std::vector<ClientAddress> MakeAddresses(const std::vector<BlockChange>& blocks,
                                         std::size_t count,
                                         std::uint64_t seed) {
  Random random{seed};
  std::vector<ClientAddress> addresses;
  addresses.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const ClientBlock& block = blocks[RandomBelow(random, blocks.size())].block;
    addresses.push_back({block.family, block.bits | (NextRandom(random) &
                                                     ~MaskOf(block.length))});
  }
  return addresses;
}

BlockTable LoadTable(const std::vector<BlockChange>& blocks, std::size_t part) {
  BlockTable table;
  for (std::size_t first = 0; first < blocks.size(); first += part) {
    const std::size_t last = std::min(first + part, blocks.size());
    BlockUpdate update{0, last == blocks.size() ? 1U : 0U, {}};
    update.changes.assign(blocks.begin() + static_cast<std::ptrdiff_t>(first),
                          blocks.begin() + static_cast<std::ptrdiff_t>(last));
    if (ApplyUpdate(table, update) != UpdateOutcome::kApplied)
      std::abort();
  }
  return table;
}

}  // namespace cicadadrum
