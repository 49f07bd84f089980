// Conversion of claims to and from rows of the table service.

#include "cicadadrum/store/claim_rows.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "cicadadrum/store/store_json.h"

namespace cicadadrum {

namespace {

const Row* FindRow(const std::vector<Row>& rows, const std::string& key) {
  const auto found = std::find_if(
      rows.begin(), rows.end(), [&](const Row& row) { return row.key == key; });
  return found == rows.end() ? nullptr : &*found;
}

ClaimRow DecodeClaimRowOrEmpty(const std::string& value) {
  return boost::leaf::try_handle_all([&] { return DecodeClaimRow(value); },
                                     [] { return ClaimRow{}; });
}

}  // namespace

std::string ClaimRowKey(const std::string& request_key) {
  return "claims/" + request_key;
}

Transaction MakeClaimTransaction(const WriteClaims& write) {
  Transaction transaction;
  for (const ClaimWrite& claim : write.writes) {
    transaction.token = FormatIncarnation(claim.row.incarnation) + "." +
                        std::to_string(write.batch);
    transaction.writes.push_back({.key = ClaimRowKey(claim.key),
                                  .value = EncodeClaimRow(claim.row),
                                  .check = true,
                                  .check_version = 0});
  }
  return transaction;
}

ClaimWriteCompleted ReadClaimResults(const WriteClaims& write,
                                     const TransactionAnswer& answer) {
  ClaimWriteCompleted answered{.batch = write.batch};
  for (const ClaimWrite& claim : write.writes) {
    const std::string key = ClaimRowKey(claim.key);
    ClaimWriteResult result{.key = claim.key,
                            .outcome = ClaimWriteOutcome::kUncertain};
    if (const Row* present = FindRow(answer.failed, key)) {
      result.outcome = ClaimWriteOutcome::kExists;
      result.row = DecodeClaimRowOrEmpty(present->value);
    } else if (answer.committed && FindRow(answer.rows, key) != nullptr) {
      result.outcome = ClaimWriteOutcome::kInserted;
    }
    answered.results.push_back(std::move(result));
  }
  return answered;
}

ClaimWriteCompleted SameOutcomeForAllClaims(const WriteClaims& write,
                                            ClaimWriteOutcome outcome) {
  ClaimWriteCompleted answered{.batch = write.batch};
  for (const ClaimWrite& claim : write.writes)
    answered.results.push_back({.key = claim.key, .outcome = outcome});
  return answered;
}

}  // namespace cicadadrum
