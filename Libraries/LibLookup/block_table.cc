// Lookups in and updates of the table of client blocks.

#include "cicadadrum/lookup/block_table.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

#include "page.h"
#include "spread.h"

namespace cicadadrum {

namespace {

bool Contains(const BlockEntry& block, std::uint64_t address) {
  return ((block.bits ^ address) & MaskOf(block.length)) == 0;
}

// Finds the last block up to and including (`bits`, `length`) in the order of
// address and length. Returns false if there is none.
bool FindLastUpTo(const BlockFamily& family,
                  std::uint64_t bits,
                  std::uint8_t length,
                  BlockEntry& found) {
  const auto next =
      std::upper_bound(family.firsts.begin(), family.firsts.end(), bits);
  auto index = static_cast<std::size_t>(next - family.firsts.begin());
  while (index > 0) {
    const BlockPage& page = *family.pages[--index];
    std::size_t count = CountUpTo(page, bits);
    while (count > 0) {
      found = EntryAt(page, --count);
      if (found.bits != bits || found.length <= length)
        return true;
    }
  }
  return false;
}

// Finds the longest block that contains `address`. Returns false if there is
// none. Two blocks are either nested or disjoint, and a block that contains the
// address does not sort after the address. So the last block up to the address
// is either the result, or the result contains that block as well and is at
// most as long as the common prefix of that block and the address.
bool FindLongest(const BlockFamily& family,
                 std::uint64_t address,
                 BlockEntry& found) {
  std::uint64_t bits = address;
  std::uint8_t length = 64;
  while (FindLastUpTo(family, bits, length, found)) {
    if (Contains(found, address))
      return true;
    const int common = std::countl_zero(found.bits ^ address);
    length = static_cast<std::uint8_t>(common);
    bits = address & MaskOf(length);
  }
  return false;
}

bool IsValid(const ClientBlock& block) {
  const int longest = block.family == AddressFamily::kIpv4 ? 32 : 64;
  return block.length <= longest && (block.bits & ~MaskOf(block.length)) == 0;
}

UpdateOutcome CheckUpdate(const BlockTable& table, const BlockUpdate& update) {
  if (update.base != table.version || update.version < update.base)
    return UpdateOutcome::kBaseVersionMismatch;
  for (const BlockChange& change : update.changes) {
    if (!IsValid(change.block))
      return UpdateOutcome::kInvalidBlock;
  }
  return UpdateOutcome::kApplied;
}

using ChangeIterator = std::vector<BlockChange>::const_iterator;

// Merges sorted changes into sorted entries and updates the bucket counts of
// the affected sites.
std::vector<BlockEntry> MergeChanges(BlockTable& table,
                                     const std::vector<BlockEntry>& entries,
                                     ChangeIterator change,
                                     ChangeIterator end) {
  std::vector<BlockEntry> merged;
  merged.reserve(entries.size() + static_cast<std::size_t>(end - change));
  const auto is_before = [](const BlockEntry& entry, const BlockChange& other) {
    return std::pair(entry.bits, entry.length) <
           std::pair(other.block.bits, other.block.length);
  };
  auto entry = entries.begin();
  for (; change != end; ++change) {
    while (entry != entries.end() && is_before(*entry, *change))
      merged.push_back(*entry++);
    const ClientBlock& block = change->block;
    if (entry != entries.end() && entry->bits == block.bits &&
        entry->length == block.length)
      CountBlock(table, *entry++, false);
    if (change->site == kNoSite)
      continue;
    merged.push_back({block.bits, block.length, change->site});
    CountBlock(table, merged.back(), true);
  }
  merged.insert(merged.end(), entry, entries.end());
  return merged;
}

// Appends `entries` to the family as pages of equal size.
void AppendPages(BlockFamily& family, const std::vector<BlockEntry>& entries) {
  const std::size_t pages = (entries.size() + kPageBlocks - 1) / kPageBlocks;
  std::size_t first = 0;
  for (std::size_t page = 1; page <= pages && first < entries.size(); ++page) {
    std::size_t last = std::max(entries.size() * page / pages, first + 1);
    while (last < entries.size() &&
           entries[last].bits == entries[last - 1].bits)
      ++last;
    family.firsts.push_back(entries[first].bits);
    family.pages.push_back(EncodePage(&entries[first], last - first));
    first = last;
  }
  family.blocks += entries.size();
}

// Moves the old pages one by one into the new index and re-encodes the pages
// that have changes, so that no more than one page exists twice at any time.
void ApplyToFamily(BlockTable& table,
                   BlockFamily& family,
                   ChangeIterator change,
                   ChangeIterator end) {
  BlockFamily old = std::exchange(family, {});
  family.firsts.reserve(old.firsts.size() + 1);
  family.pages.reserve(old.pages.size() + 1);
  std::vector<BlockEntry> entries;
  for (std::size_t i = 0; i < std::max<std::size_t>(old.pages.size(), 1); ++i) {
    const bool is_last = i + 1 >= old.pages.size();
    const auto first_of_next =
        is_last ? end : std::find_if(change, end, [&](const BlockChange& item) {
          return item.block.bits >= old.firsts[i + 1];
        });
    // The blocks of a small page are merged into the following page.
    const bool is_small = entries.size() < kPageBlocks / 4 && !entries.empty();
    if (change == first_of_next && !is_small && i < old.pages.size()) {
      family.firsts.push_back(old.firsts[i]);
      family.blocks += old.pages[i]->count;
      family.pages.push_back(std::move(old.pages[i]));
      continue;
    }
    if (i < old.pages.size()) {
      DecodePage(*old.pages[i], entries);
      old.pages[i].reset();
    }
    entries = MergeChanges(table, entries, change, first_of_next);
    change = first_of_next;
    if (entries.size() < kPageBlocks / 4 && !is_last)
      continue;
    AppendPages(family, entries);
    entries.clear();
  }
}

}  // namespace

SiteId FindSite(const BlockTable& table, const ClientAddress& address) {
  const BlockFamily& family =
      table.families[static_cast<std::size_t>(address.family)];
  BlockEntry found;
  if (!FindLongest(family, address.bits, found))
    return kNoSite;
  if (table.spreads.empty())
    return found.site;
  const auto spread = table.spreads.find(found.site);
  return spread == table.spreads.end()
             ? found.site
             : (*spread->second)[SpreadBucket(found.bits, found.length)];
}

UpdateOutcome ApplyUpdate(BlockTable& table, BlockUpdate& update) {
  const UpdateOutcome outcome = CheckUpdate(table, update);
  if (outcome != UpdateOutcome::kApplied)
    return outcome;
  std::vector<BlockChange>& changes = update.changes;
  const auto order = [](const BlockChange& a, const BlockChange& b) {
    return a.block < b.block;
  };
  if (!std::is_sorted(changes.begin(), changes.end(), order))
    std::sort(changes.begin(), changes.end(), order);
  const auto repeated =
      std::adjacent_find(changes.begin(), changes.end(),
                         [](const BlockChange& a, const BlockChange& b) {
                           return a.block == b.block;
                         });
  if (repeated != changes.end())
    return UpdateOutcome::kRepeatedBlock;
  const auto ipv6 = std::find_if(
      changes.begin(), changes.end(), [](const BlockChange& change) {
        return change.block.family == AddressFamily::kIpv6;
      });
  if (ipv6 != changes.begin())
    ApplyToFamily(table, table.families[0], changes.begin(), ipv6);
  if (ipv6 != changes.end())
    ApplyToFamily(table, table.families[1], ipv6, changes.end());
  table.version = update.version;
  return UpdateOutcome::kApplied;
}

TableSize MeasureTable(const BlockTable& table) {
  TableSize size;
  size.bytes = sizeof(BlockTable) + table.spreads.size() * sizeof(SiteSpread);
  for (const BucketCounts& counts : table.site_counts)
    size.bytes += counts.capacity() * sizeof(counts[0]);
  for (const BlockFamily& family : table.families) {
    size.blocks += family.blocks;
    size.pages += family.pages.size();
    size.bytes += family.firsts.capacity() * sizeof(family.firsts[0]) +
                  family.pages.capacity() * sizeof(family.pages[0]);
    for (const auto& page : family.pages)
      size.bytes += PageBytes(*page);
  }
  return size;
}

}  // namespace cicadadrum
