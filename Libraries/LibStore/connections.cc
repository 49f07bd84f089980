// A bounded pool of persistent HTTP connections to the platform, based on
// evhttp.

#include "connections.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>
#include <vector>

#include "cicadadrum/loop/unread_input.h"

namespace cicadadrum {

namespace {

// evhttp has no limit of its own for the head of a response.
constexpr ev_ssize_t kMaxHeaderBytes = 65'536;

struct WaitingRequest {
  std::uint64_t id = 0;
  StoreHttpRequest request;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;  // 0 if the text is malformed.
};

Address ParseAddress(const std::string& text) {
  Address address;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return address;
  address.host = text.substr(0, colon);
  std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                  address.port);
  return address;
}

// Returns the outcome of an attempt from the status of its response; 0 means
// that no connection was made. A server error other than 503 (unavailable) does
// not show whether the request took effect.
StoreAttemptOutcome OutcomeForStatus(int status) {
  if (status == 0)
    return StoreAttemptOutcome::kNotSent;
  if (status == HTTP_SERVUNAVAIL)
    return StoreAttemptOutcome::kRefused;
  return status >= HTTP_INTERNAL ? StoreAttemptOutcome::kLost
                                 : StoreAttemptOutcome::kAnswered;
}

std::string ReadBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

}  // namespace

struct Connections::Impl {
  struct Connection {
    Impl* owner = nullptr;
    evhttp_connection* handle = nullptr;
    evhttp_request* request = nullptr;  // Null while the connection is idle.
    std::uint64_t id = 0;               // Identifier of the request.
    std::uint64_t received_bytes = 0;   // Since the request started.
  };

  event_base* base = nullptr;
  std::string host_header;
  Address address;
  std::size_t max_connections = 0;
  std::size_t max_response_bytes = 0;
  DoneCallback done;
  std::vector<std::unique_ptr<Connection>> connections;
  std::deque<WaitingRequest> waiting;
  // Ends excessive responses and starts waiting requests outside evhttp's
  // callbacks.
  event* start_event = nullptr;

  void CloseUnusableConnections();
  Connection* FindOrOpenIdleConnection();
  void LimitReceivedBytes(Connection& connection);
  bool ExceedsLimit(const Connection& connection) const;
  void EndExcessiveResponses();
  void StartRequest(Connection& connection, const WaitingRequest& next);
  void StartWaitingRequests();
  void Finish(Connection& connection, evhttp_request* request);
};

// evhttp takes bytes that wait on an idle connection for the response to the
// next request, so such a connection is closed.
void Connections::Impl::CloseUnusableConnections() {
  std::erase_if(connections, [](const auto& connection) {
    bufferevent* stream = evhttp_connection_get_bufferevent(connection->handle);
    const bool usable = connection->request != nullptr ||
                        bufferevent_getfd(stream) < 0 ||
                        !HasUnreadInput(stream);
    if (!usable)
      evhttp_connection_free(connection->handle);
    return !usable;
  });
}

Connections::Impl::Connection* Connections::Impl::FindOrOpenIdleConnection() {
  CloseUnusableConnections();
  for (const auto& connection : connections) {
    if (connection->request == nullptr)
      return connection.get();
  }
  if (connections.size() >= max_connections)
    return nullptr;
  auto connection = std::make_unique<Connection>();
  connection->owner = this;
  connection->handle = evhttp_connection_base_new(
      base, nullptr, address.host.c_str(), address.port);
  evhttp_connection_set_retries(connection->handle, 0);
  evhttp_connection_set_max_body_size(
      connection->handle, static_cast<ev_ssize_t>(max_response_bytes));
  evhttp_connection_set_max_headers_size(connection->handle, kMaxHeaderBytes);
  LimitReceivedBytes(*connection);
  connections.push_back(std::move(connection));
  return connections.back().get();
}

// evhttp limits neither the number of interim responses nor the lines between
// chunks, so the bytes that arrive are counted. The request is ended outside
// evhttp's callbacks.
void Connections::Impl::LimitReceivedBytes(Connection& connection) {
  const auto count = [](evbuffer* /*input*/, const evbuffer_cb_info* info,
                        void* argument) {
    auto* receiving = static_cast<Connection*>(argument);
    receiving->received_bytes += info->n_added;
    if (receiving->owner->ExceedsLimit(*receiving))
      event_active(receiving->owner->start_event, EV_TIMEOUT, 0);
  };
  bufferevent* stream = evhttp_connection_get_bufferevent(connection.handle);
  evbuffer_add_cb(bufferevent_get_input(stream), count, &connection);
}

