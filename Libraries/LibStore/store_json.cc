// Encoding and decoding of the JSON bodies of the platform's HTTP interfaces.

#include "cicadadrum/store/store_json.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>
#include <schemas/store.capnp.h>

#include <boost/leaf/error.hpp>
#include <charconv>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

// Copies with an explicit length, because capnp::Text and std::string differ in
// the constness of the terminator.
std::string ToString(capnp::Text::Reader text) {
  return std::string(text.begin(), text.size());
}

// Fills a new message with `fill` and returns the message as JSON text.
template <typename Message, typename Fill>
std::string Encode(Fill fill) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<Message>();
  fill(root);
  capnp::JsonCodec codec;
  codec.handleByAnnotation<Message>();
  const kj::String text = codec.encode(root);
  return std::string(text.begin(), text.size());
}

// Decodes JSON into a message and returns the value that `read` makes from the
// message. Fails with kInvalidMessage.
template <typename Message, typename Read>
auto Decode(const std::string& json, Read read)
    -> leaf::result<decltype(read(std::declval<typename Message::Reader>()))> {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<Message>();
  capnp::JsonCodec codec;
  codec.handleByAnnotation<Message>();
  const auto failure = kj::runCatchingExceptions([&] {
    codec.decode(kj::ArrayPtr<const char>(json.data(), json.size()), root);
  });
  KJ_IF_MAYBE (exception, failure) {
    return leaf::new_error(
        Error{ErrorCode::kInvalidMessage, exception->getDescription().cStr()});
  }
  return read(root.asReader());
}

void FillRow(schema::Row::Builder out, const Row& row) {
  out.setKey(row.key);
  out.setValue(row.value);
  out.setVersion(row.version);
}

Row ReadRow(schema::Row::Reader in) {
  return {ToString(in.getKey()), ToString(in.getValue()), in.getVersion()};
}

template <typename ListBuilder>
void FillRows(ListBuilder out, const std::vector<Row>& rows) {
  for (std::size_t i = 0; i < rows.size(); ++i)
    FillRow(out[static_cast<unsigned>(i)], rows[i]);
}

std::vector<Row> ReadRows(capnp::List<schema::Row>::Reader in) {
  std::vector<Row> rows;
  for (const auto row : in)
    rows.push_back(ReadRow(row));
  return rows;
}

void FillVm(schema::Vm::Builder out, const BackendServer& vm) {
  out.setName(vm.name);
  out.setService(vm.service);
  out.setRegion(vm.region);
  out.setFailureDomain(vm.failure_domain);
  out.setAddress(vm.address);
  out.setSlots(vm.slots);
  out.setConnections(vm.connections);
  out.setState(vm.leaving ? schema::VmState::LEAVING : schema::VmState::LIVE);
}

BackendServer ReadVm(schema::Vm::Reader in) {
  return {.name = ToString(in.getName()),
          .service = ToString(in.getService()),
          .region = ToString(in.getRegion()),
          .failure_domain = ToString(in.getFailureDomain()),
          .address = ToString(in.getAddress()),
          .slots = in.getSlots(),
          .connections = in.getConnections(),
          .leaving = in.getState() == schema::VmState::LEAVING};
}

std::uint64_t ParseHex(std::string_view digits) {
  std::uint64_t number = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return number;
}

Incarnation ParseIncarnation(const std::string& text) {
  if (text.size() != 32)
    return {};
  const std::string_view digits = text;
  return {ParseHex(digits.substr(0, 16)), ParseHex(digits.substr(16))};
}

Transaction ReadTransaction(schema::Transaction::Reader in) {
  Transaction transaction{.token = ToString(in.getToken())};
  for (const auto check : in.getChecks())
    transaction.checks.push_back(
        {ToString(check.getKey()), check.getVersion()});
  for (const auto write : in.getWrites())
    transaction.writes.push_back({ToString(write.getKey()),
                                  ToString(write.getValue()), write.getCheck(),
                                  write.getCheckVersion()});
  return transaction;
}

