// HTTP/1.1 server on bufferevents: connections and the public interface.

#include "cicadadrum/loop/http_server.h"

#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "cicadadrum/base/error.h"
#include "cicadadrum/loop/address.h"
#include "http_server_impl.h"

namespace cicadadrum {

namespace {

// How long the server stops accepting connections after accept() failed, for
// example because no file descriptor is free. Without a pause the listener
// would report the same error in every iteration of the loop.
constexpr Duration kAcceptPause = Milliseconds(100);

constexpr int kBacklog = 512;

// Input that waits in a connection's buffer, beyond a head.
constexpr std::size_t kInputBytes = 16'384;

std::uint16_t BoundPort(evutil_socket_t fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length);
  return ntohs(storage.ss_family == AF_INET6
                   ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                   : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

bool ClosesConnection(const HttpResponse& response) {
  return FindField(response.headers, "Connection") == "close";
}

}  // namespace

HttpServer::Impl::Impl(EventLoop& event_loop,
                       HttpServerOptions server_options,
                       RequestHandler handler,
                       CloseHandler close)
    : loop(event_loop),
      options(std::move(server_options)),
      on_request(std::move(handler)),
      on_close(std::move(close)),
      budget(MakeByteBudget(options.max_held_bytes)),
      turn_timer(std::make_unique<Timer>(loop, [this] { ReadWaiting(); })),
      sweep_timer(std::make_unique<Timer>(loop, [this] { Sweep(); })),
      budget_timer(std::make_unique<Timer>(loop, [this] { ApplyBudget(); })),
      lost_timer(std::make_unique<Timer>(loop, [this] {
        for (const std::uint64_t id : std::exchange(lost_requests, {}))
          on_close(id);
      })) {
  unsent->changed = options.unsent_changed;
}

void HttpServer::Impl::Accept(evutil_socket_t fd) {
  if (connections.size() >= options.max_connections && !Displace()) {
    StopAccepting();
    evutil_closesocket(fd);
    return;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto connection = std::make_shared<Connection>();
  const TimePoint now = loop.Now();
  connection->server = this;
  connection->id = next_connection++;
  connection->idle_since = now;
  connection->progressed_at = now;
  connection->read_at = now;
  // Close closes the socket. BEV_OPT_CLOSE_ON_FREE would do so only after all
  // waiting connections have been accepted, each with a descriptor of its own.
  connection->bev = bufferevent_socket_new(loop.base(), fd, 0);
  const auto readable = [](bufferevent* /*bev*/, void* argument) {
    // The connection may be closed meanwhile.
    const ConnectionPointer source =
        static_cast<Connection*>(argument)->shared_from_this();
    source->server->HandleInput(*source);
  };
  const auto written = [](bufferevent* /*bev*/, void* argument) {
    const ConnectionPointer source =
        static_cast<Connection*>(argument)->shared_from_this();
    source->server->HandleOutput(*source);
  };
  const auto changed = [](bufferevent* /*bev*/, short what, void* argument) {
    const ConnectionPointer source =
        static_cast<Connection*>(argument)->shared_from_this();
    source->server->HandleEvent(*source, what);
  };
  bufferevent_setcb(connection->bev, readable, written, changed,
                    connection.get());
  bufferevent_setwatermark(connection->bev, EV_READ, 0,
                           options.limits.max_header_bytes + kInputBytes);
  bufferevent_set_max_single_read(connection->bev, kHeadReadBytes);
  // The next requests are read before a large response has left entirely.
  bufferevent_setwatermark(connection->bev, EV_WRITE, kMaxUnreadBytes / 2, 0);
  connections[connection->id] = connection;
  counters.connections = connections.size();
  bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
  Count(*connection);
  ScheduleSweep();
}

void HttpServer::Impl::Close(Connection& connection) {
  if (connection.bev == nullptr)
    return;
  const ConnectionPointer keep = connection.shared_from_this();
  for (const Exchange& exchange : connection.exchanges)
    connections_by_request.erase(exchange.id);
  connection.exchanges.clear();
  connection.body = {};
  if (connection.is_paused)
    --paused_count;
  counters.held_bytes -= connection.counted_bytes;
  const evutil_socket_t fd = bufferevent_getfd(connection.bev);
  bufferevent_free(std::exchange(connection.bev, nullptr));
  evutil_closesocket(fd);
  connections.erase(connection.id);
  counters.connections = connections.size();
  if (paused_count > 0)
    SchedulePlan();
  CheckFlushed();
}

void HttpServer::Impl::Lose(Connection& connection) {
  std::vector<std::uint64_t> ids;
  for (const Exchange& exchange : connection.exchanges) {
    if (exchange.id != 0 && !exchange.response)
      ids.push_back(exchange.id);
  }
  Close(connection);
  for (const std::uint64_t id : ids)
    on_close(id);
}

// A caller that closes its sending half is treated as gone while its requests
// are handled. Responses that are complete are still written.
void HttpServer::Impl::HandleEvent(Connection& connection, short what) {
  const bool has_output =
      evbuffer_get_length(bufferevent_get_output(connection.bev)) > 0;
  const bool has_ended = (what & BEV_EVENT_EOF) != 0;
  if (has_ended && connection.exchanges.empty() && has_output) {
    connection.is_closing = true;
    connection.discard_until = loop.Now();
    return;
  }
  Lose(connection);
}

HttpServer::Impl::Connection* HttpServer::Impl::ConnectionOf(
    std::uint64_t id) const {
  const auto found = connections_by_request.find(id);
  return found == connections_by_request.end() ? nullptr : found->second;
}

HttpServer::HttpServer(EventLoop& loop,
                       const HttpServerOptions& options,
                       RequestHandler on_request,
                       CloseHandler on_close)
    : impl_(std::make_unique<Impl>(loop,
                                   options,
                                   std::move(on_request),
                                   std::move(on_close))) {}

HttpServer::~HttpServer() {
  StopListening();
  impl_->unsent->changed = nullptr;
  impl_->flush_until = kNever;
  while (!impl_->connections.empty())
    impl_->Close(*impl_->connections.begin()->second);
}

boost::leaf::result<std::uint16_t> HttpServer::Listen(
    const std::string& address) {
  BOOST_LEAF_AUTO(target, ParseAddress(address));
  const auto accept = [](evconnlistener* /*listener*/, evutil_socket_t fd,
                         sockaddr* /*peer*/, int /*length*/, void* argument) {
    static_cast<Impl*>(argument)->Accept(fd);
  };
  const evutil_addrinfo hints{.ai_flags = AI_NUMERICHOST,
                              .ai_family = AF_UNSPEC,
                              .ai_socktype = SOCK_STREAM};
  evutil_addrinfo* found = nullptr;
  if (evutil_getaddrinfo(target.host.c_str(),
                         std::to_string(target.port).c_str(), &hints,
                         &found) == 0) {
    impl_->listener = evconnlistener_new_bind(
        impl_->loop.base(), accept, impl_.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        kBacklog, found->ai_addr, static_cast<int>(found->ai_addrlen));
    evutil_freeaddrinfo(found);
  }
  if (impl_->listener == nullptr)
    return boost::leaf::new_error(
        Error{ErrorCode::kBindFailed, "can't listen on " + address});
  impl_->is_accepting = true;
  impl_->resume_accept =
      std::make_unique<Timer>(impl_->loop, [impl = impl_.get()] {
        impl->is_accepting = true;
        evconnlistener_enable(impl->listener);
      });
  const auto accept_failed = [](evconnlistener* /*listener*/, void* argument) {
    static_cast<Impl*>(argument)->StopAccepting();
  };
  evconnlistener_set_error_cb(impl_->listener, accept_failed);
  return BoundPort(evconnlistener_get_fd(impl_->listener));
}

void HttpServer::Impl::StopAccepting() {
  is_accepting = false;
  evconnlistener_disable(listener);
  resume_accept->Schedule(loop.Now() + kAcceptPause);
}

void HttpServer::StopListening() {
  if (impl_->listener == nullptr)
    return;
  impl_->resume_accept.reset();
  evconnlistener_free(std::exchange(impl_->listener, nullptr));
  impl_->is_accepting = false;
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  impl_->options.limits = limits;
}

void HttpServer::Respond(std::uint64_t id, HttpResponse response) {
  Impl::Connection* found = impl_->ConnectionOf(id);
  if (found == nullptr)
    return;
  const Impl::ConnectionPointer connection = found->shared_from_this();
  impl_->connections_by_request.erase(id);
  const auto exchange =
      std::ranges::find(connection->exchanges, id, &Impl::Exchange::id);
  if (ClosesConnection(response))
    connection->is_closing = true;
  if (!response.body.empty())
    exchange->body = std::make_unique<UnsentBody>(
        impl_->unsent, std::exchange(response.body, {}));
  exchange->held_bytes = 0;
  exchange->response = std::move(response);
  impl_->WriteResponses(*connection);
}

void HttpServer::Abort(std::uint64_t id) {
  Impl::Connection* connection = impl_->ConnectionOf(id);
  if (connection == nullptr)
    return;
  for (const Impl::Exchange& exchange : connection->exchanges) {
    if (exchange.id != 0 && exchange.id != id && !exchange.response)
      impl_->lost_requests.push_back(exchange.id);
  }
  impl_->Close(*connection);
  if (!impl_->lost_requests.empty())
    impl_->lost_timer->Schedule(impl_->loop.Now());
}

void HttpServer::WhenFlushed(std::function<void()> callback,
                             Duration max_wait) {
  impl_->flush_until = impl_->loop.Now() + max_wait;
  impl_->flush_timer = std::make_unique<Timer>(
      impl_->loop, [impl = impl_.get(), callback = std::move(callback)] {
        impl->EndFlush(callback);
      });
  impl_->flush_timer->Schedule(impl_->flush_until);
  impl_->CheckFlushed();
}

std::uint64_t HttpServer::unsent_bytes() const {
  return impl_->unsent->bytes;
}

const HttpServerCounters& HttpServer::counters() const {
  return impl_->counters;
}

}  // namespace cicadadrum
