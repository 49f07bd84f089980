// The platform's HTTP interface, as docs/interface.md has it.

#include "platform_link.h"

#include <capnp/message.h>
#include <spdlog/logger.h>

#include "cicadadrum/base/error.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/telemetry/log.h"
#include "claim_codec.h"
#include "schemas/configuration.capnp.h"
#include "schemas/store.capnp.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

constexpr Duration kCallDeadline = Seconds(2);
constexpr char kPointerKey[] = "configuration/current";

// Runs a decoder; logs its error, if any, and then returns nothing.
template <typename Function>
auto OrNothing(Function&& function) {
  using Value = std::decay_t<decltype(function().value())>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, function());
        return std::optional<Value>(std::move(value));
      },
      [](const Error& error) {
        LoggerFor("store")->warn("{}", error.detail);
        return std::optional<Value>();
      },
      [] { return std::optional<Value>(); });
}

leaf::result<std::string> Present(const std::optional<std::string>& body) {
  if (!body)
    return leaf::new_error(
        Error{ErrorCode::kUnavailable, "the platform did not answer a read"});
  return *body;
}

BackendServer ReadServer(schema::Vm::Reader vm) {
  return {.name = vm.getName(),
          .service = vm.getService(),
          .region = vm.getRegion(),
          .failure_domain = vm.getFailureDomain(),
          .address = vm.getAddress(),
          .slots = vm.getSlots(),
          .connections = vm.getConnections(),
          .leaving = vm.getState() == schema::VmState::LEAVING};
}

leaf::result<std::vector<BackendServer>> DecodeServers(
    const std::optional<std::string>& body) {
  BOOST_LEAF_AUTO(text, Present(body));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      list, DecodeJsonAs<schema::VmList>(text, "VM list",
                                         ErrorCode::kInvalidMessage, message));
  std::vector<BackendServer> servers;
  for (const auto vm : list.getVms())
    servers.push_back(ReadServer(vm));
  return servers;
}

leaf::result<std::vector<ItemVersion>> DecodePointerRow(
    const std::optional<std::string>& body) {
  BOOST_LEAF_AUTO(text, Present(body));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      row, DecodeJsonAs<schema::Row>(text, "version row",
                                     ErrorCode::kInvalidMessage, message));
  std::vector<ItemVersion> items;
  if (row.getVersion() == 0)
    return items;
  capnp::MallocMessageBuilder value_message;
  BOOST_LEAF_AUTO(pointer, DecodeJsonAs<schema::ConfigurationPointer>(
                               row.getValue(), "version row",
                               ErrorCode::kInvalidMessage, value_message));
  items.push_back({std::string(kConfigurationKey), pointer.getVersion(),
                   pointer.getBodyHash()});
  return items;
}

// A leaving mark and the version of its row; 0 if the row is absent.
struct MarkRow {
  ItemVersion item;
  std::uint64_t row_version = 0;
};

leaf::result<MarkRow> ReadMark(schema::Row::Reader row) {
  MarkRow mark{.item = {.key = row.getKey()}, .row_version = row.getVersion()};
  if (mark.row_version == 0)
    return mark;
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(value, DecodeJsonAs<schema::LeavingMark>(
                             row.getValue(), "leaving mark",
                             ErrorCode::kInvalidMessage, message));
  mark.item.version = value.getSequence();
  mark.item.value = NameOf(value.getLeaving() ? MarkValue::kLeavingRecorded
                                              : MarkValue::kCleared);
  return mark;
}

leaf::result<MarkRow> DecodeMarkRow(const std::optional<std::string>& body) {
  BOOST_LEAF_AUTO(text, Present(body));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      row, DecodeJsonAs<schema::Row>(text, "leaving mark",
                                     ErrorCode::kInvalidMessage, message));
  return ReadMark(row);
}

leaf::result<std::vector<ItemVersion>> DecodeMarkRows(
    const std::optional<std::string>& body) {
  BOOST_LEAF_AUTO(text, Present(body));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      list, DecodeJsonAs<schema::RowList>(text, "leaving marks",
                                          ErrorCode::kInvalidMessage, message));
  std::vector<ItemVersion> items;
  for (const auto row : list.getRows()) {
    BOOST_LEAF_AUTO(mark, ReadMark(row));
    items.push_back(mark.item);
  }
  return items;
}

