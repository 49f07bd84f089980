// Runs the decision logic of LibSteering for one entry VM and stores the
// request bodies and backend responses that the decision logic does not see.

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

// A request in progress with its HTTP request, its trace context and the
// responses to its attempts.
struct PendingRequest {
  RequestArrived arrived;
  HttpRequest request;
  std::map<std::uint32_t, HttpResponse> responses;  // By attempt number.
  // Called once, with the response and the decision that the response was made
  // from.
  std::function<void(const HttpResponse&, const AnswerCaller&)> respond;
  std::optional<TraceContext> parent;  // From the traceparent field, if valid.
  TraceContext context;  // The span of this request at this entry VM.
  TimePoint started_at;
};

// Passes events to Step() and executes the actions that Step() returns.
class EntryCore {
 public:
  // `loop` and `settings` must outlive the object.
  EntryCore(EventLoop& loop,
            const EntrySettings& settings,
            const Incarnation& incarnation);

  // Listens for peers and starts reading the platform's state. Errors:
  // kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Start();
  // Notifies the peers and callers that this entry VM leaves. New requests are
  // refused after a grace period of 2 seconds; `on_stopped` is called when the
  // grace period is over and no request is in progress.
  void Stop();
  // Passes an event to Step() and executes the resulting actions.
  void Dispatch(const Event& event);

  // Starts a caller's request. `id` must come from NewRequestId(). `respond` is
  // called once with the response, possibly before this function returns.
  void HandleCallerRequest(std::uint64_t id,
                           HttpRequest request,
                           std::function<void(const HttpResponse&)> respond);

  // Starts a request that the peer `sender` forwarded because this entry VM is
  // the home of the request key. `respond` is called once, possibly before this
  // function returns.
  void HandleForwardedRequest(
      const PeerInfo& sender,
      const ForwardedRequest& request,
      std::function<void(const ForwardedAnswer&)> respond);

  std::uint64_t NewRequestId() { return next_request_++; }
  EntryState& state() { return state_; }
  // The entry VMs that lookup responses list. While this entry VM stops, they
  // include this entry VM only if no other entry VM is live.
  const EntryDirectory& directory() const { return directory_; }
  FleetLink& fleet() { return fleet_; }
  Metrics& metrics() { return metrics_; }
  // Called once the stop that Stop() began is complete. May be empty.
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
  // Returns the backend servers of the pools that this entry VM owns.
  std::vector<BackendServer> OwnedServers() const;
  std::string PeerAddress(const std::string& entry) const;
  std::string AlternativeEntryAddress() const;
  // Writes a trace span for an exchange with `peer` (a pool owner or a backend
  // server) that started at `hop_started_at` and ends now.
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
  EntryDirectory directory_;  // Built from state_.live.
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  std::uint64_t buffered_bytes_ =
      0;  // Bytes. Invariant: sum of the body sizes in pending_requests_.
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
