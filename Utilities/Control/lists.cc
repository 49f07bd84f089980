// Reads and submits the lists of client accounts and plans.
//
// An edit is accepted when the compare-and-set of the row configuration/current
// takes effect. The lists are stored first, as an object named by their hash,
// so that an accepted row never names an object that is missing.

#include "lists.h"

#include <capnp/message.h>

#include <array>

#include "cicadadrum/base/error.h"
#include "cicadadrum/base/hash.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/loop/http_fetch.h"
#include "schemas/configuration.capnp.h"
#include "schemas/store.capnp.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

constexpr Duration kCallTimeout = Seconds(5);
constexpr char kPointerKey[] = "configuration/current";

struct VersionPointer {
  std::uint64_t row_version = 0;
  std::uint64_t version = 0;
  std::string body_hash;
};

leaf::error_id PlatformUnavailable(const std::string& detail) {
  return leaf::new_error(
      Error{ErrorCode::kUnavailable,
            "the platform returned no valid response: " + detail});
}

bool IsOk(const HttpCall& call) {
  return call.outcome == HttpOutcome::kAnswered && call.response.status == 200;
}

leaf::result<VersionPointer> ParsePointer(schema::Row::Reader row) {
  VersionPointer pointer{.row_version = row.getVersion()};
  if (pointer.row_version == 0)
    return pointer;
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(value, DecodeJsonAs<schema::ConfigurationPointer>(
                             row.getValue(), kPointerKey,
                             ErrorCode::kInvalidMessage, message));
  pointer.version = value.getVersion();
  pointer.body_hash = value.getBodyHash();
  return pointer;
}

leaf::result<VersionPointer> ReadPointer(EventLoop& loop,
                                         const Deployment& deployment) {
  const HttpCall call = Fetch(
      loop,
      {.address = deployment.platform_address,
       .request = {.target = std::string("/table/row?key=") + kPointerKey}},
      kCallTimeout);
  if (!IsOk(call))
    return PlatformUnavailable("the version row can't be read");
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      row, DecodeJsonAs<schema::Row>(call.response.body, kPointerKey,
                                     ErrorCode::kInvalidMessage, message));
  return ParsePointer(row);
}

std::string EncodePointer(const VersionPointer& pointer,
                          const std::string& author) {
  capnp::MallocMessageBuilder message;
  auto value = message.initRoot<schema::ConfigurationPointer>();
  value.setVersion(pointer.version);
  value.setBodyHash(pointer.body_hash);
  value.setAuthor(author);
  return EncodeJson(value.asReader());
}

leaf::error_id VersionConflict(std::uint64_t base, std::uint64_t current) {
  return leaf::new_error(
      Error{ErrorCode::kConflict, "the edit is based on version " +
                                      std::to_string(base) + ", but version " +
                                      std::to_string(current) +
                                      " is current; nothing was changed"});
}

std::string EncodeTransaction(const VersionPointer& current,
                              const VersionPointer& next,
                              const std::string& author) {
  capnp::MallocMessageBuilder message;
  auto transaction = message.initRoot<schema::Transaction>();
  transaction.setToken("configuration-" + std::to_string(next.version) + "-" +
                       next.body_hash + "-" + author);
  auto check = transaction.initChecks(1)[0];
  check.setKey(kPointerKey);
  check.setVersion(current.row_version);
  auto write = transaction.initWrites(1)[0];
  write.setKey(kPointerKey);
  write.setValue(EncodePointer(next, author));
  return EncodeJson(transaction.asReader());
}

// Writes the version row on condition that it is still `current`. Returns
// whether the platform committed the write.
leaf::result<bool> WritePointer(EventLoop& loop,
                                const Deployment& deployment,
                                const VersionPointer& current,
                                const VersionPointer& next,
                                const std::string& author) {
  const HttpCall call =
      Fetch(loop,
            {.address = deployment.platform_address,
             .request = {.method = HttpMethod::kPost,
                         .target = "/table/transact",
                         .body = EncodeTransaction(current, next, author)}},
            kCallTimeout);
  if (call.outcome == HttpOutcome::kNotConnected ||
      call.outcome == HttpOutcome::kConnectionUnavailable)
    return PlatformUnavailable("nothing was changed");
  if (!IsOk(call)) {
    return leaf::new_error(Error{ErrorCode::kUncertain,
                                 "the platform's response was lost; submit the "
                                 "same file on the same base again to "
                                 "learn whether the edit was accepted"});
  }
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(answer, DecodeJsonAs<schema::TransactionAnswer>(
                              call.response.body, "transaction",
                              ErrorCode::kInvalidMessage, message));
  return answer.getCommitted();
}

}  // namespace

leaf::result<Configuration> ReadLists(EventLoop& loop,
                                      const Deployment& deployment) {
  BOOST_LEAF_AUTO(pointer, ReadPointer(loop, deployment));
  if (pointer.version == 0)
    return Configuration{};
  const HttpCall call = Fetch(
      loop,
      {.address = deployment.platform_address,
       .request = {.target = "/objects/configuration-" + pointer.body_hash}},
      kCallTimeout);
  if (!IsOk(call))
    return PlatformUnavailable("the lists can't be read");
  BOOST_LEAF_AUTO(lists, ParseConfiguration(call.response.body,
                                            "accepted lists", deployment));
  lists.version = pointer.version;
  return lists;
}

leaf::result<std::uint64_t> SubmitLists(EventLoop& loop,
                                        const Deployment& deployment,
                                        const Configuration& lists,
                                        std::uint64_t base,
                                        const std::string& author) {
  const std::string body = FormatConfiguration(lists);
  const VersionPointer next{.version = base + 1,
                            .body_hash = FormatHex(HashBytes(body))};
  BOOST_LEAF_AUTO(current, ReadPointer(loop, deployment));
  if (current.version == next.version && current.body_hash == next.body_hash)
    return next.version;
  if (current.version != base)
    return VersionConflict(base, current.version);
  const HttpCall store_call =
      Fetch(loop,
            {.address = deployment.platform_address,
             .request = {.method = HttpMethod::kPut,
                         .target = "/objects/configuration-" + next.body_hash,
                         .body = body}},
            kCallTimeout);
  if (!IsOk(store_call))
    return PlatformUnavailable(
        "the lists can't be stored; nothing was changed");
  BOOST_LEAF_AUTO(committed,
                  WritePointer(loop, deployment, current, next, author));
  if (committed)
    return next.version;
  BOOST_LEAF_AUTO(latest, ReadPointer(loop, deployment));
  return VersionConflict(base, latest.version);
}

}  // namespace cicadadrum
