// HTTP/1.1 client on bufferevents. Each connection carries at most one request
// at a time.

#include "cicadadrum/loop/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <vector>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/loop/address.h"
#include "cicadadrum/loop/event_pointer.h"
#include "http_head.h"
#include "http_parser_state.h"

namespace cicadadrum {

namespace {

// A connection is not reused after this many requests, which limits the ids
// that are kept for it.
constexpr std::size_t kMaxRequestsPerConnection = 512;

void SetSocketOptions(evutil_socket_t fd, Duration unacknowledged_timeout) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const auto timeout =
      static_cast<unsigned>(unacknowledged_timeout.count() / 1000);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

// Returns whether bytes, the end of the stream or an error wait in the
// connection's buffer or in its socket.
bool HasUnreadInput(bufferevent* bev) {
  if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
    return true;
  char byte = 0;
  const ssize_t received =
      recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EINTR);
}

}  // namespace

struct HttpClient::Impl {
  struct Call;

  // Invariant: either `call` is set, or the connection is in `idle` of its
  // AddressConnections.
  struct Connection {
    Impl* client = nullptr;
    std::string address;
    bufferevent* bev = nullptr;
    Call* call = nullptr;
    ResponseParser parser;
    bool connected = false;
    bool reused = false;               // By the current call.
    std::uint64_t received_bytes = 0;  // During the current call.
    // A response that does not belong to the call arrived.
    bool skipped_response = false;
    TimePoint usable_until;  // Set while the connection is idle.
    // Hashes of the ids (echoed values) of all requests that were sent.
    std::vector<std::uint64_t> sent_ids;
  };

  // The connections to one address.
  struct AddressConnections {
    // The most recently used connection is last.
    std::vector<Connection*> idle;
    // Invariant: the number of idle connections plus those with a call.
    std::uint32_t open_count = 0;
  };

  struct Call {
    std::uint64_t id = 0;
    std::string address;
    std::string echo;  // Expected value of the echoed header.
    bool head_request = false;
    Connection* connection = nullptr;
    Callback callback;
    std::unique_ptr<Timer> timer;
  };

  Impl(EventLoop& event_loop, HttpClientOptions client_options)
      : loop(event_loop), options(std::move(client_options)) {}

  EventLoop& loop;
  HttpClientOptions options;
  std::map<std::string, AddressConnections> connections_by_address;
  // A std::map, whose elements keep their addresses: connections point to
  // calls.
  std::map<std::uint64_t, Call> calls;
  std::uint64_t next_id = 1;
  HttpClientCounters counters;

  Connection* ReuseIdle(AddressConnections& address_connections,
                        const std::string& id);
  Connection* Open(const std::string& address,
                   AddressConnections& address_connections);
  void SendRequest(Call& call, const HttpRequest& request);
  void Complete(Connection& connection, HttpOutcome outcome);
  void ScheduleCompletion(Call& call, HttpOutcome outcome);
  void TimeOutCall(std::uint64_t id);
  void Read(Connection& connection);
  std::uint64_t DiscardedBytes(const Connection& connection) const;
  bool IsResponseToCall(const Connection& connection) const;
  void HandleEvent(Connection& connection, short what);
  void ReturnToIdle(Connection& connection, Duration usable);
  void Close(Connection& connection);
};

// Bytes that have arrived on an idle connection can't belong to the request
// that is about to be sent, so such a connection is closed. A connection that
// has carried a request with the same id is left idle: a repeated response to
// that request could not be told from the response to this one.
HttpClient::Impl::Connection* HttpClient::Impl::ReuseIdle(
    AddressConnections& address_connections,
    const std::string& id) {
  const std::uint64_t hash = HashBytes(id);
  std::vector<Connection*>& idle = address_connections.idle;
  for (std::size_t i = idle.size(); i-- > 0;) {
    Connection* connection = idle[i];
    if (loop.Now() >= connection->usable_until ||
        HasUnreadInput(connection->bev)) {
      Close(*connection);
      continue;
    }
    const auto& sent_ids = connection->sent_ids;
    if (std::find(sent_ids.begin(), sent_ids.end(), hash) != sent_ids.end())
      continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    connection->reused = true;
    return connection;
  }
  return nullptr;
}

