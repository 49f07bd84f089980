// Private parts of PeerClient.

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
  kRefused,  // Ends in a later turn of the loop.
  kWaiting,  // For the connection.
  kSent,
  kAbandoned,  // A slot request that has ended here and not yet at the owner.
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

struct ClientCall {
  CallPhase phase = CallPhase::kWaiting;
  CallId id = 0;
  PeerClient::Impl* client = nullptr;
  std::string address;
  std::size_t bytes = 0;  // Estimate of the message.
  // Sends the call; run once, when connected.
  std::function<kj::Promise<void>(schema::EntryPeer::Client&, CallId)> send;
  // Calls `done` without an answer.
  std::function<void(CallOutcome, CallFault)> fail;
  // Set for a slot request. Its end is told to the owner of the pool by
  // cancelSlot; other calls end there when the promise of the answer is
  // dropped.
  std::optional<SlotRequestReference> slot;
  EventPointer timer;  // Refers to this struct; null if there is no deadline.
  kj::Maybe<kj::Promise<void>> answer;  // Set once sent.
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

// The connection to one peer address.
struct ClientLink {
  LinkPhase phase = LinkPhase::kClosed;
  // Number of the present connection, unique within the client. What happens
  // to an earlier connection is ignored.
  std::uint64_t generation = 0;
  kj::Maybe<kj::Promise<void>> connecting;
  std::unique_ptr<PeerConnection> connection;  // Set in kConnected.
  kj::Maybe<schema::EntryPeer::Client> peer;   // Set in kConnected.
  bool answered = false;       // Any call on the present connection.
  std::uint32_t failures = 0;  // Connections in a row without an answer.
  TimePoint next_attempt = TimePoint::min();
  std::size_t waiting_bytes = 0;  // Of calls in kWaiting.
  std::size_t open_calls = 0;
};

// What the header of an answer says about its call.
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

  // Registers a call and sends it as soon as there is a connection. An `urgent`
  // call is not subject to the bounds of the queue.
  CallId Start(ClientCall call, TimePoint deadline, bool urgent = false);

  // Removes a call; its promise is dropped in a later turn. Returns nothing if
  // there is none.
  std::optional<ClientCall> RemoveCall(CallId id);

  // Removes a call and tells `done` that it has no answer.
  void FailCall(CallId id, CallOutcome outcome, CallFault fault);

  bool Cancel(CallId id);
  void Disconnect(const std::string& address);

  // Closes a connection and ends its calls, but keeps its backoff.
  void CloseConnectionTo(const std::string& address);

  // `header` is empty if it is malformed.
  AnswerCheck CheckAnswerHeader(const std::string& address,
                                const std::optional<ReceivedHeader>& header);
  // Counts a malformed answer and closes the connection.
  void CloseMalformed(const std::string& address, std::string_view detail);

  // Tells the owner that a slot request has ended.
  void SendCancelSlot(const std::string& address,
                      const SlotRequestReference& slot);

  // Returns a slot that was granted to a request that had ended.
  void ReturnLateGrant(const std::string& address,
                       const PoolKey& pool,
                       const SlotAnswer& answer);

  CallId StartReturnSlot(const std::string& address,
                         const SlotReturn& slot_return,
                         TimePoint deadline,
                         const ResultCallback<CallAcknowledged>& done,
                         bool urgent);

  // Runs a function of the embedder; an exception is counted and logged.
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

  void ForgetLink(const std::string& address);

  Random random_;
  std::uint64_t next_generation_ = 1;
  CallId next_call_ = 1;
  // Promises and connections are not destroyed from their own continuations;
  // they are kept here until a later turn.
  std::vector<kj::Promise<void>> promises_to_destroy_;
  std::vector<std::unique_ptr<PeerConnection>> connections_to_destroy_;
  bool destruction_scheduled_ = false;
  kj::TaskSet tasks_;
};

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_CLIENT_IMPL_H_
