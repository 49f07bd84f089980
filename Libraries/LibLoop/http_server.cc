// HTTP/1.1 server on evhttp.

#include "cicadadrum/loop/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <map>
#include <utility>

#include "cicadadrum/base/error.h"
#include "cicadadrum/loop/address.h"
#include "http_fields.h"

namespace cicadadrum {

namespace {

// How long the server stops accepting connections after accept() failed, for
// example because no file descriptor is free. Without a pause the listener
// would report the same error in every iteration of the loop.
constexpr Duration kAcceptPause = Milliseconds(100);

constexpr Duration kMaxFlushTime = Milliseconds(500);

constexpr auto kMethods =
    std::to_array<std::pair<evhttp_cmd_type, HttpMethod>>({
        {EVHTTP_REQ_GET, HttpMethod::kGet},
        {EVHTTP_REQ_HEAD, HttpMethod::kHead},
        {EVHTTP_REQ_POST, HttpMethod::kPost},
        {EVHTTP_REQ_PUT, HttpMethod::kPut},
        {EVHTTP_REQ_DELETE, HttpMethod::kDelete},
    });

bool ReadMethod(evhttp_request* source, HttpMethod& method) {
  for (const auto& [type, value] : kMethods) {
    if (type == evhttp_request_get_command(source)) {
      method = value;
      return true;
    }
  }
  return false;
}

// Converts an evhttp request. Returns false if the method is not supported or
// the target is malformed.
bool ReadRequest(evhttp_request* source, HttpRequest& request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(source);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  if (path == nullptr || !ReadMethod(source, request.method))
    return false;
  request.target = evhttp_request_get_uri(source);
  std::size_t length = 0;
  char* decoded = evhttp_uridecode(path, 0, &length);
  if (decoded == nullptr)
    return false;
  request.path.assign(decoded, length);
  free(decoded);
  const char* query = evhttp_uri_get_query(uri);
  if (query != nullptr) {
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(query, &parameters) != 0)
      return false;
    request.query = ReadFields(&parameters);
    evhttp_clear_headers(&parameters);
  }
  request.headers = ReadFields(evhttp_request_get_input_headers(source));
  request.body = DrainBuffer(evhttp_request_get_input_buffer(source));
  return true;
}

// Bodies of responses that libevent still holds. Shared with these bodies,
// because libevent may free a connection after the server.
struct UnsentBodies {
  std::uint64_t bytes = 0;
  std::function<void(std::uint64_t unsent_bytes)> changed;
};

void SetUnsent(UnsentBodies& unsent, std::uint64_t bytes) {
  unsent.bytes = bytes;
  if (unsent.changed)
    unsent.changed(bytes);
}

// One body that libevent sends without a copy of it.
struct SentBody {
  std::shared_ptr<UnsentBodies> unsent;
  std::string bytes;
};

// Appends the body to `buffer`. It is freed when it has been sent, or when its
// connection has been closed.
void AppendBody(evbuffer* buffer,
                std::shared_ptr<UnsentBodies> unsent,
                std::string bytes) {
  if (bytes.empty())
    return;
  auto body =
      std::make_unique<SentBody>(SentBody{std::move(unsent), std::move(bytes)});
  const auto release = [](const void* /*data*/, std::size_t /*size*/,
                          void* argument) {
    const std::unique_ptr<SentBody> sent(static_cast<SentBody*>(argument));
    SetUnsent(*sent->unsent, sent->unsent->bytes - sent->bytes.size());
  };
  SentBody& appended = *body;
  if (evbuffer_add_reference(buffer, appended.bytes.data(),
                             appended.bytes.size(), release, &appended) != 0) {
    evbuffer_add(buffer, appended.bytes.data(), appended.bytes.size());
    return;
  }
  SetUnsent(*appended.unsent, appended.unsent->bytes + appended.bytes.size());
  static_cast<void>(body.release());
}

std::uint16_t BoundPort(evutil_socket_t fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length);
  return ntohs(storage.ss_family == AF_INET6
                   ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                   : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

}  // namespace

struct HttpServer::Impl {
  // A request that has not been answered yet.
  struct PendingRequest {
    Impl* server = nullptr;
    std::uint64_t id = 0;
    evhttp_request* request = nullptr;
    // Fires when the client closes the connection; freed with the request.
    event* closed_event = nullptr;
  };