// The framing of chunks may take as many bytes as the body.
bool Connections::Impl::ExceedsLimit(const Connection& connection) const {
  return connection.request != nullptr &&
         connection.received_bytes > 2 * max_response_bytes + kMaxHeaderBytes;
}

void Connections::Impl::EndExcessiveResponses() {
  for (std::size_t i = 0; i < connections.size(); ++i) {
    Connection& connection = *connections[i];
    if (!ExceedsLimit(connection))
      continue;
    evhttp_cancel_request(std::exchange(connection.request, nullptr));
    done(connection.id, StoreAttemptOutcome::kLost, {});
  }
}

void Connections::Impl::StartRequest(Connection& connection,
                                     const WaitingRequest& next) {
  const auto on_done = [](evhttp_request* request, void* argument) {
    auto* ended = static_cast<Connection*>(argument);
    ended->owner->Finish(*ended, request);
  };
  connection.id = next.id;
  connection.received_bytes = 0;
  connection.request = evhttp_request_new(on_done, &connection);
  evkeyvalq* headers = evhttp_request_get_output_headers(connection.request);
  evhttp_add_header(headers, "Host", host_header.c_str());
  if (next.request.post || next.request.put) {
    const char* type =
        next.request.post ? "application/json" : "application/octet-stream";
    evhttp_add_header(headers, "Content-Type", type);
    evbuffer_add(evhttp_request_get_output_buffer(connection.request),
                 next.request.body.data(), next.request.body.size());
  }
  const evhttp_cmd_type method = next.request.put    ? EVHTTP_REQ_PUT
                                 : next.request.post ? EVHTTP_REQ_POST
                                                     : EVHTTP_REQ_GET;
  if (evhttp_make_request(connection.handle, connection.request, method,
                          next.request.path.c_str()) == 0)
    return;
  // evhttp has already freed the request.
  connection.request = nullptr;
  done(next.id, StoreAttemptOutcome::kNotSent, {});
}

void Connections::Impl::StartWaitingRequests() {
  EndExcessiveResponses();
  while (!waiting.empty()) {
    Connection* connection = FindOrOpenIdleConnection();
    if (connection == nullptr)
      return;
    const WaitingRequest next = std::move(waiting.front());
    waiting.pop_front();
    StartRequest(*connection, next);
  }
}

// Reports the outcome of a request. evhttp passes a null request if the
// connection was lost while the request was in progress, and a request with
// status 0 if the connection could not be made.
void Connections::Impl::Finish(Connection& connection,
                               evhttp_request* request) {
  connection.request = nullptr;
  StoreHttpResponse response;
  StoreAttemptOutcome outcome = StoreAttemptOutcome::kLost;
  if (request != nullptr) {
    response.status = evhttp_request_get_response_code(request);
    response.body = ReadBody(request);
    outcome = OutcomeForStatus(response.status);
  }
  event_active(start_event, EV_TIMEOUT, 0);
  done(connection.id, outcome, response);
}

Connections::Connections(event_base* base,
                         const std::string& address,
                         std::size_t max_connections,
                         std::size_t max_response_bytes,
                         DoneCallback done)
    : impl_(std::make_unique<Impl>()) {
  impl_->base = base;
  impl_->host_header = address;
  impl_->address = ParseAddress(address);
  impl_->max_connections = max_connections;
  impl_->max_response_bytes = max_response_bytes;
  impl_->done = std::move(done);
  impl_->start_event = event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* argument) {
        static_cast<Impl*>(argument)->StartWaitingRequests();
      },
      impl_.get());
}

Connections::~Connections() {
  for (const auto& connection : impl_->connections) {
    if (connection->request != nullptr)
      evhttp_cancel_request(connection->request);
    evhttp_connection_free(connection->handle);
  }
  event_free(impl_->start_event);
}

void Connections::Send(std::uint64_t id, const StoreHttpRequest& request) {
  impl_->waiting.push_back({id, request});
  event_active(impl_->start_event, EV_TIMEOUT, 0);
}

void Connections::Cancel(std::uint64_t id) {
  std::erase_if(impl_->waiting, [id](const WaitingRequest& waiting) {
    return waiting.id == id;
  });
  for (const auto& connection : impl_->connections) {
    if (connection->request == nullptr || connection->id != id)
      continue;
    // evhttp closes the connection and does not call the completion callback.
    evhttp_request* request = connection->request;
    connection->request = nullptr;
    evhttp_cancel_request(request);
    event_active(impl_->start_event, EV_TIMEOUT, 0);
  }
}

}  // namespace cicadadrum
