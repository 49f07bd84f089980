// Reads and writes of the platform's table, object store and VM list.

#include "platform_link.h"

#include <capnp/message.h>
#include <spdlog/logger.h>

#include "cicadadrum/base/error.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/store/claim_rows.h"
#include "cicadadrum/store/store_json.h"
#include "cicadadrum/telemetry/log.h"
#include "schemas/configuration.capnp.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

constexpr Duration kReadTimeout = Seconds(2);
constexpr Duration kWriteTimeout = Seconds(2);
// The result of a finished request is stored for repeats of the request, so
// nothing waits for the write and a longer timeout is acceptable.
constexpr Duration kResultTimeout = Seconds(30);
constexpr char kPointerKey[] = "configuration/current";

// A leaving mark and the version of its row. The version is 0 if the row does
// not exist.
struct MarkRow {
  ItemVersion item;
  std::uint64_t row_version = 0;
};

// Returns the value of `function`, or logs its error and returns std::nullopt.
template <typename Function>
auto ValueOrNullopt(Function&& function) {
  using Value = std::decay_t<decltype(function().value())>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, function());
        return std::optional<Value>(std::move(value));
      },
      [](const Error& error) {
        LoggerFor("store")->debug("{}: {}", NameOf(error.code), error.detail);
        return std::optional<Value>();
      },
      [] { return std::optional<Value>(); });
}

leaf::result<std::vector<ItemVersion>> DecodeVersionRow(const Row& row) {
  std::vector<ItemVersion> items;
  if (row.version == 0)
    return items;
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(pointer, DecodeJsonAs<schema::ConfigurationPointer>(
                               row.value, kPointerKey,
                               ErrorCode::kInvalidMessage, message));
  items.push_back({std::string(kConfigurationKey), pointer.getVersion(),
                   pointer.getBodyHash()});
  return items;
}

leaf::result<MarkRow> DecodeMarkRow(const Row& row) {
  MarkRow mark{.item = {.key = row.key}, .row_version = row.version};
  if (row.version == 0)
    return mark;
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(value,
                  DecodeJsonAs<schema::LeavingMark>(
                      row.value, row.key, ErrorCode::kInvalidMessage, message));
  mark.item.version = value.getSequence();
  mark.item.value = NameOf(value.getLeaving() ? MarkValue::kLeavingRecorded
                                              : MarkValue::kCleared);
  return mark;
}

Transaction MakeMarkWrite(const MarkRow& current,
                          const std::string& server,
                          std::uint64_t sequence,
                          bool leaving) {
  capnp::MallocMessageBuilder message;
  auto mark = message.initRoot<schema::LeavingMark>();
  mark.setServer(server);
  mark.setSequence(sequence);
  mark.setLeaving(leaving);
  const std::string key = std::string(kLeavingPrefix) + server;
  return {.token = "",
          .checks = {{key, current.row_version}},
          .writes = {{.key = key, .value = EncodeJson(mark.asReader())}}};
}

StoreSettings MakeStoreSettings(const Deployment& deployment,
                                const Incarnation& incarnation) {
  return {.address = deployment.platform_address,
          .token_prefix = FormatIncarnation(incarnation),
          .seed = incarnation.low,
          .policy = {}};
}

}  // namespace

PlatformLink::PlatformLink(EventLoop& loop,
                           const Deployment& deployment,
                           const Incarnation& incarnation)
    : store_(loop, MakeStoreSettings(deployment, incarnation)) {}

void PlatformLink::SetObserver(
    std::function<void(bool is_reachable)> observer) {
  store_.SetObserver([observer = std::move(observer)](bool is_reachable) {
    LoggerFor("store")->warn("connection to the platform is {}",
                             is_reachable ? "up" : "down");
    observer(is_reachable);
  });
}

void PlatformLink::ReadServers(
    std::function<void(const std::optional<std::vector<BackendServer>>&)>
        done) {
  store_.ListVms(kReadTimeout,
                 [done = std::move(done)](
                     leaf::result<std::vector<BackendServer>> servers) {
                   done(ValueOrNullopt([&] { return std::move(servers); }));
                 });
}

void PlatformLink::ReadItems(
    bool include_marks,
    std::function<void(const std::optional<std::vector<ItemVersion>>&)> done) {
  store_.ReadRow(
      kPointerKey, kReadTimeout,
      [this, include_marks, done = std::move(done)](leaf::result<Row> row) {
        auto items =
            ValueOrNullopt([&]() -> leaf::result<std::vector<ItemVersion>> {
              BOOST_LEAF_AUTO(current, std::move(row));
              return DecodeVersionRow(current);
            });
        if (!items || !include_marks)
          return done(items);
        ReadMarks(std::move(*items), done);
      });
}

void PlatformLink::ReadMarks(
    std::vector<ItemVersion> items,
    std::function<void(const std::optional<std::vector<ItemVersion>>&)> done) {
  const auto scanned = [items = std::move(items), done = std::move(done)](
                           leaf::result<std::vector<Row>> rows) {
    done(ValueOrNullopt([&]() -> leaf::result<std::vector<ItemVersion>> {
      BOOST_LEAF_AUTO(current, std::move(rows));
      std::vector<ItemVersion> all = items;
      for (const Row& row : current) {
        BOOST_LEAF_AUTO(mark, DecodeMarkRow(row));
        all.push_back(mark.item);
      }
      return all;
    }));
  };
  store_.Scan(std::string(kLeavingPrefix), kReadTimeout, scanned);
}

void PlatformLink::ReadBody(
    const std::string& hash,
    std::function<void(const std::optional<std::string>&)> done) {
  store_.GetObject(
      "configuration-" + hash, kReadTimeout,
      [done = std::move(done)](leaf::result<std::optional<std::string>> body) {
        const auto found = ValueOrNullopt([&] { return std::move(body); });
        done(found ? *found : std::nullopt);
      });
}

void PlatformLink::WriteLeavingMark(
    const std::string& server,
    std::uint64_t sequence,
    bool leaving,
    const std::function<void(bool recorded)>& done) {
  const std::string key = std::string(kLeavingPrefix) + server;
  store_.ReadRow(
      key, kReadTimeout,
      [this, server, sequence, leaving, done](leaf::result<Row> row) {
        const auto current = ValueOrNullopt([&]() -> leaf::result<MarkRow> {
          BOOST_LEAF_AUTO(value, std::move(row));
          return DecodeMarkRow(value);
        });
        if (!current)
          return done(false);
        if (current->item.version >= sequence)
          return done(true);
        store_.Transact(MakeMarkWrite(*current, server, sequence, leaving),
                        kWriteTimeout,
                        [done](leaf::result<TransactionAnswer> answer) {
                          const auto written =
                              ValueOrNullopt([&] { return std::move(answer); });
                          done(written && written->committed);
                        });
      });
}

void PlatformLink::WriteClaimRows(
    const WriteClaims& write,
    std::function<void(const ClaimWriteCompleted&)> done) {
  store_.InsertClaims(
      write, kWriteTimeout,
      [done = std::move(done)](const ClaimWriteCompleted& answered) {
        done(answered);
      });
}

void PlatformLink::StoreClaimResult(const StoreResult& result) {
  store_.WriteRow(
      {.key = ClaimRowKey(result.key), .value = EncodeClaimRow(result.row)},
      kResultTimeout, [](leaf::result<RowWriteResult> answer) {
        ValueOrNullopt([&] { return std::move(answer); });
      });
}

}  // namespace cicadadrum
