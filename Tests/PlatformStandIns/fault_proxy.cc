// Relays bytes between two bufferevents, and delays or withholds the bytes
// according to the proxy's mode.

#include "fault_proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <set>

namespace cicadadrum {

namespace {

constexpr Duration kForwardDelay = Milliseconds(150);

void ResetOnClose(bufferevent* connection) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &reset,
             sizeof(reset));
}

}  // namespace

struct FaultProxy::Impl {
  struct ConnectionPair {
    Impl* proxy = nullptr;
    bufferevent* caller = nullptr;
    bufferevent* server = nullptr;
    std::unique_ptr<Timer> delay_timer;
  };

  Impl(EventLoop& event_loop, const std::string& target);

  void Accept(evutil_socket_t fd);
  void Relay(ConnectionPair& pair);
  void ForwardBytes(bufferevent* from, bufferevent* to);
  void Close(ConnectionPair* pair, bool reset);

  EventLoop& loop;
  sockaddr_storage target{};
  int target_length = sizeof(target);
  evconnlistener* listener = nullptr;
  std::string address;
  ProxyMode mode = ProxyMode::kPass;
  std::set<ConnectionPair*> pairs;
};

FaultProxy::Impl::Impl(EventLoop& event_loop, const std::string& target_text)
    : loop(event_loop) {
  evutil_parse_sockaddr_port(target_text.c_str(),
                             reinterpret_cast<sockaddr*>(&target),
                             &target_length);
  sockaddr_in loopback{.sin_family = AF_INET};
  loopback.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto accept = [](evconnlistener* /*listener*/, evutil_socket_t fd,
                         sockaddr* /*peer*/, int /*length*/, void* argument) {
    static_cast<Impl*>(argument)->Accept(fd);
  };
  listener =
      evconnlistener_new_bind(loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE,
                              -1, reinterpret_cast<sockaddr*>(&loopback),
                              static_cast<int>(sizeof(loopback)));
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener),
              reinterpret_cast<sockaddr*>(&bound), &length);
  address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

void FaultProxy::Impl::Accept(evutil_socket_t fd) {
  auto* pair = new ConnectionPair{.proxy = this};
  constexpr int kOptions = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;
  pair->caller = bufferevent_socket_new(loop.base(), fd, kOptions);
  pair->server = bufferevent_socket_new(loop.base(), -1, kOptions);
  pairs.insert(pair);
  if (mode == ProxyMode::kReset)
    return Close(pair, true);
  const auto on_readable = [](bufferevent* /*source*/, void* argument) {
    auto* connection = static_cast<ConnectionPair*>(argument);
    connection->proxy->Relay(*connection);
  };
  const auto on_event = [](bufferevent* /*source*/, short events,
                           void* argument) {
    auto* connection = static_cast<ConnectionPair*>(argument);
    if ((events & BEV_EVENT_CONNECTED) != 0)
      return;
    // Bytes that have arrived are forwarded before the connections close.
    connection->proxy->Relay(*connection);
    connection->proxy->Close(connection, (events & BEV_EVENT_ERROR) != 0);
  };
  for (bufferevent* side : {pair->caller, pair->server}) {
    bufferevent_setcb(side, on_readable, nullptr, on_event, pair);
    bufferevent_enable(side, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(pair->server, reinterpret_cast<sockaddr*>(&target),
                             target_length);
}

void FaultProxy::Impl::ForwardBytes(bufferevent* from, bufferevent* to) {
  evbuffer_add_buffer(bufferevent_get_output(to), bufferevent_get_input(from));
}

void FaultProxy::Impl::Relay(ConnectionPair& pair) {
  if (mode == ProxyMode::kSilent)
    return;
  if (mode == ProxyMode::kDelay && pair.delay_timer == nullptr) {
    pair.delay_timer =
        std::make_unique<Timer>(loop, [this, connection = &pair] {
          ForwardBytes(connection->caller, connection->server);
          ForwardBytes(connection->server, connection->caller);
        });
  }
  if (mode == ProxyMode::kDelay)
    return pair.delay_timer->Schedule(loop.Now() + kForwardDelay);
  ForwardBytes(pair.caller, pair.server);
  if (mode != ProxyMode::kOneWay)
    ForwardBytes(pair.server, pair.caller);
}

void FaultProxy::Impl::Close(ConnectionPair* pair, bool reset) {
  // Bytes in the output buffers must be written before the sockets close.
  for (bufferevent* side : {pair->caller, pair->server}) {
    if (reset)
      ResetOnClose(side);
    else
      bufferevent_flush(side, EV_WRITE, BEV_FINISHED);
    evbuffer* output = bufferevent_get_output(side);
    if (!reset && bufferevent_getfd(side) >= 0)
      evbuffer_write(output, bufferevent_getfd(side));
    bufferevent_free(side);
  }
  pairs.erase(pair);
  delete pair;
}

FaultProxy::FaultProxy(EventLoop& loop, const std::string& target)
    : impl_(std::make_unique<Impl>(loop, target)) {}

FaultProxy::~FaultProxy() {
  while (!impl_->pairs.empty())
    impl_->Close(*impl_->pairs.begin(), true);
  evconnlistener_free(impl_->listener);
}

const std::string& FaultProxy::address() const {
  return impl_->address;
}

void FaultProxy::SetMode(ProxyMode mode) {
  impl_->mode = mode;
  if (mode == ProxyMode::kReset) {
    while (!impl_->pairs.empty())
      impl_->Close(*impl_->pairs.begin(), true);
    return;
  }
  for (Impl::ConnectionPair* pair : impl_->pairs)
    impl_->Relay(*pair);
}

ProxyMode FaultProxy::mode() const {
  return impl_->mode;
}

}  // namespace cicadadrum
