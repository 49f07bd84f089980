// Passes events to Step() and executes the resulting actions.

#include "entry_core.h"

#include <chrono>

#include "caller_protocol.h"
#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

// The platform's VM list is updated with a delay, so frequent reads gain
// nothing; leaving marks set by operators arrive through the peers.
constexpr Duration kServerListInterval = Seconds(5);
constexpr Duration kServerListRetryInterval = Seconds(1);

std::string ClassLabel(RequestClass request_class) {
  return "class=\"" + std::string(NameOf(request_class)) + "\"";
}

std::int64_t UnixMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

// Returns whether a field of a backend server's response applies only to the
// connection to that server and is not passed to the caller.
bool IsHopByHopField(std::string_view name) {
  static const HttpFields hop_by_hop = {
      {"Connection", "1"}, {"Transfer-Encoding", "1"}, {"Content-Length", "1"},
      {"Keep-Alive", "1"}, {kShedField, "1"},          {"Date", "1"}};
  return !FindField(hop_by_hop, name).empty();
}

}  // namespace

EntryCore::EntryCore(EventLoop& loop,
                     const EntrySettings& settings,
                     const Incarnation& incarnation)
    : loop_(loop),
      settings_(settings),
      state_(MakeEntryState(settings.deployment,
                            settings.self,
                            incarnation,
                            incarnation.low)),
      wake_timer_(loop,
                  [this] {
                    wake_at_ = kNever;
                    Dispatch(TimerExpired{});
                  }),
      backends_(loop, settings.max_connections_per_server),
      platform_(loop, settings.deployment, incarnation),
      peers_(
          loop,
          settings,
          incarnation,
          [this] { return state_.configuration.version; },
          [this](const std::string& entry) { return PeerAddress(entry); }),
      fleet_(loop,
             settings,
             incarnation,
             peers_.client(),
             platform_,
             [this](const Event& event) { Dispatch(event); }),
      server_list_timer_(loop, [this] { ReadServerList(); }),
      load_poller_(
          loop,
          [this] { return OwnedServers(); },
          [this](const LoadReported& report) { Dispatch(report); }),
      spans_(settings.trace_file),
      random_{incarnation.high ^ incarnation.low} {}

boost::leaf::result<void> EntryCore::Start() {
  RefreshDirectory();
  PeerLinkHandlers handlers;
  handlers.dispatch = [this](const Event& event) { Dispatch(event); };
  handlers.exchange = [this](const PeerInfo& sender,
                             const PeerExchange& exchange) {
    fleet_.HandleExchange(sender, exchange);
  };
  handlers.find_item = [this](const std::string& key, std::uint64_t version) {
    return fleet_.FindPeerItem(key, version);
  };
  handlers.execute =
      [this](const PeerInfo& sender, const ForwardedRequest& request,
             std::function<void(const ForwardedAnswer&)> respond) {
        HandleForwardedRequest(sender, request, std::move(respond));
      };
  BOOST_LEAF_CHECK(peers_.Listen(handlers));
  platform_.SetObserver(
      [this](bool is_reachable) { Dispatch(TableChanged{is_reachable}); });
  fleet_.Start();
  ReadServerList();
  load_poller_.Start();
  return {};
}

void EntryCore::Stop() {
  fleet_.Leave();
  Dispatch(StopRequested{});
}

void EntryCore::ReadServerList() {
  platform_.ReadServers(
      [this](const std::optional<std::vector<BackendServer>>& servers) {
        if (servers)
          fleet_.SetServers(*servers);
        server_list_timer_.Schedule(
            loop_.Now() +
            (servers ? kServerListInterval : kServerListRetryInterval));
      });
}

std::vector<BackendServer> EntryCore::OwnedServers() const {
  std::vector<BackendServer> owned;
  for (const BackendServer& server : state_.servers) {
    const PoolKey key{server.region, server.service};
    if (state_.pools.contains(key) &&
        PoolOwner(state_, key) == state_.self.name)
      owned.push_back(server);
  }
  return owned;
}

