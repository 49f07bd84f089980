// Answers the calls of other entry VMs.

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

// What the server calls for each call of a peer, on the loop. All must be set.
// A handler may answer at once or later; it must not destroy the server. An
// exception that a handler throws is counted and logged, and the caller gets
// "may have been received".
struct PeerHandlers {
  // Ends with RespondToSlotRequest() or cancel_slot. `SlotRequest::entry` is
  // the sender's name.
  std::function<void(const PeerInfo&, const PoolKey&, const SlotRequest&)>
      request_slot;

  // The sender dropped the request or its connection is lost. Not called for a
  // request that was answered.
  std::function<
      void(const PoolKey&, const std::string& entry, std::uint64_t id)>
      cancel_slot;

  std::function<void(const PeerInfo&, const SlotReturn&)> return_slot;

  // The sender is the new owner of the pool and asks for the leases held here.
  std::function<void(const PeerInfo&, const PoolKey&)> request_leases;
  std::function<void(const PeerInfo&, const LeasesReport&)> report_leases;

  // Ends with RespondToExecute() or cancel_execute. `call` is never used again.
  std::function<
      void(std::uint64_t call, const PeerInfo&, const ForwardedRequest&)>
      execute;
  std::function<void(std::uint64_t call)> cancel_execute;

  std::function<void(const PeerInfo&, const PeerExchange&)> exchange;

  // Returns the item with this key and at least this version, if it is held.
  std::function<std::optional<PeerItem>(const PeerInfo&,
                                        const std::string& key,
                                        std::uint64_t version)>
      fetch_item;

  // Ends with RespondToFollowRows() or cancel_follow_rows. `call` is never used
  // again.
  std::function<
      void(std::uint64_t call, const PeerInfo&, const discovery::RelayRequest&)>
      follow_rows;
  std::function<void(std::uint64_t call)> cancel_follow_rows;
};

class PeerServer {
 public:
  class Impl;  // Private to the library.

  // Listens on `address` (IP:port; port 0 picks a free port). Errors:
  // kAddressInvalid, kBindFailed. `loop` must outlive the server.
  static boost::leaf::result<std::unique_ptr<PeerServer>> Listen(
      KjLoop& loop,
      const std::string& address,
      PeerSettings settings,
      PeerHandlers handlers);

  // Closes all connections. Handlers are not called any more.
  ~PeerServer();

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // The bound port.
  std::uint16_t port() const;

  // Answers the slot request that `answer` names by entry and id. Returns false
  // if it is no longer open; a granted slot must then be returned to the pool.
  bool RespondToSlotRequest(const PoolKey& pool, const SlotAnswer& answer);

  // Returns false if the call is no longer open.
  bool RespondToExecute(std::uint64_t call, const ForwardedAnswer& answer);

  // Returns false if the call is no longer open.
  bool RespondToFollowRows(std::uint64_t call,
                           const discovery::RelayResponse& answer);

  // Refuses new slot requests and forwarded requests as not handled. Other
  // calls go on, and open calls can still be answered.
  void RefuseNewWork();

  std::size_t connection_count() const;
  std::size_t open_call_count() const;
  const PeerCounters& counters() const;

 private:
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_PEER_PEER_SERVER_H_
