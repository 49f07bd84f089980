// Opens, reuses and closes the connections of the HTTP client.

#include <event2/buffer.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/loop/address.h"
#include "cicadadrum/loop/event_pointer.h"
#include "cicadadrum/loop/unread_input.h"
#include "http_client_impl.h"

namespace cicadadrum {

namespace {

void SetSocketOptions(evutil_socket_t fd, Duration unacknowledged_timeout) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto timeout =
      static_cast<unsigned>(unacknowledged_timeout.count() / 1000);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

}  // namespace

// Bytes that have arrived on an idle connection can't belong to the request
// that is about to be sent, so such a connection is closed. A connection that
// has carried a request with the same id is left idle: a repeated response to
// that request could not be told from the response to this one. So is a
// connection that needs a check: a repeated response to an earlier request
// could not be told from the response to the check.
HttpClient::Impl::Connection* HttpClient::Impl::ReuseIdle(
    AddressConnections& address_connections,
    const Call& call) {
  const std::uint64_t hash = HashBytes(call.echo);
  std::vector<Connection*>& idle = address_connections.idle;
  for (std::size_t i = idle.size(); i-- > 0;) {
    Connection* connection = idle[i];
    if (loop.Now() >= connection->usable_until ||
        HasUnreadInput(connection->bev)) {
      Close(*connection);
      continue;
    }
    const auto& sent_ids = connection->sent_ids;
    if (!NeedsNoCheck(call, *connection) ||
        std::find(sent_ids.begin(), sent_ids.end(), hash) != sent_ids.end())
      continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    connection->reused = true;
    return connection;
  }
  return nullptr;
}

bool HttpClient::Impl::NeedsNoCheck(const Call& call,
                                    const Connection& connection) const {
  return !call.check || connection.check_passed ||
         (connection.connected &&
          loop.Now() - connection.connected_at >= call.check->sufficient_age);
}

// If the limit of connections is reached, the idle connection that has not been
// used for the longest time is closed.
HttpClient::Impl::Connection* HttpClient::Impl::Open(
    const std::string& address,
    AddressConnections& address_connections,
    Duration connect_timeout) {
  const auto target = ParseAddress(address);
  if (address_connections.open_count >= options.max_connections_per_address &&
      !address_connections.idle.empty())
    Close(*address_connections.idle.front());
  if (!target ||
      address_connections.open_count >= options.max_connections_per_address)
    return nullptr;
  const evutil_socket_t fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_storage storage{};
  int length = sizeof(storage);
  const std::string text = target->host + ":" + std::to_string(target->port);
  if (fd < 0 ||
      evutil_parse_sockaddr_port(
          text.c_str(), reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
    if (fd >= 0)
      evutil_closesocket(fd);
    return nullptr;
  }
  SetSocketOptions(fd, options.unacknowledged_timeout);
  auto* connection = new Connection{.client = this, .address = address};
  connection->parser.max_body_bytes = options.max_response_bytes;
  // Callbacks are deferred, so that a connection attempt that fails immediately
  // is not reported before the call is attached to the connection.
  connection->bev = bufferevent_socket_new(
      loop.base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  const auto readable = [](bufferevent* /*bev*/, void* argument) {
    auto* source = static_cast<Connection*>(argument);
    source->client->Read(*source);
  };
  const auto sent = [](bufferevent* /*bev*/, void* argument) {
    auto* source = static_cast<Connection*>(argument);
    source->client->HandleSent(*source);
  };
  const auto changed = [](bufferevent* /*bev*/, short what, void* argument) {
    auto* source = static_cast<Connection*>(argument);
    source->client->HandleEvent(*source, what);
  };
  bufferevent_setcb(connection->bev, readable, sent, changed, connection);
  const timeval connect_time = ToTimeval(connect_timeout);
  bufferevent_set_timeouts(connection->bev, nullptr, &connect_time);
  bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
  ++address_connections.open_count;
  ++counters.connections;
  bufferevent_socket_connect(connection->bev,
                             reinterpret_cast<sockaddr*>(&storage), length);
  return connection;
}

void HttpClient::Impl::ReturnToIdle(Connection& connection, Duration usable) {
  connection.usable_until = loop.Now() + usable;
  connections_by_address[connection.address].idle.push_back(&connection);
}

void HttpClient::Impl::FinishSending(Connection& connection,
                                     TimePoint deadline,
                                     Duration usable) {
  sending_rest.insert(&connection);
  connection.usable_time = usable;
  connection.send_timer =
      std::make_unique<Timer>(loop, [this, &connection] { Close(connection); });
  connection.send_timer->Schedule(deadline);
}

void HttpClient::Impl::HandleSent(Connection& connection) {
  if (HasUnsentBytes(connection) || sending_rest.erase(&connection) == 0)
    return;
  connection.send_timer.reset();
  ReturnToIdle(connection, connection.usable_time);
}

void HttpClient::Impl::Close(Connection& connection) {
  AddressConnections& address_connections =
      connections_by_address[connection.address];
  std::erase(address_connections.idle, &connection);
  sending_rest.erase(&connection);
  --address_connections.open_count;
  counters.buffered_bytes -= connection.buffered_bytes;
  if (connection.paused)
    --paused_count;
  bufferevent_free(connection.bev);
  delete &connection;
}

}  // namespace cicadadrum
