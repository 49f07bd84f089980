// Internal state of PeerServer: connections and open calls.

#ifndef LIBRARIES_LIBPEER_SERVER_IMPL_H_
#define LIBRARIES_LIBPEER_SERVER_IMPL_H_

#include <event2/listener.h>
#include <kj/async.h>

#include <array>
#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cicadadrum/loop/event_pointer.h"
#include "cicadadrum/peer/peer_server.h"
#include "codec.h"
#include "connection.h"
#include "fault_log.h"
#include "open_calls.h"

namespace cicadadrum {

struct ListenerDeleter {
  void operator()(evconnlistener* listener) const {
    evconnlistener_free(listener);
  }
};

// A pointer to the server that the objects of its calls share. Calls may
// outlive the server for some turns of the loop, because Cap'n Proto cancels
// them from its own events. The pointer is null after the server is destroyed.
struct ServerHandle {
  PeerServer::Impl* server = nullptr;
};

struct ServerConnection {
  std::string remote;  // IP:port.
  std::unique_ptr<PeerConnection> rpc;
};

// Result of checking the header of a call.
enum class HeaderCheck : std::uint8_t { kAccepted, kRefused, kMalformed };

template <>
struct EnumNames<HeaderCheck> {
  static constexpr auto kTable = std::to_array<EnumName<HeaderCheck>>({
      {HeaderCheck::kAccepted, "accepted"},
      {HeaderCheck::kRefused, "refused"},
      {HeaderCheck::kMalformed, "malformed"},
  });
};

class PeerServer::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(KjLoop& loop, PeerSettings settings, PeerHandlers handlers);
  ~Impl();

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  boost::leaf::result<void> Bind(const std::string& address);

  // --- Used by the objects that serve connections ---

  // Checks the header of a call. Sets `refusal` if the result is kRefused.
  // While the server stops, calls that start new work are refused.
  HeaderCheck CheckHeader(std::uint64_t connection,
                          const std::optional<ReceivedHeader>& header,
                          bool new_work,
                          schema::CallRefusal& refusal);

  // Counts a malformed message, and closes the connection in a later turn of
  // the loop.
  void CloseMalformed(std::uint64_t connection, std::string_view detail);

  // Whether an answer of `bytes` bytes must not be queued on the connection,
  // because too many bytes wait there. A peer that reads more slowly than it
  // repeats its calls would otherwise make the queue grow without bound, with
  // answers to calls that have already timed out. Counts the answer if so.
  bool IsBackedUp(std::uint64_t connection, std::size_t bytes);

  // These functions pass a call to its handler and return the promise of the
  // answer. If the promise is dropped before the answer, the server invokes the
  // cancel handler of the call.
  kj::Promise<kj::Own<SlotAnswer>> StartSlotRequest(
      const PeerInfo& peer,
      const ReceivedSlotRequest& request);
  kj::Promise<kj::Own<ForwardedAnswer>> StartExecute(
      const PeerInfo& peer,
      const ForwardedRequest& request);

  kj::Promise<kj::Own<discovery::RelayResponse>> StartFollowRows(
      const PeerInfo& peer,
      const discovery::RelayRequest& relay_request);

  // Ends a slot request that the sender cancelled. The request is answered with
  // a refusal.
  void CancelSlot(const SlotRequestKey& key);

  // Runs a handler of the server's user. Returns false if the handler threw an
  // exception, which is counted and logged.
  template <typename Handler>
  bool RunHandler(Handler&& handler);

  void ReportHandlerFailure(std::string_view detail);

  KjLoop& loop;
  PeerSettings settings;
  PeerHandlers handlers;
  FaultLog faults;
  CompressionCache compressed;  // Of the answers that were sent last.
  OpenCalls open_calls;
  std::map<std::uint64_t, ServerConnection> connections;
  std::uint16_t port = 0;
  bool refuses_new_work = false;
  std::shared_ptr<ServerHandle> handle;

 private:
  static void OnAccept(evconnlistener* listener,
                       evutil_socket_t socket,
                       sockaddr* address,
                       int length,
                       void* context);
  static void OnAcceptError(evconnlistener* listener, void* context);
  static void OnAcceptRetryTimer(evutil_socket_t socket,
                                 short what,
                                 void* context);

  void Accept(evutil_socket_t socket, const sockaddr* address);
  void OpenConnection(evutil_socket_t socket, const std::string& remote);

  // Destroys the connection in a later turn of the loop, because this function
  // may run in a callback of the connection.
  void ScheduleClose(std::uint64_t connection);

  // Each of these functions removes an open call whose promise was dropped, and
  // invokes the cancel handler of the call. A call that was answered is
  // ignored.
  void CancelSlotCall(const SlotRequestKey& key, std::uint64_t call);
  void CancelExecuteCall(std::uint64_t call);
  void CancelFollowRowsCall(std::uint64_t call);
  void taskFailed(kj::Exception&& exception) override;

  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  EventPointer accept_retry_timer_;
  std::uint64_t next_connection_ = 1;
  kj::TaskSet tasks_;
};

template <typename Handler>
bool PeerServer::Impl::RunHandler(Handler&& handler) {
  try {
    handler();
    return true;
  } catch (const std::exception& exception) {
    ReportHandlerFailure(exception.what());
  } catch (...) {
    ReportHandlerFailure("unknown exception");
  }
  return false;
}

// Returns the object that serves the calls of one connection.
capnp::Capability::Client MakeEntryPeer(
    const std::shared_ptr<ServerHandle>& handle,
    std::uint64_t connection);

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_SERVER_IMPL_H_