std::string EncodeMarkWrite(const std::string& key,
                            const std::string& server,
                            std::uint64_t sequence,
                            bool leaving,
                            std::uint64_t row_version) {
  capnp::MallocMessageBuilder value_message;
  auto mark = value_message.initRoot<schema::LeavingMark>();
  mark.setServer(server);
  mark.setSequence(sequence);
  mark.setLeaving(leaving);
  capnp::MallocMessageBuilder message;
  auto transaction = message.initRoot<schema::Transaction>();
  transaction.setToken(key + "-" + std::to_string(sequence));
  auto check = transaction.initChecks(1)[0];
  check.setKey(key);
  check.setVersion(row_version);
  auto write = transaction.initWrites(1)[0];
  write.setKey(key);
  write.setValue(EncodeJson(mark.asReader()));
  return EncodeJson(transaction.asReader());
}

bool IsCommitted(const std::string& body) {
  capnp::MallocMessageBuilder message;
  const auto answer = DecodeJsonAs<schema::TransactionAnswer>(
      body, "transaction", ErrorCode::kInvalidMessage, message);
  return answer && answer->getCommitted();
}

std::string ClaimKey(const std::string& key) {
  return "claims/" + key;
}

std::string EncodeClaimWrites(const WriteClaims& write,
                              const std::string& token) {
  capnp::MallocMessageBuilder message;
  auto transaction = message.initRoot<schema::Transaction>();
  transaction.setToken(token);
  auto writes =
      transaction.initWrites(static_cast<unsigned>(write.writes.size()));
  for (unsigned i = 0; i < writes.size(); ++i) {
    writes[i].setKey(ClaimKey(write.writes[i].key));
    writes[i].setValue(EncodeClaimRow(write.writes[i].row));
    writes[i].setCheck(true);
  }
  return EncodeJson(transaction.asReader());
}

// Whether the row is the result of this claim, perhaps with its response.
bool IsSameClaim(const ClaimRow& row, const ClaimRow& claim) {
  return row.incarnation == claim.incarnation && row.claim == claim.claim;
}

leaf::result<WriteAnswered> ReadClaimResults(const WriteClaims& write,
                                             const std::string& body) {
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      answer, DecodeJsonAs<schema::TransactionAnswer>(
                  body, "transaction", ErrorCode::kInvalidMessage, message));
  WriteAnswered answered{.batch = write.batch};
  for (const ClaimWrite& claim : write.writes) {
    ClaimWriteResult result{.key = claim.key,
                            .outcome = ClaimWriteOutcome::kUncertain};
    for (const auto row : answer.getRows()) {
      if (ClaimKey(claim.key) != row.getKey().cStr())
        continue;
      BOOST_LEAF_ASSIGN(result.row, DecodeClaimRow(row.getValue()));
      result.outcome = IsSameClaim(result.row, claim.row)
                           ? ClaimWriteOutcome::kInserted
                           : ClaimWriteOutcome::kExists;
    }
    answered.results.push_back(result);
  }
  return answered;
}

WriteAnswered SameOutcome(const WriteClaims& write, ClaimWriteOutcome outcome) {
  WriteAnswered answered{.batch = write.batch};
  for (const ClaimWrite& claim : write.writes)
    answered.results.push_back({.key = claim.key, .outcome = outcome});
  return answered;
}

}  // namespace

PlatformLink::PlatformLink(EventLoop& loop, const Deployment& deployment)
    : loop_(loop),
      deployment_(deployment),
      client_(loop, {.max_connections_per_address = 8}) {}

void PlatformLink::Get(
    const std::string& target,
    std::function<void(const std::optional<std::string>& body)> done) {
  const HttpRequest request{.method = HttpMethod::kGet, .target = target};
  client_.Send(deployment_.platform_address, request,
               loop_.Now() + kCallDeadline,
               [done = std::move(done)](HttpOutcome outcome,
                                        const HttpResponse& response) {
                 const bool found = outcome == HttpOutcome::kAnswered &&
                                    response.status == 200;
                 done(found ? std::optional(response.body) : std::nullopt);
               });
}

