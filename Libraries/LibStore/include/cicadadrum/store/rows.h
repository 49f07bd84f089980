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
  // Increases by one with each write of the row; 0 if the row is absent.
  std::uint64_t version = 0;
  bool operator==(const Row&) const = default;
};

// Condition of a transaction: the row must have `version`, or be absent if
// `version` is 0.
struct RowCheck {
  std::string key;
  std::uint64_t version = 0;
};

// Write of one row. If `check` is true, the row is written only if its version
// is `check_version` (0: only if the row is absent). A failed check has no
// effect on the other writes of the transaction.
struct RowWrite {
  std::string key;
  std::string value;
  bool check = false;
  std::uint64_t check_version = 0;
};

// Writes rows atomically. If one of `checks` fails, nothing is written. The
// platform executes a token once: a transaction that is sent again with the
// same token has no further effect and receives the first response.
struct Transaction {
  std::string token;
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

// Response of the table service to a transaction.
struct TransactionAnswer {
  bool committed = false;
  // If committed, the written rows; otherwise the current state of the rows for
  // which one of Transaction::checks failed.
  std::vector<Row> rows;
  // Current state of the rows for which the check in the RowWrite failed.
  std::vector<Row> failed;
};

// A row write that is waiting for a transaction or in flight.
struct PendingRowWrite {
  std::uint64_t id = 0;
  RowWrite write;
  TimePoint deadline = kNever;
};

// Row writes that are independent of each other and share transactions. At most
// one transaction is in flight; the next one contains the waiting writes, up to
// `max_rows`.
struct RowWriteQueue {
  std::size_t max_rows = 256;
  std::deque<PendingRowWrite> waiting;
  std::vector<PendingRowWrite> in_flight;  // At most one write per key.
};

// Moves waiting writes into the batch in flight, which must be empty, and
// returns the batch. Two writes of the same row go into different batches in
// the order in which they were queued.
std::vector<PendingRowWrite> StartNextBatch(RowWriteQueue& queue);

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_ROWS_H_
