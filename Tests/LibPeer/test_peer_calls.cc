// Tests of calls between a client and a server of this version.

#include "peer_fixture.h"

namespace cicadadrum {

// Guards against a field that the codec loses or changes between the sender's
// struct and the receiver's struct.
TEST_CASE("a slot request and its answer arrive unchanged") {
  PeerFixture fixture;
  const auto result = fixture.StartSlotRequest(5);
  fixture.RunUntil(
      [&] { return !fixture.recorded_calls.slot_requests.empty(); });
  const RecordedSlotRequest& received = fixture.recorded_calls.slot_requests[0];
  CHECK(received.peer == PeerInfo{"entry-1", {7, 8}, 42, true});
  CHECK(received.pool == fixture.pool);
  CHECK(received.slot_request.entry == "entry-1");
  CHECK(received.slot_request.id == 5);
  CHECK(received.slot_request.client_account == "roads");
  CHECK(received.slot_request.request_class == RequestClass::kUrgent);
  CHECK(received.slot_request.deadline > SteadyNow() + Seconds(30));
  CHECK(received.slot_request.avoid ==
        std::vector<std::string>{"sb-1", "sb-2"});
  CHECK(received.slot_request.preferred == "sb-3");
  CHECK(received.slot_request.fingerprint == 11);
  CHECK(received.slot_request.body_bytes == 12);

  CHECK(fixture.Grant(5, 77));
  fixture.RunUntil([&] { return result->has_value(); });
  REQUIRE((*result)->outcome == CallOutcome::kAnswered);
  CHECK((*result)->peer == PeerInfo{"owner", {7, 8}, 42, true});
  const auto* grant = std::get_if<SlotGrant>(&(*result)->value);
  REQUIRE(grant != nullptr);
  CHECK(grant->entry == "entry-1");
  CHECK(grant->id == 5);
  CHECK(grant->lease == 77);
  CHECK(grant->server == "sb-3");
  CHECK(grant->address == "127.0.0.1:9");
  CHECK_FALSE(fixture.Grant(5, 78));
}

// Guards against an answer that is delivered to a different call (I3).
TEST_CASE("answers that arrive late and out of order reach the right calls") {
  PeerFixture fixture;
  std::vector<std::shared_ptr<std::optional<CallResult<SlotAnswer>>>> results;
  constexpr std::uint64_t kCalls = 20;
  for (std::uint64_t id = 0; id < kCalls; ++id)
    results.push_back(fixture.StartSlotRequest(id));
  fixture.RunUntil(
      [&] { return fixture.recorded_calls.slot_requests.size() == kCalls; });
  for (std::uint64_t id = kCalls; id-- > 0;) {
    if (id % 2 == 0)
      CHECK(fixture.Grant(id, 100 + id));
    else
      CHECK(fixture.server->RespondToSlotRequest(
          fixture.pool, SlotRefusal{"entry-1", id, RefusalReason::kQueueFull,
                                    Milliseconds(10 + id)}));
    fixture.RunReady();
  }
  fixture.RunUntil([&] { return fixture.client->open_call_count() == 0; });
  for (std::uint64_t id = 0; id < kCalls; ++id) {
    REQUIRE(results[id]->has_value());
    const SlotAnswer& answer = (*results[id])->value;
    if (id % 2 == 0)
      CHECK(std::get<SlotGrant>(answer).lease == 100 + id);
    else
      CHECK(std::get<SlotRefusal>(answer).retry_after == Milliseconds(10 + id));
  }
}

// Guards against a request that stays in the owner's queue after its caller has
// disconnected, and against a result that is delivered after Cancel().
TEST_CASE("cancelling a slot request removes it at the pool owner") {
  PeerFixture fixture;
  CallId call = 0;
  const auto cancelled = fixture.StartSlotRequest(1, &call);
  const auto other_request = fixture.StartSlotRequest(2);
  fixture.RunUntil(
      [&] { return fixture.recorded_calls.slot_requests.size() == 2; });
  CHECK(fixture.client->Cancel(call));
  CHECK_FALSE(fixture.client->Cancel(call));
  fixture.RunUntil(
      [&] { return !fixture.recorded_calls.cancelled_slots.empty(); });
  CHECK(fixture.recorded_calls.cancelled_slots ==
        std::vector<std::uint64_t>{1});
  CHECK_FALSE(fixture.Grant(1, 10));
  CHECK(fixture.Grant(2, 11));
  fixture.RunUntil([&] { return other_request->has_value(); });
  fixture.RunUntil([&] { return fixture.client->open_call_count() == 0; });
  CHECK_FALSE(cancelled->has_value());
  CHECK(fixture.recorded_calls.slot_returns.empty());
}

// Guards against a slot that is lost because the owner sends the grant while
// the client sends the cancellation.
TEST_CASE("a slot granted to a cancelled request is returned") {
  PeerFixture fixture;
  CallId call = 0;
  const auto result = fixture.StartSlotRequest(1, &call);
  fixture.RunUntil(
      [&] { return !fixture.recorded_calls.slot_requests.empty(); });
  CHECK(fixture.Grant(1, 10));
  CHECK(fixture.client->Cancel(call));
  fixture.RunUntil(
      [&] { return !fixture.recorded_calls.slot_returns.empty(); });
  CHECK(fixture.recorded_calls.slot_returns[0].lease == 10);
  CHECK(fixture.recorded_calls.slot_returns[0].pool == fixture.pool);
  CHECK(fixture.recorded_calls.slot_returns[0].outcome ==
        AttemptOutcome::kNotSent);
  CHECK(fixture.recorded_calls.cancelled_slots.empty());
  CHECK_FALSE(result->has_value());
}

// Guards against requests of a crashed peer that stay in the queue, and against
// a forwarded request that stays open at the home of its key after the client
// has dropped the promise.
TEST_CASE("the server cancels the calls of a client that disconnects") {
  PeerFixture fixture;
  fixture.StartSlotRequest(1);
  const CallId call = fixture.client->Execute(
      fixture.address, {.key = "k", .deadline = kNever},
      [](const CallResult<ForwardedAnswer>&) { FAIL("not expected"); });
  fixture.client->Execute(
      fixture.address, {.key = "l", .deadline = kNever},
      [](const CallResult<ForwardedAnswer>&) { FAIL("not expected"); });
  fixture.RunUntil(
      [&] { return fixture.recorded_calls.execute_calls.size() == 2; });
  CHECK(fixture.client->Cancel(call));
  fixture.RunUntil(
      [&] { return !fixture.recorded_calls.cancelled_executes.empty(); });
  CHECK(fixture.recorded_calls.cancelled_executes[0] ==
        fixture.recorded_calls.execute_calls[0].call);
  CHECK(fixture.recorded_calls.cancelled_slots.empty());

  fixture.client = nullptr;
  fixture.RunUntil([&] { return fixture.server->open_call_count() == 0; });
  CHECK(fixture.recorded_calls.cancelled_slots ==
        std::vector<std::uint64_t>{1});
  CHECK(fixture.recorded_calls.cancelled_executes.size() == 2);
  CHECK_FALSE(fixture.server->RespondToExecute(
      fixture.recorded_calls.execute_calls[1].call, {}));
  fixture.RunUntil([&] { return fixture.server->connection_count() == 0; });
}

// Guards against a field that the codec loses or changes in the other messages.
TEST_CASE("returns, exchanges, items and forwarded requests arrive unchanged") {
  PeerFixture fixture;
  const TimePoint deadline = SteadyNow() + Seconds(60);
  int answered = 0;
  const auto count = [&](const CallResult<CallAcknowledged>& result) {
    CHECK(result.outcome == CallOutcome::kAnswered);
    ++answered;
  };
  fixture.client->ReturnSlot(
      fixture.address,
      {fixture.pool, 9, AttemptOutcome::kTimedOut, Milliseconds(3)}, deadline,
      count);
  const PeerExchange exchange{
      .kind = PeerExchangeKind::kPush,
      .sequence = 3,
      .target = "entry-9",
      .members = {{{"entry-2", "puno", "puno-a", "127.0.0.1:1", "127.0.0.1:2"},
                   {1, 2},
                   4,
                   PeerMemberState::kSuspect}},
      .items = {{"leaving/sb-1", 5, "yes"}},
      .digest = 6};
  fixture.client->Exchange(fixture.address, exchange, deadline, count);
  std::optional<CallResult<std::optional<PeerItem>>> found;
  std::optional<CallResult<std::optional<PeerItem>>> missing;
  fixture.client->FetchItem(fixture.address, "configuration/current", 8,
                            deadline,
                            [&](const auto& result) { found = result; });
  fixture.client->FetchItem(fixture.address, "none", 8, deadline,
                            [&](const auto& result) { missing = result; });
  const ForwardedAnswer ran{Verdict::kRan,
                            {201, "application/json", "{\"a\":1}", true},
                            RefusalReason::kNone};
  std::optional<CallResult<ForwardedAnswer>> executed;
  const ForwardedRequest request{
      "roads", "activation-desk", RequestClass::kWrite,   "c.entry-1.x.1",
      "POST",  "/signs/4",        std::string("a\0b", 3), deadline,
      "00-ab"};
  fixture.client->Execute(fixture.address, request,
                          [&](const auto& result) { executed = result; });
  fixture.RunUntil(
      [&] { return !fixture.recorded_calls.execute_calls.empty(); });
  const auto [call, received] = fixture.recorded_calls.execute_calls[0];
  CHECK(fixture.server->RespondToExecute(call, ran));
  fixture.RunUntil([&] { return fixture.client->open_call_count() == 0; });

  CHECK(answered == 2);
  CHECK(fixture.recorded_calls.slot_returns[0].lease == 9);
  CHECK(fixture.recorded_calls.slot_returns[0].outcome ==
        AttemptOutcome::kTimedOut);
  CHECK(fixture.recorded_calls.slot_returns[0].latency == Milliseconds(3));
  CHECK(fixture.recorded_calls.exchanges[0] == exchange);
  REQUIRE(found->value.has_value());
  CHECK(*found->value ==
        PeerItem{"configuration/current", 8, std::string("a\0b", 3)});
  CHECK(missing->outcome == CallOutcome::kAnswered);
  CHECK_FALSE(missing->value.has_value());
  CHECK(executed->value == ran);
  CHECK(received.client_account == "roads");
  CHECK(received.service == "activation-desk");
  CHECK(received.request_class == RequestClass::kWrite);
  CHECK(received.key == "c.entry-1.x.1");
  CHECK(received.method == "POST");
  CHECK(received.path == "/signs/4");
  CHECK(received.body == request.body);
  CHECK(received.traceparent == "00-ab");
}

// Guards against a method that the receiver refuses as unknown. In that case a
// request for leases closes every connection, and new pool owners leave half of
// their slots unused for 30 s.
TEST_CASE("lease requests and lease reports arrive unchanged") {
  PeerFixture fixture;
  const TimePoint now = SteadyNow();
  const HeldLease lease{.lease = 9,
                        .server = "sb-1",
                        .client_account = "roads",
                        .request_class = RequestClass::kBulk,
                        .fingerprint = 3,
                        .granted_at = now - Seconds(4),
                        .deadline = now + Seconds(20)};
  int answered = 0;
  const auto count = [&](const CallResult<CallAcknowledged>& result) {
    CHECK(result.outcome == CallOutcome::kAnswered);
    ++answered;
  };
  fixture.client->RequestLeases(fixture.address, fixture.pool,
                                now + Seconds(20), count);
  fixture.client->ReportLeases(fixture.address, {fixture.pool, {lease}},
                               now + Seconds(20), count);
  fixture.RunUntil([&] { return answered == 2; });
  CHECK(fixture.recorded_calls.lease_requests ==
        std::vector<PoolKey>{fixture.pool});
  REQUIRE(fixture.recorded_calls.lease_reports.size() == 1);
  CHECK(fixture.recorded_calls.lease_reports[0].pool == fixture.pool);
  const HeldLease& reported =
      fixture.recorded_calls.lease_reports[0].leases.at(0);
  CHECK(reported.lease == 9);
  CHECK(reported.server == "sb-1");
  CHECK(reported.client_account == "roads");
  CHECK(reported.request_class == RequestClass::kBulk);
  CHECK(reported.fingerprint == 3);
  CHECK(reported.granted_at < now - Seconds(3));
  CHECK(reported.deadline > now + Seconds(10));
}

}  // namespace cicadadrum
