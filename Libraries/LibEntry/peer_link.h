// Slot requests and forwarded requests between this entry VM and its peers.

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

// What PeerLink calls when a peer calls this entry VM.
struct PeerLinkHandlers {
  std::function<void(const Event&)>
      dispatch;  // Slot requests, cancellations and returns.
  std::function<void(const PeerInfo&, const PeerExchange&)> exchange;
  std::function<std::optional<PeerItem>(const std::string& key,
                                        std::uint64_t version)>
      find_item;
  std::function<void(const PeerInfo& sender,
                     const ForwardedRequest&,
                     std::function<void(const ForwardedAnswer&)>)>
      execute;
};

class PeerLink {
 public:
  // `find_address` returns the peer address of an entry VM, or an empty string.
  PeerLink(EventLoop& loop,
           const EntrySettings& settings,
           const Incarnation& incarnation,
           std::function<std::uint64_t()> configuration_version,
           std::function<std::string(const std::string& entry)> find_address);

  boost::leaf::result<void> Listen(const PeerLinkHandlers& handlers);
  void RefuseNewWork();

  // `done` gets SlotGranted or SlotRefused.
  void StartSlotRequest(const SendSlotRequest& action,
                        std::function<void(const Event&)> done);
  void CancelSlot(const CancelSlotRequest& action);
  void ReturnSlot(const ReturnToPoolOwner& action);

  void SendLeaseReportRequests(const RequestLeaseReports& action);
  void SendLeaseReport(const ReportLeases& action);

  // Returns false if the peer no longer waits for the answer; a granted slot
  // must then be returned.
  bool RespondToSlotRequest(const RespondToPeer& action);

  CallId ForwardRequest(const std::string& entry,
                        const ForwardedRequest& request,
                        CallDone<ForwardedAnswer> done);

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
  std::map<AttemptId, CallId> slot_calls_;  // Slot requests without an answer.
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_PEER_LINK_H_
