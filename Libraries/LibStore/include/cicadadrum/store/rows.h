// Rows and transactions of the table service, and the batching of row writes.

#ifndef CICADADRUM_STORE_ROWS_H_
#define CICADADRUM_STORE_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cicadadrum/base/time.h"

namespace cicadadrum {

struct Row {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // Grows by one with each write; 0 if absent.
  bool operator==(const Row&) const = default;
};

// The version a row must have; 0 if it must be absent.
struct RowCheck {
  std::string key;
  std::uint64_t version = 0;
};

// Written only if `check` is false or the row has `check_version`; other rows
// are not affected.
struct RowWrite {
  std::string key;
  std::string value;
  bool check = false;
  std::uint64_t check_version = 0;
};

// All checks must hold or nothing is written. A transaction sent again with the
// same token has no further effect and gets the first answer.
struct Transaction {
  std::string token;
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

struct TransactionAnswer {
  bool committed = false;
  std::vector<Row> rows;    // The rows written; if not committed, the present
                            // rows whose checks failed.
  std::vector<Row> failed;  // Present rows of the writes whose own check
                            // failed.
};

// A row write that waits for a transaction.
struct PendingRowWrite {
  std::uint64_t id = 0;
  RowWrite write;
  TimePoint deadline = kNever;
};

// Row writes that are independent of each other. One transaction is in flight
// and all that wait go into the next one.
struct RowWriteQueue {
  std::size_t max_rows = 256;
  std::deque<PendingRowWrite> waiting;
  std::vector<PendingRowWrite> in_flight;  // At most one per key.
};

// Moves waiting rows into the batch in flight, which must be empty, and returns
// them. Two writes of one row go into different batches, in order.
std::vector<PendingRowWrite> StartNextBatch(RowWriteQueue& queue);

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_ROWS_H_