std::string EntryCore::PeerAddress(const std::string& entry) const {
  for (const EntryVm& candidate : state_.live) {
    if (candidate.name == entry)
      return candidate.peer_address;
  }
  return {};
}

void EntryCore::Dispatch(const Event& event) {
  Actions actions;
  Step(state_, event, loop_.Now(), actions);
  if (std::holds_alternative<MembersChanged>(event) ||
      std::holds_alternative<StopRequested>(event))
    RefreshDirectory();
  for (const Action& action : actions)
    ExecuteAction(action);
}

void EntryCore::RefreshDirectory() {
  std::vector<EntryVm> entries = state_.live;
  if (state_.stopping && entries.size() > 1)
    std::erase_if(entries, [this](const EntryVm& entry) {
      return entry.name == state_.self.name;
    });
  directory_ = MakeEntryDirectory(std::move(entries));
}

void EntryCore::HandleCallerRequest(
    std::uint64_t id,
    HttpRequest request,
    std::function<void(const HttpResponse&)> respond) {
  std::string error_message;
  const TimePoint now = loop_.Now();
  const auto arrived = ReadServiceRequest(request, id, now, error_message);
  if (!arrived)
    return respond(MakeRefusal(Verdict::kNotRun, RefusalReason::kNotInPlan, {},
                               error_message));
  if (buffered_bytes_ + request.body.size() > settings_.max_buffered_bytes)
    return respond(MakeRefusal(Verdict::kNotRun, RefusalReason::kQueueFull,
                               Seconds(1), "request buffers are full"));
  fleet_.RaiseConfigurationFloor(arrived->configuration_floor);
  PendingRequest pending{.arrived = *arrived};
  pending.parent = ParseTraceparent(FindField(request.headers, kTraceField));
  pending.request = std::move(request);
  pending.respond = [respond = std::move(respond)](
                        const HttpResponse& response,
                        const AnswerCaller& /*answer*/) { respond(response); };
  StartRequest(id, std::move(pending));
}

void EntryCore::HandleForwardedRequest(
    const PeerInfo& sender,
    const ForwardedRequest& request,
    std::function<void(const ForwardedAnswer&)> respond) {
  const std::uint64_t id = NewRequestId();
  PendingRequest pending;
  pending.request = RestoreForwardedRequest(request);
  pending.parent = ParseTraceparent(request.traceparent);
  std::string error_message;
  const auto arrived =
      ReadServiceRequest(pending.request, id, loop_.Now(), error_message);
  if (!arrived ||
      buffered_bytes_ + request.body.size() > settings_.max_buffered_bytes)
    return respond({.verdict = Verdict::kNotRun,
                    .answer = {},
                    .reason = RefusalReason::kQueueFull});
  pending.arrived = *arrived;
  pending.arrived.forwarded = true;
  pending.arrived.origin = {sender.incarnation, request.origin_request,
                            request.origin_attempt};
  pending.arrived.deadline = request.deadline;
  pending.respond = [respond = std::move(respond)](const HttpResponse& response,
                                                   const AnswerCaller& answer) {
    ForwardedAnswer forwarded{.verdict = answer.verdict,
                              .answer = answer.stored,
                              .reason = answer.reason};
    if (answer.source == AnswerSource::kBackend)
      forwarded.answer = MakeStoredAnswer(response);
    respond(forwarded);
  };
  StartRequest(id, std::move(pending));
}

void EntryCore::StartRequest(std::uint64_t id, PendingRequest pending) {
  buffered_bytes_ += pending.request.body.size();
  pending.context = ChildContext(pending.parent, random_);
  pending.started_at = loop_.Now();
  const RequestArrived arrived = pending.arrived;
  metrics_.Count("cicadadrum_requests_total",
                 ClassLabel(arrived.request_class));
  pending_requests_.emplace(id, std::move(pending));
  Dispatch(arrived);
}

void EntryCore::ExecuteAction(const Action& action) {
  std::visit([this](const auto& alternative) { Execute(alternative); }, action);
}

