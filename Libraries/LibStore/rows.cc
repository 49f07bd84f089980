// Batching of row writes.

#include "cicadadrum/store/rows.h"

#include <set>

namespace cicadadrum {

std::vector<PendingRowWrite> StartNextBatch(RowWriteQueue& queue) {
  std::set<std::string> keys;
  std::deque<PendingRowWrite> remaining;
  for (PendingRowWrite& row : queue.waiting) {
    const bool fits = queue.in_flight.size() < queue.max_rows;
    if (keys.insert(row.write.key).second && fits)
      queue.in_flight.push_back(std::move(row));
    else
      remaining.push_back(std::move(row));
  }
  queue.waiting = std::move(remaining);
  return queue.in_flight;
}

}  // namespace cicadadrum
