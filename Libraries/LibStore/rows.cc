// Batching of row writes.

#include "cicadadrum/store/rows.h"

#include <set>

namespace cicadadrum {

std::vector<WaitingRow> TakeBatch(RowBatch& batch) {
  std::set<std::string> keys;
  std::deque<WaitingRow> left;
  for (WaitingRow& row : batch.waiting) {
    const bool fits = batch.in_flight.size() < batch.max_rows;
    if (keys.insert(row.write.key).second && fits)
      batch.in_flight.push_back(std::move(row));
    else
      left.push_back(std::move(row));
  }
  batch.waiting = std::move(left);
  return batch.in_flight;
}

}  // namespace cicadadrum
