// Converts between the messages of LibMembership and those of LibPeer.

#include "cicadadrum/node/peer_codec.h"

namespace cicadadrum {

namespace {

// The casts below rely on the two enumerations of each pair having the same
// values in the same order.
static_assert(static_cast<int>(PeerMemberState::kLeft) ==
              static_cast<int>(MemberState::kLeft));
static_assert(static_cast<int>(PeerExchangeKind::kPull) ==
              static_cast<int>(ExchangeKind::kPull));

}  // namespace

PeerExchange ToPeerExchange(const ExchangeMessage& message) {
  PeerExchange exchange{.kind = static_cast<PeerExchangeKind>(message.kind),
                        .sequence = message.sequence,
                        .target = message.target,
                        .digest = message.digest,
                        .sender_incarnation = message.incarnation};
  for (const MemberUpdate& member : message.members) {
    exchange.members.push_back(
        {.entry = member.vm,
         .incarnation = {.high = member.incarnation},
         .sequence = member.sequence,
         .state = static_cast<PeerMemberState>(member.state)});
  }
  for (const ItemVersion& item : message.items)
    exchange.items.push_back(
        {.key = item.key, .version = item.version, .value = item.value});
  return exchange;
}

ExchangeMessage FromPeerExchange(const PeerInfo& sender,
                                 const PeerExchange& exchange) {
  ExchangeMessage message{.sender = sender.name,
                          .incarnation = exchange.sender_incarnation,
                          .configuration_version = sender.configuration_version,
                          .kind = static_cast<ExchangeKind>(exchange.kind),
                          .sequence = exchange.sequence,
                          .target = exchange.target,
                          .digest = exchange.digest};
  for (const PeerMember& member : exchange.members) {
    message.members.push_back(
        {.vm = member.entry,
         .incarnation = member.incarnation.high,
         .sequence = member.sequence,
         .state = static_cast<MemberState>(member.state)});
  }
  for (const PeerItem& item : exchange.items)
    message.items.push_back(
        {.key = item.key, .version = item.version, .value = item.value});
  return message;
}

}  // namespace cicadadrum
