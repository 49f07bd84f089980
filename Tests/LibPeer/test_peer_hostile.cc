// Tests of peers that send messages that no entry VM sends. The receiver closes
// the connection of such a peer, and other connections are not affected.

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.capnp.h>
#include <schemas/peer.capnp.h>

#include <functional>
#include <map>

#include "cicadadrum/base/random.h"
#include "cicadadrum/loop/bufferevent_stream.h"
#include "peer_fixture.h"
#include "raw_socket.h"

namespace cicadadrum {

namespace {

// A server with one valid call that stays open while other peers violate the
// protocol.
struct HostileFixture : PeerFixture {
  // Requests the server's bootstrap object.
  using Bootstrap = std::function<schema::EntryPeer::Client()>;

  std::shared_ptr<std::optional<CallResult<SlotAnswer>>> valid_call =
      StartSlotRequest(1);

  HostileFixture() {
    RunUntil([&] { return recorded_calls.slot_requests.size() == 1; });
  }

  // Waits until only the connection of the valid call is open, and checks the
  // counters.
  void CheckClosed(std::uint64_t malformed, std::uint64_t truncated) {
    RunUntil([&] {
      return server->connection_count() == 1 &&
             server->counters().malformed_messages +
                     server->counters().truncated_messages >=
                 malformed + truncated;
    });
    CHECK(server->counters().malformed_messages == malformed);
    CHECK(server->counters().truncated_messages == truncated);
  }

  // Checks that the valid call can still be answered.
  void CheckValidCall() {
    CHECK(Grant(1, 5));
    RunUntil([&] { return valid_call->has_value(); });
    CHECK((*valid_call)->outcome == CallOutcome::kAnswered);
  }

  // Makes two calls over a new connection, and returns the accepted socket.
  int SendTwoCalls(
      PeerClient& caller,
      const std::function<void(const CallResult<ForwardedAnswer>&)>& done) {
    const RawListener listener;
    caller.Execute(listener.Address(), {.key = "k", .deadline = kNever}, done);
    caller.Exchange(listener.Address(),
                    {.members = {{{"m", "r", "d", "c", "p"}, {}, 1, {}}},
                     .items = {{"i", 1, "v"}}},
                    kNever, [](const auto&) {});
    int accepted = -1;
    RunUntil([&] {
      RunReady();
      return (accepted = listener.Accept()) >= 0;
    });
    RunReady();
    return accepted;
  }

  // Returns the bytes that a client sends with its first calls.
  std::string CaptureClientBytes() {
    PeerClient captured_client(loop, MakeSettings("entry-2"));
    return RawSocket(SendTwoCalls(captured_client, [](const auto&) {}))
        .Receive();
  }

  // Returns the bytes with which the server answers CaptureClientBytes().
  std::string CaptureServerBytes() {
    const RawSocket socket(RawSocket::ConnectTo(server->port()));
    socket.Send(CaptureClientBytes());
    RunUntil([&] { return recorded_calls.execute_calls.size() == 1; });
    server->RespondToExecute(recorded_calls.execute_calls[0].call, {});
    RunReady();
    return socket.Receive();
  }

  // Sends a slot request that `fill` writes without the codec, and returns when
  // the call has failed.
  void SendForgedSlotRequest(
      const std::function<void(schema::EntryPeer::RequestSlotParams::Builder)>&
          fill) {
    RunForgedClient([&](const Bootstrap& bootstrap) {
      auto request = bootstrap().requestSlotRequest(capnp::MessageSize{64, 0});
      auto header = request.initHeader();
      header.setProtocolVersion(kPeerProtocolVersion);
      header.setSender("forger");
      fill(request);
      return request.send().ignoreResult();
    });
  }

