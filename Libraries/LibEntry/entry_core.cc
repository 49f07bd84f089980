// Events in, actions out.

#include "entry_core.h"

#include <chrono>

#include "caller_protocol.h"
#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

// The platform's list lags anyway; leaving marks of operators arrive through
// the peers.
constexpr Duration kServersInterval = Seconds(5);
constexpr Duration kServersRetry = Seconds(1);

std::string ClassLabel(RequestClass request_class) {
  return "class=\"" + std::string(NameOf(request_class)) + "\"";
}

std::int64_t UnixMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

// Fields of a backend server's response that apply to its connection and are
// not passed on.
bool IsHopField(std::string_view name) {
  static const HttpFields hop = {
      {"Connection", "1"}, {"Transfer-Encoding", "1"}, {"Content-Length", "1"},
      {"Keep-Alive", "1"}, {kShedField, "1"},          {"Date", "1"}};
  return !FindField(hop, name).empty();
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
      servers_timer_(loop, [this] { PollServers(); }),
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
    fleet_.Receive(sender, exchange);
  };
  handlers.find_item = [this](const std::string& key, std::uint64_t version) {
    return fleet_.FindPeerItem(key, version);
  };
  handlers.execute =
      [this](const PeerInfo& sender, const ForwardedRequest& request,
             std::function<void(const ForwardedAnswer&)> respond) {
        TakeForwarded(sender, request, std::move(respond));
      };
  BOOST_LEAF_CHECK(peers_.Listen(handlers));
  platform_.SetObserver([this](bool up) { Dispatch(TableChanged{up}); });
  fleet_.Start();
  PollServers();
  load_poller_.Start();
  return {};
}

void EntryCore::Stop() {
  fleet_.Leave();
  Dispatch(StopRequested{});
}