// If the limit of connections is reached, the idle connection that has not been
// used for the longest time is closed.
HttpClient::Impl::Connection* HttpClient::Impl::Open(
    const std::string& address,
    AddressConnections& address_connections) {
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
  const auto changed = [](bufferevent* /*bev*/, short what, void* argument) {
    auto* source = static_cast<Connection*>(argument);
    source->client->HandleEvent(*source, what);
  };
  bufferevent_setcb(connection->bev, readable, nullptr, changed, connection);
  const timeval connect_time = ToTimeval(options.connect_timeout);
  bufferevent_set_timeouts(connection->bev, nullptr, &connect_time);
  bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
  ++address_connections.open_count;
  ++counters.connections;
  bufferevent_socket_connect(connection->bev,
                             reinterpret_cast<sockaddr*>(&storage), length);
  return connection;
}

void HttpClient::Impl::SendRequest(Call& call, const HttpRequest& request) {
  Connection& connection = *call.connection;
  ResetParser(connection.parser, call.head_request);
  connection.skipped_response = false;
  connection.received_bytes = 0;
  connection.call = &call;
  if (!options.echoed_header.empty())
    connection.sent_ids.push_back(HashBytes(call.echo));
  const std::string head = SerializeHead(call.address, request);
  evbuffer* output = bufferevent_get_output(connection.bev);
  evbuffer_add(output, head.data(), head.size());
  evbuffer_add(output, request.body.data(), request.body.size());
}

// Bytes that arrive on an idle connection belong to no request; the connection
// is closed.
void HttpClient::Impl::Read(Connection& connection) {
  if (connection.call == nullptr) {
    ++counters.unsolicited_responses;
    return Close(connection);
  }
  evbuffer* input = bufferevent_get_input(connection.bev);
  while (evbuffer_get_length(input) > 0) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const auto* bytes = reinterpret_cast<const char*>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    std::size_t consumed = 0;
    const ParseProgress progress =
        ParseBytes(connection.parser, bytes, size, consumed);
    evbuffer_drain(input, consumed);
    connection.received_bytes += consumed;
    if (progress == ParseProgress::kComplete && IsResponseToCall(connection))
      return Complete(connection, HttpOutcome::kAnswered);
    if (progress == ParseProgress::kMalformed ||
        DiscardedBytes(connection) > options.max_discarded_bytes)
      return Complete(connection, HttpOutcome::kLost);
    if (progress == ParseProgress::kNeedMore)
      continue;
    ++counters.unsolicited_responses;
    connection.skipped_response = true;
    ResetParser(connection.parser, connection.call->head_request);
  }
}

// Returns how many bytes of the call's connection are no part of the body of
// the response to the call.
std::uint64_t HttpClient::Impl::DiscardedBytes(
    const Connection& connection) const {
  const ResponseParser& parser = connection.parser;
  const bool keeps_body =
      parser.headers_complete && IsResponseToCall(connection);
  return connection.received_bytes -
         (keeps_body ? parser.response.body.size() : 0);
}

// Returns whether the response belongs to the connection's call. An error
// response may lack the echoed header, because the server may have sent it
// before it read the request's header. It is accepted only as the first
// response on a new connection: on a reused connection it may be the repeated
// response to an earlier request.
bool HttpClient::Impl::IsResponseToCall(const Connection& connection) const {
  if (options.echoed_header.empty())
    return true;
  const HttpResponse& response = connection.parser.response;
  const std::string_view echo =
      FindField(response.headers, options.echoed_header);
  if (echo.empty())
    return response.status >= 300 && !connection.reused &&
           !connection.skipped_response;
  return echo == connection.call->echo;
}

void HttpClient::Impl::HandleEvent(Connection& connection, short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection.connected = true;
    bufferevent_set_timeouts(connection.bev, nullptr, nullptr);
    return;
  }
  if (connection.call == nullptr)
    return Close(connection);
  if (!connection.connected)
    return Complete(connection, HttpOutcome::kNotConnected);
  const bool closed = (what & BEV_EVENT_EOF) != 0;
  if (closed && ParseEnd(connection.parser) == ParseProgress::kComplete) {
    connection.parser.reusable = false;
    if (IsResponseToCall(connection))
      return Complete(connection, HttpOutcome::kAnswered);
  }
  const bool unused = connection.reused && connection.received_bytes == 0;
  Complete(connection, unused ? HttpOutcome::kLostUnused : HttpOutcome::kLost);
}

void HttpClient::Impl::ReturnToIdle(Connection& connection, Duration usable) {
  connection.usable_until = loop.Now() + usable;
  connections_by_address[connection.address].idle.push_back(&connection);
}

