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

// The members are destroyed from the last to the first, each before what it
// uses.
class PeerConnection {
 public:
  // A server passes its bootstrap object, a client passes nothing.
  PeerConnection(kj::Own<BuffereventStream> stream,
                 capnp::rpc::twoparty::Side side,
                 kj::Maybe<capnp::Capability::Client> bootstrap,
                 CheckedMessageStream::FaultHandler on_fault);
  ~PeerConnection();

  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Returns the object that the peer serves.
  capnp::Capability::Client Bootstrap();

  CheckedMessageStream& messages() { return messages_; }

  // Resolves when the connection has ended.
  kj::Promise<void> OnDisconnect() { return network_.onDisconnect(); }

  // Bytes that wait to be sent.
  std::size_t QueuedBytes();

 private:
  kj::Own<BuffereventStream> stream_;
  CheckedMessageStream messages_;
  capnp::TwoPartyVatNetwork network_;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

// Returns IP:port, or "unknown".
std::string FormatAddress(const sockaddr* address);

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_CONNECTION_H_
