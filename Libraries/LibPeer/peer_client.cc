// The calls of PeerClient: encodes the messages and decodes the answers.

#include "cicadadrum/peer/peer_client.h"

#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

#include "client_impl.h"

namespace cicadadrum {

namespace {

// Timeout of the calls with which the client cancels a slot request or returns
// the slot of a request that has ended.
constexpr Duration kReturnSlotTimeout = Seconds(5);

CallFault FaultFromException(const kj::Exception& exception) {
  return exception.getType() == kj::Exception::Type::DISCONNECTED
             ? CallFault::kConnectionLost
             : CallFault::kPeerFailed;
}

// Ends a call with the answer of the peer. `read` returns the value of an
// answer, or nothing if the answer is malformed.
template <typename Value, typename Response, typename Read>
void FinishCall(PeerClient::Impl& client,
                CallId id,
                const ResultCallback<Value>& done,
                const Response& response,
                Read read) {
  const auto call = client.RemoveCall(id);
  if (!call)
    return;
  CallResult<Value> result;
  const auto header = Decode([&] {
    return ReadHeader(response.getHeader(), client.settings.protocol_version);
  });
  const AnswerCheck check = client.CheckAnswerHeader(call->address, header);
  result.outcome = check.outcome;
  result.fault = check.fault;
  if (check.outcome == CallOutcome::kAnswered) {
    auto value = Decode([&] { return read(response); });
    if (value) {
      result.peer = check.peer;
      result.value = *std::move(value);
    } else {
      client.CloseMalformed(call->address, "answer");
      result.outcome = CallOutcome::kMayHaveBeenReceived;
      result.fault = CallFault::kInvalidAnswer;
    }
  }
  if (call->phase != CallPhase::kAbandoned) {
    client.InvokeCallback([&] { done(result); });
    return;
  }
  if constexpr (std::is_same_v<Value, SlotAnswer>) {
    if (result.outcome == CallOutcome::kAnswered)
      client.ReturnLateGrant(call->address, call->slot->pool, result.value);
  }
}

// Sends a complete request, and ends the call with its answer.
template <typename Value, typename Request, typename Read>
kj::Promise<void> SendCall(PeerClient::Impl& client,
                           CallId id,
                           ResultCallback<Value> done,
                           Request&& request,
                           Read read) {
  return request.send().then(
      [&client, id, done = std::move(done), read](auto&& response) {
        FinishCall<Value>(client, id, done, response, read);
      },
      [&client, id](kj::Exception&& exception) {
        client.FailCall(id, CallOutcome::kMayHaveBeenReceived,
                        FaultFromException(exception));
      });
}

template <typename Value>
std::function<void(CallOutcome, CallFault)> MakeFailureCallback(
    ResultCallback<Value> done) {
  return [done = std::move(done)](CallOutcome outcome, CallFault fault) {
    CallResult<Value> result;
    result.outcome = outcome;
    result.fault = fault;
    done(result);
  };
}

// Returns a call with the members that all calls set; the caller sets `send`.
template <typename Value>
ClientCall MakeCall(const std::string& address,
                    std::size_t bytes,
                    const ResultCallback<Value>& done) {
  ClientCall call;
  call.address = address;
  call.bytes = bytes;
  call.fail = MakeFailureCallback<Value>(done);
  return call;
}

// Returns nothing if the answer is malformed, and an empty value if the peer
// does not have the item.
std::optional<std::optional<PeerItem>> ReadFoundItem(
    bool found,
    schema::ItemVersion::Reader from) {
  if (!found)
    return std::optional<PeerItem>();
  auto item = ReadItem(from);
  if (!item)
    return std::nullopt;
  return item;
}

std::optional<CallAcknowledged> ReadAcknowledgement(const auto&) {
  return CallAcknowledged{};
}

void IgnoreResult(const CallResult<CallAcknowledged>&) {}

template <typename Builder>
void WriteSenderHeader(const PeerClient::Impl& client, Builder& request) {
  WriteHeader(client.settings, schema::CallRefusal::NONE, request.initHeader());
}

}  // namespace

void PeerClient::Impl::SendCancelSlot(const std::string& address,
                                      const SlotRequestReference& slot) {
  const std::size_t bytes = EstimateBytes(SlotRequest{});
  auto call = MakeCall<CallAcknowledged>(address, bytes, IgnoreResult);
  call.send = [this, slot](schema::EntryPeer::Client& peer, CallId id) {
    auto request = peer.cancelSlotRequest(SizeHint(kSmallMessageBytes));
    WriteSenderHeader(*this, request);
    WriteSlotCancel(slot, request.initCancel());
    return SendCall<CallAcknowledged>(
        *this, id, IgnoreResult, request,
        [](const auto& response) { return ReadAcknowledgement(response); });
  };
  StartCall(std::move(call), settings.now() + kReturnSlotTimeout, true);
}

void PeerClient::Impl::ReturnLateGrant(const std::string& address,
                                       const PoolKey& pool,
                                       const SlotAnswer& answer) {
  const auto* grant = std::get_if<SlotGrant>(&answer);
  if (grant == nullptr)
    return;
  StartReturnSlot(address, {pool, grant->lease, AttemptOutcome::kNotSent, {}},
                  settings.now() + kReturnSlotTimeout, IgnoreResult, true);
}

CallId PeerClient::Impl::StartReturnSlot(
    const std::string& address,
    const SlotReturn& slot_return,
    TimePoint deadline,
    const ResultCallback<CallAcknowledged>& done,
    bool urgent) {
  auto call =
      MakeCall<CallAcknowledged>(address, EstimateBytes(SlotRequest{}), done);
  call.send = [this, slot_return, done](schema::EntryPeer::Client& peer,
                                        CallId id) {
    auto request = peer.returnSlotRequest(SizeHint(kSmallMessageBytes));
    WriteSenderHeader(*this, request);
    WriteSlotReturn(slot_return, request.initSlotReturn());
    return SendCall<CallAcknowledged>(
        *this, id, done, request,
        [](const auto& response) { return ReadAcknowledgement(response); });
  };
  return StartCall(std::move(call), deadline, urgent);
}

PeerClient::PeerClient(KjLoop& loop, PeerSettings settings)
    : impl_(std::make_unique<Impl>(loop, std::move(settings))) {}

PeerClient::~PeerClient() = default;

CallId PeerClient::RequestSlot(const std::string& address,
                               const PoolKey& pool,
                               const SlotRequest& slot_request,
                               ResultCallback<SlotAnswer> done) {
  Impl& impl = *impl_;
  auto call = MakeCall<SlotAnswer>(address, EstimateBytes(slot_request), done);
  call.slot = SlotRequestReference{pool, slot_request.id};
  call.send = [&impl, pool, slot_request, done = std::move(done)](
                  schema::EntryPeer::Client& peer, CallId id) {
    auto request =
        peer.requestSlotRequest(SizeHint(EstimateBytes(slot_request)));
    WriteSenderHeader(impl, request);
    WriteSlotRequest(pool, slot_request, impl.settings.now(),
                     request.initRequest());
    return SendCall<SlotAnswer>(
        impl, id, done, request,
        [entry = impl.settings.name,
         slot_request_id = slot_request.id](const auto& response) {
          return ReadSlotAnswer(response.getAnswer(), entry, slot_request_id);
        });
  };
  return impl.StartCall(std::move(call), slot_request.deadline);
}

CallId PeerClient::ReturnSlot(const std::string& address,
                              const SlotReturn& slot_return,
                              TimePoint deadline,
                              const ResultCallback<CallAcknowledged>& done) {
  return impl_->StartReturnSlot(address, slot_return, deadline, done, false);
}

CallId PeerClient::RequestLeases(const std::string& address,
                                 const PoolKey& pool,
                                 TimePoint deadline,
                                 const ResultCallback<CallAcknowledged>& done) {
  Impl& impl = *impl_;
  auto call =
      MakeCall<CallAcknowledged>(address, EstimateBytes(SlotRequest{}), done);
  call.send = [&impl, pool, done](schema::EntryPeer::Client& peer, CallId id) {
    auto request = peer.askLeasesRequest(SizeHint(kSmallMessageBytes));
    WriteSenderHeader(impl, request);
    WritePool(pool, request.initPool());
    return SendCall<CallAcknowledged>(
        impl, id, done, request,
        [](const auto& response) { return ReadAcknowledgement(response); });
  };
  return impl.StartCall(std::move(call), deadline);
}

CallId PeerClient::ReportLeases(const std::string& address,
                                const LeasesReport& report,
                                TimePoint deadline,
                                const ResultCallback<CallAcknowledged>& done) {
  Impl& impl = *impl_;
  auto call = MakeCall<CallAcknowledged>(address, EstimateBytes(report), done);
  call.send = [&impl, report, done](schema::EntryPeer::Client& peer,
                                    CallId id) {
    auto request = peer.reportLeasesRequest(SizeHint(EstimateBytes(report)));
    WriteSenderHeader(impl, request);
    WriteLeasesReport(report, impl.settings.now(), request.initReport());
    return SendCall<CallAcknowledged>(
        impl, id, done, request,
        [](const auto& response) { return ReadAcknowledgement(response); });
  };
  return impl.StartCall(std::move(call), deadline);
}

CallId PeerClient::Execute(const std::string& address,
                           const ForwardedRequest& forwarded,
                           ResultCallback<ForwardedAnswer> done) {
  Impl& impl = *impl_;
  auto call =
      MakeCall<ForwardedAnswer>(address, EstimateBytes(forwarded), done);
  call.send = [&impl, forwarded, done = std::move(done)](
                  schema::EntryPeer::Client& peer, CallId id) {
    auto request = peer.executeRequest(SizeHint(EstimateBytes(forwarded)));
    WriteSenderHeader(impl, request);
    WriteForwardedRequest(forwarded, impl.settings.now(),
                          request.initRequest());
    return SendCall<ForwardedAnswer>(
        impl, id, done, request, [](const auto& response) {
          return ReadForwardedAnswer(response.getAnswer());
        });
  };
  return impl.StartCall(std::move(call), forwarded.deadline);
}

CallId PeerClient::Exchange(const std::string& address,
                            const PeerExchange& message,
                            TimePoint deadline,
                            ResultCallback<CallAcknowledged> done) {
  Impl& impl = *impl_;
  auto call = MakeCall<CallAcknowledged>(address, EstimateBytes(message), done);
  call.send = [&impl, message, done = std::move(done)](
                  schema::EntryPeer::Client& peer, CallId id) {
    auto request = peer.exchangeRequest(SizeHint(EstimateBytes(message)));
    WriteSenderHeader(impl, request);
    WriteExchange(message, request.initMessage());
    return SendCall<CallAcknowledged>(
        impl, id, done, request,
        [](const auto& response) { return ReadAcknowledgement(response); });
  };
  return impl.StartCall(std::move(call), deadline);
}

CallId PeerClient::FetchItem(const std::string& address,
                             const std::string& key,
                             std::uint64_t version,
                             TimePoint deadline,
                             ResultCallback<std::optional<PeerItem>> done) {
  Impl& impl = *impl_;
  auto call = MakeCall<std::optional<PeerItem>>(
      address, EstimateBytes(PeerItem{key, version, {}}), done);
  call.send = [&impl, key, version, done = std::move(done)](
                  schema::EntryPeer::Client& peer, CallId id) {
    auto request = peer.fetchItemRequest(SizeHint(kSmallMessageBytes));
    WriteSenderHeader(impl, request);
    request.setKey({key.c_str(), key.size()});
    request.setVersion(version);
    return SendCall<std::optional<PeerItem>>(
        impl, id, done, request, [](const auto& response) {
          return ReadFoundItem(response.getFound(), response.getItem());
        });
  };
  return impl.StartCall(std::move(call), deadline);
}

CallId PeerClient::FollowRows(const std::string& address,
                              const discovery::RelayRequest& relay_request,
                              TimePoint deadline,
                              ResultCallback<discovery::RelayResponse> done) {
  Impl& impl = *impl_;
  auto call =
      MakeCall<discovery::RelayResponse>(address, kSmallMessageBytes, done);
  call.send = [&impl, relay_request, done = std::move(done)](
                  schema::EntryPeer::Client& peer, CallId id) {
    auto request = peer.followRowsRequest(SizeHint(kSmallMessageBytes));
    WriteSenderHeader(impl, request);
    WriteRelayRequest(relay_request, request.initAsk());
    return SendCall<discovery::RelayResponse>(
        impl, id, done, request, [](const auto& response) {
          return ReadRelayResponse(response.getAnswer());
        });
  };
  return impl.StartCall(std::move(call), deadline);
}

bool PeerClient::Cancel(CallId call) {
  return impl_->Cancel(call);
}

void PeerClient::Disconnect(const std::string& address) {
  impl_->Disconnect(address);
}

std::size_t PeerClient::queued_bytes(const std::string& address) const {
  const auto found = impl_->links.find(address);
  if (found == impl_->links.end())
    return 0;
  return found->second.waiting_bytes +
         (found->second.connection == nullptr
              ? 0
              : found->second.connection->QueuedBytes());
}

std::size_t PeerClient::open_call_count() const {
  return impl_->calls.size();
}

const PeerCounters& PeerClient::counters() const {
  return impl_->faults.counters;
}

}  // namespace cicadadrum
