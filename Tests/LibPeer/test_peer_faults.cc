// Tests of the outcome and the fault of calls that get no answer.

#include <stdexcept>

#include "peer_fixture.h"
#include "raw_socket.h"

namespace cicadadrum {

namespace {

// Starts a forwarded request with a body of this size.
std::shared_ptr<std::optional<CallResult<ForwardedAnswer>>> Execute(
    PeerClient& client,
    const std::string& address,
    std::size_t body_bytes = 1,
    TimePoint deadline = kNever) {
  auto result = std::make_shared<std::optional<CallResult<ForwardedAnswer>>>();
  client.Execute(
      address,
      {.key = "k", .body = std::string(body_bytes, 'b'), .deadline = deadline},
      [result](const CallResult<ForwardedAnswer>& ended) { *result = ended; });
  return result;
}

template <typename Result>
void CheckFailed(const Result& result, CallOutcome outcome, CallFault fault) {
  REQUIRE(result->has_value());
  CHECK(NameOf((*result)->outcome) == NameOf(outcome));
  CHECK(NameOf((*result)->fault) == NameOf(fault));
}

}  // namespace

// Guards against a call that ends as kNotSent although the peer may have
// received the request (I4).
TEST_CASE("calls to a peer that crashes may have been received") {
  PeerFixture fixture;
  const auto result = Execute(*fixture.client, fixture.address);
  const auto slot = fixture.StartSlotRequest(1);
  fixture.RunUntil(
      [&] { return fixture.recorded_calls.slot_requests.size() == 1; });
  fixture.server = nullptr;
  fixture.RunUntil([&] { return fixture.client->open_call_count() == 0; });
  CheckFailed(result, CallOutcome::kMayHaveBeenReceived,
              CallFault::kConnectionLost);
  CheckFailed(slot, CallOutcome::kMayHaveBeenReceived,
              CallFault::kConnectionLost);
  CHECK(fixture.client->counters().connections_lost == 1);
}

// Guards against kMayHaveBeenReceived for a request that was never sent, and
// against a client that reconnects to a crashed peer without a backoff or never
// reconnects.
TEST_CASE("a refused connection ends calls as not sent and is retried") {
  PeerFixture fixture;
  fixture.server = nullptr;
  Duration offset{};
  PeerSettings settings = MakeSettings("entry-1");
  settings.now = [&] { return SteadyNow() + offset; };
  PeerClient client(fixture.loop, settings);
  for (int attempt = 0; attempt < 12; ++attempt) {
    const auto first = Execute(client, fixture.address);
    const auto second = Execute(client, fixture.address);
    CHECK_FALSE(first->has_value());
    fixture.RunUntil([&] { return client.open_call_count() == 0; });
    CheckFailed(first, CallOutcome::kNotSent, CallFault::kConnectFailed);
    CheckFailed(second, CallOutcome::kNotSent, CallFault::kConnectFailed);
    const auto refused = Execute(client, fixture.address);
    fixture.RunUntil([&] { return client.open_call_count() == 0; });
    CheckFailed(refused, CallOutcome::kNotSent, CallFault::kBackingOff);
    offset += Seconds(2);  // The longest backoff.
  }
  CHECK(client.counters().connects_failed == 12);

  const std::string server_address = fixture.address;
  fixture.server = fixture.Listen(MakeSettings("owner"), server_address);
  const auto sent = Execute(client, fixture.address);
  fixture.RunUntil(
      [&] { return !fixture.recorded_calls.execute_calls.empty(); });
  fixture.server->RespondToExecute(fixture.recorded_calls.execute_calls[0].call,
                                   {});
  fixture.RunUntil([&] { return sent->has_value(); });
  CHECK((*sent)->outcome == CallOutcome::kAnswered);
}

// Guards against calls that outlive their deadline at the client or at the
// server.
TEST_CASE("a deadline ends the call at the client and at the server") {
  PeerFixture fixture;
  const auto late = Execute(*fixture.client, fixture.address, 1, SteadyNow());
  const auto invalid_address = Execute(*fixture.client, "no address");
  fixture.RunUntil(
      [&] { return late->has_value() && invalid_address->has_value(); });
  CheckFailed(late, CallOutcome::kNotSent, CallFault::kDeadline);
  CheckFailed(invalid_address, CallOutcome::kNotSent,
              CallFault::kAddressInvalid);

  const auto first = Execute(*fixture.client, fixture.address);
  fixture.RunUntil(
      [&] { return fixture.recorded_calls.execute_calls.size() == 1; });
  const auto execute = Execute(*fixture.client, fixture.address, 1,
                               SteadyNow() + Milliseconds(30));
  const auto slot = fixture.StartSlotRequest(5, nullptr, Milliseconds(30));
  fixture.RunUntil([&] { return execute->has_value() && slot->has_value(); });
  CheckFailed(execute, CallOutcome::kMayHaveBeenReceived, CallFault::kDeadline);
  CheckFailed(slot, CallOutcome::kMayHaveBeenReceived, CallFault::kDeadline);
  fixture.RunUntil([&] { return fixture.server->open_call_count() == 1; });
  CHECK(fixture.recorded_calls.cancelled_slots ==
        std::vector<std::uint64_t>{5});
  CHECK(fixture.recorded_calls.cancelled_executes.size() == 1);
  CHECK_FALSE(first->has_value());
}

// Guards against a request that is handled by a peer of another protocol
// version, which may decode the request differently.
TEST_CASE("calls to a peer of another protocol version are refused") {
  PeerFixture fixture;
  PeerSettings settings = MakeSettings("entry-2");
  settings.protocol_version = kPeerProtocolVersion + 1;
  PeerClient other(fixture.loop, settings);
  const auto result = Execute(other, fixture.address);
  fixture.RunUntil([&] { return result->has_value(); });
  CheckFailed(result, CallOutcome::kNotSent, CallFault::kOtherProtocolVersion);
  CHECK(fixture.recorded_calls.execute_calls.empty());
  CHECK(fixture.server->counters().other_protocol_version == 1);
  CHECK(other.counters().other_protocol_version == 1);
}

// Guards against work that starts at an entry VM that stops, and against slots
// that can't be returned to such an entry VM (I7).
TEST_CASE("a stopping server refuses only new work") {
  PeerFixture fixture;
  const auto open_request = fixture.StartSlotRequest(1);
  fixture.RunUntil(
      [&] { return fixture.recorded_calls.slot_requests.size() == 1; });
  fixture.server->RefuseNewWork();
  const auto refused = fixture.StartSlotRequest(2);
  std::optional<CallOutcome> returned;
  fixture.client->ReturnSlot(
      fixture.address, {fixture.pool, 1, AttemptOutcome::kAnswered, {}}, kNever,
      [&](const auto& result) { returned = result.outcome; });
  fixture.RunUntil([&] { return refused->has_value() && returned; });
  CheckFailed(refused, CallOutcome::kNotSent, CallFault::kPeerStopping);
  CHECK(*returned == CallOutcome::kAnswered);
  CHECK(fixture.Grant(1, 3));
  fixture.RunUntil([&] { return open_request->has_value(); });
  CHECK((*open_request)->outcome == CallOutcome::kAnswered);
}

// Guards against an exception that propagates into the event loop or closes the
// connection of other calls.
TEST_CASE("an exception in a handler fails only the handler's call") {
  PeerFixture fixture;
  PeerHandlers handlers = RecordingHandlers(fixture.recorded_calls);
  handlers.execute = [](std::uint64_t, const PeerInfo&,
                        const ForwardedRequest&) {
    throw std::runtime_error("fault of the test");
  };
  auto server = PeerServer::Listen(fixture.loop, "127.0.0.1:0",
                                   MakeSettings("owner"), handlers);
  REQUIRE(server);
  fixture.address = "127.0.0.1:" + std::to_string((*server)->port());
  const auto result = Execute(*fixture.client, fixture.address);
  const auto slot = fixture.StartSlotRequest(1);
  fixture.RunUntil([&] { return result->has_value(); });
  CheckFailed(result, CallOutcome::kMayHaveBeenReceived,
              CallFault::kPeerFailed);
  CHECK((*server)->counters().handler_failures == 1);
  CHECK((*server)->RespondToSlotRequest(fixture.pool,
                                        SlotRefusal{"entry-1", 1, {}, {}}));
  fixture.RunUntil([&] { return slot->has_value(); });
  CHECK((*slot)->outcome == CallOutcome::kAnswered);

  fixture.client->Exchange(fixture.address, {}, kNever, [](const auto&) {
    throw std::runtime_error("fault of the test");
  });
  fixture.RunUntil([&] { return fixture.client->open_call_count() == 0; });
  CHECK(fixture.client->counters().handler_failures == 1);
}

// Guards against unbounded memory use while a peer does not read.
TEST_CASE("the queue to a peer that does not read is bounded") {
  PeerFixture fixture;
  const RawListener listener;
  PeerSettings settings = MakeSettings("entry-1");
  settings.max_queued_bytes = std::size_t{1024} * 1024;
  PeerClient client(fixture.loop, settings);
  constexpr std::size_t kBody = std::size_t{200} * 1024;
  std::shared_ptr<std::optional<CallResult<ForwardedAnswer>>> result;
  int calls = 0;
  while (calls < 200 && (result == nullptr || !result->has_value())) {
    result = Execute(client, listener.Address(), kBody);
    ++calls;
    fixture.RunReady();
    CHECK(client.queued_bytes(listener.Address()) <=
          settings.max_queued_bytes + kBody);
  }
  CheckFailed(result, CallOutcome::kNotSent, CallFault::kQueueFull);
  CHECK(calls > 4);
  const auto large = Execute(client, listener.Address(), kMaxPeerMessageBytes);
  fixture.RunReady();
  CheckFailed(large, CallOutcome::kNotSent, CallFault::kTooLarge);
  // The loop does not spin while the peer does not read.
  CHECK(event_base_get_num_events(fixture.base.get(),
                                  EVENT_BASE_COUNT_ACTIVE) == 0);

  client.Disconnect(listener.Address());
  fixture.RunUntil([&] { return client.open_call_count() == 0; });
  CHECK(client.queued_bytes(listener.Address()) == 0);
}

// Guards against an idle connection that wakes up the process.
TEST_CASE("an idle connection causes no wake-ups") {
  PeerFixture fixture;
  const auto slot = fixture.StartSlotRequest(1);
  fixture.RunUntil(
      [&] { return fixture.recorded_calls.slot_requests.size() == 1; });
  fixture.RunReady();
  bool fired = false;
  const timeval delay{0, 30'000};
  event_base_once(
      fixture.base.get(), -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* context) {
        *static_cast<bool*>(context) = true;
      },
      &fired, &delay);
  int iterations = 0;
  while (!fired) {
    event_base_loop(fixture.base.get(), EVLOOP_ONCE);
    ++iterations;
  }
  CHECK(iterations == 1);
}

}  // namespace cicadadrum
