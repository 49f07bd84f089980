// Calls between this entry VM and its peers.

#include "peer_link.h"

#include <spdlog/logger.h>

#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

// If the return of a slot does not arrive, the slot becomes free when its lease
// expires.
constexpr Duration kReturnDeadline = Seconds(2);

PeerSettings MakePeerSettings(
    EventLoop& loop,
    const EntrySettings& settings,
    const Incarnation& incarnation,
    std::function<std::uint64_t()> configuration_version) {
  PeerSettings peer;
  peer.name = settings.self.name;
  peer.incarnation = incarnation;
  peer.configuration_version = std::move(configuration_version);
  peer.now = [&loop] { return loop.Now(); };
  peer.seed = incarnation.low;
  return peer;
}

Event ReadSlotAnswer(const SendSlotRequest& action,
                     const CallResult<SlotAnswer>& result) {
  if (result.outcome != CallOutcome::kAnswered)
    return SlotRefused{
        action.request, action.attempt, RefusalReason::kPeerUnreachable, {}};
  if (const auto* grant = std::get_if<SlotGrant>(&result.value))
    return SlotGranted{action.request, action.attempt, grant->lease,
                       grant->server, grant->address};
  const auto& refusal = std::get<SlotRefusal>(result.value);
  return SlotRefused{action.request, action.attempt, refusal.reason,
                     refusal.retry_after};
}

}  // namespace

PeerLink::PeerLink(
    EventLoop& loop,
    const EntrySettings& settings,
    const Incarnation& incarnation,
    std::function<std::uint64_t()> configuration_version,
    std::function<std::string(const std::string& entry)> find_address)
    : loop_(loop),
      listen_address_(settings.self.peer_address),
      find_address_(std::move(find_address)),
      kj_loop_(loop.base()),
      peer_settings_(MakePeerSettings(loop,
                                      settings,
                                      incarnation,
                                      std::move(configuration_version))),
      client_(kj_loop_, peer_settings_) {}

boost::leaf::result<void> PeerLink::Listen(const PeerLinkHandlers& handlers) {
  PeerHandlers server_handlers;
  server_handlers.request_slot = [handlers](const PeerInfo& /*sender*/,
                                            const PoolKey& pool,
                                            const SlotRequest& slot_request) {
    handlers.dispatch(PeerRequestedSlot{pool, slot_request});
  };
  server_handlers.cancel_slot = [handlers](const PoolKey& pool,
                                           const std::string& entry,
                                           std::uint64_t id) {
    handlers.dispatch(PeerCancelledSlot{pool, entry, id});
  };
  server_handlers.return_slot = [handlers](const PeerInfo& /*sender*/,
                                           const SlotReturn& returned) {
    handlers.dispatch(PeerReturnedSlot{returned.pool, returned.lease,
                                       returned.outcome, returned.latency});
  };
  server_handlers.request_leases = [handlers](const PeerInfo& sender,
                                              const PoolKey& pool) {
    handlers.dispatch(PeerRequestedLeases{pool, sender.name});
  };
  server_handlers.report_leases = [handlers](const PeerInfo& sender,
                                             const LeasesReport& report) {
    handlers.dispatch(
        PeerReportedLeases{report.pool, sender.name, report.leases});
  };
  server_handlers.execute = [this, handlers](std::uint64_t call,
                                             const PeerInfo& sender,
                                             const ForwardedRequest& request) {
    handlers.execute(sender, request,
                     [this, call](const ForwardedAnswer& answer) {
                       server_->RespondToExecute(call, answer);
                     });
  };
  // A forwarded request is not cancelled: it continues, and its response is
  // stored for a repeat with the same request key.
  server_handlers.cancel_execute = [](std::uint64_t /*call*/) {};
  // This entry VM keeps no tables of rows, so it refuses requests to relay
  // them.
  server_handlers.follow_rows =
      [this](std::uint64_t call, const PeerInfo& /*sender*/,
             const discovery::RelayRequest& /*request*/) {
        server_->RespondToFollowRows(
            call, {.failure = discovery::TableFailure::kRefused});
      };
  server_handlers.cancel_follow_rows = [](std::uint64_t /*call*/) {};
  server_handlers.exchange = [handlers](const PeerInfo& sender,
                                        const PeerExchange& exchange) {
    handlers.exchange(sender, exchange);
  };
  server_handlers.fetch_item = [handlers](const PeerInfo& /*sender*/,
                                          const std::string& key,
                                          std::uint64_t version) {
    return handlers.find_item(key, version);
  };
  BOOST_LEAF_ASSIGN(
      server_, PeerServer::Listen(kj_loop_, listen_address_, peer_settings_,
                                  std::move(server_handlers)));
  return {};
}

void PeerLink::RefuseNewWork() {
  server_->RefuseNewWork();
}

void PeerLink::StartSlotRequest(const SendSlotRequest& action,
                                std::function<void(const Event&)> done) {
  const AttemptId id{action.request, action.attempt};
  const auto on_response = [this, id, action, done = std::move(done)](
                               const CallResult<SlotAnswer>& result) {
    slot_calls_.erase(id);
    done(ReadSlotAnswer(action, result));
  };
  slot_calls_[id] =
      client_.RequestSlot(find_address_(action.owner), action.pool,
                          action.slot_request, on_response);
}

void PeerLink::CancelSlot(const CancelSlotRequest& action) {
  const auto found = slot_calls_.find({action.request, action.attempt});
  if (found == slot_calls_.end())
    return;
  client_.Cancel(found->second);
  slot_calls_.erase(found);
}

void PeerLink::ReturnSlot(const ReturnToPoolOwner& action) {
  client_.ReturnSlot(
      find_address_(action.owner),
      {action.pool, action.lease, action.outcome, action.latency},
      loop_.Now() + kReturnDeadline,
      [](const CallResult<CallAcknowledged>& /*result*/) {});
}

void PeerLink::SendLeaseReportRequests(const RequestLeaseReports& action) {
  for (const std::string& entry : action.entries) {
    client_.RequestLeases(
        find_address_(entry), action.pool, loop_.Now() + kReturnDeadline,
        [entry](const CallResult<CallAcknowledged>& result) {
          if (result.outcome != CallOutcome::kAnswered)
            LoggerFor("peer")->warn(
                "could not request a report of leases from {}: {}", entry,
                NameOf(result.fault));
        });
  }
}

void PeerLink::SendLeaseReport(const ReportLeases& action) {
  client_.ReportLeases(
      find_address_(action.owner), {action.pool, action.leases},
      loop_.Now() + kReturnDeadline,
      [owner = action.owner](const CallResult<CallAcknowledged>& result) {
        if (result.outcome != CallOutcome::kAnswered)
          LoggerFor("peer")->warn("could not send a report of leases to {}: {}",
                                  owner, NameOf(result.fault));
      });
}

bool PeerLink::RespondToSlotRequest(const RespondToPeer& action) {
  return server_->RespondToSlotRequest(action.pool, action.answer);
}

CallId PeerLink::ForwardRequest(const std::string& entry,
                                const ForwardedRequest& request,
                                ResultCallback<ForwardedAnswer> done) {
  return client_.Execute(find_address_(entry), request, std::move(done));
}

}  // namespace cicadadrum
