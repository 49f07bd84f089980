// Calls other entry VMs.

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

// Number of a call, never used again by the same client.
using CallId = std::uint64_t;

template <typename Value>
using ResultCallback = std::function<void(const CallResult<Value>&)>;

// Has one connection per peer address, opened by the first call. After a failed
// connection, calls are refused until a jittered backoff of at most 2 s is
// over; the next call then tries again, so an unused client does nothing.
//
// Every call ends with exactly one call of `done`, on the loop and never from
// within the function that started it, unless it is cancelled. `done` must not
// destroy the client. Peer addresses are IP:port.
class PeerClient {
 public:
  class Impl;  // Private to the library.

  // `loop` must outlive the client.
  PeerClient(KjLoop& loop, PeerSettings settings);

  // Closes all connections. No `done` is called any more.
  ~PeerClient();

  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // The deadline is `slot_request.deadline`. A request that ends by its
  // deadline or by Cancel() is cancelled at the owner; if the owner granted a
  // slot in the meantime, the slot is returned as kNotSent.
  CallId RequestSlot(const std::string& address,
                     const PoolKey& pool,
                     const SlotRequest& slot_request,
                     ResultCallback<SlotAnswer> done);

  CallId ReturnSlot(const std::string& address,
                    const SlotReturn& slot_return,
                    TimePoint deadline,
                    const ResultCallback<CallAcknowledged>& done);

  CallId RequestLeases(const std::string& address,
                       const PoolKey& pool,
                       TimePoint deadline,
                       const ResultCallback<CallAcknowledged>& done);

  CallId ReportLeases(const std::string& address,
                      const LeasesReport& report,
                      TimePoint deadline,
                      const ResultCallback<CallAcknowledged>& done);

  // The deadline is `request.deadline`.
  CallId Execute(const std::string& address,
                 const ForwardedRequest& request,
                 ResultCallback<ForwardedAnswer> done);

  CallId Exchange(const std::string& address,
                  const PeerExchange& message,
                  TimePoint deadline,
                  ResultCallback<CallAcknowledged> done);

  // The value is empty if the peer does not hold the item.
  CallId FetchItem(const std::string& address,
                   const std::string& key,
                   std::uint64_t version,
                   TimePoint deadline,
                   ResultCallback<std::optional<PeerItem>> done);

  CallId FollowRows(const std::string& address,
                    const discovery::RelayRequest& relay_request,
                    TimePoint deadline,
                    ResultCallback<discovery::RelayResponse> done);

  // Ends a call without calling its `done`. Returns false if it has ended.
  bool Cancel(CallId call);

  // Closes the connection to `address` and forgets its backoff. Its calls end
  // as may-have-been-received or, if they wait for the connection, as not sent.
  void Disconnect(const std::string& address);

  // Bytes that wait to be sent to `address`.
  std::size_t queued_bytes(const std::string& address) const;

  std::size_t open_call_count() const;
  const PeerCounters& counters() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_PEER_PEER_CLIENT_H_
