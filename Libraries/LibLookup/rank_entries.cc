// Ranks entry VMs by rendezvous hashing.

#include "cicadadrum/lookup/rank_entries.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/base/random.h"

namespace cicadadrum {

namespace {

struct ScoredEntry {
  std::uint64_t score = 0;
  std::uint32_t index = 0;
};

std::uint64_t ScoreOf(std::uint64_t key, std::uint64_t name_hash) {
  Random random{key ^ name_hash};
  return NextRandom(random);
}

bool RanksHigher(const ScoredEntry& a, const ScoredEntry& b) {
  return a.score != b.score ? a.score > b.score : a.index < b.index;
}

// Returns all entry VMs of the region with their scores. The first `count` are
// the best ones, in descending order of score; the order of the rest is
// unspecified.
std::vector<ScoredEntry> RankRegion(const DirectoryRegion& region,
                                    std::uint64_t key,
                                    std::size_t count) {
  std::vector<ScoredEntry> scored;
  scored.reserve(region.entries.size());
  for (const RankedEntry& entry : region.entries)
    scored.push_back({ScoreOf(key, entry.name_hash), entry.index});
  const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(count, scored.size()));
  std::partial_sort(scored.begin(), middle, scored.end(), RanksHigher);
  return scored;
}

// Moves the best entry VM whose failure domain differs from that of the first
// entry VM to the second place.
void SeparateDomains(const EntryDirectory& directory,
                     std::vector<ScoredEntry>& scored) {
  if (scored.size() < 2)
    return;
  const std::string& domain = directory.entries[scored[0].index].failure_domain;
  auto best = scored.end();
  for (auto item = scored.begin() + 1; item != scored.end(); ++item) {
    const bool is_other =
        directory.entries[item->index].failure_domain != domain;
    if (is_other && (best == scored.end() || RanksHigher(*item, *best)))
      best = item;
  }
  if (best != scored.end())
    std::rotate(scored.begin() + 1, best, best + 1);
}

// Returns the regions other than `region` in descending order of their scores.
std::vector<const DirectoryRegion*> OtherRegions(
    const EntryDirectory& directory,
    std::string_view region,
    std::uint64_t key) {
  std::vector<std::pair<std::uint64_t, const DirectoryRegion*>> scored;
  for (const DirectoryRegion& other : directory.regions) {
    if (other.name != region)
      scored.emplace_back(ScoreOf(key, other.name_hash), &other);
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  std::vector<const DirectoryRegion*> regions;
  regions.reserve(scored.size());
  for (const auto& item : scored)
    regions.push_back(item.second);
  return regions;
}

// Appends the best entry VM of each region, then the second best of each
// region, and so on, until `ranked` has `limit` entry VMs.
void AppendFromRegions(const std::vector<const DirectoryRegion*>& regions,
                       std::uint64_t key,
                       std::size_t limit,
                       std::vector<std::uint32_t>& ranked) {
  std::vector<std::vector<ScoredEntry>> best;
  const std::size_t wanted = limit - std::min(limit, ranked.size());
  for (const DirectoryRegion* region : regions) {
    if (best.size() < wanted)
      best.push_back(RankRegion(*region, key, wanted));
  }
  for (std::size_t place = 0; place < wanted; ++place) {
    for (const std::vector<ScoredEntry>& region : best) {
      if (place < region.size() && ranked.size() < limit)
        ranked.push_back(region[place].index);
    }
  }
}

}  // namespace

EntryDirectory MakeEntryDirectory(std::vector<EntryVm> live) {
  EntryDirectory directory;
  std::sort(live.begin(), live.end(), [](const EntryVm& a, const EntryVm& b) {
    return std::pair(a.region, a.name) < std::pair(b.region, b.name);
  });
  for (std::uint32_t i = 0; i < live.size(); ++i) {
    if (directory.regions.empty() ||
        directory.regions.back().name != live[i].region)
      directory.regions.push_back(
          {live[i].region, HashBytes(live[i].region), {}});
    directory.regions.back().entries.push_back({HashBytes(live[i].name), i});
  }
  directory.entries = std::move(live);
  return directory;
}

std::vector<std::uint32_t> RankEntries(const EntryDirectory& directory,
                                       std::string_view region,
                                       std::string_view client_account,
                                       std::string_view service,
                                       std::size_t limit) {
  const std::uint64_t key = HashBytes(client_account, HashBytes(service));
  const auto regions = OtherRegions(directory, region, key);
  const std::size_t reserved =
      regions.empty() || limit < 2 ? 0 : std::max<std::size_t>(limit / 3, 1);
  const std::size_t region_limit = limit - reserved;
  std::vector<std::uint32_t> ranked;
  ranked.reserve(limit);
  for (const DirectoryRegion& candidate : directory.regions) {
    if (candidate.name != region)
      continue;
    std::vector<ScoredEntry> best = RankRegion(candidate, key, region_limit);
    SeparateDomains(directory, best);
    for (std::size_t i = 0; i < std::min(region_limit, best.size()); ++i)
      ranked.push_back(best[i].index);
  }
  AppendFromRegions(regions, key, limit, ranked);
  return ranked;
}

}  // namespace cicadadrum