void HttpClient::Impl::Close(Connection& connection) {
  AddressConnections& address_connections =
      connections_by_address[connection.address];
  std::erase(address_connections.idle, &connection);
  --address_connections.open_count;
  bufferevent_free(connection.bev);
  delete &connection;
}

// Ends the call of a connection. The connection becomes idle if the response
// allows reuse, no response was skipped and no bytes remain unread or unsent;
// otherwise the connection is closed.
void HttpClient::Impl::Complete(Connection& connection, HttpOutcome outcome) {
  Call& call = *connection.call;
  const Callback callback = std::move(call.callback);
  const std::unique_ptr<Timer> timer = std::move(call.timer);
  HttpResponse response;
  if (outcome == HttpOutcome::kAnswered)
    response = std::move(connection.parser.response);
  const std::size_t unread =
      evbuffer_get_length(bufferevent_get_input(connection.bev));
  const std::size_t unsent =
      evbuffer_get_length(bufferevent_get_output(connection.bev));
  if (unread > 0)
    ++counters.unsolicited_responses;
  const bool reusable =
      outcome == HttpOutcome::kAnswered && connection.parser.reusable &&
      !connection.skipped_response && unread == 0 && unsent == 0 &&
      connection.sent_ids.size() < kMaxRequestsPerConnection;
  connection.call = nullptr;
  calls.erase(call.id);
  if (reusable)
    ReturnToIdle(connection, KeepAliveTimeout(response, options.idle_timeout));
  else
    Close(connection);
  callback(outcome, std::move(response));
}

void HttpClient::Impl::ScheduleCompletion(Call& call, HttpOutcome outcome) {
  const std::uint64_t id = call.id;
  call.timer = std::make_unique<Timer>(loop, [this, id, outcome] {
    const auto found = calls.find(id);
    if (found == calls.end())
      return;
    const Callback callback = std::move(found->second.callback);
    const std::unique_ptr<Timer> timer = std::move(found->second.timer);
    calls.erase(found);
    callback(outcome, {});
  });
  call.timer->Schedule(loop.Now());
}

// If the connection was never established, no byte of the request was sent, so
// the outcome is kNotConnected.
void HttpClient::Impl::TimeOutCall(std::uint64_t id) {
  Connection& connection = *calls.at(id).connection;
  Complete(connection, connection.connected ? HttpOutcome::kTimedOut
                                            : HttpOutcome::kNotConnected);
}

HttpClient::HttpClient(EventLoop& loop, const HttpClientOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpClient::~HttpClient() {
  for (auto& [id, call] : impl_->calls) {
    if (call.connection != nullptr)
      impl_->Close(*call.connection);
  }
  for (auto& [address, address_connections] : impl_->connections_by_address) {
    while (!address_connections.idle.empty())
      impl_->Close(*address_connections.idle.back());
  }
}

std::uint64_t HttpClient::Send(const std::string& address,
                               const HttpRequest& request,
                               TimePoint deadline,
                               Callback callback) {
  const std::uint64_t id = impl_->next_id++;
  ++impl_->counters.requests;
  Impl::Call& call = impl_->calls[id];
  call.id = id;
  call.address = address;
  call.callback = std::move(callback);
  call.head_request = request.method == HttpMethod::kHead;
  if (!impl_->options.echoed_header.empty())
    call.echo = FindField(request.headers, impl_->options.echoed_header);
  Impl::AddressConnections& address_connections =
      impl_->connections_by_address[address];
  const bool identifiable =
      impl_->options.echoed_header.empty() || !call.echo.empty();
  if (identifiable && !request.fresh_connection)
    call.connection = impl_->ReuseIdle(address_connections, call.echo);
  if (call.connection == nullptr)
    call.connection = impl_->Open(address, address_connections);
  if (call.connection == nullptr) {
    impl_->ScheduleCompletion(call, HttpOutcome::kConnectionUnavailable);
    return id;
  }
  call.timer = std::make_unique<Timer>(
      impl_->loop, [impl = impl_.get(), id] { impl->TimeOutCall(id); });
  call.timer->Schedule(deadline);
  impl_->SendRequest(call, request);
  return id;
}

void HttpClient::Cancel(std::uint64_t id) {
  const auto found = impl_->calls.find(id);
  if (found == impl_->calls.end())
    return;
  if (found->second.connection != nullptr)
    impl_->Close(*found->second.connection);
  impl_->calls.erase(found);
}

const HttpClientCounters& HttpClient::counters() const {
  return impl_->counters;
}

}  // namespace cicadadrum
