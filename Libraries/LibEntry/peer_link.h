// Sends slot requests, lease reports and forwarded requests to peers (the other
// entry VMs) and receives theirs.

#ifndef CICADADRUM_ENTRY_PEER_LINK_H_
#define CICADADRUM_ENTRY_PEER_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/kj_event_port.h"
#include "cicadadrum/peer/peer_client.h"
#include "cicadadrum/peer/peer_server.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

// Functions that PeerLink calls when a peer calls this entry VM. All must be
// set.
struct PeerLinkHandlers {
  std::function<void(const Event&)>
      dispatch;  // Receives the events of slot requests, cancellations,
                 // returned slots and lease reports.
  // Receives the membership messages of peers.
  std::function<void(const PeerInfo&, const PeerExchange&)> exchange;
  // Returns an item that a peer fetches, or std::nullopt if this entry VM does
  // not have this version of the item.
  std::function<std::optional<PeerItem>(const std::string& key,
                                        std::uint64_t version)>
      find_item;
  // Receives a forwarded request and must call the passed function once with
  // its response.
  std::function<void(const PeerInfo& sender,
                     const ForwardedRequest&,
                     std::function<void(const ForwardedAnswer&)>)>
      execute;
};

// Owns the client and the server of the peer protocol. Calls to peers end
// through their callbacks, on the event loop.
class PeerLink {
 public:
  // `loop` must outlive the object. `find_address` returns the peer address
  // (IP:port) of an entry VM, or an empty string if the entry VM is not live.
  PeerLink(EventLoop& loop,
           const EntrySettings& settings,
           const Incarnation& incarnation,
           std::function<std::uint64_t()> configuration_version,
           std::function<std::string(const std::string& entry)> find_address);

  // Listens on the peer address of the settings. Must be called before all
  // functions that respond to peers. Errors: kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Listen(const PeerLinkHandlers& handlers);
  // Refuses new slot requests and forwarded requests of peers; open calls can
  // still be answered.
  void RefuseNewWork();

  // Requests a slot from the pool owner. `done` receives SlotGranted or
  // SlotRefused once, unless CancelSlot() is called first. An unreachable pool
  // owner is reported as SlotRefused with kPeerUnreachable.
  void StartSlotRequest(const SendSlotRequest& action,
                        std::function<void(const Event&)> done);
  // Cancels a slot request that has no response yet; otherwise does nothing.
  void CancelSlot(const CancelSlotRequest& action);
  // Returns a slot to the pool owner. Failures are ignored, because the lease
  // expires.
  void ReturnSlot(const ReturnToPoolOwner& action);

  // Requests reports of the leases of a pool from the entry VMs in `action`.
  // Failures are logged.
  void SendLeaseReportRequests(const RequestLeaseReports& action);
  // Sends this entry VM's leases of a pool to the pool owner. Failures are
  // logged.
  void SendLeaseReport(const ReportLeases& action);

  // Responds to a slot request of a peer. Returns false if the slot request is
  // no longer open; the caller of this function must then return a granted slot
  // to its pool.
  bool RespondToSlotRequest(const RespondToPeer& action);

  // Forwards a request to `entry`, the home of the request key. `done` is
  // called once with the response or the failure of the call.
  CallId ForwardRequest(const std::string& entry,
                        const ForwardedRequest& request,
                        ResultCallback<ForwardedAnswer> done);

  PeerClient& client() { return client_; }

 private:
  using AttemptId = std::pair<std::uint64_t, std::uint32_t>;

  EventLoop& loop_;
  std::string listen_address_;
  std::function<std::string(const std::string& entry)> find_address_;
  KjLoop kj_loop_;
  PeerSettings peer_settings_;
  PeerClient client_;
  std::unique_ptr<PeerServer> server_;
  std::map<AttemptId, CallId>
      slot_calls_;  // Slot requests that have no response yet.
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_PEER_LINK_H_
