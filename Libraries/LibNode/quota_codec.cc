// Encodes messages about quotas as packed Cap'n Proto messages.

#include "cicadadrum/node/quota_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <schemas/peer.capnp.h>

namespace cicadadrum {

namespace {

using quota::QuotaItem;

// Traversal limit in words; the datagrams of peers are far shorter.
constexpr std::uint64_t kMaxMessageWords = 8192;

schema::QuotaItemKind ToSchema(quota::ItemKind kind) {
  switch (kind) {
    case quota::ItemKind::kRequest:
      return schema::QuotaItemKind::REQUEST;
    case quota::ItemKind::kGrant:
      return schema::QuotaItemKind::GRANT;
    case quota::ItemKind::kClaim:
      return schema::QuotaItemKind::CLAIM;
    case quota::ItemKind::kRelease:
      return schema::QuotaItemKind::RELEASE;
    case quota::ItemKind::kVacant:
      break;
  }
  return schema::QuotaItemKind::VACANT;
}

std::optional<quota::ItemKind> FromSchema(schema::QuotaItemKind kind) {
  switch (kind) {
    case schema::QuotaItemKind::REQUEST:
      return quota::ItemKind::kRequest;
    case schema::QuotaItemKind::GRANT:
      return quota::ItemKind::kGrant;
    case schema::QuotaItemKind::CLAIM:
      return quota::ItemKind::kClaim;
    case schema::QuotaItemKind::RELEASE:
      return quota::ItemKind::kRelease;
    case schema::QuotaItemKind::VACANT:
      return quota::ItemKind::kVacant;
  }
  return std::nullopt;
}

void Write(const QuotaItem& item, schema::QuotaItem::Builder to) {
  to.setCell(item.cell);
  to.setKind(ToSchema(item.kind));
  to.setSequence(item.sequence);
  to.setTokens(item.tokens);
  to.setAhead(item.ahead);
  to.setAnswer(item.answer == quota::Answer::kGranted
                   ? schema::QuotaAnswer::GRANTED
                   : schema::QuotaAnswer::NOT_OWNER);
  to.setRetryAfterMilliseconds(item.retry_after_ms);
}

// An unknown answer of a later release grants nothing.
std::optional<QuotaItem> Read(schema::QuotaItem::Reader from) {
  const auto kind = FromSchema(from.getKind());
  if (!kind)
    return std::nullopt;
  return QuotaItem{.cell = from.getCell(),
                   .kind = *kind,
                   .sequence = from.getSequence(),
                   .tokens = from.getTokens(),
                   .ahead = from.getAhead(),
                   .answer = from.getAnswer() == schema::QuotaAnswer::GRANTED
                                 ? quota::Answer::kGranted
                                 : quota::Answer::kNotOwner,
                   .retry_after_ms = from.getRetryAfterMilliseconds()};
}

}  // namespace

std::string EncodeQuotaMessage(const quota::QuotaMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto datagram = builder.initRoot<schema::ObservationsDatagram>();
  datagram.setProtocolVersion(schema::PROTOCOL_VERSION);
  datagram.setSender(message.sender);
  datagram.setFleetSize(message.fleet_size);
  auto list = datagram.initQuota(static_cast<unsigned>(message.items.size()));
  for (unsigned i = 0; i < list.size(); ++i)
    Write(message.items[i], list[i]);
  kj::VectorOutputStream bytes;
  capnp::writePackedMessage(bytes, builder);
  const auto written = bytes.getArray();
  return {reinterpret_cast<const char*>(written.begin()), written.size()};
}

std::optional<quota::QuotaMessage> DecodeQuotaMessage(
    std::string_view datagram) {
  std::optional<quota::QuotaMessage> result;
  const auto thrown = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream bytes(
        {reinterpret_cast<const kj::byte*>(datagram.data()), datagram.size()});
    capnp::PackedMessageReader reader(
        bytes, {.traversalLimitInWords = kMaxMessageWords});
    const auto document = reader.getRoot<schema::ObservationsDatagram>();
    if (document.getProtocolVersion() != schema::PROTOCOL_VERSION ||
        !document.hasQuota())
      return;
    result.emplace();
    result->sender = document.getSender();
    result->fleet_size = document.getFleetSize();
    for (const auto from : document.getQuota()) {
      if (const auto item = Read(from))
        result->items.push_back(*item);
    }
  });
  if (thrown != nullptr)
    return std::nullopt;
  return result;
}

}  // namespace cicadadrum
