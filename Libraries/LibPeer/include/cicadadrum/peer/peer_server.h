// Server for the calls of other entry VMs.

#ifndef CICADADRUM_PEER_PEER_SERVER_H_
#define CICADADRUM_PEER_PEER_SERVER_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cicadadrum/loop/kj_event_port.h"
#include "cicadadrum/peer/messages.h"
#include "cicadadrum/peer/peer_settings.h"

namespace cicadadrum {

// The server invokes one of these functions, on the loop, for each call of a
// peer. All functions must be set. A handler may respond immediately or later,
// and must not destroy the server. An exception that a handler throws is
// counted and logged, and the call ends as kMayHaveBeenReceived at the peer.
struct PeerHandlers {
  // The request stays open until RespondToSlotRequest() or cancel_slot.
  // `SlotRequest::entry` is the sender's name.
  std::function<void(const PeerInfo&, const PoolKey&, const SlotRequest&)>
      request_slot;

  // The sender cancelled the request or repeated the request over a new
  // connection, or the connection was lost. Not called for a request that was
  // answered.
  std::function<
      void(const PoolKey&, const std::string& entry, std::uint64_t id)>
      cancel_slot;

  // The sender returns a slot to a pool of this entry VM.
  std::function<void(const PeerInfo&, const SlotReturn&)> return_slot;

  // The sender is the new owner of the pool and requests a report of the leases
  // that this entry VM has from an earlier owner.
  std::function<void(const PeerInfo&, const PoolKey&)> request_leases;

  // The sender reports leases of a pool of this entry VM.
  std::function<void(const PeerInfo&, const LeasesReport&)> report_leases;

  // The call stays open until RespondToExecute() or cancel_execute. `call` is
  // unique within the server.
  std::function<
      void(std::uint64_t call, const PeerInfo&, const ForwardedRequest&)>
      execute;
  // The sender cancelled the call, or the connection was lost.
  std::function<void(std::uint64_t call)> cancel_execute;

  // The sender sent a membership message.
  std::function<void(const PeerInfo&, const PeerExchange&)> exchange;

  // Returns the item with this key and at least this version, or nothing if
  // this entry VM does not have the item.
  std::function<std::optional<PeerItem>(const PeerInfo&,
                                        const std::string& key,
                                        std::uint64_t version)>
      fetch_item;

  // The call stays open until RespondToFollowRows() or cancel_follow_rows.
  // `call` is unique within the server.
  std::function<
      void(std::uint64_t call, const PeerInfo&, const discovery::RelayRequest&)>
      follow_rows;
  // The sender cancelled the call, or the connection was lost.
  std::function<void(std::uint64_t call)> cancel_follow_rows;
};

// Accepts connections of other entry VMs and passes their calls to handlers.
class PeerServer {
 public:
  class Impl;  // Private to the library.

  // Listens on `address` (IP:port; port 0 selects a free port). Errors:
  // kAddressInvalid, kBindFailed. `loop` must outlive the server.
  // `settings.now` and `settings.configuration_version` must be set.
  static boost::leaf::result<std::unique_ptr<PeerServer>> Listen(
      KjLoop& loop,
      const std::string& address,
      PeerSettings settings,
      PeerHandlers handlers);

  // Closes all connections. The server invokes no handler after that.
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // The bound port.
  std::uint16_t port() const;

  // Responds to the slot request that `answer` identifies by entry and id.
  // Returns false if the request is no longer open; the caller must then return
  // a granted slot to the pool.
  bool RespondToSlotRequest(const PoolKey& pool, const SlotAnswer& answer);

  // Responds to a forwarded request. Returns false if the call is no longer
  // open.
  bool RespondToExecute(std::uint64_t call, const ForwardedAnswer& answer);

  // Responds to a request for rows. Returns false if the call is no longer
  // open.
  bool RespondToFollowRows(std::uint64_t call,
                           const discovery::RelayResponse& answer);

  // Refuses new slot requests and forwarded requests; at the peer they end as
  // kNotSent with kPeerStopping. The server still accepts other calls, and open
  // calls can still be answered.
  void RefuseNewWork();

  std::size_t connection_count() const;

  // Slot requests, forwarded requests and requests for rows that have no answer
  // yet.
  std::size_t open_call_count() const;
  const PeerCounters& counters() const;

 private:
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_PEER_PEER_SERVER_H_
