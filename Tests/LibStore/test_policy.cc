// Tests of the policy of calls to the platform.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cicadadrum/store/policy.h"
#include "cicadadrum/store/rows.h"

namespace cicadadrum {

namespace {

template <typename T>
std::vector<T> ActionsOfType(const StoreActions& actions) {
  std::vector<T> found;
  for (const StoreAction& action : actions) {
    if (const T* matching = std::get_if<T>(&action))
      found.push_back(*matching);
  }
  return found;
}

struct Fixture {
  StoreState state = MakeStoreState({}, 7);
  TimePoint now{Seconds(10)};

  StoreActions Step(const StoreEvent& event) {
    StoreActions actions;
    StepStore(state, event, now, actions);
    return actions;
  }
  StoreActions StartCall(std::uint64_t id, StoreAccess access) {
    return Step(CallStarted{id, access, now + Seconds(5)});
  }
};

}  // namespace

// Guards against reporting kFailed for a write of which an attempt without a
// response may have taken effect.
TEST_CASE(
    "a write with a lost attempt ends as uncertain even if the retry is "
    "refused") {
  Fixture fixture;
  fixture.state.policy.max_attempts = 2;
  CHECK(ActionsOfType<SendAttempt>(fixture.StartCall(1, StoreAccess::kWrite))
            .size() == 1);
  fixture.Step(AttemptEnded{1, 1, StoreAttemptOutcome::kLost});
  fixture.now += Seconds(1);
  CHECK(
      ActionsOfType<SendAttempt>(fixture.Step(StoreTimerExpired{}))[0].number ==
      2);
  const auto ended = ActionsOfType<EndCall>(
      fixture.Step(AttemptEnded{1, 2, StoreAttemptOutcome::kRefused}));
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].outcome == StoreCallOutcome::kUncertain);
}

// Guards against sending load to a platform that is unavailable, and against
// sending no requests to a platform that is available again.
TEST_CASE(
    "an open circuit breaker fails calls at once and probes with one call") {
  Fixture fixture;
  fixture.state.policy.max_attempts = 1;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    fixture.StartCall(id, StoreAccess::kRead);
    fixture.Step(AttemptEnded{id, 1, StoreAttemptOutcome::kRefused});
  }
  const StoreActions refused = fixture.StartCall(6, StoreAccess::kRead);
  CHECK(ActionsOfType<SendAttempt>(refused).empty());
  CHECK(ActionsOfType<EndCall>(refused)[0].outcome ==
        StoreCallOutcome::kFailed);
  fixture.now += fixture.state.policy.open_duration;
  CHECK(ActionsOfType<SendAttempt>(fixture.StartCall(7, StoreAccess::kRead))
            .size() == 1);
  CHECK(ActionsOfType<SendAttempt>(fixture.StartCall(8, StoreAccess::kRead))
            .empty());
  const StoreActions up =
      fixture.Step(AttemptEnded{7, 1, StoreAttemptOutcome::kAnswered});
  CHECK(ActionsOfType<PlatformAvailabilityChanged>(up)[0].up);
  CHECK(ActionsOfType<SendAttempt>(fixture.StartCall(9, StoreAccess::kRead))
            .size() == 1);
}

// Guards against a call that never ends or ends twice, against an attempt of a
// call that has ended, and against more attempts than the rate limits and the
// retry budget allow.
TEST_CASE(
    "any sequence of events ends each call once and respects the rate limits") {
  CHECK(rc::check([](const std::vector<std::uint16_t>& choices) {
    Fixture fixture;
    std::map<std::uint64_t, std::uint32_t> in_flight;
    std::set<std::uint64_t> ended;
    std::uint64_t started_calls = 0;
    std::size_t attempts = 0;
    const auto apply = [&](const StoreActions& actions) {
      for (const SendAttempt& send : ActionsOfType<SendAttempt>(actions)) {
        RC_ASSERT(!ended.contains(send.call));
        in_flight[send.call] = send.number;
        ++attempts;
      }
      for (const EndCall& end : ActionsOfType<EndCall>(actions))
        RC_ASSERT(ended.insert(end.call).second);
    };
    for (const std::uint16_t choice : choices) {
      fixture.now += Milliseconds(choice % 128);
      if (choice % 3 == 0) {
        apply(fixture.StartCall(++started_calls, StoreAccess::kWrite));
      } else if (choice % 3 == 1 && !in_flight.empty()) {
        const auto [call, number] = *in_flight.begin();
        in_flight.erase(call);
        apply(fixture.Step(AttemptEnded{
            call, number, static_cast<StoreAttemptOutcome>(choice / 3 % 4)}));
      } else {
        apply(fixture.Step(StoreTimerExpired{}));
      }
    }
    const StorePolicy& policy = fixture.state.policy;
    const double seconds =
        static_cast<double>((fixture.now - TimePoint(Seconds(10))).count()) /
        1e6;
    const double burst = policy.writes_per_second * 0.25;
    RC_ASSERT(static_cast<double>(attempts) <=
              burst + policy.writes_per_second * seconds + 1);
    RC_ASSERT(static_cast<double>(attempts) <=
              static_cast<double>(started_calls) * 1.1 +
                  policy.max_retry_tokens);
    fixture.now += Seconds(6);
    apply(fixture.Step(StoreTimerExpired{}));
    RC_ASSERT(ended.size() == started_calls);
  }));
}

// Guards against two writes of the same row in one transaction, which would not
// preserve their order.
TEST_CASE("two writes of the same row go into different batches") {
  RowWriteQueue queue;
  queue.waiting = {{1, {.key = "a"}}, {2, {.key = "b"}}, {3, {.key = "a"}}};
  CHECK(StartNextBatch(queue).size() == 2);
  queue.in_flight.clear();
  CHECK(StartNextBatch(queue)[0].id == 3);
}

}  // namespace cicadadrum