void EntryCore::PollServers() {
  platform_.ReadServers(
      [this](const std::optional<std::vector<BackendServer>>& servers) {
        if (servers)
          fleet_.SetServers(*servers);
        servers_timer_.Schedule(loop_.Now() +
                                (servers ? kServersInterval : kServersRetry));
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
    PerformAny(action);
}

void EntryCore::RefreshDirectory() {
  std::vector<EntryVm> entries = state_.live;
  if (state_.stopping && entries.size() > 1)
    std::erase_if(entries, [this](const EntryVm& entry) {
      return entry.name == state_.self.name;
    });
  directory_ = MakeEntryDirectory(std::move(entries));
}

void EntryCore::TakeRequest(std::uint64_t id,
                            HttpRequest request,
                            std::function<void(const HttpResponse&)> respond) {
  std::string problem;
  const TimePoint now = loop_.Now();
  const auto arrived = ReadServiceRequest(request, id, now, problem);
  if (!arrived)
    return respond(
        MakeRefusal(Verdict::kNotRun, RefusalReason::kNotInPlan, {}, problem));
  if (buffered_bytes_ + request.body.size() > settings_.max_buffered_bytes)
    return respond(MakeRefusal(Verdict::kNotRun, RefusalReason::kQueueFull,
                               Seconds(1), "buffers are full"));
  fleet_.HearFloor(arrived->configuration_floor);
  HeldRequest held{.arrived = *arrived};
  held.parent = ParseTraceparent(FindField(request.headers, kTraceField));
  held.request = std::move(request);
  held.respond = [respond = std::move(respond)](
                     const HttpResponse& response,
                     const AnswerCaller& /*answer*/) { respond(response); };
  Hold(id, std::move(held));
}

void EntryCore::TakeForwarded(
    const PeerInfo& sender,
    const ForwardedRequest& request,
    std::function<void(const ForwardedAnswer&)> respond) {
  const std::uint64_t id = NewRequestId();
  HeldRequest held;
  held.request = RestoreForwarded(request);
  held.parent = ParseTraceparent(request.traceparent);
  std::string problem;
  const auto arrived =
      ReadServiceRequest(held.request, id, loop_.Now(), problem);
  if (!arrived ||
      buffered_bytes_ + request.body.size() > settings_.max_buffered_bytes)
    return respond({.verdict = Verdict::kNotRun,
                    .answer = {},
                    .reason = RefusalReason::kQueueFull});
  held.arrived = *arrived;
  held.arrived.forwarded = true;
  held.arrived.origin = {sender.incarnation, request.origin_request,
                         request.origin_attempt};
  held.arrived.deadline = request.deadline;
  held.respond = [respond = std::move(respond)](const HttpResponse& response,
                                                const AnswerCaller& answer) {
    ForwardedAnswer forwarded{.verdict = answer.verdict,
                              .answer = answer.stored,
                              .reason = answer.reason};
    if (answer.source == AnswerSource::kBackend)
      forwarded.answer = KeepAnswer(response);
    respond(forwarded);
  };
  Hold(id, std::move(held));
}

void EntryCore::Hold(std::uint64_t id, HeldRequest held) {
  buffered_bytes_ += held.request.body.size();
  held.context = ChildContext(held.parent, random_);
  held.started_at = loop_.Now();
  const RequestArrived arrived = held.arrived;
  metrics_.Count("cicadadrum_requests_total",
                 ClassLabel(arrived.request_class));
  held_.emplace(id, std::move(held));
  Dispatch(arrived);
}

void EntryCore::PerformAny(const Action& action) {
  std::visit([this](const auto& present) { Perform(present); }, action);
}

void EntryCore::Perform(const SendSlotRequest& action) {
  const TimePoint asked_at = loop_.Now();
  peers_.AskForSlot(action, [this, action, asked_at](const Event& event) {
    const auto held = held_.find(action.request);
    if (held != held_.end())
      EndHop(held->second, "slot request", asked_at, action.owner);
    Dispatch(event);
  });
}

void EntryCore::Perform(const CancelSlotRequest& action) {
  peers_.CancelSlot(action);
}

void EntryCore::Perform(const ReturnToPoolOwner& action) {
  peers_.ReturnSlot(action);
}

void EntryCore::Perform(const RequestLeaseReports& action) {
  peers_.SendLeasesQuestion(action);
}

void EntryCore::Perform(const ReportLeases& action) {
  peers_.SendLeasesReport(action);
}

void EntryCore::Perform(const PublishBlockedItem& action) {
  fleet_.SpreadBlocked(action.item);
}

void EntryCore::Perform(const RespondToPeer& action) {
  const auto* grant = std::get_if<SlotGrant>(&action.answer);
  if (!peers_.AnswerSlot(action) && grant != nullptr)
    Dispatch(PeerReturnedSlot{
        action.pool, grant->lease, AttemptOutcome::kNotSent, {}});
}

void EntryCore::Perform(const SendToBackend& action) {
  const auto found = held_.find(action.request);
  if (found == held_.end())
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
        const auto held = held_.find(action.request);
        if (held == held_.end())
          return;
        EndHop(held->second, "backend attempt", sent_at, action.server);
        const bool whole = VerdictOf(outcome) == Verdict::kRan ||
                           outcome == AttemptOutcome::kShed;
        if (!whole)
          return Dispatch(
              BackendFailed{action.request, action.attempt, outcome});
        BackendAnswered answered{action.request, action.attempt, outcome, {}};
        if (!IsIdempotent(held->second.arrived.request_class))
          answered.answer = KeepAnswer(response);
        held->second.responses[action.attempt] = std::move(response);
        Dispatch(answered);
      });
}

void EntryCore::Perform(const CancelAtBackend& action) {
  backends_.Cancel(action);
}

HttpResponse EntryCore::MakeResponse(HeldRequest& held,
                                     const AnswerCaller& answer) {
  if (answer.source == AnswerSource::kStored)
    return MakeStored(answer.stored);
  if (answer.source == AnswerSource::kSelf)
    return MakeRefusal(answer.verdict, answer.reason, answer.retry_after, "");
  const HttpResponse& received = held.responses[answer.attempt];
  HttpResponse response{.status = received.status, .body = received.body};
  for (const auto& [name, value] : received.headers) {
    if (!IsHopField(name))
      response.headers.emplace_back(name, value);
  }
  response.headers.emplace_back(kVerdictField, NameOf(answer.verdict));
  return response;
}

