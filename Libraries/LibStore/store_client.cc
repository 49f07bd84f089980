// Client of the platform: converts operations to HTTP requests and responses to
// results.

#include "cicadadrum/store/store_client.h"

#include <event2/http.h>

#include <algorithm>
#include <boost/leaf/capture.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <deque>

#include "cicadadrum/base/error.h"
#include "cicadadrum/store/claim_rows.h"
#include "cicadadrum/store/store_json.h"
#include "store_calls.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

// Calls `make` and returns its result. Boost.LEAF drops an error object unless
// a handler is active where the error is created; capturing the error lets the
// receiver of the result handle it later.
template <typename T, typename Make>
leaf::result<T> CaptureResult(Make make) {
  return leaf::capture(leaf::make_shared_context([](const Error&) {}),
                       [&]() -> leaf::result<T> { return make(); });
}

// Returns `text` percent-encoded for a URI.
std::string EncodeForUri(const std::string& text) {
  char* encoded =
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string result = encoded;
  std::free(encoded);
  return result;
}

Error ErrorForOutcome(StoreCallOutcome outcome) {
  if (outcome == StoreCallOutcome::kUncertain)
    return {ErrorCode::kUncertain,
            "the platform did not respond; the write may have taken effect"};
  return {ErrorCode::kUnavailable, "the platform is unavailable"};
}

Error UnexpectedStatus(const StoreHttpResponse& response) {
  return {ErrorCode::kInvalidMessage, "the platform responded with status " +
                                          std::to_string(response.status) +
                                          ": " + response.body.substr(0, 200)};
}

RowWriteResult ResultForRow(const TransactionAnswer& answer,
                            const std::string& key) {
  for (const Row& row : answer.rows) {
    if (row.key == key)
      return {true, row};
  }
  for (const Row& row : answer.failed) {
    if (row.key == key)
      return {false, row};
  }
  return {};
}

}  // namespace

class StoreClient::Impl {
 public:
  Impl(EventLoop& loop, const StoreSettings& settings)
      : token_prefix_(settings.token_prefix), calls_(loop, settings) {}

  StoreCalls& Calls() { return calls_; }

  // Sends a request and passes `done` the decoded body of the response. Any
  // status but 200 is an error.
  template <typename T, typename DecodeBody>
  void CallAndDecode(StoreAccess access,
                     const StoreHttpRequest& request,
                     Duration timeout,
                     Callback<T> done,
                     DecodeBody decode);

  void Transact(Transaction transaction,
                Duration timeout,
                Callback<TransactionAnswer> done);

  void WriteRow(const RowWrite& write,
                Duration timeout,
                Callback<RowWriteResult> done);

 private:
  void SendNextBatch();
  void FailExpiredRows();
  void FinishBatch(leaf::result<TransactionAnswer> result);
  void FinishRow(const PendingRowWrite& row,
                 const TransactionAnswer* answer,
                 const Error& error);

  std::string token_prefix_;
  std::uint64_t next_token_number_ = 1;
  RowWriteQueue row_queue_;
  std::map<std::uint64_t, Callback<RowWriteResult>> row_callbacks_;
  std::uint64_t next_row_id_ = 1;
  StoreCalls calls_;
};

template <typename T, typename DecodeBody>
void StoreClient::Impl::CallAndDecode(StoreAccess access,
                                      const StoreHttpRequest& request,
                                      Duration timeout,
                                      Callback<T> done,
                                      DecodeBody decode) {
  calls_.Call(access, request, timeout,
              [done, decode](StoreCallOutcome outcome,
                             const StoreHttpResponse& response) {
                done(CaptureResult<T>([&]() -> leaf::result<T> {
                  if (outcome != StoreCallOutcome::kAnswered)
                    return leaf::new_error(ErrorForOutcome(outcome));
                  if (response.status != kOk)
                    return leaf::new_error(UnexpectedStatus(response));
                  return decode(response.body);
                }));
              });
}

void StoreClient::Impl::Transact(Transaction transaction,
                                 Duration timeout,
                                 Callback<TransactionAnswer> done) {
  if (transaction.token.empty())
    transaction.token =
        token_prefix_ + "-" + std::to_string(next_token_number_++);
  const StoreHttpRequest request{.post = true,
                                 .path = "/table/transact",
                                 .body = EncodeTransaction(transaction)};
  CallAndDecode<TransactionAnswer>(StoreAccess::kWrite, request, timeout,
                                   std::move(done), DecodeTransactionAnswer);
}

void StoreClient::Impl::WriteRow(const RowWrite& write,
                                 Duration timeout,
                                 Callback<RowWriteResult> done) {
  const std::uint64_t id = next_row_id_++;
  row_callbacks_[id] = std::move(done);
  row_queue_.waiting.push_back({id, write, StoreNow() + timeout});
  SendNextBatch();
}

void StoreClient::Impl::FinishRow(const PendingRowWrite& row,
                                  const TransactionAnswer* answer,
                                  const Error& error) {
  const Callback<RowWriteResult> done = std::move(row_callbacks_.at(row.id));
  row_callbacks_.erase(row.id);
  done(CaptureResult<RowWriteResult>([&]() -> leaf::result<RowWriteResult> {
    if (answer == nullptr)
      return leaf::new_error(error);
    return ResultForRow(*answer, row.write.key);
  }));
}

// Fails the waiting row writes whose deadline has passed. They leave the queue
// before their callbacks run, because a callback may queue further writes.
void StoreClient::Impl::FailExpiredRows() {
  std::vector<PendingRowWrite> expired;
  std::deque<PendingRowWrite> remaining;
  for (const PendingRowWrite& row : row_queue_.waiting) {
    if (row.deadline <= StoreNow())
      expired.push_back(row);
    else
      remaining.push_back(row);
  }
  row_queue_.waiting = std::move(remaining);
  for (const PendingRowWrite& row : expired)
    FinishRow(row, nullptr, ErrorForOutcome(StoreCallOutcome::kFailed));
}

