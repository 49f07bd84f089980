// Events in, actions out.

#include "entry_core.h"

#include <chrono>

#include "caller_protocol.h"
#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

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
  const HttpFields hop = {{"Connection", ""},     {"Transfer-Encoding", ""},
                          {"Content-Length", ""}, {"Keep-Alive", ""},
                          {kShedField, ""},       {"Date", ""}};
  return std::any_of(hop.begin(), hop.end(), [&](const auto& field) {
    return FindField({{std::string(name), "1"}}, field.first) == "1";
  });
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
      platform_(loop,
                settings.deployment,
                [this](const Event& event) { Dispatch(event); }),
      spans_(settings.trace_file),
      random_{incarnation.high} {}

void EntryCore::Start() {
  platform_.Start();
}

void EntryCore::Dispatch(const Event& event) {
  Actions actions;
  Step(state_, event, loop_.Now(), actions);
  for (Action& action : actions)
    Perform(action);
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
  buffered_bytes_ += request.body.size();
  metrics_.Count("cicadadrum_requests_total",
                 ClassLabel(arrived->request_class));
  HeldRequest& held = held_[id];
  held.parent = ParseTraceparent(FindField(request.headers, kTraceField));
  held.context = ChildContext(held.parent, random_);
  held.arrived = *arrived;
  held.request = std::move(request);
  held.respond = std::move(respond);
  held.started_at = now;
  Dispatch(*arrived);
}

void EntryCore::Perform(Action& action) {
  std::visit([this](const auto& present) { Perform(present); }, action);
}

// FIXME: Until LibPeer is connected every entry VM owns its pools, so no peer
// is ever asked.
void EntryCore::Perform(const AskPoolOwner& action) {
  Dispatch(SlotRefused{
      action.request, action.attempt, RefusalReason::kPeerUnreachable, {}});
}

void EntryCore::Perform(const CancelAtPoolOwner& /*action*/) {}
void EntryCore::Perform(const ReturnToPoolOwner& /*action*/) {}
void EntryCore::Perform(const AnswerPeer& /*action*/) {}

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
      [this, action](AttemptOutcome outcome, HttpResponse response) {
        const auto held = held_.find(action.request);
        if (held == held_.end())
          return;
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
  metrics_.Count("cicadadrum_answers_total",
                 "verdict=\"" + std::string(NameOf(action.verdict)) +
                     "\",reason=\"" + std::string(NameOf(action.reason)) +
                     "\"");
  metrics_.Observe("cicadadrum_request_seconds",
                   ClassLabel(held.arrived.request_class),
                   loop_.Now() - held.started_at);
  EndSpan(held, action);
  held.respond(response);
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
  platform_.WriteClaimRows(action);
}

void EntryCore::Perform(const StoreResult& action) {
  platform_.StoreClaimResult(action);
}

void EntryCore::Perform(const AskHome& action) {
  Dispatch(HomeAnswered{.request = action.request,
                        .reason = RefusalReason::kPeerUnreachable});
}

void EntryCore::Perform(const WakeAt& action) {
  if (action.at >= wake_at_)
    return;
  wake_at_ = action.at;
  wake_timer_.Schedule(wake_at_);
}

void EntryCore::Perform(const Stopped& /*action*/) {
  if (on_stopped)
    on_stopped();
}

}  // namespace cicadadrum