  Impl(EventLoop& event_loop, RequestHandler handler, CloseHandler close)
      : loop(event_loop),
        on_request(std::move(handler)),
        on_close(std::move(close)) {}

  EventLoop& loop;
  RequestHandler on_request;
  CloseHandler on_close;
  evhttp* http = nullptr;
  evhttp_bound_socket* socket = nullptr;
  evconnlistener* listener = nullptr;  // Belongs to `socket`.
  std::unique_ptr<Timer> resume_accept;
  // A std::map, whose elements keep their addresses: libevent callbacks point
  // to pending requests.
  std::map<std::uint64_t, PendingRequest> pending_requests;
  std::uint64_t next_id = 1;
  // Responses not yet written to the kernel's socket buffers.
  std::uint64_t unsent_responses = 0;
  std::unique_ptr<Timer> flush_timer;
  std::shared_ptr<UnsentBodies> unsent = std::make_shared<UnsentBodies>();
  HttpServerCounters counters;

  static std::map<evconnlistener*, Impl*>& Listeners();
  void AcceptRequest(evhttp_request* source);
  void WatchForClose(PendingRequest& pending_request);
  void RecordResponseSent();
  static void StopWatchingForClose(PendingRequest& pending_request);
};

void HttpServer::Impl::AcceptRequest(evhttp_request* source) {
  HttpRequest request;
  if (!ReadRequest(source, request)) {
    ++counters.malformed;
    evhttp_send_error(source, HTTP_BADREQUEST, "Bad Request");
    return;
  }
  ++counters.requests;
  const std::uint64_t id = next_id++;
  PendingRequest& pending_request = pending_requests[id];
  pending_request = {.server = this, .id = id, .request = source};
  WatchForClose(pending_request);
  on_request(id, std::move(request));
}

// evhttp stops reading while a request is handled, so it does not detect that
// the client has closed the connection. An EV_CLOSED event reports the close
// without reading from the socket.
void HttpServer::Impl::WatchForClose(PendingRequest& pending_request) {
  evhttp_connection* connection =
      evhttp_request_get_connection(pending_request.request);
  const evutil_socket_t fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const auto closed = [](evutil_socket_t /*fd*/, short /*what*/,
                         void* argument) {
    PendingRequest& closed_request = *static_cast<PendingRequest*>(argument);
    StopWatchingForClose(closed_request);
    closed_request.server->on_close(closed_request.id);
  };
  pending_request.closed_event =
      event_new(loop.base(), fd, EV_CLOSED, closed, &pending_request);
  event_add(pending_request.closed_event, nullptr);
  const auto connection_freed = [](evhttp_connection* /*connection*/,
                                   void* argument) {
    StopWatchingForClose(*static_cast<PendingRequest*>(argument));
  };
  evhttp_connection_set_closecb(connection, connection_freed, &pending_request);
}

void HttpServer::Impl::RecordResponseSent() {
  if (unsent_responses > 0)
    --unsent_responses;
  if (unsent_responses == 0 && flush_timer != nullptr)
    flush_timer->Schedule(loop.Now());
}

void HttpServer::Impl::StopWatchingForClose(PendingRequest& pending_request) {
  if (pending_request.closed_event == nullptr)
    return;
  event_free(pending_request.closed_event);
  pending_request.closed_event = nullptr;
}

// The error callback of a listener receives the argument of the accept callback
// that evhttp has installed, so the error callback looks up the server by its
// listener.
std::map<evconnlistener*, HttpServer::Impl*>& HttpServer::Impl::Listeners() {
  static std::map<evconnlistener*, Impl*> listeners;
  return listeners;
}

HttpServer::HttpServer(EventLoop& loop,
                       const HttpServerOptions& options,
                       RequestHandler on_request,
                       CloseHandler on_close)
    : impl_(std::make_unique<Impl>(loop,
                                   std::move(on_request),
                                   std::move(on_close))) {
  impl_->unsent->changed = options.unsent_changed;
  impl_->http = evhttp_new(loop.base());
  evhttp_set_max_body_size(impl_->http,
                           static_cast<ev_ssize_t>(options.max_body_bytes));
  evhttp_set_max_headers_size(
      impl_->http, static_cast<ev_ssize_t>(options.max_header_bytes));
  evhttp_set_timeout(impl_->http, options.idle_timeout_seconds);
  const auto accept = [](evhttp_request* request, void* argument) {
    static_cast<Impl*>(argument)->AcceptRequest(request);
  };
  evhttp_set_gencb(impl_->http, accept, impl_.get());
}

HttpServer::~HttpServer() {
  Impl::Listeners().erase(impl_->listener);
  impl_->unsent->changed = nullptr;
  for (auto& [id, pending_request] : impl_->pending_requests) {
    Impl::StopWatchingForClose(pending_request);
    evhttp_connection* connection =
        evhttp_request_get_connection(pending_request.request);
    if (connection != nullptr)
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  evhttp_free(impl_->http);
}

boost::leaf::result<std::uint16_t> HttpServer::Listen(
    const std::string& address) {
  BOOST_LEAF_AUTO(target, ParseAddress(address));
  impl_->socket = evhttp_bind_socket_with_handle(
      impl_->http, target.host.c_str(), target.port);
  if (impl_->socket == nullptr)
    return boost::leaf::new_error(
        Error{ErrorCode::kBindFailed, "can't listen on " + address});
  evconnlistener* listener = evhttp_bound_socket_get_listener(impl_->socket);
  impl_->resume_accept = std::make_unique<Timer>(
      impl_->loop, [listener] { evconnlistener_enable(listener); });
  impl_->listener = listener;
  Impl::Listeners()[listener] = impl_.get();
  const auto accept_failed = [](evconnlistener* failed, void* /*argument*/) {
    Impl* impl = Impl::Listeners().at(failed);
    evconnlistener_disable(failed);
    impl->resume_accept->Schedule(impl->loop.Now() + kAcceptPause);
  };
  evconnlistener_set_error_cb(listener, accept_failed);
  return BoundPort(evhttp_bound_socket_get_fd(impl_->socket));
}

void HttpServer::StopListening() {
  if (impl_->socket == nullptr)
    return;
  impl_->resume_accept.reset();
  Impl::Listeners().erase(impl_->listener);
  evhttp_del_accept_socket(impl_->http, impl_->socket);
  impl_->socket = nullptr;
}

void HttpServer::Respond(std::uint64_t id, HttpResponse response) {
  const auto found = impl_->pending_requests.find(id);
  if (found == impl_->pending_requests.end())
    return;
  evhttp_request* request = found->second.request;
  Impl::StopWatchingForClose(found->second);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (connection != nullptr)
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  impl_->pending_requests.erase(found);
  WriteFields(response.headers, evhttp_request_get_output_headers(request));
  if (connection != nullptr) {
    const auto sent = [](evhttp_request* /*request*/, void* argument) {
      static_cast<Impl*>(argument)->RecordResponseSent();
    };
    ++impl_->unsent_responses;
    evhttp_request_set_on_complete_cb(request, sent, impl_.get());
  }
  evbuffer* body = evbuffer_new();
  AppendBody(body, impl_->unsent, std::move(response.body));
  evhttp_send_reply(request, response.status, nullptr, body);
  evbuffer_free(body);
}

void HttpServer::Abort(std::uint64_t id) {
  const auto found = impl_->pending_requests.find(id);
  if (found == impl_->pending_requests.end())
    return;
  evhttp_connection* connection =
      evhttp_request_get_connection(found->second.request);
  if (connection == nullptr)
    return Respond(id, {.status = 503});
  Impl::StopWatchingForClose(found->second);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  impl_->pending_requests.erase(found);
  evhttp_connection_free(connection);
}

void HttpServer::WhenFlushed(std::function<void()> callback) {
  impl_->flush_timer =
      std::make_unique<Timer>(impl_->loop, std::move(callback));
  // evhttp never reports a response as sent if the connection is lost while the
  // response is written, so the wait is bounded.
  const Duration wait =
      impl_->unsent_responses == 0 ? Duration::zero() : kMaxFlushTime;
  impl_->flush_timer->Schedule(impl_->loop.Now() + wait);
}

std::uint64_t HttpServer::unsent_bytes() const {
  return impl_->unsent->bytes;
}

const HttpServerCounters& HttpServer::counters() const {
  return impl_->counters;
}

}  // namespace cicadadrum
