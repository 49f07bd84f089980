// Distributes a lost site's blocks among its neighbours.

#include "spread.h"

#include <cmath>
#include <vector>

namespace cicadadrum {

namespace {

// Returns the score of a neighbour for a bucket. The neighbour with the lowest
// score gets the bucket. A site with twice the capacity gets twice as many
// buckets on average.
double Score(std::size_t bucket, const Neighbour& neighbour) {
  Random random{bucket * 256 + neighbour.site};
  const double unit = 1 - RandomUnit(random);
  return -std::log(unit) / static_cast<double>(neighbour.capacity);
}

// Returns the element of `remaining` with the best score among the neighbours
// that have free capacity for `blocks` more blocks, or nullptr if there is
// none.
Neighbour* ChooseNeighbour(std::vector<Neighbour>& remaining,
                           const std::vector<Neighbour>& neighbours,
                           std::size_t bucket,
                           std::size_t blocks) {
  Neighbour* best = nullptr;
  double best_score = 0;
  for (std::size_t i = 0; i < remaining.size(); ++i) {
    if (neighbours[i].capacity == 0 || remaining[i].capacity < blocks)
      continue;
    const double score = Score(bucket, neighbours[i]);
    if (best == nullptr || score < best_score) {
      best = &remaining[i];
      best_score = score;
    }
  }
  return best;
}

// Retains the previous assignment of each bucket whose neighbour is still
// listed and has enough free capacity.
void RetainAssignments(const SiteSpread& previous,
                       const BucketCounts& counts,
                       std::vector<Neighbour>& remaining,
                       SiteSpread& spread) {
  for (std::size_t bucket = 0; bucket < kSpreadBuckets; ++bucket) {
    for (Neighbour& neighbour : remaining) {
      if (neighbour.site != previous[bucket] ||
          neighbour.capacity < counts[bucket])
        continue;
      neighbour.capacity -= counts[bucket];
      spread[bucket] = neighbour.site;
    }
  }
}

}  // namespace

void RedistributeSite(BlockTable& table,
                      SiteId lost,
                      const std::vector<Neighbour>& neighbours) {
  BucketCounts counts = table.site_counts[lost];
  counts.resize(kSpreadBuckets);
  auto spread = std::make_shared<SiteSpread>();
  spread->fill(kNoSite);
  std::vector<Neighbour> remaining = neighbours;
  const auto previous = table.spreads.find(lost);
  if (previous != table.spreads.end())
    RetainAssignments(*previous->second, counts, remaining, *spread);
  for (std::size_t bucket = 0; bucket < kSpreadBuckets; ++bucket) {
    if ((*spread)[bucket] != kNoSite)
      continue;
    Neighbour* chosen =
        ChooseNeighbour(remaining, neighbours, bucket, counts[bucket]);
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