// Sends the waiting row writes as one transaction unless a transaction is in
// flight. The transaction's deadline is the latest deadline of its rows.
void StoreClient::Impl::SendNextBatch() {
  if (!row_queue_.in_flight.empty() || row_queue_.waiting.empty())
    return;
  Transaction transaction;
  TimePoint deadline = StoreNow();
  for (const PendingRowWrite& row : StartNextBatch(row_queue_)) {
    transaction.writes.push_back(row.write);
    deadline = std::max(deadline, row.deadline);
  }
  Transact(transaction, deadline - StoreNow(),
           [this](leaf::result<TransactionAnswer> result) {
             FinishBatch(std::move(result));
           });
}

void StoreClient::Impl::FinishBatch(leaf::result<TransactionAnswer> result) {
  const std::vector<PendingRowWrite> rows = std::move(row_queue_.in_flight);
  row_queue_.in_flight.clear();
  Error error{ErrorCode::kInvalidMessage,
              "the transaction failed without an error description"};
  const std::optional<TransactionAnswer> answer = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<TransactionAnswer>> {
        BOOST_LEAF_AUTO(value, std::move(result));
        return std::optional(value);
      },
      [&](const Error& found) {
        error = found;
        return std::optional<TransactionAnswer>();
      },
      [] { return std::optional<TransactionAnswer>(); });
  for (const PendingRowWrite& row : rows)
    FinishRow(row, answer ? &*answer : nullptr, error);
  FailExpiredRows();
  SendNextBatch();
}

StoreClient::StoreClient(EventLoop& loop, const StoreSettings& settings)
    : impl_(std::make_unique<Impl>(loop, settings)) {}

StoreClient::~StoreClient() = default;

void StoreClient::SetObserver(std::function<void(bool up)> observer) {
  impl_->Calls().SetObserver(std::move(observer));
}

void StoreClient::Transact(const Transaction& transaction,
                           Duration timeout,
                           Callback<TransactionAnswer> done) {
  impl_->Transact(transaction, timeout, std::move(done));
}

void StoreClient::WriteRow(const RowWrite& write,
                           Duration timeout,
                           Callback<RowWriteResult> done) {
  impl_->WriteRow(write, timeout, std::move(done));
}

void StoreClient::InsertClaims(const WriteClaims& write,
                               Duration timeout,
                               std::function<void(ClaimWriteCompleted)> done) {
  const auto finish = [write, done = std::move(done)](
                          leaf::result<TransactionAnswer> result) {
    done(leaf::try_handle_all(
        [&]() -> leaf::result<ClaimWriteCompleted> {
          BOOST_LEAF_AUTO(answer, std::move(result));
          return ReadClaimResults(write, answer);
        },
        [&](const Error& error) {
          const bool failed = error.code == ErrorCode::kUnavailable;
          return SameOutcomeForAllClaims(
              write, failed ? ClaimWriteOutcome::kFailed
                            : ClaimWriteOutcome::kUncertain);
        },
        [&] {
          return SameOutcomeForAllClaims(write, ClaimWriteOutcome::kUncertain);
        }));
  };
  impl_->Transact(MakeClaimTransaction(write), timeout, finish);
}

void StoreClient::ReadRow(const std::string& key,
                          Duration timeout,
                          Callback<Row> done) {
  impl_->CallAndDecode<Row>(StoreAccess::kRead,
                            {.path = "/table/row?key=" + EncodeForUri(key)},
                            timeout, std::move(done), DecodeRow);
}

void StoreClient::Scan(const std::string& prefix,
                       Duration timeout,
                       Callback<std::vector<Row>> done) {
  impl_->CallAndDecode<std::vector<Row>>(
      StoreAccess::kRead,
      {.path = "/table/scan?prefix=" + EncodeForUri(prefix)}, timeout,
      std::move(done), DecodeRows);
}

void StoreClient::GetObject(const std::string& name,
                            Duration timeout,
                            Callback<std::optional<std::string>> done) {
  using Object = std::optional<std::string>;
  const auto finish = [done = std::move(done)](
                          StoreCallOutcome outcome,
                          const StoreHttpResponse& response) {
    done(CaptureResult<Object>([&]() -> leaf::result<Object> {
      if (outcome != StoreCallOutcome::kAnswered)
        return leaf::new_error(ErrorForOutcome(outcome));
      if (response.status == kNotFound)
        return Object();
      if (response.status != kOk)
        return leaf::new_error(UnexpectedStatus(response));
      return Object(response.body);
    }));
  };
  impl_->Calls().Call(StoreAccess::kRead,
                      {.path = "/objects/" + EncodeForUri(name)}, timeout,
                      finish);
}

void StoreClient::PutObject(const std::string& name,
                            const std::string& body,
                            Duration timeout,
                            Callback<void> done) {
  impl_->CallAndDecode<void>(
      StoreAccess::kWrite,
      {.put = true, .path = "/objects/" + EncodeForUri(name), .body = body},
      timeout, std::move(done),
      [](const std::string& /*body*/) -> leaf::result<void> { return {}; });
}

void StoreClient::ListVms(Duration timeout,
                          Callback<std::vector<BackendServer>> done) {
  impl_->CallAndDecode<std::vector<BackendServer>>(StoreAccess::kRead,
                                                   {.path = "/vms"}, timeout,
                                                   std::move(done), DecodeVms);
}

}  // namespace cicadadrum
