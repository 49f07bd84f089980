// Tests of UDP datagrams on loopback.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "cicadadrum/loop/datagram_socket.h"

namespace cicadadrum {

namespace {

constexpr Duration kTestTimeout = Seconds(20);

std::string AddressOf(const DatagramSocket& socket) {
  return "127.0.0.1:" + std::to_string(socket.port());
}

}  // namespace

TEST_CASE("datagrams arrive unchanged and in order") {
  EventLoop loop;
  std::vector<std::string> received;
  DatagramSocket sender(loop, [](std::string_view /*datagram*/) {});
  DatagramSocket receiver(loop, [&](std::string_view datagram) {
    received.emplace_back(datagram);
    if (received.size() == 2)
      loop.Stop();
  });
  REQUIRE(sender.Bind("127.0.0.1:0"));
  REQUIRE(receiver.Bind("127.0.0.1:0"));
  CHECK(sender.Send(AddressOf(receiver), "one"));
  CHECK(sender.Send(AddressOf(receiver), std::string(1000, 'x')));
  Timer limit(loop, [&] { loop.Stop(); });
  limit.Schedule(loop.Now() + kTestTimeout);
  loop.Run();
  REQUIRE(received.size() == 2);
  CHECK(received[0] == "one");
  CHECK(received[1] == std::string(1000, 'x'));
}

// Guards against a bind failure that is not reported, and against a crash when
// a datagram cannot be sent.
TEST_CASE("datagrams that can't be sent are dropped") {
  EventLoop loop;
  const auto ignore = [](std::string_view /*datagram*/) {};
  DatagramSocket first(loop, ignore);
  CHECK_FALSE(first.Send("127.0.0.1:9", "before the socket is bound"));
  REQUIRE(first.Bind("127.0.0.1:0"));
  CHECK_FALSE(first.Send("no address", "x"));
  DatagramSocket second(loop, ignore);
  CHECK_FALSE(second.Bind(AddressOf(first)));
  CHECK_FALSE(DatagramSocket(loop, ignore).Bind("no address"));
}

}  // namespace cicadadrum
