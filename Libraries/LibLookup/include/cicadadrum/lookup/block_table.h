// Table that maps blocks of client addresses to sites.
//
// A block is an IPv4 or IPv6 prefix. The longest block that contains an address
// determines the site of the address, whatever the order of the updates. IPv6
// blocks are at most 64 bits long, the size of the prefix that one client
// network is assigned.
//
// Blocks are stored in order of address and length in immutable pages of about
// kPageBlocks blocks; blocks with the same address are in the same page. An
// update replaces only the pages that it changes, one at a time, so it never
// needs a second copy of the table. A copy of a BlockTable shares the pages and
// is not affected by later updates of the original, so a snapshot costs only
// the memory of the index.

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
constexpr SiteId kNoSite = 255;  // Ids of sites are 0 to 254.

enum class AddressFamily : std::uint8_t { kIpv4, kIpv6 };

template <>
struct EnumNames<AddressFamily> {
  static constexpr auto kTable = std::to_array<EnumName<AddressFamily>>({
      {AddressFamily::kIpv4, "ipv4"},
      {AddressFamily::kIpv6, "ipv6"},
  });
};

// The address of a client. The first bit of the address is the most significant
// bit of `bits`: an IPv4 address occupies the upper 32 bits, an IPv6 address is
// truncated to its first 64 bits.
struct ClientAddress {
  AddressFamily family = AddressFamily::kIpv4;
  std::uint64_t bits = 0;
};

// A prefix of client addresses, laid out as in ClientAddress. The bits after
// the first `length` bits are 0. `length` is at most 32 for IPv4 and 64 for
// IPv6.
struct ClientBlock {
  AddressFamily family = AddressFamily::kIpv4;
  std::uint64_t bits = 0;
  std::uint8_t length = 0;
  auto operator<=>(const ClientBlock&) const = default;
};

// Assigns a block to a site or removes the block.
struct BlockChange {
  ClientBlock block;
  SiteId site = kNoSite;  // kNoSite removes the block.
};

// All changes from version `base` to version `version`. A large update, such as
// the full table for a new node, is split into parts to limit the memory for
// each part: all parts except the last have `version` equal to `base`.
struct BlockUpdate {
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  std::vector<BlockChange> changes;  // At most one change per block.
};

// Target number of blocks per page.
constexpr std::size_t kPageBlocks = 256;

struct BlockPage;  // Private to the library.

// The pages of one address family. `firsts[i]` is the address of the first
// block of `pages[i]`. Invariant: `firsts` is strictly increasing.
struct BlockFamily {
  std::vector<std::uint64_t> firsts;
  std::vector<std::shared_ptr<const BlockPage>> pages;
  std::size_t blocks = 0;
};

// Number of hash buckets into which the blocks of a lost site are divided.
constexpr std::size_t kSpreadBuckets = 1024;

// The substitute sites of one lost site, by hash bucket. kNoSite for a bucket
// for which the neighbours' capacity does not suffice.
using SiteSpread = std::array<SiteId, kSpreadBuckets>;

// Number of blocks of one site per hash bucket; empty for a site that never had
// a block. Maintained with each update, because counting the blocks again would
// read the full table.
using BucketCounts = std::vector<std::uint32_t>;

struct BlockTable {
  std::uint64_t version = 0;
  std::array<BlockFamily, 2> families;            // By AddressFamily.
  std::array<BucketCounts, kNoSite> site_counts;  // By SiteId.
  // The substitutes of each lost site. The pages still assign the blocks to the
  // lost site, so the loss and the return of a site rewrite no page and move no
  // block of another site.
  std::map<SiteId, std::shared_ptr<const SiteSpread>> spreads;
};

// Returns the site for `address`: the site of the longest block that contains
// the address, or the substitute of that site if the site is lost. Returns
// kNoSite if no block contains the address or the lost site has no substitute
// for the block.
SiteId FindSite(const BlockTable& table, const ClientAddress& address);

enum class UpdateOutcome : std::uint8_t {
  kApplied,
  // The table does not have version `base`, or `version` is less than `base`.
  kBaseVersionMismatch,
  // A block has bits set beyond its length, or the length is too large.
  kInvalidBlock,
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

// Applies the update and sorts its changes. A rejected update does not change
// the table. Removing a block that is not in the table has no effect.
UpdateOutcome ApplyUpdate(BlockTable& table, BlockUpdate& update);

// A site that can take over blocks of a lost site.
struct Neighbour {
  SiteId site = kNoSite;
  std::size_t capacity = 0;  // Number of blocks that the site can take over.
};

// Distributes the blocks of the site `lost` among the neighbours in proportion
// to their capacity and never beyond their capacity. The result reflects the
// current table, so the caller must call RedistributeSite again after updates.
// If the blocks of the site are already redistributed, each bucket whose
// neighbour is still listed and has enough free capacity remains assigned to
// that neighbour. Every node that has the same table, neighbours and previous
// assignment gets the same result.
void RedistributeSite(BlockTable& table,
                      SiteId lost,
                      const std::vector<Neighbour>& neighbours);

// Returns the blocks of a lost site to the site. Has no effect if the blocks
// are not redistributed.
void RestoreSite(BlockTable& table, SiteId site);

// Number of blocks and pages, and the memory in use.
struct TableSize {
  std::size_t blocks = 0;
  std::size_t pages = 0;
  // Memory for pages with allocation overhead, index, bucket counts and
  // substitutes.
  std::size_t bytes = 0;
};

// Computes the size of the table by visiting every page.
TableSize MeasureTable(const BlockTable& table);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_BLOCK_TABLE_H_
