// Encoding and decoding of the JSON bodies of the platform's HTTP interfaces
// (Schemas/store.capnp). LibStore and the fake platform of the tests share this
// code.

#ifndef CICADADRUM_STORE_STORE_JSON_H_
#define CICADADRUM_STORE_STORE_JSON_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

#include "cicadadrum/claim/claim.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/store/rows.h"

namespace cicadadrum {

// The functions below return the JSON text of a request or response body.
std::string EncodeRow(const Row& row);
std::string EncodeRows(const std::vector<Row>& rows);
std::string EncodeTransaction(const Transaction& transaction);
std::string EncodeTransactionAnswer(const TransactionAnswer& answer);
std::string EncodeVms(const std::vector<BackendServer>& vms);
std::string EncodeClaimRow(const ClaimRow& row);

// The functions below fail with ErrorCode::kInvalidMessage if the text is not
// JSON or does not match the schema.
boost::leaf::result<Row> DecodeRow(const std::string& json);
boost::leaf::result<std::vector<Row>> DecodeRows(const std::string& json);
boost::leaf::result<Transaction> DecodeTransaction(const std::string& json);
boost::leaf::result<TransactionAnswer> DecodeTransactionAnswer(
    const std::string& json);
boost::leaf::result<std::vector<BackendServer>> DecodeVms(
    const std::string& json);
boost::leaf::result<ClaimRow> DecodeClaimRow(const std::string& json);

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_STORE_JSON_H_