ClaimRow ReadClaimRow(schema::ClaimRow::Reader in) {
  const auto body = in.getBody();
  return {.holder = ToString(in.getHolder()),
          .incarnation = ParseIncarnation(ToString(in.getIncarnation())),
          .claim = in.getClaim(),
          .finished = in.getFinished(),
          .answer = {.status = in.getStatus(),
                     .content_type = ToString(in.getContentType()),
                     .body = std::string(body.asChars().begin(), body.size()),
                     .truncated = in.getTruncated()}};
}

}  // namespace

std::string EncodeRow(const Row& row) {
  return Encode<schema::Row>([&](auto& out) { FillRow(out, row); });
}

std::string EncodeRows(const std::vector<Row>& rows) {
  return Encode<schema::RowList>([&](auto& out) {
    FillRows(out.initRows(static_cast<unsigned>(rows.size())), rows);
  });
}

std::string EncodeTransaction(const Transaction& transaction) {
  return Encode<schema::Transaction>([&](auto& out) {
    out.setToken(transaction.token);
    auto checks =
        out.initChecks(static_cast<unsigned>(transaction.checks.size()));
    for (unsigned i = 0; i < checks.size(); ++i) {
      checks[i].setKey(transaction.checks[i].key);
      checks[i].setVersion(transaction.checks[i].version);
    }
    auto writes =
        out.initWrites(static_cast<unsigned>(transaction.writes.size()));
    for (unsigned i = 0; i < writes.size(); ++i) {
      const RowWrite& write = transaction.writes[i];
      writes[i].setKey(write.key);
      writes[i].setValue(write.value);
      writes[i].setCheck(write.check);
      writes[i].setCheckVersion(write.check_version);
    }
  });
}

std::string EncodeTransactionAnswer(const TransactionAnswer& answer) {
  return Encode<schema::TransactionAnswer>([&](auto& out) {
    out.setCommitted(answer.committed);
    FillRows(out.initRows(static_cast<unsigned>(answer.rows.size())),
             answer.rows);
    FillRows(out.initFailed(static_cast<unsigned>(answer.failed.size())),
             answer.failed);
  });
}

std::string EncodeVms(const std::vector<BackendServer>& vms) {
  return Encode<schema::VmList>([&](auto& out) {
    auto list = out.initVms(static_cast<unsigned>(vms.size()));
    for (unsigned i = 0; i < list.size(); ++i)
      FillVm(list[i], vms[i]);
  });
}

std::string EncodeClaimRow(const ClaimRow& row) {
  return Encode<schema::ClaimRow>([&](auto& out) {
    out.setHolder(row.holder);
    out.setIncarnation(FormatIncarnation(row.incarnation));
    out.setClaim(row.claim);
    out.setFinished(row.finished);
    out.setStatus(row.answer.status);
    out.setContentType(row.answer.content_type);
    out.setBody(capnp::Data::Reader(
        reinterpret_cast<const kj::byte*>(row.answer.body.data()),
        row.answer.body.size()));
    out.setTruncated(row.answer.truncated);
  });
}

leaf::result<Row> DecodeRow(const std::string& json) {
  return Decode<schema::Row>(json, [](auto in) { return ReadRow(in); });
}

leaf::result<std::vector<Row>> DecodeRows(const std::string& json) {
  return Decode<schema::RowList>(
      json, [](auto in) { return ReadRows(in.getRows()); });
}

leaf::result<Transaction> DecodeTransaction(const std::string& json) {
  return Decode<schema::Transaction>(
      json, [](auto in) { return ReadTransaction(in); });
}

leaf::result<TransactionAnswer> DecodeTransactionAnswer(
    const std::string& json) {
  return Decode<schema::TransactionAnswer>(json, [](auto in) {
    return TransactionAnswer{in.getCommitted(), ReadRows(in.getRows()),
                             ReadRows(in.getFailed())};
  });
}

leaf::result<std::vector<BackendServer>> DecodeVms(const std::string& json) {
  return Decode<schema::VmList>(json, [](auto in) {
    std::vector<BackendServer> vms;
    for (const auto vm : in.getVms())
      vms.push_back(ReadVm(vm));
    return vms;
  });
}

leaf::result<ClaimRow> DecodeClaimRow(const std::string& json) {
  return Decode<schema::ClaimRow>(json,
                                  [](auto in) { return ReadClaimRow(in); });
}

}  // namespace cicadadrum
