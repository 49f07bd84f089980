// Checks the RPC messages of one connection between entry VMs.

#ifndef LIBRARIES_LIBPEER_MESSAGE_STREAM_H_
#define LIBRARIES_LIBPEER_MESSAGE_STREAM_H_

#include <capnp/rpc-twoparty.h>
#include <capnp/serialize-async.h>

#include <cstdint>
#include <functional>
#include <string_view>

#include "cicadadrum/loop/bufferevent_stream.h"
#include "fault_log.h"

namespace cicadadrum {

// Maximum number of open calls of one connection at the server. Clients use at
// most half of this limit, because the server learns of the end of a call later
// than the client.
constexpr std::uint32_t kMaxOpenCalls = 16'384;

// Reads and writes RPC messages, and reports the fault when an invalid message
// ends the connection. Cap'n Proto closes the connection by itself; this class
// determines the reason, and refuses messages that no entry VM sends.
class CheckedMessageStream final : public capnp::MessageStream {
 public:
  using FaultHandler = std::function<void(PeerFault, std::string_view detail)>;

  // `side` is the role of this process on the connection.
  CheckedMessageStream(BuffereventStream& stream,
                       capnp::rpc::twoparty::Side side,
                       FaultHandler on_fault);

  // Suppresses all further fault reports. Called when this process closes the
  // connection.
  void IgnoreFaults();

  // Reports a fault of the connection. Only the first fault is reported.
  void Report(PeerFault fault, std::string_view detail);

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space,
      capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch_space) override;
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
          messages) override;
  kj::Maybe<int> getSendBufferSize() override;
  kj::Promise<void> end() override;

 private:
  void CheckIncoming(capnp::MessageReader& message);
  void CheckMessageToServer(std::uint16_t which);
  void CheckMessageToClient(std::uint16_t which);
  void CheckOutgoing(
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments);
  void ReportTruncatedMessage(std::uint64_t start);

  BuffereventStream& stream_;
  capnp::AsyncIoMessageStream messages_;
  capnp::rpc::twoparty::Side side_;
  FaultHandler on_fault_;
  bool reported_ = false;
  bool bootstrap_received_ = false;
  // At the server: calls that the peer has not finished.
  std::uint32_t open_calls_ = 0;
};

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_MESSAGE_STREAM_H_