void EntryCore::Execute(const SendSlotRequest& action) {
  const TimePoint requested_at = loop_.Now();
  peers_.StartSlotRequest(action, [this, action,
                                   requested_at](const Event& event) {
    const auto pending = pending_requests_.find(action.request);
    if (pending != pending_requests_.end())
      WriteHopSpan(pending->second, "slot request", requested_at, action.owner);
    Dispatch(event);
  });
}

void EntryCore::Execute(const CancelSlotRequest& action) {
  peers_.CancelSlot(action);
}

void EntryCore::Execute(const ReturnToPoolOwner& action) {
  peers_.ReturnSlot(action);
}

void EntryCore::Execute(const RequestLeaseReports& action) {
  peers_.SendLeaseReportRequests(action);
}

void EntryCore::Execute(const ReportLeases& action) {
  peers_.SendLeaseReport(action);
}

void EntryCore::Execute(const PublishBlockedItem& action) {
  fleet_.PublishBlockedState(action.item);
}

void EntryCore::Execute(const RespondToPeer& action) {
  const auto* grant = std::get_if<SlotGrant>(&action.answer);
  if (!peers_.RespondToSlotRequest(action) && grant != nullptr)
    Dispatch(PeerReturnedSlot{
        action.pool, grant->lease, AttemptOutcome::kNotSent, {}});
}

void EntryCore::Execute(const SendToBackend& action) {
  const auto found = pending_requests_.find(action.request);
  if (found == pending_requests_.end())
    return;
  HttpRequest request =
      MakeBackendRequest(found->second.request, found->second.arrived,
                         action.deadline - loop_.Now());
  std::erase_if(request.headers,
                [](const auto& field) { return field.first == kTraceField; });
  request.headers.emplace_back(kTraceField,
                               FormatTraceparent(found->second.context));
  backends_.Send(
      action, request,
      [this, action, sent_at = loop_.Now()](AttemptOutcome outcome,
                                            HttpResponse response) {
        const auto pending = pending_requests_.find(action.request);
        if (pending == pending_requests_.end())
          return;
        WriteHopSpan(pending->second, "backend attempt", sent_at,
                     action.server);
        const bool is_complete = VerdictOf(outcome) == Verdict::kRan ||
                                 outcome == AttemptOutcome::kShed;
        if (!is_complete)
          return Dispatch(
              BackendFailed{action.request, action.attempt, outcome});
        BackendResponded answered{action.request, action.attempt, outcome, {}};
        if (!IsIdempotent(pending->second.arrived.request_class))
          answered.answer = MakeStoredAnswer(response);
        pending->second.responses[action.attempt] = std::move(response);
        Dispatch(answered);
      });
}

void EntryCore::Execute(const CancelAtBackend& action) {
  backends_.Cancel(action);
}

HttpResponse EntryCore::MakeResponse(PendingRequest& pending,
                                     const AnswerCaller& answer) {
  if (answer.source == AnswerSource::kStored)
    return MakeStoredResponse(answer.stored);
  if (answer.source == AnswerSource::kSelf)
    return MakeRefusal(answer.verdict, answer.reason, answer.retry_after, "");
  const HttpResponse& received = pending.responses[answer.attempt];
  HttpResponse response{.status = received.status, .body = received.body};
  for (const auto& [name, value] : received.headers) {
    if (!IsHopByHopField(name))
      response.headers.emplace_back(name, value);
  }
  response.headers.emplace_back(kVerdictField, NameOf(answer.verdict));
  return response;
}

void EntryCore::Execute(const AnswerCaller& action) {
  const auto found = pending_requests_.find(action.request);
  if (found == pending_requests_.end())
    return;
  PendingRequest pending = std::move(found->second);
  pending_requests_.erase(found);
  buffered_bytes_ -= pending.request.body.size();
  HttpResponse response = MakeResponse(pending, action);
  response.headers.emplace_back(kVersionField,
                                std::to_string(state_.configuration.version));
  if (state_.stopping)
    response.headers.emplace_back(kUseEntryField, AlternativeEntryAddress());
  metrics_.Count("cicadadrum_answers_total",
                 "verdict=\"" + std::string(NameOf(action.verdict)) +
                     "\",reason=\"" + std::string(NameOf(action.reason)) +
                     "\"");
  metrics_.Observe("cicadadrum_request_seconds",
                   ClassLabel(pending.arrived.request_class),
                   loop_.Now() - pending.started_at);
  WriteRequestSpan(pending, action);
  pending.respond(response, action);
}

