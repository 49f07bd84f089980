// Checks received RPC messages and finds the faults that end a connection.

#include "message_stream.h"

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <kj/debug.h>

#include <utility>

namespace cicadadrum {

namespace {

using capnp::rpc::Message;
using capnp::rpc::twoparty::Side;

std::string_view Describe(const kj::Exception& exception) {
  const kj::StringPtr text = exception.getDescription();
  return {text.begin(), text.size()};
}

// Throws an exception, on which Cap'n Proto closes the connection.
[[noreturn]] void RefuseMessage(const char* reason) {
  kj::throwFatalException(KJ_EXCEPTION(FAILED, "refused RPC message", reason));
}

}  // namespace

CheckedMessageStream::CheckedMessageStream(BuffereventStream& stream,
                                           Side side,
                                           FaultHandler on_fault)
    : stream_(stream),
      messages_(stream),
      side_(side),
      on_fault_(std::move(on_fault)) {}

void CheckedMessageStream::IgnoreFaults() {
  reported_ = true;
}

void CheckedMessageStream::Report(PeerFault fault, std::string_view detail) {
  if (std::exchange(reported_, true))
    return;
  on_fault_(fault, detail);
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
CheckedMessageStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fd_space,
                                     capnp::ReaderOptions options,
                                     kj::ArrayPtr<capnp::word> scratch_space) {
  const std::uint64_t start = stream_.bytes_read();
  return messages_.tryReadMessage(fd_space, options, scratch_space)
      .then(
          [this, start](kj::Maybe<capnp::MessageReaderAndFds>&& received) {
            KJ_IF_MAYBE (message, received) {
              CheckIncoming(*message->reader);
            } else {
              ReportTruncatedMessage(start);
            }
            return kj::mv(received);
          },
          [this, start](kj::Exception&& exception)
              -> kj::Maybe<capnp::MessageReaderAndFds> {
            if (exception.getType() == kj::Exception::Type::DISCONNECTED)
              ReportTruncatedMessage(start);
            else
              Report(PeerFault::kMalformedMessage, Describe(exception));
            kj::throwFatalException(kj::mv(exception));
          });
}

void CheckedMessageStream::ReportTruncatedMessage(std::uint64_t start) {
  if (stream_.bytes_read() > start)
    Report(PeerFault::kTruncatedMessage,
           "the connection ended within a message");
}

void CheckedMessageStream::CheckIncoming(capnp::MessageReader& message) {
  const auto which =
      static_cast<std::uint16_t>(message.getRoot<Message>().which());
  if (which == Message::ABORT) {
    // The peer closes the connection and reports the fault in its log.
    reported_ = true;
    return;
  }
  if (side_ == Side::SERVER)
    CheckMessageToServer(which);
  else
    CheckMessageToClient(which);
}

// A client calls methods of the only bootstrap object and passes no capability,
// so a server expects no other kind of message.
void CheckedMessageStream::CheckMessageToServer(std::uint16_t which) {
  switch (which) {
    case Message::BOOTSTRAP:
      if (std::exchange(bootstrap_received_, true))
        RefuseMessage("second bootstrap");
      return;
    case Message::CALL:
      if (++open_calls_ > kMaxOpenCalls)
        RefuseMessage("too many open calls");
      return;
    case Message::FINISH:
      // The client also finishes the bootstrap request, so the count may be too
      // low by one.
      if (open_calls_ > 0)
        --open_calls_;
      return;
    case Message::RELEASE:
      return;
    default:
      RefuseMessage("unexpected kind");
  }
}

void CheckedMessageStream::CheckMessageToClient(std::uint16_t which) {
  if (which != Message::RETURN)
    RefuseMessage("unexpected kind");
}

kj::Promise<void> CheckedMessageStream::writeMessage(
    kj::ArrayPtr<const int> fds,
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  CheckOutgoing(segments);
  return messages_.writeMessage(fds, segments);
}

kj::Promise<void> CheckedMessageStream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
        messages) {
  for (const auto& segments : messages)
    CheckOutgoing(segments);
  return messages_.writeMessages(messages);
}

// Cap'n Proto sends an abort message to the peer when it closes a connection
// because of an error. This process can read the error only in that message.
void CheckedMessageStream::CheckOutgoing(
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  capnp::SegmentArrayMessageReader reader(segments);
  const auto message = reader.getRoot<Message>();
  if (!message.isAbort())
    return;
  const auto abort = message.getAbort();
  if (abort.getType() == capnp::rpc::Exception::Type::DISCONNECTED)
    return;
  const auto reason = abort.getReason();
  Report(PeerFault::kMalformedMessage, {reason.begin(), reason.size()});
}

kj::Maybe<int> CheckedMessageStream::getSendBufferSize() {
  return messages_.getSendBufferSize();
}

kj::Promise<void> CheckedMessageStream::end() {
  return messages_.end();
}

}  // namespace cicadadrum
