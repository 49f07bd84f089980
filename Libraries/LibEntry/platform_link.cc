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

constexpr Duration kPollInterval = Seconds(1);
constexpr Duration kCallDeadline = Seconds(2);
constexpr char kPointerKey[] = "configuration/current";

// Runs a decoder and logs its error, if any.
template <typename Function>
void LogErrors(Function&& function) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> { return function(); },
      [](const Error& error) { LoggerFor("store")->warn("{}", error.detail); },
      [] { LoggerFor("store")->warn("unknown error"); });
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

std::string ClaimKey(const std::string& key) {
  return "claims/" + key;
}

std::string EncodeClaimWrites(const WriteClaims& write,
                              const std::string& token) {
  capnp::MallocMessageBuilder message;
  auto transaction = message.initRoot<schema::Transaction>();
  transaction.setToken(token);
  auto writes =
      transaction.initWrites(static_cast<unsigned>(write.keys.size()));
  const std::string value = EncodeClaimRow(write.row);
  for (unsigned i = 0; i < writes.size(); ++i) {
    writes[i].setKey(ClaimKey(write.keys[i]));
    writes[i].setValue(value);
    writes[i].setCheck(true);
  }
  return EncodeJson(transaction.asReader());
}

leaf::result<WriteAnswered> ReadClaimResults(const WriteClaims& write,
                                             const std::string& body) {
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      answer, DecodeJsonAs<schema::TransactionAnswer>(
                  body, "transaction", ErrorCode::kInvalidMessage, message));
  WriteAnswered answered{.batch = write.batch};
  for (const std::string& key : write.keys) {
    ClaimWriteResult result{.key = key,
                            .outcome = ClaimWriteOutcome::kUncertain};
    for (const auto row : answer.getRows()) {
      if (ClaimKey(key) != row.getKey().cStr())
        continue;
      BOOST_LEAF_AUTO(present, DecodeClaimRow(row.getValue()));
      result.outcome = present == write.row ? ClaimWriteOutcome::kInserted
                                            : ClaimWriteOutcome::kExists;
      result.row = present;
    }
    answered.results.push_back(result);
  }
  return answered;
}

WriteAnswered SameOutcome(const WriteClaims& write, ClaimWriteOutcome outcome) {
  WriteAnswered answered{.batch = write.batch};
  for (const std::string& key : write.keys)
    answered.results.push_back({.key = key, .outcome = outcome});
  return answered;
}

}  // namespace

PlatformLink::PlatformLink(EventLoop& loop,
                           const Deployment& deployment,
                           EventSink sink)
    : loop_(loop),
      deployment_(deployment),
      sink_(std::move(sink)),
      client_(loop, {.max_connections_per_address = 8}),
      poll_timer_(loop, [this] { Poll(); }) {}

void PlatformLink::Start() {
  Poll();
}

void PlatformLink::Poll() {
  ReadServers();
  ReadVersionRow();
  poll_timer_.Schedule(loop_.Now() + kPollInterval);
}

void PlatformLink::Get(const std::string& target,
                       std::function<void(const std::string& body)> callback) {
  const HttpRequest request{.method = HttpMethod::kGet, .target = target};
  client_.Send(
      deployment_.platform_address, request, loop_.Now() + kCallDeadline,
      [callback = std::move(callback)](HttpOutcome outcome,
                                       const HttpResponse& response) {
        if (outcome == HttpOutcome::kAnswered && response.status == 200)
          callback(response.body);
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

void PlatformLink::ReadServers() {
  Get("/vms", [this](const std::string& body) {
    LogErrors([&]() -> leaf::result<void> {
      capnp::MallocMessageBuilder message;
      BOOST_LEAF_AUTO(
          list, DecodeJsonAs<schema::VmList>(
                    body, "VM list", ErrorCode::kInvalidMessage, message));
      ServersChanged changed;
      for (const auto vm : list.getVms())
        changed.servers.push_back(ReadServer(vm));
      sink_(changed);
      return {};
    });
  });
}

void PlatformLink::ReadVersionRow() {
  Get(std::string("/table/row?key=") + kPointerKey,
      [this](const std::string& body) {
        LogErrors([&]() -> leaf::result<void> {
          capnp::MallocMessageBuilder message;
          BOOST_LEAF_AUTO(row, DecodeJsonAs<schema::Row>(
                                   body, "version row",
                                   ErrorCode::kInvalidMessage, message));
          if (row.getVersion() == 0)
            return {};
          capnp::MallocMessageBuilder value_message;
          BOOST_LEAF_AUTO(pointer,
                          DecodeJsonAs<schema::ConfigurationPointer>(
                              row.getValue(), "version row",
                              ErrorCode::kInvalidMessage, value_message));
          if (pointer.getVersion() > version_)
            ReadBody(pointer.getVersion(), pointer.getBodyHash());
          return {};
        });
      });
}

void PlatformLink::ReadBody(std::uint64_t version, const std::string& hash) {
  Get("/objects/configuration-" + hash, [this,
                                         version](const std::string& body) {
    LogErrors([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(configuration,
                      ParseConfiguration(body, "configuration", deployment_));
      if (version <= version_)
        return {};
      version_ = version;
      configuration.version = version;
      LoggerFor("store")->info("configuration version {} is in force", version);
      sink_(ConfigurationAdopted{configuration});
      return {};
    });
  });
}

void PlatformLink::WriteClaimRows(const WriteClaims& write) {
  const std::string token = FormatIncarnation(write.row.incarnation) + "-" +
                            std::to_string(write.batch);
  Post("/table/transact", EncodeClaimWrites(write, token),
       [this, write](HttpOutcome outcome, const HttpResponse& response) {
         if (outcome != HttpOutcome::kAnswered || response.status != 200) {
           const bool sent = outcome == HttpOutcome::kLost ||
                             outcome == HttpOutcome::kTimedOut;
           return sink_(SameOutcome(write, sent ? ClaimWriteOutcome::kUncertain
                                                : ClaimWriteOutcome::kFailed));
         }
         const auto results = ReadClaimResults(write, response.body);
         sink_(results ? *results
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
