// Settings of PeerServer and PeerClient.

#ifndef CICADADRUM_PEER_PEER_SETTINGS_H_
#define CICADADRUM_PEER_PEER_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "cicadadrum/base/time.h"
#include "cicadadrum/claim/request_key.h"

namespace cicadadrum {

// Version of Schemas/peer.capnp. Calls of a peer with another version are
// refused.
constexpr std::uint32_t kPeerProtocolVersion = 2;

// Returns the identity of a run of this process. The high half is the Unix time
// in microseconds, which grows with each start, so that peers can identify the
// newer run. The low half is random and makes the identity unique.
Incarnation NewIncarnation();

struct PeerSettings {
  std::string name;  // Name of this entry VM.
  Incarnation incarnation;
  // Returns the configuration version in force at this entry VM.
  std::function<std::uint64_t()> configuration_version;
  std::function<TimePoint()> now;
  // Tests set other versions.
  std::uint32_t protocol_version = kPeerProtocolVersion;
  // Earlier versions of the program can't read compressed values.
  bool reads_compressed = true;

  // Server: connections beyond this limit are closed immediately. The limit
  // leaves headroom above one connection from each of 1,600 nodes.
  std::size_t max_connections = 2048;

  // Client: maximum number of bytes that wait to be sent to one peer. A call
  // that would exceed the limit is refused. Cancellations are always sent.
  std::size_t max_queued_bytes = std::size_t{8} * 1024 * 1024;

  // Client: seed of the jitter of the backoff.
  std::uint64_t seed = 1;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_PEER_PEER_SETTINGS_H_
