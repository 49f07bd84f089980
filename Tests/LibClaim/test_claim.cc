// Tests of the claim functions at one entry VM.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

namespace {

struct Fixture {
  ClaimState state{.self = "entry-1", .incarnation = {1, 2}};
  TimePoint now{Seconds(1)};
  std::uint64_t next_request = 1;

  ClaimActions Run(const ClaimEvent& event) {
    ClaimActions actions;
    StepClaim(state, event, now, actions);
    return actions;
  }
  ClaimActions Request(const std::string& key) {
    const std::optional<RequestKey> parsed = ParseRequestKey(key);
    REQUIRE(parsed);
    return Run(ClaimRequested{.request = next_request++,
                              .key = *parsed,
                              .deadline = now + Seconds(5)});
  }
  ClaimActions AnswerWrite(const std::string& key, ClaimWriteOutcome outcome) {
    return Run(
        ClaimWriteCompleted{state.batch_in_flight, {{key, outcome, {}}}});
  }
  ClaimActions Expire(Duration passed) {
    now += passed;
    return Run(ClaimTimerExpired{});
  }
};

template <typename T>
const T* Find(const ClaimActions& actions) {
  for (const ClaimAction& action : actions) {
    if (const T* found = std::get_if<T>(&action))
      return found;
  }
  return nullptr;
}

bool IsSent(const ClaimActions& actions) {
  const auto* resolve = Find<Resolve>(actions);
  return resolve != nullptr && resolve->decision == ClaimDecision::kSend;
}

}  // namespace

// Guards against a rate of transactions that grows with the request rate.
TEST_CASE("one transaction is in flight and the next has all queued claims") {
  Fixture fixture;
  CHECK(Find<WriteClaims>(fixture.Request("key-a"))->writes.size() == 1);
  CHECK(Find<WriteClaims>(fixture.Request("key-b")) == nullptr);
  CHECK(Find<WriteClaims>(fixture.Request("key-c")) == nullptr);
  const ClaimActions actions =
      fixture.AnswerWrite("key-a", ClaimWriteOutcome::kInserted);
  CHECK(IsSent(actions));
  REQUIRE(Find<WriteClaims>(actions) != nullptr);
  CHECK(Find<WriteClaims>(actions)->writes.size() == 2);
}

// Guards against sending a request with a caller's key without a row, and
// against issuing keys that need the table while the table is down.
TEST_CASE("a caller's key is refused as not run while the table is down") {
  Fixture fixture;
  fixture.Request("key-a");
  const ClaimActions actions =
      fixture.AnswerWrite("key-a", ClaimWriteOutcome::kFailed);
  REQUIRE(Find<Resolve>(actions) != nullptr);
  CHECK(Find<Resolve>(actions)->verdict == Verdict::kNotRun);
  CHECK(Find<Resolve>(actions)->reason == RefusalReason::kStoreDown);
  const RequestKey key = IssueRequestKey(fixture.state);
  CHECK(key.kind == KeyKind::kHomeOnly);
  CHECK(IsSent(fixture.Request(key.text)));
}

// Guards against losing a claim when the response to its write was lost, and
// against a false verdict for the request.
TEST_CASE("an uncertain claim is written again and used by a later repeat") {
  Fixture fixture;
  const ClaimActions first_write = fixture.Request("key-a");
  const std::uint64_t claim =
      Find<WriteClaims>(first_write)->writes[0].row.claim;
  fixture.AnswerWrite("key-a", ClaimWriteOutcome::kUncertain);
  const ClaimActions again = fixture.Expire(Seconds(1));
  REQUIRE(Find<WriteClaims>(again) != nullptr);
  CHECK(Find<WriteClaims>(again)->writes[0].row.claim == claim);
  const ClaimActions expired = fixture.Expire(Seconds(5));
  REQUIRE(Find<Resolve>(expired) != nullptr);
  CHECK(Find<Resolve>(expired)->verdict == Verdict::kNotRun);
  fixture.AnswerWrite("key-a", ClaimWriteOutcome::kUncertain);
  fixture.Request("key-a");
  ClaimRow row{.incarnation = fixture.state.incarnation, .claim = claim};
  CHECK(IsSent(fixture.Run(
      ClaimWriteCompleted{fixture.state.batch_in_flight,
                          {{"key-a", ClaimWriteOutcome::kExists, row}}})));
}

// Guards against unbounded memory for responses, and against a second run of a
// request whose response was removed.
TEST_CASE("stored responses stay within their bounds") {
  Fixture fixture;
  fixture.state.limits.max_answer_bytes = 3000;
  fixture.state.table_up = false;
  std::vector<std::string> keys;
  for (int i = 0; i < 5; ++i) {
    keys.push_back(IssueRequestKey(fixture.state).text);
    CHECK(IsSent(fixture.Request(keys.back())));
    const std::size_t size = i == 4 ? kMaxStoredBody + 1 : 1000;
    fixture.Run(
        RequestFinished{fixture.next_request - 1,
                        Verdict::kRan,
                        {.status = 200, .body = std::string(size, 'x')}});
  }
  CHECK(fixture.state.answer_bytes == 3000);
  CHECK(Find<Resolve>(fixture.Request(keys[4]))->answer.truncated);
  CHECK(Find<Resolve>(fixture.Request(keys[3]))->answer.body.size() == 1000);
  const ClaimActions forgotten = fixture.Request(keys[0]);
  CHECK(Find<Resolve>(forgotten)->verdict == Verdict::kMayHaveRun);
}

// Guards against a second run after any sequence of removed records and of
// watermark advances.
TEST_CASE("a home-only key that ran is never sent again") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& choices) {
    Fixture fixture;
    fixture.state.table_up = false;
    fixture.state.limits.max_ended = 3;
    fixture.state.limits.max_used = 4;
    std::vector<std::string> keys;
    std::set<std::string> ran;
    for (const std::uint8_t choice : choices) {
      if (choice % 4 == 0 || keys.empty())
        keys.push_back(IssueRequestKey(fixture.state).text);
      const std::string key = keys[choice / 4 % keys.size()];
      if (!IsSent(fixture.Request(key)))
        continue;
      RC_ASSERT(!ran.contains(key));
      const bool runs = choice % 4 != 3;
      if (runs)
        ran.insert(key);
      fixture.Run(RequestFinished{fixture.next_request - 1,
                                  runs ? Verdict::kRan : Verdict::kNotRun});
      RC_ASSERT(fixture.state.records.size() <= 3);
      RC_ASSERT(fixture.state.used.serials.size() <= 4);
    }
  }));
}

}  // namespace cicadadrum
