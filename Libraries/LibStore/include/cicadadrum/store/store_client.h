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
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/store/policy.h"
#include "cicadadrum/store/rows.h"

struct event_base;

namespace cicadadrum {

struct StoreSettings {
  std::string address;       // IP:port of the platform.
  std::string token_prefix;  // Unique to this run of the process.
  std::uint64_t seed = 1;    // Of the jitter.
  std::size_t max_connections = 4;
  std::size_t max_response_bytes = 64 << 20;
  StorePolicy policy;
};

// The result of one row write that others do not depend on.
struct RowWriteResult {
  bool written = false;
  Row row;  // As it is now.
};

// All functions return at once; the callback is called exactly once, later and
// on the loop, unless the client is destroyed first. It must not destroy the
// client. Failures carry an Error: kUnavailable (no effect), kUncertain (a
// write that may have taken effect) or kInvalidMessage (the platform's response
// makes no sense, or it rejects the request).
class StoreClient {
 public:
  template <typename T>
  using Callback = std::function<void(boost::leaf::result<T>)>;

  // `base` must outlive the client.
  StoreClient(event_base* base, const StoreSettings& settings);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Called when the platform is found down or up again.
  void SetObserver(std::function<void(bool up)> observer);

  // An empty token is replaced by a new one.
  void Transact(const Transaction& transaction,
                Duration timeout,
                Callback<TransactionAnswer> done);

  // Writes one row together with others that wait. `timeout` bounds the wait
  // for a transaction, which then has the time of its most patient row.
  void WriteRow(const RowWrite& write,
                Duration timeout,
                Callback<RowWriteResult> done);

  // Inserts claims for LibClaim.
  void InsertClaims(const WriteClaims& write,
                    Duration timeout,
                    std::function<void(WriteAnswered)> done);

  // Gives a row of version 0 if it is absent.
  void ReadRow(const std::string& key, Duration timeout, Callback<Row> done);

  void Scan(const std::string& prefix,
            Duration timeout,
            Callback<std::vector<Row>> done);

  // Gives nothing if there is no such object.
  void GetObject(const std::string& name,
                 Duration timeout,
                 Callback<std::optional<std::string>> done);

  void PutObject(const std::string& name,
                 const std::string& body,
                 Duration timeout,
                 Callback<void> done);

  void ListVms(Duration timeout, Callback<std::vector<BackendServer>> done);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_STORE_CLIENT_H_
