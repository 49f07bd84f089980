// HTTP calls to the platform under the policy of policy.h.

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
struct event_base;

namespace cicadadrum {

// The clock of the policy.
inline TimePoint StoreNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

class StoreCalls {
 public:
  // The response is set for kAnswered.
  using Response =
      std::function<void(StoreCallOutcome, const StoreHttpResponse&)>;

  StoreCalls(event_base* base, const StoreSettings& settings);
  ~StoreCalls();
  StoreCalls(const StoreCalls&) = delete;
  StoreCalls& operator=(const StoreCalls&) = delete;

  void SetObserver(std::function<void(bool up)> observer) {
    observer_ = std::move(observer);
  }

  // `done` is called exactly once, from the loop.
  void Call(StoreAccess access,
            const StoreHttpRequest& request,
            Duration timeout,
            Response done);

 private:
  struct PendingCall {
    StoreHttpRequest request;
    Response done;
    StoreHttpResponse response;    // Of the last attempt.
    std::uint64_t attempt_id = 0;  // Of the last attempt.
  };

  void Step(const StoreEvent& event);
  void ApplyActions();
  void Apply(const StoreAction& action);
  void SendOne(const SendAttempt& send);
  void CancelOne(const AbandonAttempt& abandon);
  void EndAttempt(std::uint64_t id,
                  StoreAttemptOutcome outcome,
                  const StoreHttpResponse& response);
  void EndOne(const EndCall& end);
  void SetTimer(TimePoint at);

  StoreState state_;
  std::map<std::uint64_t, PendingCall> calls_;  // Until EndCall is applied.
  std::uint64_t next_call_ = 1;
  std::map<std::uint64_t, SendAttempt> attempts_;  // At Connections.
  std::uint64_t next_attempt_ = 1;
  std::deque<StoreAction> actions_;  // To be applied, oldest first.
  std::function<void(bool up)> observer_;
  event* timer_ = nullptr;
  event* apply_ = nullptr;  // Applies `actions_` from the loop.
  Connections connections_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_STORE_STORE_CALLS_H_
