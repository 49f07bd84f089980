// Tests of KJ streams on bufferevents.

#include <doctest/doctest.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <string>

#include "cicadadrum/loop/bufferevent_stream.h"
#include "cicadadrum/loop/kj_event_port.h"

namespace cicadadrum {

namespace {

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

// Two connected streams.
struct Fixture {
  std::unique_ptr<event_base, EventBaseDeleter> base{event_base_new()};
  KjLoop loop{base.get()};
  kj::Own<BuffereventStream> a;
  kj::Own<BuffereventStream> b;

  Fixture() {
    std::array<evutil_socket_t, 2> sockets{};
    REQUIRE(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    for (const evutil_socket_t socket : sockets)
      evutil_make_socket_nonblocking(socket);
    a = BuffereventStream::Adopt(base.get(), sockets[0]);
    b = BuffereventStream::Adopt(base.get(), sockets[1]);
  }

  kj::WaitScope& scope() { return loop.wait_scope(); }
};

template <typename Function>
bool IsDisconnected(Function&& function) {
  const auto thrown = kj::runCatchingExceptions(function);
  KJ_IF_MAYBE (exception, thrown) {
    return exception->getType() == kj::Exception::Type::DISCONNECTED;
  }
  return false;
}

}  // namespace

// Guards against a read that completes with fewer bytes than its minimum, and
// against bytes that are lost at the end of the stream.
TEST_CASE(
    "a read returns at least its minimum, or the remaining bytes at the end of "
    "the stream") {
  Fixture fixture;
  std::array<char, 16> buffer{};
  auto read = fixture.b->tryRead(buffer.data(), 5, buffer.size());
  fixture.a->write("abc", 3).wait(fixture.scope());
  CHECK_FALSE(read.poll(fixture.scope()));
  fixture.a->write("def", 3).wait(fixture.scope());
  CHECK(read.wait(fixture.scope()) == 6);
  CHECK(std::string(buffer.data(), 6) == "abcdef");
  CHECK(fixture.b->bytes_read() == 6);

  fixture.a->write("gh", 2).wait(fixture.scope());
  fixture.a->shutdownWrite();
  CHECK(fixture.b->tryRead(buffer.data(), 5, 16).wait(fixture.scope()) == 2);
  CHECK(fixture.b->tryRead(buffer.data(), 1, 16).wait(fixture.scope()) == 0);
}

// Guards against an output buffer that grows without limit while the peer does
// not read.
TEST_CASE("a write stays pending while the peer does not read") {
  Fixture fixture;
  const std::string chunk(std::size_t{256} * 1024, 'x');
  std::size_t written = 0;
  kj::Promise<void> write = kj::READY_NOW;
  for (int i = 0; i < 64; ++i) {
    write = fixture.a->write(chunk.data(), chunk.size());
    written += chunk.size();
    if (!write.poll(fixture.scope()))
      break;
  }
  REQUIRE(written < std::size_t{64} * chunk.size());
  CHECK(fixture.a->output_bytes() <=
        StreamLimits{}.max_output_bytes + chunk.size());
  // Neither stream may keep the loop busy while the peer does not read.
  CHECK(event_base_get_num_events(fixture.base.get(),
                                  EVENT_BASE_COUNT_ACTIVE) == 0);

  std::string received(written, '\0');
  fixture.b->tryRead(received.data(), written, written).wait(fixture.scope());
  write.wait(fixture.scope());
  const bool is_equal = received == std::string(written, 'x');
  CHECK(is_equal);
}

// Guards against output that is lost because shutdownWrite closes the socket
// before the output buffer is written.
TEST_CASE("shutdownWrite sends the buffered output first") {
  Fixture fixture;
  const std::string data(std::size_t{2} * 1024 * 1024, 'y');
  auto write = fixture.a->write(data.data(), data.size());
  fixture.a->shutdownWrite();
  const auto all = fixture.b->readAllBytes().wait(fixture.scope());
  CHECK(all.size() == data.size());
  write.wait(fixture.scope());
}

// Guards against operations that never complete on a failed connection, and
// against termination by SIGPIPE.
TEST_CASE("reads and writes fail on a reset connection") {
  Fixture fixture;
  std::array<evutil_socket_t, 2> sockets{};
  REQUIRE(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
  evutil_make_socket_nonblocking(sockets[0]);
  auto stream = BuffereventStream::Adopt(fixture.base.get(), sockets[0]);
  char byte = 0;
  auto read = stream->tryRead(&byte, 1, 1);
  // Closing a socket with unread input resets the connection.
  stream->write("unread", 6).wait(fixture.scope());
  fixture.scope().poll();
  CHECK(stream->output_bytes() == 0);
  evutil_closesocket(sockets[1]);
  CHECK(IsDisconnected([&] { read.wait(fixture.scope()); }));
  stream->whenWriteDisconnected().wait(fixture.scope());
  CHECK(IsDisconnected([&] { stream->write("x", 1).wait(fixture.scope()); }));
  CHECK(IsDisconnected(
      [&] { stream->tryRead(&byte, 1, 1).wait(fixture.scope()); }));
}

// Guards against writes to the buffer of a read whose promise has been
// destroyed.
TEST_CASE("a cancelled read consumes no bytes") {
  Fixture fixture;
  {
    auto buffer = std::make_unique<char[]>(4);
    auto read = fixture.b->tryRead(buffer.get(), 4, 4);
    CHECK_FALSE(read.poll(fixture.scope()));
  }
  fixture.a->write("abcd", 4).wait(fixture.scope());
  fixture.scope().poll();
  std::array<char, 4> buffer{};
  CHECK(fixture.b->tryRead(buffer.data(), 4, 4).wait(fixture.scope()) == 4);
}

// Guards against a connection attempt that never completes, or crashes, when
// the peer refuses the connection.
TEST_CASE("a refused connection attempt fails with DISCONNECTED") {
  Fixture fixture;
  // A bound socket that does not listen refuses connections to its port.
  const int closed = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(::bind(closed, generic, length) == 0);
  REQUIRE(::getsockname(closed, generic, &length) == 0);
  CHECK(IsDisconnected([&] {
    BuffereventStream::Connect(fixture.base.get(), generic, length)
        .wait(fixture.scope());
  }));
  evutil_closesocket(closed);
}

}  // namespace cicadadrum
