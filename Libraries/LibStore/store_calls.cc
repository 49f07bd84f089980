// HTTP calls to the platform according to the policy of policy.h.

#include "store_calls.h"

#include <event2/event.h>

#include <algorithm>

namespace cicadadrum {

StoreCalls::StoreCalls(EventLoop& loop, const StoreSettings& settings)
    : state_(MakeStoreState(settings.policy, settings.seed)),
      connections_(loop,
                   settings.address,
                   settings.max_connections,
                   settings.max_response_bytes,
                   [this](std::uint64_t id,
                          StoreAttemptOutcome outcome,
                          const StoreHttpResponse& response) {
                     EndAttempt(id, outcome, response);
                   }) {
  apply_event_ = event_new(
      loop.base(), -1, 0,
      [](evutil_socket_t, short, void* argument) {
        static_cast<StoreCalls*>(argument)->ApplyActions();
      },
      this);
  timer_event_ = evtimer_new(
      loop.base(),
      [](evutil_socket_t, short, void* argument) {
        static_cast<StoreCalls*>(argument)->Step(StoreTimerExpired{});
      },
      this);
}

// Applies an event to the policy and queues the resulting actions. The event
// loop applies the actions later and in order, so that a callback never runs
// inside the function that started its call.
void StoreCalls::Step(const StoreEvent& event) {
  StoreActions actions;
  StepStore(state_, event, StoreNow(), actions);
  for (const StoreAction& action : actions)
    pending_actions_.push_back(action);
  event_active(apply_event_, EV_TIMEOUT, 0);
}

void StoreCalls::ApplyActions() {
  while (!pending_actions_.empty()) {
    const StoreAction action = pending_actions_.front();
    pending_actions_.pop_front();
    Apply(action);
  }
}

void StoreCalls::SendRequest(const SendAttempt& send) {
  PendingCall& call = calls_.at(send.call);
  call.attempt_id = next_attempt_id_++;
  attempts_in_flight_[call.attempt_id] = send;
  connections_.Send(call.attempt_id, call.request);
}

void StoreCalls::CancelRequest(const CancelAttempt& abandon) {
  const std::uint64_t id = calls_.at(abandon.call).attempt_id;
  attempts_in_flight_.erase(id);
  connections_.Cancel(id);
}

void StoreCalls::EndAttempt(std::uint64_t id,
                            StoreAttemptOutcome outcome,
                            const StoreHttpResponse& response) {
  const auto found = attempts_in_flight_.find(id);
  if (found == attempts_in_flight_.end())
    return;
  const SendAttempt sent = found->second;
  attempts_in_flight_.erase(found);
  calls_.at(sent.call).response = response;
  Step(AttemptEnded{sent.call, sent.number, outcome});
}

void StoreCalls::Apply(const StoreAction& action) {
  if (const auto* send = std::get_if<SendAttempt>(&action))
    SendRequest(*send);
  else if (const auto* abandon = std::get_if<CancelAttempt>(&action))
    CancelRequest(*abandon);
  else if (const auto* end = std::get_if<EndCall>(&action))
    FinishCall(*end);
  else if (const auto* wake = std::get_if<SetStoreTimer>(&action))
    SetTimer(wake->at);
  else if (const auto* changed =
               std::get_if<PlatformAvailabilityChanged>(&action);
           changed != nullptr && observer_)
    observer_(changed->up);
}

void StoreCalls::FinishCall(const EndCall& end) {
  const auto found = calls_.find(end.call);
  PendingCall call = std::move(found->second);
  calls_.erase(found);
  call.done(end.outcome, call.response);
}

StoreCalls::~StoreCalls() {
  event_free(timer_event_);
  event_free(apply_event_);
}

void StoreCalls::SetTimer(TimePoint at) {
  const Duration wait = std::max(Duration(0), at - StoreNow());
  const timeval after = {static_cast<time_t>(wait.count() / 1'000'000),
                         static_cast<suseconds_t>(wait.count() % 1'000'000)};
  evtimer_add(timer_event_, &after);
}

void StoreCalls::Call(StoreAccess access,
                      const StoreHttpRequest& request,
                      Duration timeout,
                      ResponseCallback done) {
  const std::uint64_t id = next_call_id_++;
  calls_[id] = {request, std::move(done), {}};
  Step(CallStarted{id, access, StoreNow() + timeout});
}

}  // namespace cicadadrum
