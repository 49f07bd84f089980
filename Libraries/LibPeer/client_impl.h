// Internal state of PeerClient: calls and connections.

#ifndef LIBRARIES_LIBPEER_CLIENT_IMPL_H_
#define LIBRARIES_LIBPEER_CLIENT_IMPL_H_

#include <kj/async.h>
#include <schemas/peer.capnp.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/loop/event_pointer.h"
#include "cicadadrum/peer/peer_client.h"
#include "codec.h"
#include "connection.h"
#include "fault_log.h"

namespace cicadadrum {

enum class CallPhase : std::uint8_t {
  kRefused,  // The call fails in a later turn of the loop.
  kWaiting,  // The call waits for the connection.
  kSent,
  kAbandoned,  // A slot request has ended here and not yet at the owner.
};

template <>
struct EnumNames<CallPhase> {
  static constexpr auto kTable = std::to_array<EnumName<CallPhase>>({
      {CallPhase::kRefused, "refused"},
      {CallPhase::kWaiting, "waiting"},
      {CallPhase::kSent, "sent"},
      {CallPhase::kAbandoned, "abandoned"},
  });
};

// A call that has not ended.
struct ClientCall {
  CallPhase phase = CallPhase::kWaiting;
  CallId id = 0;
  PeerClient::Impl* client = nullptr;
  std::string address;
  std::size_t bytes = 0;  // Estimated size of the message.
  // Sends the call. Invoked once, when the connection is open.
  std::function<kj::Promise<void>(schema::EntryPeer::Client&, CallId)> send;
  // Invokes `done` with a result without an answer.
  std::function<void(CallOutcome, CallFault)> fail;
  // Set for a slot request. The client ends a slot request at the pool owner by
  // calling cancelSlot. Other calls end at the peer when the client drops the
  // promise of the answer.
  std::optional<SlotRequestReference> slot;
  // The event refers to this struct. Null if the call has no deadline.
  EventPointer timer;
  kj::Maybe<kj::Promise<void>> answer;  // Set when the call has been sent.
};

enum class LinkPhase : std::uint8_t { kClosed, kConnecting, kConnected };

template <>
struct EnumNames<LinkPhase> {
  static constexpr auto kTable = std::to_array<EnumName<LinkPhase>>({
      {LinkPhase::kClosed, "closed"},
      {LinkPhase::kConnecting, "connecting"},
      {LinkPhase::kConnected, "connected"},
  });
};

// The connection to one peer address, the backoff of the address and the load
// of its calls.
struct ClientLink {
  LinkPhase phase = LinkPhase::kClosed;
  // Number of the present connection, unique within the client; 0 if there is
  // none. Events of earlier connections are ignored.
  std::uint64_t generation = 0;
  kj::Maybe<kj::Promise<void>> connecting;
  std::unique_ptr<PeerConnection> connection;  // Set in kConnected.
  kj::Maybe<schema::EntryPeer::Client> peer;   // Set in kConnected.
  // The peer has answered a call on the present connection.
  bool answered = false;
  std::uint32_t failures = 0;  // Consecutive connections without an answer.
  TimePoint next_attempt = TimePoint::min();  // End of the backoff.
  std::size_t waiting_bytes = 0;  // Estimated size of the calls in kWaiting.
  std::size_t open_calls = 0;     // Calls in any phase.
};

// Outcome of a call according to the header of its answer.
struct AnswerCheck {
  CallOutcome outcome = CallOutcome::kAnswered;
  CallFault fault = CallFault::kNone;
  PeerInfo peer;  // Set for kAnswered.
};

class PeerClient::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(KjLoop& loop, PeerSettings settings);

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  // Registers a call and sends the call as soon as the connection is open. An
  // `urgent` call is not subject to the bounds of the queue.
  CallId StartCall(ClientCall call, TimePoint deadline, bool urgent = false);

  // Removes and returns a call, or returns nothing if `id` is not an open call.
  // The promise of the answer is dropped in a later turn of the loop.
  std::optional<ClientCall> RemoveCall(CallId id);

  // Removes a call and invokes its `done` with this outcome and fault. An
  // abandoned call is removed without invoking `done`.
  void FailCall(CallId id, CallOutcome outcome, CallFault fault);

  bool Cancel(CallId id);
  void Disconnect(const std::string& address);

  // Closes the connection to `address` and ends its calls, but keeps the
  // backoff of the address.
  void CloseConnectionTo(const std::string& address);

  // Returns the outcome of a call by the header of its answer. `header` is
  // empty if the received header is malformed.
  AnswerCheck CheckAnswerHeader(const std::string& address,
                                const std::optional<ReceivedHeader>& header);

  // Counts a malformed answer, closes the connection and starts a backoff.
  void CloseMalformed(const std::string& address, std::string_view detail);

  // Cancels a slot request at the pool owner.
  void SendCancelSlot(const std::string& address,
                      const SlotRequestReference& slot);

  // Returns a slot that the owner granted to a request that had already ended.
  // Does nothing if `answer` is a refusal.
  void ReturnLateGrant(const std::string& address,
                       const PoolKey& pool,
                       const SlotAnswer& answer);

  // Starts a call that returns a slot to the pool owner.
  CallId StartReturnSlot(const std::string& address,
                         const SlotReturn& slot_return,
                         TimePoint deadline,
                         const ResultCallback<CallAcknowledged>& done,
                         bool urgent);

  // Invokes a callback of the client's user. An exception is counted and
  // logged.
  void InvokeCallback(const std::function<void()>& done);

  KjLoop& loop;
  PeerSettings settings;
  FaultLog faults;
  std::map<std::string, ClientLink> links;
  std::map<CallId, ClientCall> calls;

 private:
  static void OnTimer(evutil_socket_t socket, short what, void* context);

  // Calls.
  CallFault CheckStart(const ClientCall& call, TimePoint deadline, bool urgent);
  CallFault CheckQueue(const ClientLink& link, std::size_t bytes) const;
  void StartTimer(ClientCall& call, TimePoint deadline);
  void HandleTimerExpired(CallId id);
  void AbandonSlotRequest(ClientCall& call);
  std::vector<CallId> CallIdsFor(const std::string& address) const;

  // Connections.
  void Connect(const std::string& address, ClientLink& link);
  void CompleteConnect(const std::string& address,
                       std::uint64_t generation,
                       kj::Own<BuffereventStream> stream);
  void HandleConnectFailure(const std::string& address,
                            std::uint64_t generation,
                            const kj::Exception& exception);
  void HandleConnectionLoss(const std::string& address,
                            std::uint64_t generation);
  void CloseLink(ClientLink& link);
  void StartBackoff(ClientLink& link);
  void Send(ClientCall& call, ClientLink& link);

  void DestroyLater(kj::Maybe<kj::Promise<void>>& promise);
  void ScheduleDestruction();
  void taskFailed(kj::Exception&& exception) override;

  void EraseClosedLink(const std::string& address);

  Random random_;
  std::uint64_t next_generation_ = 1;
  CallId next_call_ = 1;
  // A promise or a connection must not be destroyed from its own continuation,
  // so these objects are kept until a later turn of the loop destroys them.
  std::vector<kj::Promise<void>> promises_to_destroy_;
  std::vector<std::unique_ptr<PeerConnection>> connections_to_destroy_;
  bool destruction_scheduled_ = false;
  kj::TaskSet tasks_;
};

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_CLIENT_IMPL_H_
