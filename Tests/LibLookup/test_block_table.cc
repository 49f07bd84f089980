// Tests of the block table, with a std::map as the reference.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/lookup/block_table.h"

namespace cicadadrum {

namespace {

using PlainTable = std::map<ClientBlock, SiteId>;

std::uint64_t MaskOf(int length) {
  return length == 0 ? 0 : ~std::uint64_t{0} << (64 - length);
}

SiteId FindInPlainTable(const PlainTable& table, const ClientAddress& address) {
  for (int length = 64; length >= 0; --length) {
    const auto found =
        table.find({address.family, address.bits & MaskOf(length),
                    static_cast<std::uint8_t>(length)});
    if (found != table.end())
      return found->second;
  }
  return kNoSite;
}

// Returns a random block from a few narrow ranges, so that many blocks are
// nested or adjacent. Two of the ranges are at the ends of the address space.
ClientBlock RandomBlock(Random& random) {
  ClientBlock block;
  block.family = static_cast<AddressFamily>(RandomBelow(random, 2));
  const int longest = block.family == AddressFamily::kIpv4 ? 32 : 64;
  const std::array<std::uint64_t, 4> ranges = {
      0, 0x0a14000000000000, 0x2001'0db8'0000'0000, ~std::uint64_t{0}};
  const std::uint64_t noise =
      NextRandom(random) >> (12 + RandomBelow(random, longest - 12));
  block.length = static_cast<std::uint8_t>(
      RandomBelow(random, 20) == 0
          ? RandomBelow(random, longest + 1)
          : longest - RandomBelow(random, longest - 12));
  block.bits = (ranges[RandomBelow(random, 4)] ^ noise) & MaskOf(block.length);
  return block;
}

BlockUpdate RandomUpdate(Random& random,
                         const PlainTable& plain,
                         std::uint64_t base) {
  std::map<ClientBlock, SiteId> changes;
  const std::uint64_t count = RandomBelow(random, 4) == 0 ? 900 : 30;
  for (std::uint64_t i = 0; i < count; ++i) {
    const auto site = static_cast<SiteId>(
        RandomBelow(random, 3) == 0 ? kNoSite : RandomBelow(random, 180));
    auto known = plain.lower_bound(RandomBlock(random));
    if (known != plain.end() && RandomBelow(random, 3) == 0)
      changes[known->first] = site;
    else
      changes[RandomBlock(random)] = site;
  }
  BlockUpdate update{base, base + 1, {}};
  for (const auto& [block, site] : changes)
    update.changes.push_back({block, site});
  std::reverse(update.changes.begin(), update.changes.end());
  return update;
}

void ApplyPlain(PlainTable& table, const BlockUpdate& update) {
  for (const BlockChange& change : update.changes) {
    if (change.site == kNoSite)
      table.erase(change.block);
    else
      table[change.block] = change.site;
  }
}

// Returns the first and the last address of each block and the addresses
// directly before and after the block.
std::vector<ClientAddress> BoundaryAddresses(const PlainTable& plain) {
  std::vector<ClientAddress> addresses;
  for (const auto& [block, site] : plain) {
    const std::uint64_t last = block.bits | ~MaskOf(block.length);
    for (const std::uint64_t bits :
         {block.bits, block.bits - 1, last, last + 1})
      addresses.push_back({block.family, bits});
  }
  return addresses;
}

// Returns whether the bucket counts of each site add up to its number of
// blocks.
bool CountsMatch(const BlockTable& table, const PlainTable& plain) {
  std::array<std::uint64_t, kNoSite> sums{};
  for (std::size_t site = 0; site < kNoSite; ++site) {
    for (const std::uint32_t count : table.site_counts[site])
      sums[site] += count;
  }
  for (const auto& [block, site] : plain)
    --sums[site];
  return std::count(sums.begin(), sums.end(), 0) == kNoSite;
}

// Returns a table of 36,000 blocks of equal length, 200 for each of 180 sites.
BlockTable MakeTableOf180Sites() {
  BlockTable table;
  BlockUpdate update{0, 1, {}};
  for (std::uint64_t i = 0; i < 36'000; ++i) {
    update.changes.push_back(
        {{AddressFamily::kIpv4, i << 40, 24}, static_cast<SiteId>(i % 180)});
  }
  REQUIRE(ApplyUpdate(table, update) == UpdateOutcome::kApplied);
  return table;
}

std::vector<SiteId> SitesOfAllBlocks(const BlockTable& table) {
  std::vector<SiteId> sites;
  for (std::uint64_t i = 0; i < 36'000; ++i)
    sites.push_back(FindSite(table, {AddressFamily::kIpv4, (i << 40) + 7}));
  return sites;
}

}  // namespace

// Guards against wrong results at the boundaries of blocks and pages, and
// against updates that corrupt pages or change a snapshot.
TEST_CASE("lookups return the same sites as a std::map after every update") {
  CHECK(rc::check("table", [] {
    Random random{*rc::gen::arbitrary<std::uint64_t>()};
    BlockTable table;
    PlainTable plain;
    std::optional<std::pair<BlockTable, PlainTable>> snapshot;
    for (std::uint64_t version = 0; version < 12; ++version) {
      BlockUpdate update = RandomUpdate(random, plain, version);
      ApplyPlain(plain, update);
      RC_ASSERT(ApplyUpdate(table, update) == UpdateOutcome::kApplied);
      RC_ASSERT(MeasureTable(table).blocks == plain.size());
      RC_ASSERT(CountsMatch(table, plain));
      for (const ClientAddress& address : BoundaryAddresses(plain))
        RC_ASSERT(FindSite(table, address) == FindInPlainTable(plain, address));
      if (version == 6)
        snapshot.emplace(table, plain);
    }
    for (const ClientAddress& address : BoundaryAddresses(snapshot->second))
      RC_ASSERT(FindSite(snapshot->first, address) ==
                FindInPlainTable(snapshot->second, address));
    BlockUpdate removal{12, 13, {}};
    for (const auto& [block, site] : plain)
      removal.changes.push_back({block, kNoSite});
    RC_ASSERT(ApplyUpdate(table, removal) == UpdateOutcome::kApplied);
    RC_ASSERT(MeasureTable(table).pages == 0U);
  }));
}

// Guards against an IPv4 address that matches an IPv6 block, and against errors
// in the handling of default blocks of length 0.
TEST_CASE(
    "address families are separate and the longest matching block determines "
    "the site") {
  BlockTable table;
  BlockUpdate update{0,
                     1,
                     {{{AddressFamily::kIpv6, 0, 0}, 6},
                      {{AddressFamily::kIpv4, 0, 0}, 4},
                      {{AddressFamily::kIpv4, 0x0a00ULL << 48, 8}, 10},
                      {{AddressFamily::kIpv4, ~0ULL << 32, 32}, 32},
                      {{AddressFamily::kIpv6, ~0ULL, 64}, 64}}};
  REQUIRE(ApplyUpdate(table, update) == UpdateOutcome::kApplied);
  CHECK(FindSite(table, {AddressFamily::kIpv4, 0x0aff'ffffULL << 32}) == 10);
  CHECK(FindSite(table, {AddressFamily::kIpv4, 0x0b00'0000ULL << 32}) == 4);
  CHECK(FindSite(table, {AddressFamily::kIpv4, ~0ULL << 32}) == 32);
  CHECK(FindSite(table, {AddressFamily::kIpv6, 0x0aff'ffffULL << 32}) == 6);
  CHECK(FindSite(table, {AddressFamily::kIpv6, ~0ULL}) == 64);
  CHECK(FindSite(table, {AddressFamily::kIpv6, ~0ULL - 1}) == 6);
}

// Guards against a rejected update that is partially applied.
TEST_CASE("a rejected update does not change the table") {
  BlockTable table = MakeTableOf180Sites();
  const ClientBlock block = {AddressFamily::kIpv4, 0, 24};
  BlockUpdate other{5, 6, {{block, 9}}};
  CHECK(ApplyUpdate(table, other) == UpdateOutcome::kBaseVersionMismatch);
  BlockUpdate invalid{1, 2, {{block, 9}, {{AddressFamily::kIpv4, 1, 24}, 9}}};
  CHECK(ApplyUpdate(table, invalid) == UpdateOutcome::kInvalidBlock);
  BlockUpdate too_long{1, 2, {{block, 9}, {{AddressFamily::kIpv4, 0, 33}, 9}}};
  CHECK(ApplyUpdate(table, too_long) == UpdateOutcome::kInvalidBlock);
  BlockUpdate repeated{1, 2, {{block, 9}, {block, 8}}};
  CHECK(ApplyUpdate(table, repeated) == UpdateOutcome::kRepeatedBlock);
  CHECK(table.version == 1);
  CHECK(FindSite(table, {AddressFamily::kIpv4, 0}) == 0);
}

// Guards against redistribution that assigns all blocks of a lost site to one
// neighbour, exceeds a neighbour's capacity, or moves blocks of other sites.
TEST_CASE(
    "the blocks of a lost site are distributed among neighbours within their "
    "capacity") {
  BlockTable table = MakeTableOf180Sites();
  const std::vector<SiteId> original_sites = SitesOfAllBlocks(table);
  RedistributeSite(table, 7, {{20, 110}, {30, 60}, {40, 60}});
  const std::vector<SiteId> first = SitesOfAllBlocks(table);
  std::map<SiteId, std::size_t> received_blocks;
  std::size_t moved = 0;
  for (std::size_t i = 0; i < original_sites.size(); ++i) {
    CHECK((first[i] != original_sites[i]) == (original_sites[i] == 7));
    moved += first[i] != original_sites[i] ? 1 : 0;
    if (original_sites[i] == 7)
      ++received_blocks[first[i]];
  }
  std::printf("site loss: %zu of 36000 blocks moved, %zu + %zu + %zu\n", moved,
              received_blocks[20], received_blocks[30], received_blocks[40]);
  CHECK(received_blocks[20] + received_blocks[30] + received_blocks[40] == 200);
  CHECK(received_blocks[20] <= 110);
  CHECK(received_blocks[20] >= 80);
  CHECK(received_blocks[30] <= 60);
  CHECK(received_blocks[30] >= 30);
  CHECK(received_blocks[40] <= 60);

  // The loss of a neighbour moves only the blocks that this neighbour had taken
  // over.
  RedistributeSite(table, 7, {{20, 110}, {40, 60}, {50, 60}});
  const std::vector<SiteId> second = SitesOfAllBlocks(table);
  std::size_t moved_again = 0;
  for (std::size_t i = 0; i < original_sites.size(); ++i) {
    moved_again += second[i] != first[i] ? 1 : 0;
    CHECK((second[i] == first[i] || first[i] == 30));
  }
  CHECK(moved_again == received_blocks[30]);

  // A block for which no neighbour has capacity gets no site, so that no
  // neighbour exceeds its capacity.
  RedistributeSite(table, 7, {{20, 100}});
  const std::vector<SiteId> third = SitesOfAllBlocks(table);
  CHECK(std::count(third.begin(), third.end(), 20) <= 200 + 100);
  CHECK(std::count(third.begin(), third.end(), kNoSite) >= 100);
  RestoreSite(table, 7);
  CHECK(SitesOfAllBlocks(table) == original_sites);
}

}  // namespace cicadadrum
