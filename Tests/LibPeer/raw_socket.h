// Plain sockets that act as an entry VM that violates the protocol.

#ifndef TESTS_LIBPEER_RAW_SOCKET_H_
#define TESTS_LIBPEER_RAW_SOCKET_H_

#include <doctest/doctest.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadadrum {

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

class RawSocket {
 public:
  explicit RawSocket(int socket) : socket_(socket) {}
  ~RawSocket() { Close(); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  static int ConnectTo(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(port);
    REQUIRE(::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0);
    evutil_make_socket_nonblocking(socket);
    return socket;
  }

  void Send(std::string_view bytes) const {
    REQUIRE(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
  }

  // Returns the bytes that have arrived.
  std::string Receive() const {
    std::string received;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = ::recv(socket_, buffer.data(), buffer.size(), 0)) > 0)
      received.append(buffer.data(), static_cast<std::size_t>(count));
    return received;
  }

  void Close() {
    if (socket_ >= 0)
      evutil_closesocket(socket_);
    socket_ = -1;
  }

 private:
  int socket_;
};

// Listens on a free port. Connections are accepted only by Accept().
class RawListener {
 public:
  RawListener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(::bind(socket_, generic, length) == 0);
    REQUIRE(::listen(socket_, 8) == 0);
    REQUIRE(::getsockname(socket_, generic, &length) == 0);
    port_ = ntohs(address.sin_port);
    evutil_make_socket_nonblocking(socket_);
  }
  ~RawListener() { evutil_closesocket(socket_); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Returns a connected socket, or -1 if there is no connection yet.
  int Accept() const {
    const int accepted = ::accept(socket_, nullptr, nullptr);
    if (accepted >= 0)
      evutil_make_socket_nonblocking(accepted);
    return accepted;
  }

 private:
  int socket_;
  std::uint16_t port_ = 0;
};

}  // namespace cicadadrum

#endif  // TESTS_LIBPEER_RAW_SOCKET_H_