// Returns the address of another live entry VM, preferably in the same region,
// to which a caller can switch while this entry VM stops. Returns an empty
// string if there is none.
std::string EntryCore::AlternativeEntryAddress() const {
  const EntryVm* next = nullptr;
  for (const EntryVm& entry : state_.live) {
    if (entry.name == state_.self.name)
      continue;
    const bool is_preferred =
        next == nullptr || (entry.region == state_.self.region &&
                            next->region != state_.self.region);
    if (is_preferred)
      next = &entry;
  }
  return next == nullptr ? "" : next->caller_address;
}

void EntryCore::WriteHopSpan(const PendingRequest& pending,
                             const std::string& name,
                             TimePoint hop_started_at,
                             const std::string& peer) {
  Span span{.context = ChildContext(pending.context, random_),
            .parent_span = pending.context.span,
            .name = name};
  span.duration_microseconds = (loop_.Now() - hop_started_at).count();
  span.start_unix_microseconds =
      UnixMicroseconds() - span.duration_microseconds;
  span.attributes = {{"entry", settings_.self.name}, {"peer", peer}};
  spans_.Write(span);
}

void EntryCore::WriteRequestSpan(const PendingRequest& pending,
                                 const AnswerCaller& answer) {
  Span span{.context = pending.context,
            .parent_span = pending.parent ? pending.parent->span : 0,
            .name = "entry request"};
  span.duration_microseconds = (loop_.Now() - pending.started_at).count();
  span.start_unix_microseconds =
      UnixMicroseconds() - span.duration_microseconds;
  span.attributes = {
      {"entry", settings_.self.name},
      {"service", pending.arrived.service},
      {"class", std::string(NameOf(pending.arrived.request_class))},
      {"verdict", std::string(NameOf(answer.verdict))}};
  spans_.Write(span);
}

void EntryCore::Execute(const WriteClaims& action) {
  platform_.WriteClaimRows(action, [this](const ClaimWriteCompleted& answered) {
    Dispatch(answered);
  });
}

void EntryCore::Execute(const StoreResult& action) {
  platform_.StoreClaimResult(action);
}

void EntryCore::Execute(const ForwardToHome& action) {
  const auto found = pending_requests_.find(action.request);
  if (found == pending_requests_.end())
    return;
  ForwardedRequest request =
      MakeForwardedRequest(found->second.request, found->second.arrived,
                           FormatTraceparent(found->second.context));
  request.origin_request = action.request;
  request.origin_attempt = action.attempt;
  peers_.ForwardRequest(
      action.home, request,
      [this, action](const CallResult<ForwardedAnswer>& result) {
        HomeResponded answered{.request = action.request,
                               .attempt = action.attempt,
                               .reason = RefusalReason::kPeerUnreachable};
        answered.reached = result.outcome == CallOutcome::kAnswered;
        answered.sent = result.outcome != CallOutcome::kNotSent;
        answered.home_dead = fleet_.IsDead(action.home);
        if (answered.reached) {
          answered.verdict = result.value.verdict;
          answered.answer = result.value.answer;
          answered.reason = result.value.reason;
        }
        Dispatch(answered);
      });
}

void EntryCore::Execute(const WakeAt& action) {
  if (action.at >= wake_at_)
    return;
  wake_at_ = action.at;
  wake_timer_.Schedule(wake_at_);
}

void EntryCore::Execute(const StopCompleted& /*action*/) {
  peers_.RefuseNewWork();
  if (on_stopped)
    on_stopped();
}

}  // namespace cicadadrum