  // Connects to the server without PeerClient, and returns when `call` has
  // failed and the server has closed the connection.
  void RunForgedClient(
      const std::function<kj::Promise<void>(const Bootstrap&)>& call) {
    const sockaddr_in to = Loopback(server->port());
    auto stream =
        BuffereventStream::Connect(
            base.get(), reinterpret_cast<const sockaddr*>(&to), sizeof(to))
            .wait(loop.wait_scope());
    capnp::TwoPartyVatNetwork network(*stream,
                                      capnp::rpc::twoparty::Side::CLIENT);
    auto rpc = capnp::makeRpcClient(network);
    capnp::MallocMessageBuilder message;
    auto vat = message.getRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    const Bootstrap bootstrap = [&] {
      return rpc.bootstrap(vat).castAs<schema::EntryPeer>();
    };
    const auto thrown = kj::runCatchingExceptions(
        [&] { call(bootstrap).wait(loop.wait_scope()); });
    CHECK(thrown != nullptr);
    network.onDisconnect().wait(loop.wait_scope());
  }
};

// Returns the bytes with up to four random changes, sometimes truncated.
std::string MutateBytes(std::string bytes, Random& random) {
  const std::uint64_t changes = 1 + RandomBelow(random, 4);
  for (std::uint64_t i = 0; i < changes; ++i)
    bytes[RandomBelow(random, bytes.size())] =
        static_cast<char>(NextRandom(random));
  bytes.resize(bytes.size() - RandomBelow(random, 2) * 8);
  return bytes;
}

}  // namespace

// Guards against bytes that crash the server or close other connections.
TEST_CASE("invalid, oversized and truncated messages close the connection") {
  HostileFixture fixture;
  const std::string valid = fixture.CaptureClientBytes();
  REQUIRE(valid.size() > 200);

  RawSocket garbage(RawSocket::ConnectTo(fixture.server->port()));
  garbage.Send("GET / HTTP/1.1\r\nHost: entry\r\n\r\n");
  fixture.CheckClosed(1, 0);

  // One segment of 2^24 words.
  RawSocket oversized(RawSocket::ConnectTo(fixture.server->port()));
  oversized.Send({"\0\0\0\0\0\0\0\x01", 8});
  fixture.CheckClosed(2, 0);

  RawSocket truncated(RawSocket::ConnectTo(fixture.server->port()));
  truncated.Send(std::string_view(valid).substr(0, valid.size() - 5));
  truncated.Close();
  fixture.CheckClosed(2, 1);

  RawSocket repeated(RawSocket::ConnectTo(fixture.server->port()));
  repeated.Send(valid + valid);
  fixture.CheckClosed(3, 1);
  fixture.CheckValidCall();
}

// Guards against invalid values of a forged message that reach a handler.
TEST_CASE("forged calls close the connection and reach no handler") {
  HostileFixture fixture;
  const auto fill = [](auto request) {
    auto slot = request.initRequest();
    slot.setRequestClass(schema::RequestClass::URGENT);
    return slot;
  };
  fixture.SendForgedSlotRequest([&](auto request) {
    fill(request).setRequestClass(static_cast<schema::RequestClass>(99));
  });
  fixture.CheckClosed(1, 0);
  fixture.SendForgedSlotRequest(
      [&](auto request) { fill(request).setRemainingMicroseconds(-1); });
  fixture.CheckClosed(2, 0);
  fixture.SendForgedSlotRequest([&](auto request) {
    fill(request);
    request.getHeader().setSender("");
  });
  fixture.CheckClosed(3, 0);
  fixture.RunForgedClient([](const HostileFixture::Bootstrap& bootstrap) {
    return bootstrap()
        .typelessRequest(capnp::typeId<schema::EntryPeer>(), 77,
                         capnp::MessageSize{16, 0})
        .send()
        .ignoreResult();
  });
  fixture.CheckClosed(4, 0);
  // Without a limit a peer could request any number of bootstrap objects.
  fixture.RunForgedClient([](const HostileFixture::Bootstrap& bootstrap) {
    auto first = bootstrap();
    return bootstrap().whenResolved().attach(kj::mv(first));
  });
  fixture.CheckClosed(5, 0);
  CHECK(fixture.recorded_calls.slot_requests.size() == 1);
  fixture.CheckValidCall();
}

// Guards against an answer that crashes the client or ends the call as
// kNotSent.
TEST_CASE("an invalid answer closes the connection of the client") {
  PeerFixture fixture;
  const RawListener listener;
  std::optional<CallResult<ForwardedAnswer>> result;
  fixture.client->Execute(listener.Address(), {.key = "k", .deadline = kNever},
                          [&](const auto& ended) { result = ended; });
  int accepted = -1;
  fixture.RunUntil([&] {
    fixture.RunReady();
    return (accepted = listener.Accept()) >= 0;
  });
  const RawSocket socket(accepted);
  socket.Send("HTTP/1.1 400 Bad Request\r\n\r\n");
  fixture.RunUntil([&] { return result.has_value(); });
  CHECK(result->outcome == CallOutcome::kMayHaveBeenReceived);
  CHECK(fixture.client->counters().malformed_messages == 1);
  fixture.RunReady();
  CHECK(fixture.client->open_call_count() == 0);
}

// Guards against connections that exhaust the file descriptors.
TEST_CASE("connections beyond the limit are closed") {
  HostileFixture fixture;
  PeerSettings settings = MakeSettings("owner");
  settings.max_connections = 1;
  const auto server = fixture.Listen(settings);
  const RawSocket first(RawSocket::ConnectTo(server->port()));
  const RawSocket second(RawSocket::ConnectTo(server->port()));
  fixture.RunUntil([&] { return server->counters().connections_refused == 1; });
  CHECK(server->connection_count() == 1);
}

// Guards against other byte sequences that crash the server. A valid sequence
// with a few changes passes the first checks.
TEST_CASE("mutated messages do not affect other connections") {
  HostileFixture fixture;
  const std::string valid = fixture.CaptureClientBytes();
  Random random{20261204};
  for (int round = 0; round < 300; ++round) {
    RawSocket socket(RawSocket::ConnectTo(fixture.server->port()));
    socket.Send(MutateBytes(valid, random));
    fixture.RunReady();
    socket.Close();
    fixture.RunUntil([&] { return fixture.server->connection_count() == 1; });
  }
  CHECK(fixture.server->counters().malformed_messages > 0);
  CHECK(fixture.server->counters().truncated_messages > 0);
  fixture.CheckValidCall();
}

// Guards against an answer that crashes the client, or that ends the call as
// kNotSent although the request was sent.
TEST_CASE("mutated answers end only the calls of their connection") {
  HostileFixture fixture;
  const std::string valid = fixture.CaptureServerBytes();
  Random random{20261204};
  std::map<CallFault, int> faults;
  for (int round = 0; round < 300; ++round) {
    PeerClient client(fixture.loop, MakeSettings("entry-2"));
    std::optional<CallResult<ForwardedAnswer>> result;
    RawSocket socket(fixture.SendTwoCalls(
        client, [&](const auto& ended) { result = ended; }));
    socket.Send(MutateBytes(valid, random));
    fixture.RunReady();
    socket.Close();
    fixture.RunUntil([&] { return client.open_call_count() == 0; });
    REQUIRE(result.has_value());
    ++faults[result->fault];
    if (result->outcome == CallOutcome::kNotSent)
      CHECK(NameOf(result->fault) == "other-protocol-version");
  }
  CHECK(faults[CallFault::kNone] > 0);
  CHECK(faults[CallFault::kInvalidAnswer] > 0);
  CHECK(faults[CallFault::kConnectionLost] > 0);
  fixture.CheckValidCall();
}

}  // namespace cicadadrum
