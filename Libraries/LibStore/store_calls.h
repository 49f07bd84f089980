// HTTP calls to the platform according to the policy of policy.h.

#ifndef CICADADRUM_STORE_STORE_CALLS_H_
#define CICADADRUM_STORE_STORE_CALLS_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>

#include "cicadadrum/store/policy.h"
#include "cicadadrum/store/store_client.h"
#include "connections.h"

struct event;

namespace cicadadrum {

// Returns the present time of the clock that the policy uses.
inline TimePoint StoreNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

// Carries out the actions of the policy: sends attempts over Connections, runs
// the timer and reports outcomes.
class StoreCalls {
 public:
  // Receives the outcome of a call. The response is valid only for kAnswered.
  using ResponseCallback =
      std::function<void(StoreCallOutcome, const StoreHttpResponse&)>;

  StoreCalls(EventLoop& loop, const StoreSettings& settings);
  ~StoreCalls();
  StoreCalls(const StoreCalls&) = delete;
  StoreCalls& operator=(const StoreCalls&) = delete;

  // Sets the function that is called when the circuit breaker opens or closes.
  void SetObserver(std::function<void(bool up)> observer) {
    observer_ = std::move(observer);
  }

  // Starts a call. `timeout` covers all attempts. `done` is called exactly
  // once, from the event loop, unless this object is destroyed first.
  void Call(StoreAccess access,
            const StoreHttpRequest& request,
            Duration timeout,
            ResponseCallback done);

 private:
  struct PendingCall {
    StoreHttpRequest request;
    ResponseCallback done;
    StoreHttpResponse response;    // Response to the last attempt.
    std::uint64_t attempt_id = 0;  // Identifier of the last attempt.
  };

  void Step(const StoreEvent& event);
  void ApplyActions();
  void Apply(const StoreAction& action);
  void SendRequest(const SendAttempt& send);
  void CancelRequest(const CancelAttempt& abandon);
  void EndAttempt(std::uint64_t id,
                  StoreAttemptOutcome outcome,
                  const StoreHttpResponse& response);
  void FinishCall(const EndCall& end);
  void SetTimer(TimePoint at);

  StoreState state_;
  std::map<std::uint64_t, PendingCall> calls_;  // Removed by EndCall.
  std::uint64_t next_call_id_ = 1;
  std::map<std::uint64_t, SendAttempt>
      attempts_in_flight_;  // By request identifier.
  std::uint64_t next_attempt_id_ = 1;
  std::deque<StoreAction> pending_actions_;  // Oldest first.
  std::function<void(bool up)> observer_;
  event* timer_event_ = nullptr;
  event* apply_event_ = nullptr;  // Runs ApplyActions from the event loop.
  Connections connections_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_STORE_CALLS_H_
