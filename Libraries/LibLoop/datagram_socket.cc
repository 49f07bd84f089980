// UDP socket on the event loop.

#include "cicadadrum/loop/datagram_socket.h"

#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

#include "cicadadrum/base/error.h"
#include "cicadadrum/loop/address.h"
#include "cicadadrum/loop/event_pointer.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;

// Bounds the time for which a burst of datagrams keeps the loop from other
// events; the next iteration of the loop reads the remaining datagrams.
constexpr int kMaxDatagramsPerRound = 64;

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

bool ToSocketAddress(const std::string& address,
                     SocketAddress& socket_address) {
  int length = sizeof(socket_address.storage);
  if (evutil_parse_sockaddr_port(address.c_str(), socket_address.get(),
                                 &length) != 0)
    return false;
  socket_address.length = static_cast<socklen_t>(length);
  return true;
}

leaf::result<SocketAddress> ToBindAddress(const std::string& address) {
  BOOST_LEAF_AUTO(parsed, ParseAddress(address));
  SocketAddress socket_address;
  // evutil rejects port 0 but accepts an address without a port.
  const bool is_v6 = parsed.host.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + parsed.host + "]" : parsed.host;
  ToSocketAddress(
      parsed.port == 0 ? host : host + ":" + std::to_string(parsed.port),
      socket_address);
  return socket_address;
}

std::uint16_t BoundPort(evutil_socket_t fd) {
  SocketAddress bound;
  bound.length = sizeof(bound.storage);
  if (getsockname(fd, bound.get(), &bound.length) != 0)
    return 0;
  return bound.get()->sa_family == AF_INET6
             ? ntohs(reinterpret_cast<sockaddr_in6*>(bound.get())->sin6_port)
             : ntohs(reinterpret_cast<sockaddr_in*>(bound.get())->sin_port);
}

}  // namespace

struct DatagramSocket::Impl {
  ~Impl() {
    readable.reset();
    if (fd >= 0)
      evutil_closesocket(fd);
  }

  void Read();

  EventLoop& loop;
  Handler handler;
  evutil_socket_t fd = -1;
  std::uint16_t port = 0;
  EventPointer readable{};
};

void DatagramSocket::Impl::Read() {
  std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerRound; ++i) {
    const ssize_t bytes = recv(fd, buffer.data(), buffer.size(), 0);
    if (bytes < 0)
      return;
    handler({buffer.data(), static_cast<std::size_t>(bytes)});
  }
}

DatagramSocket::DatagramSocket(EventLoop& loop, Handler handler)
    : impl_(new Impl{loop, std::move(handler)}) {}

DatagramSocket::~DatagramSocket() = default;

leaf::result<void> DatagramSocket::Bind(const std::string& address) {
  BOOST_LEAF_AUTO(socket_address, ToBindAddress(address));
  const auto failed = [&address] {
    return leaf::new_error(
        Error{ErrorCode::kBindFailed,
              "can't bind datagrams to " + address + ": " +
                  evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())});
  };
  impl_->fd =
      socket(socket_address.get()->sa_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (impl_->fd < 0 || evutil_make_socket_nonblocking(impl_->fd) != 0)
    return failed();
  if (bind(impl_->fd, socket_address.get(), socket_address.length) != 0)
    return failed();
  impl_->port = BoundPort(impl_->fd);
  const auto read = [](evutil_socket_t /*fd*/, short /*what*/, void* argument) {
    static_cast<Impl*>(argument)->Read();
  };
  impl_->readable.reset(event_new(impl_->loop.base(), impl_->fd,
                                  EV_READ | EV_PERSIST, read, impl_.get()));
  event_add(impl_->readable.get(), nullptr);
  return {};
}

std::uint16_t DatagramSocket::port() const {
  return impl_->port;
}

bool DatagramSocket::Send(const std::string& address,
                          std::string_view datagram) {
  SocketAddress socket_address;
  if (impl_->fd < 0 || !ToSocketAddress(address, socket_address))
    return false;
  return sendto(impl_->fd, datagram.data(), datagram.size(), 0,
                socket_address.get(), socket_address.length) >= 0;
}

}  // namespace cicadadrum
