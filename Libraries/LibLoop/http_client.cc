// HTTP/1.1 client on evhttp. Each connection carries one request at a time.

#include "cicadadrum/loop/http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <map>
#include <vector>

#include "cicadadrum/loop/address.h"
#include "http_fields.h"

namespace cicadadrum {

namespace {

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return EVHTTP_REQ_GET;
    case HttpMethod::kHead:
      return EVHTTP_REQ_HEAD;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

}  // namespace

struct HttpClient::Impl {
  struct Peer {
    std::vector<evhttp_connection*> idle;
    std::uint32_t open =
        0;  // Invariant: idle connections plus those in `calls`.
  };

  struct Call {
    Impl* client = nullptr;
    std::uint64_t id = 0;
    std::string address;
    evhttp_connection* connection = nullptr;
    Callback callback;
    std::unique_ptr<Timer> deadline;
    bool failed =
        false;  // evhttp reported an error after the connection was made.
    HttpOutcome outcome = HttpOutcome::kLost;
    HttpResponse response;
  };

  Impl(EventLoop& event_loop, const HttpClientOptions& client_options)
      : loop(event_loop), options(client_options) {}

  EventLoop& loop;
  HttpClientOptions options;
  std::map<std::string, Peer> peers;
  std::map<std::uint64_t, Call> calls;  // Nodes of a map keep their address.
  std::uint64_t next_id = 1;

  evhttp_connection* TakeConnection(const std::string& address);
  void Start(Call& call, const HttpRequest& request);
  void Complete(std::uint64_t id,
                HttpOutcome outcome,
                HttpResponse response,
                bool reusable);
  void CompleteSoon(Call& call, HttpOutcome outcome);
  void ReleaseConnection(const Call& call, bool reusable);
  static void OnDone(evhttp_request* request, void* argument);
  static void OnError(evhttp_request_error error, void* argument);
};

evhttp_connection* HttpClient::Impl::TakeConnection(
    const std::string& address) {
  Peer& peer = peers[address];
  if (!peer.idle.empty()) {
    evhttp_connection* connection = peer.idle.back();
    peer.idle.pop_back();
    return connection;
  }
  const auto target = ParseAddress(address);
  if (!target || peer.open >= options.max_connections_per_address)
    return nullptr;
  evhttp_connection* connection = evhttp_connection_base_new(
      loop.base(), nullptr, target->host.c_str(), target->port);
  evhttp_connection_set_max_body_size(
      connection, static_cast<ev_ssize_t>(options.max_response_bytes));
  evhttp_connection_set_timeout(connection, options.idle_timeout_seconds);
  ++peer.open;
  return connection;
}

// evhttp reports a connection that was never made by calling OnDone with a
// request without a status and without calling OnError first.
void HttpClient::Impl::OnDone(evhttp_request* request, void* argument) {
  Call& call = *static_cast<Call*>(argument);
  const int status =
      request == nullptr ? 0 : evhttp_request_get_response_code(request);
  if (status == 0) {
    const bool connected = call.failed || request == nullptr;
    return call.client->CompleteSoon(
        call, connected ? HttpOutcome::kLost : HttpOutcome::kNotConnected);
  }
  call.response = {
      .status = static_cast<std::uint16_t>(status),
      .headers = ReadFields(evhttp_request_get_input_headers(request)),
      .body = DrainBuffer(evhttp_request_get_input_buffer(request))};
  call.client->CompleteSoon(call, HttpOutcome::kAnswered);
}

void HttpClient::Impl::OnError(evhttp_request_error /*error*/, void* argument) {
  static_cast<Call*>(argument)->failed = true;
}

// Callbacks run from the timer and not from evhttp's own stack, which still
// uses the connection.
void HttpClient::Impl::CompleteSoon(Call& call, HttpOutcome outcome) {
  call.outcome = outcome;
  const std::uint64_t id = call.id;
  call.deadline = std::make_unique<Timer>(loop, [this, id] {
    Call& done = calls.at(id);
    Complete(id, done.outcome, std::move(done.response),
             done.outcome == HttpOutcome::kAnswered);
  });
  call.deadline->Schedule(loop.Now());
}

void HttpClient::Impl::Start(Call& call, const HttpRequest& request) {
  evhttp_request* outgoing = evhttp_request_new(OnDone, &call);
  evhttp_request_set_error_cb(outgoing, OnError);
  evkeyvalq* headers = evhttp_request_get_output_headers(outgoing);
  evhttp_add_header(headers, "Host", call.address.c_str());
  WriteFields(request.headers, headers);
  evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(),
               request.body.size());
  const int started =
      evhttp_make_request(call.connection, outgoing, ToCommand(request.method),
                          request.target.c_str());
  if (started != 0)
    CompleteSoon(call, HttpOutcome::kNotConnected);
}

void HttpClient::Impl::ReleaseConnection(const Call& call, bool reusable) {
  if (call.connection == nullptr)
    return;
  Peer& peer = peers[call.address];
  if (reusable) {
    peer.idle.push_back(call.connection);
    return;
  }
  --peer.open;
  evhttp_connection_free(call.connection);
}

void HttpClient::Impl::Complete(std::uint64_t id,
                                HttpOutcome outcome,
                                HttpResponse response,
                                bool reusable) {
  const auto found = calls.find(id);
  if (found == calls.end())
    return;
  const Callback callback = std::move(found->second.callback);
  // The timer whose callback runs now must live until it returns.
  const std::unique_ptr<Timer> timer = std::move(found->second.deadline);
  ReleaseConnection(found->second, reusable);
  calls.erase(found);
  callback(outcome, std::move(response));
}

HttpClient::HttpClient(EventLoop& loop, const HttpClientOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpClient::~HttpClient() {
  for (auto& [id, call] : impl_->calls) {
    if (call.connection != nullptr)
      evhttp_connection_free(call.connection);
  }
  for (auto& [address, peer] : impl_->peers) {
    for (evhttp_connection* connection : peer.idle)
      evhttp_connection_free(connection);
  }
}

std::uint64_t HttpClient::Send(const std::string& address,
                               const HttpRequest& request,
                               TimePoint deadline,
                               Callback callback) {
  const std::uint64_t id = impl_->next_id++;
  Impl::Call& call = impl_->calls[id];
  call.client = impl_.get();
  call.id = id;
  call.address = address;
  call.callback = std::move(callback);
  call.connection = impl_->TakeConnection(address);
  if (call.connection == nullptr) {
    impl_->CompleteSoon(call, HttpOutcome::kNoConnection);
    return id;
  }
  call.deadline =
      std::make_unique<Timer>(impl_->loop, [impl = impl_.get(), id] {
        impl->Complete(id, HttpOutcome::kTimedOut, {}, false);
      });
  call.deadline->Schedule(deadline);
  impl_->Start(call, request);
  return id;
}

void HttpClient::Cancel(std::uint64_t id) {
  const auto found = impl_->calls.find(id);
  if (found == impl_->calls.end())
    return;
  impl_->ReleaseConnection(found->second, false);
  impl_->calls.erase(found);
}

}  // namespace cicadadrum
