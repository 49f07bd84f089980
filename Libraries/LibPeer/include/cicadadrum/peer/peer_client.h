// Client for calls to other entry VMs.

#ifndef CICADADRUM_PEER_PEER_CLIENT_H_
#define CICADADRUM_PEER_PEER_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cicadadrum/base/time.h"
#include "cicadadrum/loop/kj_event_port.h"
#include "cicadadrum/peer/messages.h"
#include "cicadadrum/peer/peer_settings.h"

namespace cicadadrum {

// Number of a call, unique within the client.
using CallId = std::uint64_t;

// Receives the result of a call.
template <typename Value>
using ResultCallback = std::function<void(const CallResult<Value>&)>;

// Keeps one connection per peer address, which the first call opens. After a
// failed connection, the client refuses calls until a jittered backoff of at
// most 2 s has passed. The next call opens a new connection, so an unused
// client does nothing.
//
// Every function with a `done` parameter starts a call and returns the number
// of the call. Unless the call is cancelled, the client invokes `done` exactly
// once, on the loop and never from within the function that started the call.
// `done` must not destroy the client. An exception that `done` throws is
// counted and logged. Peer addresses are IP:port. A call to an invalid address,
// a call whose deadline has passed and a call beyond the bounds of the queue
// end as kNotSent. A deadline of kNever means no deadline.
class PeerClient {
 public:
  class Impl;  // Private to the library.

  // `loop` must outlive the client. `settings.now` and
  // `settings.configuration_version` must be set.
  PeerClient(KjLoop& loop, PeerSettings settings);

  // Closes all connections. The client invokes no `done` after that.
  ~PeerClient();

  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Requests a slot from the owner of `pool`. The deadline is
  // `slot_request.deadline`. When the deadline passes or Cancel() is called,
  // the client cancels the request at the owner. If the owner granted a slot in
  // the meantime, the client returns the slot as kNotSent.
  CallId RequestSlot(const std::string& address,
                     const PoolKey& pool,
                     const SlotRequest& slot_request,
                     ResultCallback<SlotAnswer> done);

  // Returns a slot to the owner of its pool.
  CallId ReturnSlot(const std::string& address,
                    const SlotReturn& slot_return,
                    TimePoint deadline,
                    const ResultCallback<CallAcknowledged>& done);

  // Requests the leases that the peer has from an earlier owner of `pool`. The
  // answer is an acknowledgement; the peer sends the leases with
  // ReportLeases().
  CallId RequestLeases(const std::string& address,
                       const PoolKey& pool,
                       TimePoint deadline,
                       const ResultCallback<CallAcknowledged>& done);

  // Reports leases from an earlier owner of the pool to the new owner.
  CallId ReportLeases(const std::string& address,
                      const LeasesReport& report,
                      TimePoint deadline,
                      const ResultCallback<CallAcknowledged>& done);

  // Forwards a request to the home of its request key. The deadline is
  // `request.deadline`.
  CallId Execute(const std::string& address,
                 const ForwardedRequest& request,
                 ResultCallback<ForwardedAnswer> done);

  // Sends a membership message.
  CallId Exchange(const std::string& address,
                  const PeerExchange& message,
                  TimePoint deadline,
                  ResultCallback<CallAcknowledged> done);

  // Fetches the item with this key and at least this version. The value is
  // empty if the peer does not have the item.
  CallId FetchItem(const std::string& address,
                   const std::string& key,
                   std::uint64_t version,
                   TimePoint deadline,
                   ResultCallback<std::optional<PeerItem>> done);

  // Requests changed rows of a table. The peer answers when rows have changed
  // or when `relay_request.wait` has passed.
  CallId FollowRows(const std::string& address,
                    const discovery::RelayRequest& relay_request,
                    TimePoint deadline,
                    ResultCallback<discovery::RelayResponse> done);

  // Ends a call without invoking its `done`. Returns false if the call has
  // already ended.
  bool Cancel(CallId call);

  // Closes the connection to `address` and resets the backoff of the address.
  // Calls that were sent end as kMayHaveBeenReceived, and calls that wait for
  // the connection end as kNotSent.
  void Disconnect(const std::string& address);

  // Bytes that wait to be sent to `address`.
  std::size_t queued_bytes(const std::string& address) const;

  // Calls that have not ended, including cancelled slot requests that the owner
  // has not confirmed yet.
  std::size_t open_call_count() const;
  const PeerCounters& counters() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_PEER_PEER_CLIENT_H_
