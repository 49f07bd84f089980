// Codec of membership messages and items.

#include <utility>

#include "codec.h"
#include "codec_values.h"

namespace cicadadrum {

namespace {

// Sizes of the fixed parts on the wire: RPC envelope with header, one member
// and one item.
constexpr std::size_t kEnvelopeBytes = 512;
constexpr std::size_t kMemberBytes = 112;
constexpr std::size_t kItemBytes = 40;

void WriteMember(const PeerMember& member, schema::MemberUpdate::Builder to) {
  to.setName(TextToWire(member.entry.name));
  to.setRegion(TextToWire(member.entry.region));
  to.setFailureDomain(TextToWire(member.entry.failure_domain));
  to.setCallerAddress(TextToWire(member.entry.caller_address));
  to.setPeerAddress(TextToWire(member.entry.peer_address));
  to.setLinkMegabitsPerSecond(member.entry.link_megabits_per_second);
  to.setProcessorShare(member.entry.processor_share);
  WriteIncarnation(member.incarnation, to.initIncarnation());
  to.setSequence(member.sequence);
  to.setState(EnumToWire<schema::MemberState>(member.state));
}

std::optional<PeerMember> ReadMember(schema::MemberUpdate::Reader from) {
  const auto state = EnumFromWire<PeerMemberState>(from.getState());
  if (!state)
    return std::nullopt;
  PeerMember member;
  member.entry.name = TextFromWire(from.getName());
  member.entry.region = TextFromWire(from.getRegion());
  member.entry.failure_domain = TextFromWire(from.getFailureDomain());
  member.entry.caller_address = TextFromWire(from.getCallerAddress());
  member.entry.peer_address = TextFromWire(from.getPeerAddress());
  member.entry.link_megabits_per_second = from.getLinkMegabitsPerSecond();
  member.entry.processor_share = from.getProcessorShare();
  if (!(member.entry.link_megabits_per_second >= 0) ||
      !(member.entry.processor_share >= 0))
    return std::nullopt;
  member.incarnation = ReadIncarnation(from.getIncarnation());
  member.sequence = from.getSequence();
  member.state = *state;
  if (member.entry.name.empty())
    return std::nullopt;
  return member;
}

}  // namespace

void WriteItem(const PeerItem& item, schema::ItemVersion::Builder to) {
  to.setKey(TextToWire(item.key));
  to.setVersion(item.version);
  to.setValue(TextToWire(item.value));
}

void WriteItem(const PeerItem& item,
               CompressionCache* cache,
               schema::ItemVersion::Builder to) {
  const std::string* compressed = FindCompressed(cache, item.value);
  if (compressed == nullptr)
    return WriteItem(item, to);
  WriteItem(PeerItem{item.key, item.version, {}}, to);
  to.setCompressedValue(DataToWire(*compressed));
  to.setPlainBytes(static_cast<std::uint32_t>(item.value.size()));
}

std::optional<PeerItem> ReadItem(schema::ItemVersion::Reader from) {
  PeerItem item{TextFromWire(from.getKey()), from.getVersion(),
                TextFromWire(from.getValue())};
  if (item.key.empty())
    return std::nullopt;
  if (from.getPlainBytes() == 0)
    return item;
  auto value =
      Decompress(DataFromWire(from.getCompressedValue()), from.getPlainBytes());
  if (!value)
    return std::nullopt;
  item.value = *std::move(value);
  return item;
}

void WriteExchange(const PeerExchange& message,
                   schema::ExchangeMessage::Builder to) {
  to.setKind(EnumToWire<schema::ExchangeKind>(message.kind));
  to.setSequence(message.sequence);
  to.setTarget(TextToWire(message.target));
  to.setDigest(message.digest);
  to.setSenderIncarnation(message.sender_incarnation);
  auto members = to.initMembers(static_cast<unsigned>(message.members.size()));
  for (unsigned i = 0; i < members.size(); ++i)
    WriteMember(message.members[i], members[i]);
  auto items = to.initItems(static_cast<unsigned>(message.items.size()));
  for (unsigned i = 0; i < items.size(); ++i)
    WriteItem(message.items[i], items[i]);
}

std::optional<PeerExchange> ReadExchange(schema::ExchangeMessage::Reader from) {
  const auto kind = EnumFromWire<PeerExchangeKind>(from.getKind());
  if (!kind)
    return std::nullopt;
  PeerExchange message;
  message.kind = *kind;
  message.sequence = from.getSequence();
  message.target = TextFromWire(from.getTarget());
  message.digest = from.getDigest();
  message.sender_incarnation = from.getSenderIncarnation();
  for (const auto reader : from.getMembers()) {
    auto member = ReadMember(reader);
    if (!member)
      return std::nullopt;
    message.members.push_back(*std::move(member));
  }
  for (const auto reader : from.getItems()) {
    auto item = ReadItem(reader);
    if (!item)
      return std::nullopt;
    message.items.push_back(*std::move(item));
  }
  return message;
}

std::size_t EstimateBytes(const PeerExchange& message) {
  std::size_t bytes = kEnvelopeBytes + message.target.size();
  for (const PeerMember& member : message.members) {
    bytes += kMemberBytes + member.entry.name.size() +
             member.entry.region.size() + member.entry.failure_domain.size() +
             member.entry.caller_address.size() +
             member.entry.peer_address.size();
  }
  for (const PeerItem& item : message.items)
    bytes += kItemBytes + item.key.size() + item.value.size();
  return bytes;
}

std::size_t EstimateBytes(const PeerItem& item) {
  return kEnvelopeBytes + kItemBytes + item.key.size() + item.value.size();
}

std::size_t EstimateBytes(const PeerItem& item, CompressionCache* cache) {
  const std::string* compressed = FindCompressed(cache, item.value);
  if (compressed == nullptr)
    return EstimateBytes(item);
  return kEnvelopeBytes + kItemBytes + item.key.size() + compressed->size();
}

}  // namespace cicadadrum