void PlatformLink::Post(const std::string& target,
                        std::string body,
                        HttpClient::Callback callback) {
  const HttpRequest request{
      .method = HttpMethod::kPost, .target = target, .body = std::move(body)};
  client_.Send(deployment_.platform_address, request,
               loop_.Now() + kCallDeadline, std::move(callback));
}

void PlatformLink::ReadServers(
    std::function<void(const std::optional<std::vector<BackendServer>>&)>
        done) {
  Get("/vms", [done = std::move(done)](const std::optional<std::string>& body) {
    done(OrNothing([&]() { return DecodeServers(body); }));
  });
}

void PlatformLink::ReadItems(
    bool with_marks,
    std::function<void(const std::optional<std::vector<ItemVersion>>&)> done) {
  Get(std::string("/table/row?key=") + kPointerKey,
      [this, with_marks,
       done = std::move(done)](const std::optional<std::string>& row) {
        auto items = OrNothing([&]() { return DecodePointerRow(row); });
        if (!items || !with_marks)
          return done(items);
        Get(std::string("/table/scan?prefix=") + std::string(kLeavingPrefix),
            [items = *items, done](const std::optional<std::string>& rows) {
              const auto marks =
                  OrNothing([&]() { return DecodeMarkRows(rows); });
              if (!marks)
                return done(std::nullopt);
              std::vector<ItemVersion> all = items;
              all.insert(all.end(), marks->begin(), marks->end());
              done(all);
            });
      });
}

void PlatformLink::ReadBody(
    const std::string& hash,
    std::function<void(const std::optional<std::string>&)> done) {
  Get("/objects/configuration-" + hash, std::move(done));
}

void PlatformLink::WriteLeavingMark(const std::string& server,
                                    std::uint64_t sequence,
                                    bool leaving,
                                    std::function<void(bool recorded)> done) {
  const std::string key = std::string(kLeavingPrefix) + server;
  Get("/table/row?key=" + key, [this, key, server, sequence, leaving,
                                done](const std::optional<std::string>& body) {
    const auto row = OrNothing([&]() { return DecodeMarkRow(body); });
    if (!row)
      return done(false);
    if (row->item.version >= sequence)
      return done(true);
    Post("/table/transact",
         EncodeMarkWrite(key, server, sequence, leaving, row->row_version),
         [done](HttpOutcome outcome, const HttpResponse& response) {
           done(outcome == HttpOutcome::kAnswered && response.status == 200 &&
                IsCommitted(response.body));
         });
  });
}

void PlatformLink::WriteClaimRows(
    const WriteClaims& write,
    std::function<void(const WriteAnswered&)> done) {
  const std::string token =
      FormatIncarnation(write.writes.front().row.incarnation) + "-" +
      std::to_string(write.batch);
  Post("/table/transact", EncodeClaimWrites(write, token),
       [write, done = std::move(done)](HttpOutcome outcome,
                                       const HttpResponse& response) {
         if (outcome != HttpOutcome::kAnswered || response.status != 200) {
           const bool sent = outcome == HttpOutcome::kLost ||
                             outcome == HttpOutcome::kTimedOut;
           return done(SameOutcome(write, sent ? ClaimWriteOutcome::kUncertain
                                               : ClaimWriteOutcome::kFailed));
         }
         const auto results = ReadClaimResults(write, response.body);
         done(results ? *results
                      : SameOutcome(write, ClaimWriteOutcome::kUncertain));
       });
}

void PlatformLink::StoreClaimResult(const StoreResult& result) {
  capnp::MallocMessageBuilder message;
  auto transaction = message.initRoot<schema::Transaction>();
  transaction.setToken(result.key + "-result");
  auto writes = transaction.initWrites(1);
  writes[0].setKey(ClaimKey(result.key));
  writes[0].setValue(EncodeClaimRow(result.row));
  Post("/table/transact", EncodeJson(transaction.asReader()),
       [](HttpOutcome, const HttpResponse&) {});
}

}  // namespace cicadadrum
