// The table of client blocks to sites.
//
// A block is an IPv4 or IPv6 prefix. The longest block that contains an address
// decides; the order of updates has no influence. IPv6 blocks are at most 64
// bits long, the size that one client network gets.
//
// Blocks are kept in order of address and length in immutable pages of about
// kPageBlocks blocks; blocks with the same address are in one page. An update
// replaces only the pages it touches, one after the other, so it never needs a
// second copy of the table. A copy of the BlockTable shares the pages and stays
// as it was: a snapshot costs its index.

#ifndef CICADADRUM_LOOKUP_BLOCK_TABLE_H_
#define CICADADRUM_LOOKUP_BLOCK_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

using SiteId = std::uint8_t;
constexpr SiteId kNoSite = 255;  // Sites are 0 to 254.

enum class AddressFamily : std::uint8_t { kIpv4, kIpv6 };

template <>
struct EnumNames<AddressFamily> {
  static constexpr auto kTable = std::to_array<EnumName<AddressFamily>>({
      {AddressFamily::kIpv4, "ipv4"},
      {AddressFamily::kIpv6, "ipv6"},
  });
};

// An address, first bit in the top bit: an IPv4 address has its 32 bits in the
// upper half, an IPv6 address is cut to its first 64 bits.
struct ClientAddress {
  AddressFamily family = AddressFamily::kIpv4;
  std::uint64_t bits = 0;
};

// Bits beyond `length` are 0. Length is at most 32 for IPv4 and 64 for IPv6.
struct ClientBlock {
  AddressFamily family = AddressFamily::kIpv4;
  std::uint64_t bits = 0;
  std::uint8_t length = 0;
  auto operator<=>(const ClientBlock&) const = default;
};

struct BlockChange {
  ClientBlock block;
  SiteId site = kNoSite;  // kNoSite removes the block.
};

// All changes from version `base` to `version`. A large update, such as the
// whole table for a new node, comes in parts to bound its memory: all parts but
// the last have `version` equal to `base`.
struct BlockUpdate {
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  std::vector<BlockChange> changes;  // Each block at most once.
};

constexpr std::size_t kPageBlocks = 256;

struct BlockPage;  // Private to the library.

// Pages of one family; `firsts[i]` is the address of the first block of
// `pages[i]`. Invariant: `firsts` grows strictly.
struct BlockFamily {
  std::vector<std::uint64_t> firsts;
  std::vector<std::shared_ptr<const BlockPage>> pages;
  std::size_t blocks = 0;
};

// The substitutes of one lost site: a block of the site goes to the entry of
// its hash bucket. kNoSite where the neighbours' capacity does not suffice.
constexpr std::size_t kSpreadBuckets = 1024;
using SiteSpread = std::array<SiteId, kSpreadBuckets>;

// Number of blocks of a site per bucket; empty for a site without blocks. Kept
// with each update, because counting them anew reads the whole table.
using BucketCounts = std::vector<std::uint32_t>;

struct BlockTable {
  std::uint64_t version = 0;
  std::array<BlockFamily, 2> families;            // By AddressFamily.
  std::array<BucketCounts, kNoSite> site_counts;  // By SiteId.
  // Lost sites. The blocks keep their own site in the pages, so the loss and
  // the return of a site rewrite no page and move no other block.
  std::map<SiteId, std::shared_ptr<const SiteSpread>> spreads;
};

// Returns the site for `address`: the site of the longest block that contains
// it, or that site's substitute if it is lost; kNoSite if there is none.
SiteId FindSite(const BlockTable& table, const ClientAddress& address);

enum class UpdateOutcome : std::uint8_t {
  kApplied,
  kBaseVersionMismatch,  // The table does not have version `base`.
  kInvalidBlock,         // Bits beyond the length, or the length is too large.
  kRepeatedBlock,
};

template <>
struct EnumNames<UpdateOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<UpdateOutcome>>({
      {UpdateOutcome::kApplied, "applied"},
      {UpdateOutcome::kBaseVersionMismatch, "other-base"},
      {UpdateOutcome::kInvalidBlock, "invalid-block"},
      {UpdateOutcome::kRepeatedBlock, "repeated-block"},
  });
};

// Applies the update; sorts its changes. A refused update changes nothing.
// Removing a block that is not in the table has no effect.
UpdateOutcome ApplyUpdate(BlockTable& table, BlockUpdate& update);

struct Neighbour {
  SiteId site = kNoSite;
  std::size_t capacity = 0;  // Blocks it can take over from the lost site.
};

// Divides the blocks of `lost` between the neighbours in proportion to their
// capacity and never above it, as the table is now; call it again after
// updates. If the site is spread already, each bucket whose neighbour still has
// room stays where it is. Every node that has the same table and the same
// neighbours gets the same result.
void RedistributeSite(BlockTable& table,
                      SiteId lost,
                      const std::vector<Neighbour>& neighbours);

// Gives the site its blocks back.
void RestoreSite(BlockTable& table, SiteId site);

struct TableSize {
  std::size_t blocks = 0;
  std::size_t pages = 0;
  std::size_t bytes =
      0;  // Pages with their allocations, index, counts, spreads.
};

TableSize MeasureTable(const BlockTable& table);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_BLOCK_TABLE_H_
