// Conversion between the messages of LibMembership and those of LibPeer.

#ifndef CICADADRUM_NODE_PEER_CODEC_H_
#define CICADADRUM_NODE_PEER_CODEC_H_

#include "cicadadrum/membership/events.h"
#include "cicadadrum/peer/messages.h"

namespace cicadadrum {

PeerExchange ToPeerExchange(const ExchangeMessage& message);

// `sender` is taken from the header of the call.
ExchangeMessage FromPeerExchange(const PeerInfo& sender,
                                 const PeerExchange& exchange);

}  // namespace cicadadrum

#endif  // CICADADRUM_NODE_PEER_CODEC_H_
