// Sets up an RPC connection with its limits, and formats addresses.

#include "connection.h"

#include <arpa/inet.h>
#include <capnp/message.h>
#include <netinet/in.h>

#include <array>
#include <utility>

namespace cicadadrum {

namespace {

using capnp::rpc::twoparty::Side;
using RpcSystem = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

// Maximum size of the received calls that are not answered yet. At this limit
// the connection stops reading. Clients stay far below the limit.
constexpr std::size_t kFlowLimitWords = std::size_t{2} * 1024 * 1024;

constexpr int kNestingLimit = 32;

capnp::ReaderOptions ReceiveOptions() {
  capnp::ReaderOptions options;
  // Cap'n Proto also uses this limit as the maximum size of a message.
  options.traversalLimitInWords = kMaxPeerMessageBytes / sizeof(capnp::word);
  options.nestingLimit = kNestingLimit;
  return options;
}

RpcSystem MakeRpcSystem(capnp::TwoPartyVatNetwork& network,
                        kj::Maybe<capnp::Capability::Client> bootstrap) {
  KJ_IF_MAYBE (object, bootstrap) {
    return capnp::makeRpcServer(network, kj::mv(*object));
  }
  return capnp::makeRpcClient(network);
}

}  // namespace

PeerConnection::PeerConnection(kj::Own<BuffereventStream> stream,
                               Side side,
                               kj::Maybe<capnp::Capability::Client> bootstrap,
                               CheckedMessageStream::FaultHandler on_fault)
    : stream_(kj::mv(stream)),
      messages_(*stream_, side, std::move(on_fault)),
      network_(messages_, side, ReceiveOptions()),
      rpc_(MakeRpcSystem(network_, kj::mv(bootstrap))) {
  rpc_.setFlowLimit(kFlowLimitWords);
}

PeerConnection::~PeerConnection() {
  messages_.IgnoreFaults();
}

capnp::Capability::Client PeerConnection::Bootstrap() {
  capnp::MallocMessageBuilder message;
  auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(Side::SERVER);
  return rpc_.bootstrap(vat);
}

std::size_t PeerConnection::QueuedBytes() {
  return network_.getCurrentQueueSize() + stream_->output_bytes();
}

std::string FormatAddress(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address->sa_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
    if (evutil_inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size()) ==
        nullptr)
      return "unknown";
    return std::string(text.data()) + ":" + std::to_string(ntohs(v4->sin_port));
  }
  if (address->sa_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address);
    if (evutil_inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size()) ==
        nullptr)
      return "unknown";
    return "[" + std::string(text.data()) +
           "]:" + std::to_string(ntohs(v6->sin6_port));
  }
  return "unknown";
}

}  // namespace cicadadrum
