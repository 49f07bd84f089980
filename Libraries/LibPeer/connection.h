// One RPC connection between two entry VMs.

#ifndef LIBRARIES_LIBPEER_CONNECTION_H_
#define LIBRARIES_LIBPEER_CONNECTION_H_

#include <capnp/rpc-twoparty.h>
#include <event2/util.h>
#include <sys/socket.h>

#include <cstddef>
#include <string>

#include "cicadadrum/loop/bufferevent_stream.h"
#include "fault_log.h"
#include "message_stream.h"

namespace cicadadrum {

// An RPC system with its network, message checks and byte stream. Each member
// uses the members declared before it, and is destroyed before them.
class PeerConnection {
 public:
  // A server passes its bootstrap object; a client passes no object. `on_fault`
  // receives the first fault of the connection.
  PeerConnection(kj::Own<BuffereventStream> stream,
                 capnp::rpc::twoparty::Side side,
                 kj::Maybe<capnp::Capability::Client> bootstrap,
                 CheckedMessageStream::FaultHandler on_fault);
  ~PeerConnection();

  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Returns the peer's bootstrap object.
  capnp::Capability::Client Bootstrap();

  CheckedMessageStream& messages() { return messages_; }

  // Resolves when the connection has ended.
  kj::Promise<void> OnDisconnect() { return network_.onDisconnect(); }

  // Returns the number of bytes that wait to be sent.
  std::size_t QueuedBytes();

 private:
  kj::Own<BuffereventStream> stream_;
  CheckedMessageStream messages_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

// Returns the address as IP:port, or "unknown" if the address is neither IPv4
// nor IPv6 or can't be formatted.
std::string FormatAddress(const sockaddr* address);

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_CONNECTION_H_
