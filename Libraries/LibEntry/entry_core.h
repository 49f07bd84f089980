// The decision core with what the front end keeps for it: request bodies and
// the responses of attempts.

#ifndef CICADADRUM_ENTRY_ENTRY_CORE_H_
#define CICADADRUM_ENTRY_ENTRY_CORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "backend_link.h"
#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/lookup/rank_entries.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_message.h"
#include "cicadadrum/steering/entry_state.h"
#include "cicadadrum/telemetry/metrics.h"
#include "cicadadrum/telemetry/trace.h"
#include "fleet_link.h"
#include "load_poller.h"
#include "peer_link.h"
#include "platform_link.h"

namespace cicadadrum {

// A request in progress, as the front end sees it.
struct PendingRequest {
  RequestArrived arrived;
  HttpRequest request;
  std::map<std::uint32_t, HttpResponse> responses;  // By attempt.
  // Called once, with the response and the answer that it was made from.
  std::function<void(const HttpResponse&, const AnswerCaller&)> respond;
  std::optional<TraceContext> parent;
  TraceContext context;
  TimePoint started_at;
};

// Feeds events into Step and carries out the actions that follow.
class EntryCore {
 public:
  EntryCore(EventLoop& loop,
            const EntrySettings& settings,
            const Incarnation& incarnation);

  // Errors: kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Start();
  // Accepts no new requests and tells the peers; `on_stopped` follows.
  void Stop();
  void Dispatch(const Event& event);

  // Takes a caller's request. `respond` is called once with its response.
  void HandleCallerRequest(std::uint64_t id,
                           HttpRequest request,
                           std::function<void(const HttpResponse&)> respond);

  // Takes a request that a peer passed to this entry VM as its key's home.
  void HandleForwardedRequest(
      const PeerInfo& sender,
      const ForwardedRequest& request,
      std::function<void(const ForwardedAnswer&)> respond);

  std::uint64_t NewRequestId() { return next_request_++; }
  EntryState& state() { return state_; }
  // The entry VMs that look-up answers name; without this one while it stops.
  const EntryDirectory& directory() const { return directory_; }
  FleetLink& fleet() { return fleet_; }
  Metrics& metrics() { return metrics_; }
  std::function<void()> on_stopped;

 private:
  void ExecuteAction(const Action& action);
  void Execute(const SendSlotRequest& action);
  void Execute(const CancelSlotRequest& action);
  void Execute(const ReturnToPoolOwner& action);
  void Execute(const RequestLeaseReports& action);
  void Execute(const ReportLeases& action);
  void Execute(const PublishBlockedItem& action);
  void Execute(const RespondToPeer& action);
  void Execute(const SendToBackend& action);
  void Execute(const CancelAtBackend& action);
  void Execute(const AnswerCaller& action);
  void Execute(const WriteClaims& action);
  void Execute(const StoreResult& action);
  void Execute(const ForwardToHome& action);
  void Execute(const WakeAt& action);
  void Execute(const StopCompleted& action);
  void StartRequest(std::uint64_t id, PendingRequest pending);
  void RefreshDirectory();
  void ReadServerList();
  // Servers of the pools that this entry VM owns.
  std::vector<BackendServer> OwnedServers() const;
  std::string PeerAddress(const std::string& entry) const;
  std::string AlternativeEntryAddress() const;
  // Writes the span of one hop, which ends now.
  void WriteHopSpan(const PendingRequest& pending,
                    const std::string& name,
                    TimePoint hop_started_at,
                    const std::string& peer);
  void WriteRequestSpan(const PendingRequest& pending,
                        const AnswerCaller& answer);
  HttpResponse MakeResponse(PendingRequest& pending,
                            const AnswerCaller& answer);

  EventLoop& loop_;
  const EntrySettings& settings_;
  EntryState state_;
  EntryDirectory directory_;  // Of state_.live.
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  std::uint64_t buffered_bytes_ =
      0;  // Invariant: sum of the body sizes in pending_requests_.
  std::uint64_t next_request_ = 1;
  TimePoint wake_at_ = kNever;
  Timer wake_timer_;
  BackendLink backends_;
  PlatformLink platform_;
  PeerLink peers_;
  FleetLink fleet_;
  Timer server_list_timer_;
  LoadPoller load_poller_;
  Metrics metrics_;
  SpanWriter spans_;
  Random random_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_ENTRY_CORE_H_
