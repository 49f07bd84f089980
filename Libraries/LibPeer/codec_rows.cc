// Codec of rows of the store that entry VMs relay to each other.

#include <utility>

#include "codec.h"
#include "codec_values.h"

namespace cicadadrum {

namespace {

using discovery::RelayRequest;
using discovery::RelayResponse;
using discovery::TableFailure;
using discovery::TableRow;

// Sizes of the fixed parts on the wire: RPC envelope with header, and one row.
constexpr std::size_t kEnvelopeBytes = 512;
constexpr std::size_t kRowBytes = 56;

void WriteRow(const TableRow& row,
              CompressionCache* cache,
              schema::StoreRow::Builder to) {
  const std::string* compressed = FindCompressed(cache, row.value);
  if (compressed != nullptr)
    to.setPlainBytes(static_cast<std::uint32_t>(row.value.size()));
  to.setKey(TextToWire(row.key));
  to.setValue(DataToWire(compressed != nullptr ? *compressed : row.value));
  to.setVersion(row.version.number);
  to.setEra(row.version.era);
  to.setRemoved(row.removed);
}

// Returns nothing if the row is malformed.
std::optional<TableRow> ReadRow(schema::StoreRow::Reader from) {
  TableRow row{.key = TextFromWire(from.getKey()),
               .value = DataFromWire(from.getValue()),
               .version = {.era = from.getEra(), .number = from.getVersion()},
               .removed = from.getRemoved()};
  if (row.key.empty())
    return std::nullopt;
  if (from.getPlainBytes() == 0)
    return row;
  auto value = Decompress(row.value, from.getPlainBytes());
  if (!value)
    return std::nullopt;
  row.value = *std::move(value);
  return row;
}

}  // namespace

void WriteRelayRequest(const RelayRequest& relay_request,
                       schema::RowsAsk::Builder to) {
  to.setTable(TextToWire(relay_request.table));
  to.setWhole(relay_request.all_rows);
  to.setAfter(relay_request.after.number);
  to.setEra(relay_request.after.era);
  to.setSequence(relay_request.sequence);
  to.setWaitMicroseconds(DurationToWire(relay_request.wait));
}

std::optional<RelayRequest> ReadRelayRequest(schema::RowsAsk::Reader from) {
  const auto wait = DurationFromWire(from.getWaitMicroseconds());
  if (!wait || from.getTable().size() == 0)
    return std::nullopt;
  return RelayRequest{
      .table = TextFromWire(from.getTable()),
      .all_rows = from.getWhole(),
      .after = {.era = from.getEra(), .number = from.getAfter()},
      .sequence = from.getSequence(),
      .wait = *wait};
}

void WriteRelayResponse(const RelayResponse& answer,
                        CompressionCache* cache,
                        schema::RowsAnswer::Builder to) {
  to.setEra(answer.version.era);
  if (answer.failure) {
    to.setFailure(EnumToWire<schema::TableFailure>(*answer.failure));
    return;
  }
  auto rows = to.initRows();
  auto changed = rows.initChanged(static_cast<unsigned>(answer.rows.size()));
  for (unsigned i = 0; i < changed.size(); ++i)
    WriteRow(answer.rows[i], cache, changed[i]);
  rows.setVersion(answer.version.number);
  rows.setSequence(answer.sequence);
  rows.setAgeMicroseconds(DurationToWire(answer.age));
  if (answer.query_age)
    rows.setQueryAgeMicroseconds(DurationToWire(*answer.query_age));
  rows.setHistoryBegin(answer.history_begin.number);
  rows.setHistoryBeginEra(answer.history_begin.era);
}

std::optional<RelayResponse> ReadRelayResponse(
    schema::RowsAnswer::Reader from) {
  if (from.isFailure()) {
    const auto failure = EnumFromWire<TableFailure>(from.getFailure());
    if (!failure)
      return std::nullopt;
    return RelayResponse{.failure = *failure,
                         .version = {.era = from.getEra()}};
  }
  const auto rows = from.getRows();
  const auto age = DurationFromWire(rows.getAgeMicroseconds());
  if (!age)
    return std::nullopt;
  RelayResponse answer{
      .version = {.era = from.getEra(), .number = rows.getVersion()},
      .sequence = rows.getSequence(),
      .age = *age,
      // Nothing if an earlier release, which does not know the age, responds.
      .query_age = DurationFromWire(rows.getQueryAgeMicroseconds()),
      .history_begin = {.era = rows.getHistoryBeginEra(),
                        .number = rows.getHistoryBegin()}};
  for (const auto reader : rows.getChanged()) {
    auto row = ReadRow(reader);
    if (!row)
      return std::nullopt;
    answer.rows.push_back(*std::move(row));
  }
  return answer;
}

std::size_t EstimateBytes(const RelayResponse& answer,
                          CompressionCache* cache) {
  std::size_t bytes = kEnvelopeBytes;
  for (const TableRow& row : answer.rows) {
    const std::string* compressed = FindCompressed(cache, row.value);
    bytes += kRowBytes + row.key.size() +
             (compressed != nullptr ? *compressed : row.value).size();
  }
  return bytes;
}

}  // namespace cicadadrum
