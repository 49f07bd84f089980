// Connections of PeerClient: opening, loss and backoff.

#include <event2/util.h>

#include <algorithm>
#include <utility>

#include "client_impl.h"

namespace cicadadrum {

namespace {

// A connection that is not open after this time counts as failed. The longest
// round trip between regions is far shorter.
constexpr Duration kConnectTimeout = Seconds(2);

// The backoff after consecutive failures doubles from the minimum up to the
// maximum. Each backoff is drawn at random from the upper half of its range, so
// that the clients of a restarted peer don't reconnect at the same time.
constexpr Duration kMinBackoff = Milliseconds(50);
constexpr Duration kMaxBackoff = Seconds(2);

Duration ComputeBackoff(std::uint32_t failures, Random& random) {
  const std::uint32_t doubling_count = std::min<std::uint32_t>(failures - 1, 6);
  const std::int64_t max_microseconds =
      std::min(kMinBackoff.count() << doubling_count, kMaxBackoff.count());
  const double jitter_factor = 0.5 + 0.5 * RandomUnit(random);
  return Microseconds(static_cast<std::int64_t>(
      static_cast<double>(max_microseconds) * jitter_factor));
}

}  // namespace

void PeerClient::Impl::Connect(const std::string& address, ClientLink& link) {
  sockaddr_storage parsed{};
  int length = sizeof(parsed);
  auto* socket_address = reinterpret_cast<sockaddr*>(&parsed);
  evutil_parse_sockaddr_port(address.c_str(), socket_address, &length);
  link.phase = LinkPhase::kConnecting;
  const std::uint64_t generation = next_generation_++;
  link.generation = generation;
  DestroyLater(link.connecting);
  link.connecting =
      BuffereventStream::Connect(loop.base(), socket_address,
                                 static_cast<socklen_t>(length),
                                 {.connect_timeout = kConnectTimeout})
          .then(
              [this, address, generation](kj::Own<BuffereventStream>&& stream) {
                CompleteConnect(address, generation, kj::mv(stream));
              },
              [this, address, generation](kj::Exception&& exception) {
                HandleConnectFailure(address, generation, exception);
              })
          .eagerlyEvaluate(
              [this](kj::Exception&& e) { taskFailed(kj::mv(e)); });
}

void PeerClient::Impl::CompleteConnect(const std::string& address,
                                       std::uint64_t generation,
                                       kj::Own<BuffereventStream> stream) {
  const auto found = links.find(address);
  if (found == links.end() || found->second.generation != generation)
    return;
  ClientLink& link = found->second;
  auto on_fault = [this, address](PeerFault fault, std::string_view detail) {
    ReportFault(faults, fault, address, detail, settings.now());
  };
  link.connection = std::make_unique<PeerConnection>(
      kj::mv(stream), capnp::rpc::twoparty::Side::CLIENT, nullptr,
      std::move(on_fault));
  link.peer = link.connection->Bootstrap().castAs<schema::EntryPeer>();
  link.phase = LinkPhase::kConnected;
  link.answered = false;
  ++faults.counters.connections_opened;
  tasks_.add(link.connection->OnDisconnect().then([this, address, generation] {
    HandleConnectionLoss(address, generation);
  }));
  for (const CallId id : CallIdsFor(address)) {
    ClientCall& call = calls.at(id);
    if (call.phase == CallPhase::kWaiting)
      Send(call, link);
  }
}

void PeerClient::Impl::Send(ClientCall& call, ClientLink& link) {
  call.phase = CallPhase::kSent;
  link.waiting_bytes -= call.bytes;
  KJ_IF_MAYBE (peer, link.peer) {
    call.answer =
        call.send(*peer, call.id).eagerlyEvaluate([this](kj::Exception&& e) {
          taskFailed(kj::mv(e));
        });
  }
  call.send = nullptr;  // Frees the function's copy of the message.
}

void PeerClient::Impl::HandleConnectFailure(const std::string& address,
                                            std::uint64_t generation,
                                            const kj::Exception& exception) {
  const auto found = links.find(address);
  if (found == links.end() || found->second.generation != generation)
    return;
  ClientLink& link = found->second;
  CloseLink(link);
  StartBackoff(link);
  ReportFault(faults, PeerFault::kConnectFailed, address,
              exception.getDescription().cStr(), settings.now());
  for (const CallId id : CallIdsFor(address))
    FailCall(id, CallOutcome::kNotSent, CallFault::kConnectFailed);
}

void PeerClient::Impl::HandleConnectionLoss(const std::string& address,
                                            std::uint64_t generation) {
  const auto found = links.find(address);
  if (found == links.end() || found->second.generation != generation)
    return;
  ClientLink& link = found->second;
  // The backoff prevents a reconnect loop to a peer that accepts connections
  // and answers no call.
  if (!link.answered)
    StartBackoff(link);
  CloseLink(link);
  ReportFault(faults, PeerFault::kConnectionLost, address, "closed by the peer",
              settings.now());
  // Cap'n Proto rejects the promises of all calls, which ends the calls.
}

void PeerClient::Impl::CloseLink(ClientLink& link) {
  link.phase = LinkPhase::kClosed;
  link.generation = 0;
  link.peer = nullptr;
  DestroyLater(link.connecting);
  if (link.connection != nullptr) {
    connections_to_destroy_.push_back(std::move(link.connection));
    ScheduleDestruction();
  }
}

void PeerClient::Impl::StartBackoff(ClientLink& link) {
  ++link.failures;
  link.next_attempt = settings.now() + ComputeBackoff(link.failures, random_);
}

void PeerClient::Impl::Disconnect(const std::string& address) {
  CloseConnectionTo(address);
  tasks_.add(kj::evalLater([this, address] { EraseClosedLink(address); }));
}

void PeerClient::Impl::EraseClosedLink(const std::string& address) {
  const auto found = links.find(address);
  if (found != links.end() && found->second.phase == LinkPhase::kClosed &&
      found->second.open_calls == 0)
    links.erase(found);
}

void PeerClient::Impl::CloseConnectionTo(const std::string& address) {
  const auto found = links.find(address);
  if (found == links.end())
    return;
  const bool connected = found->second.phase == LinkPhase::kConnected;
  CloseLink(found->second);
  const auto outcome =
      connected ? CallOutcome::kMayHaveBeenReceived : CallOutcome::kNotSent;
  const auto fault =
      connected ? CallFault::kConnectionLost : CallFault::kConnectFailed;
  for (const CallId id : CallIdsFor(address)) {
    tasks_.add(kj::evalLater(
        [this, id, outcome, fault] { FailCall(id, outcome, fault); }));
  }
}

AnswerCheck PeerClient::Impl::CheckAnswerHeader(
    const std::string& address,
    const std::optional<ReceivedHeader>& header) {
  if (!header) {
    CloseMalformed(address, "answer header");
    return {CallOutcome::kMayHaveBeenReceived, CallFault::kInvalidAnswer, {}};
  }
  if (header->protocol_version != settings.protocol_version) {
    ReportFault(faults, PeerFault::kOtherProtocolVersion, address,
                "version " + std::to_string(header->protocol_version),
                settings.now());
    const bool refused =
        header->refusal == schema::CallRefusal::OTHER_PROTOCOL_VERSION;
    return {refused ? CallOutcome::kNotSent : CallOutcome::kMayHaveBeenReceived,
            CallFault::kOtherProtocolVersion,
            {}};
  }
  ClientLink& link = links[address];
  link.answered = true;
  link.failures = 0;
  if (header->refusal == schema::CallRefusal::STOPPING)
    return {CallOutcome::kNotSent, CallFault::kPeerStopping, {}};
  if (header->refusal != schema::CallRefusal::NONE)
    return {CallOutcome::kNotSent, CallFault::kOtherProtocolVersion, {}};
  return {CallOutcome::kAnswered, CallFault::kNone, header->sender};
}

void PeerClient::Impl::CloseMalformed(const std::string& address,
                                      std::string_view detail) {
  const auto found = links.find(address);
  if (found == links.end() || found->second.connection == nullptr)
    return;
  found->second.connection->messages().Report(PeerFault::kMalformedMessage,
                                              detail);
  StartBackoff(found->second);
  CloseConnectionTo(address);
}

}  // namespace cicadadrum
