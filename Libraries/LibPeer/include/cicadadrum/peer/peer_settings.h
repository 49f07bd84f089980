// What PeerServer and PeerClient need to know about their process.

#ifndef CICADADRUM_PEER_PEER_SETTINGS_H_
#define CICADADRUM_PEER_PEER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "cicadadrum/base/time.h"
#include "cicadadrum/claim/request_key.h"

namespace cicadadrum {

// Version of Schemas/peer.capnp. Peers of another version are refused.
constexpr std::uint32_t kPeerProtocolVersion = 2;

// Returns the identity of a run of this process. The high half grows with each
// start, so that peers can tell the newer run; the low half makes it unique.
Incarnation NewIncarnation();

struct PeerSettings {
  std::string name;  // Of this entry VM.
  Incarnation incarnation;
  std::function<std::uint64_t()> configuration_version;  // In force here.
  std::function<TimePoint()> now;
  std::uint32_t protocol_version = kPeerProtocolVersion;  // Tests set others.

  // Server: further connections are closed at once. 1,600 nodes fit.
  std::size_t max_connections = 2048;

  // Client: bytes that may wait to be sent to one peer; a call beyond is
  // refused. Cancellations are always sent.
  std::size_t max_queued_bytes = std::size_t{8} * 1024 * 1024;
  std::uint64_t seed = 1;  // Of the jitter of reconnects.
};

}  // namespace cicadadrum

#endif  // CICADADRUM_PEER_PEER_SETTINGS_H_