void EntryCore::Perform(const AnswerCaller& action) {
  const auto found = held_.find(action.request);
  if (found == held_.end())
    return;
  HeldRequest held = std::move(found->second);
  held_.erase(found);
  buffered_bytes_ -= held.request.body.size();
  HttpResponse response = MakeResponse(held, action);
  response.headers.emplace_back(kVersionField,
                                std::to_string(state_.configuration.version));
  if (state_.stopping)
    response.headers.emplace_back(kUseEntryField, NextEntryAddress());
  metrics_.Count("cicadadrum_answers_total",
                 "verdict=\"" + std::string(NameOf(action.verdict)) +
                     "\",reason=\"" + std::string(NameOf(action.reason)) +
                     "\"");
  metrics_.Observe("cicadadrum_request_seconds",
                   ClassLabel(held.arrived.request_class),
                   loop_.Now() - held.started_at);
  EndSpan(held, action);
  held.respond(response, action);
}

// Another entry VM for a caller of this one, which is stopping.
std::string EntryCore::NextEntryAddress() const {
  const EntryVm* next = nullptr;
  for (const EntryVm& entry : state_.live) {
    if (entry.name == state_.self.name)
      continue;
    const bool nearer =
        next == nullptr || (entry.region == state_.self.region &&
                            next->region != state_.self.region);
    if (nearer)
      next = &entry;
  }
  return next == nullptr ? "" : next->caller_address;
}

void EntryCore::EndHop(const HeldRequest& held,
                       const std::string& name,
                       TimePoint began,
                       const std::string& peer) {
  Span span{.context = ChildContext(held.context, random_),
            .parent_span = held.context.span,
            .name = name};
  span.duration_microseconds = (loop_.Now() - began).count();
  span.start_unix_microseconds =
      UnixMicroseconds() - span.duration_microseconds;
  span.attributes = {{"entry", settings_.self.name}, {"peer", peer}};
  spans_.Write(span);
}

void EntryCore::EndSpan(const HeldRequest& held, const AnswerCaller& answer) {
  Span span{.context = held.context,
            .parent_span = held.parent ? held.parent->span : 0,
            .name = "entry request"};
  span.duration_microseconds = (loop_.Now() - held.started_at).count();
  span.start_unix_microseconds =
      UnixMicroseconds() - span.duration_microseconds;
  span.attributes = {{"entry", settings_.self.name},
                     {"service", held.arrived.service},
                     {"class", std::string(NameOf(held.arrived.request_class))},
                     {"verdict", std::string(NameOf(answer.verdict))}};
  spans_.Write(span);
}

void EntryCore::Perform(const WriteClaims& action) {
  platform_.WriteClaimRows(
      action, [this](const WriteAnswered& answered) { Dispatch(answered); });
}

void EntryCore::Perform(const StoreResult& action) {
  platform_.StoreClaimResult(action);
}

void EntryCore::Perform(const ForwardToHome& action) {
  const auto found = held_.find(action.request);
  if (found == held_.end())
    return;
  ForwardedRequest request =
      MakeForwarded(found->second.request, found->second.arrived,
                    FormatTraceparent(found->second.context));
  request.origin_request = action.request;
  request.origin_attempt = action.attempt;
  peers_.Execute(action.home, request,
                 [this, action](const CallResult<ForwardedAnswer>& result) {
                   HomeResponded answered{
                       .request = action.request,
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

void EntryCore::Perform(const WakeAt& action) {
  if (action.at >= wake_at_)
    return;
  wake_at_ = action.at;
  wake_timer_.Schedule(wake_at_);
}

void EntryCore::Perform(const StopCompleted& /*action*/) {
  peers_.RefuseNewWork();
  if (on_stopped)
    on_stopped();
}

}  // namespace cicadadrum
