// Division of a lost site's blocks between its neighbours.

#include "spread.h"

#include <cmath>
#include <vector>

namespace cicadadrum {

namespace {

// Lower is better; a site with twice the capacity wins twice as many buckets.
double Score(std::size_t bucket, const Neighbour& neighbour) {
  Random random{bucket * 256 + neighbour.site};
  const double unit = 1 - RandomUnit(random);
  return -std::log(unit) / static_cast<double>(neighbour.capacity);
}

// Returns the best neighbour with room for `blocks`, or nullptr.
Neighbour* ChooseNeighbour(std::vector<Neighbour>& room,
                           const std::vector<Neighbour>& neighbours,
                           std::size_t bucket,
                           std::size_t blocks) {
  Neighbour* best = nullptr;
  double best_score = 0;
  for (std::size_t i = 0; i < room.size(); ++i) {
    if (neighbours[i].capacity == 0 || room[i].capacity < blocks)
      continue;
    const double score = Score(bucket, neighbours[i]);
    if (best == nullptr || score < best_score) {
      best = &room[i];
      best_score = score;
    }
  }
  return best;
}

// Keeps the buckets whose neighbour is still there and has room.
void KeepBuckets(const SiteSpread& before,
                 const BucketCounts& counts,
                 std::vector<Neighbour>& room,
                 SiteSpread& spread) {
  for (std::size_t bucket = 0; bucket < kSpreadBuckets; ++bucket) {
    for (Neighbour& neighbour : room) {
      if (neighbour.site != before[bucket] ||
          neighbour.capacity < counts[bucket])
        continue;
      neighbour.capacity -= counts[bucket];
      spread[bucket] = neighbour.site;
    }
  }
}

}  // namespace

void SpreadSite(BlockTable& table,
                SiteId lost,
                const std::vector<Neighbour>& neighbours) {
  BucketCounts counts = table.site_counts[lost];
  counts.resize(kSpreadBuckets);
  auto spread = std::make_shared<SiteSpread>();
  spread->fill(kNoSite);
  std::vector<Neighbour> room = neighbours;
  const auto before = table.spreads.find(lost);
  if (before != table.spreads.end())
    KeepBuckets(*before->second, counts, room, *spread);
  for (std::size_t bucket = 0; bucket < kSpreadBuckets; ++bucket) {
    if ((*spread)[bucket] != kNoSite)
      continue;
    Neighbour* chosen =
        ChooseNeighbour(room, neighbours, bucket, counts[bucket]);
    if (chosen == nullptr)
      continue;
    chosen->capacity -= counts[bucket];
    (*spread)[bucket] = chosen->site;
  }
  table.spreads[lost] = spread;
}

void CountBlock(BlockTable& table, const BlockEntry& block, bool added) {
  BucketCounts& counts = table.site_counts[block.site];
  counts.resize(kSpreadBuckets);
  std::uint32_t& count = counts[SpreadBucket(block.bits, block.length)];
  count += added ? 1U : ~0U;
}

void RestoreSite(BlockTable& table, SiteId site) {
  table.spreads.erase(site);
}

}  // namespace cicadadrum
