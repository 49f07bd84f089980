// Client of the platform's table service, object store and VM list over HTTP.

#ifndef CICADADRUM_STORE_STORE_CLIENT_H_
#define CICADADRUM_STORE_STORE_CLIENT_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cicadadrum/claim/claim.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/store/policy.h"
#include "cicadadrum/store/rows.h"

namespace cicadadrum {

// Settings of StoreClient.
struct StoreSettings {
  std::string address;       // IP:port of the platform's HTTP interface.
  std::string token_prefix;  // Unique to this run of the process.
  std::uint64_t seed = 1;    // Seed of the random backoff.
  std::size_t max_connections = 4;
  std::size_t max_response_bytes = 64 << 20;
  StorePolicy policy;
};

// Result of StoreClient::WriteRow.
struct RowWriteResult {
  bool written = false;  // False if the check of the write failed.
  Row row;               // Current state of the row.
};

// Asynchronous client of the platform. All functions return at once. The client
// calls the callback exactly once, later and from the event loop, unless the
// client is destroyed first. The callback must not destroy the client. A
// timeout covers the whole call, including retries.
//
// Failures carry an Error: kUnavailable (the call had no effect), kUncertain (a
// write may have taken effect) or kInvalidMessage (the platform rejected the
// request or its response can't be decoded).
class StoreClient {
 public:
  template <typename T>
  using Callback = std::function<void(boost::leaf::result<T>)>;

  // `loop` must outlive the client.
  StoreClient(EventLoop& loop, const StoreSettings& settings);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Sets the function that is called when the platform becomes unavailable or
  // available again, as the circuit breaker sees it.
  void SetObserver(std::function<void(bool up)> observer);

  // Executes a transaction. An empty token is replaced by a new token.
  void Transact(const Transaction& transaction,
                Duration timeout,
                Callback<TransactionAnswer> done);

  // Writes one row in a transaction shared with other waiting writes. `timeout`
  // bounds the wait for a transaction; the transaction's timeout is the latest
  // deadline of its rows, so the callback may come after `timeout`.
  void WriteRow(const RowWrite& write,
                Duration timeout,
                Callback<RowWriteResult> done);

  // Inserts a batch of claims for LibClaim. A failed call is reported as the
  // outcome of each claim: kFailed or kUncertain.
  void InsertClaims(const WriteClaims& write,
                    Duration timeout,
                    std::function<void(ClaimWriteCompleted)> done);

  // Reads one row. The result has version 0 if the row is absent.
  void ReadRow(const std::string& key, Duration timeout, Callback<Row> done);

  // Reads all rows whose key starts with `prefix`.
  void Scan(const std::string& prefix,
            Duration timeout,
            Callback<std::vector<Row>> done);

  // Reads an object. The result is empty if no object has this name.
  void GetObject(const std::string& name,
                 Duration timeout,
                 Callback<std::optional<std::string>> done);

  // Writes an object.
  void PutObject(const std::string& name,
                 const std::string& body,
                 Duration timeout,
                 Callback<void> done);

  // Reads the list of backend VMs from the platform.
  void ListVms(Duration timeout, Callback<std::vector<BackendServer>> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_STORE_CLIENT_H_
