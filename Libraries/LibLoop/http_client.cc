// HTTP/1.1 client on bufferevents. Each connection carries at most one request
// at a time.

#include "cicadadrum/loop/http_client.h"

#include <event2/buffer.h>

#include <algorithm>
#include <utility>

#include "cicadadrum/base/hash.h"
#include "http_client_impl.h"
#include "http_head.h"

namespace cicadadrum {

namespace {

// A connection is not reused after this many requests, which limits the ids
// that are kept for it.
constexpr std::size_t kMaxRequestsPerConnection = 512;

// Number of connections that are checked for one call if servers respond to the
// check and close the connection.
constexpr std::uint32_t kMaxChecksPerCall = 2;

// Smaller bodies are copied, so that they are written together with the head.
constexpr std::size_t kMaxCopiedBody = 4096;

// Appends the body without a copy of it, unless it is small.
void AppendBody(evbuffer* buffer, const HttpBody& body) {
  if (body.size() > kMaxCopiedBody) {
    auto shared = std::make_unique<HttpBody>(body);
    const auto release = [](const void* /*data*/, std::size_t /*size*/,
                            void* argument) {
      const std::unique_ptr<HttpBody> sent(static_cast<HttpBody*>(argument));
    };
    if (evbuffer_add_reference(buffer, body.view().data(), body.size(), release,
                               shared.get()) == 0) {
      static_cast<void>(shared.release());
      return;
    }
  }
  evbuffer_add(buffer, body.view().data(), body.size());
}

}  // namespace

void HttpClient::Impl::SendRequest(Call& call, const HttpRequest& request) {
  if (!options.echoed_header.empty())
    call.connection->sent_ids.push_back(HashBytes(call.echo));
  WriteRequest(call, request);
}

// The check and the connection attempt share one time limit, so that a request
// is not sent long after its server was chosen.
void HttpClient::Impl::SendCheck(Call& call, const HttpRequest& request) {
  ++counters.checks;
  ++call.checks;
  call.waiting_request = request;
  call.check_timer =
      std::make_unique<Timer>(loop, [this, id = call.id] { TimeOutCheck(id); });
  call.check_timer->Schedule(
      loop.Now() + std::max(options.connect_timeout, call.check->max_wait));
  call.connection->check_sent = true;
  WriteRequest(call, call.check->request);
}

// The handler may cancel the call.
void HttpClient::Impl::SendWaitingRequest(Connection& connection) {
  Call& call = *connection.call;
  const std::uint64_t id = call.id;
  const ReadyHandler on_ready = call.on_ready;
  const std::optional<HttpRequest> request =
      on_ready ? on_ready() : call.waiting_request;
  if (!calls.contains(id))
    return;
  call.check_timer.reset();
  call.waiting_request.reset();
  if (!request)
    return Complete(connection, HttpOutcome::kWithheld);
  SendRequest(call, *request);
}

void HttpClient::Impl::Attach(Call& call, HttpMethod method) {
  Connection& connection = *call.connection;
  ResetParser(connection.parser, method == HttpMethod::kHead);
  CountBufferedBytes(connection);
  connection.skipped_response = false;
  connection.received_bytes = 0;
  connection.call = &call;
}

void HttpClient::Impl::WriteRequest(Call& call, const HttpRequest& request) {
  Attach(call, request.method);
  Connection& connection = *call.connection;
  const std::string head = SerializeHead(call.address, request);
  evbuffer* output = bufferevent_get_output(connection.bev);
  evbuffer_add(output, head.data(), head.size());
  AppendBody(output, request.body);
  connection.request_bytes = head.size() + request.body.size();
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
    CountBufferedBytes(connection);
    if (progress == ParseProgress::kComplete && IsResponseToCall(connection))
      return connection.call->waiting_request
                 ? CompleteCheck(connection)
                 : Complete(connection, HttpOutcome::kAnswered);
    if (progress == ParseProgress::kMalformed ||
        DiscardedBytes(connection) > options.max_discarded_bytes)
      return Complete(connection, OutcomeOfMalformedResponse(*connection.call));
    if (progress == ParseProgress::kNeedMore)
      continue;
    ++counters.unsolicited_responses;
    connection.skipped_response = true;
    ResetParser(connection.parser, connection.call->head_request);
  }
  // May pause this connection, but not close it.
  PauseIfNeeded(connection);
  LimitBufferedBytes();
}

void HttpClient::Impl::CountBufferedBytes(Connection& connection) {
  counters.buffered_bytes -= connection.buffered_bytes;
  connection.buffered_bytes = connection.parser.held_bytes;
  counters.buffered_bytes += connection.buffered_bytes;
}

// Ends the calls with the largest incomplete responses until the limit is met,
// so that responses without end do not displace ordinary ones. The callbacks
// run later, because a callback may destroy the connection that is being read.
void HttpClient::Impl::LimitBufferedBytes() {
  const auto buffered_bytes = [](const auto& entry) {
    const Connection* connection = entry.second.connection;
    return connection == nullptr ? 0 : connection->buffered_bytes;
  };
  while (counters.buffered_bytes > options.max_buffered_bytes) {
    Call& largest = std::ranges::max_element(calls, {}, buffered_bytes)->second;
    Close(*std::exchange(largest.connection, nullptr));
    ScheduleCompletion(largest, OutcomeOfMalformedResponse(largest));
  }
  ResumeReading();
}

// Returns how many bytes of the call's connection are no part of the body of
// the response to the call.
std::uint64_t HttpClient::Impl::DiscardedBytes(
    const Connection& connection) const {
  const ResponseParser& parser = connection.parser;
  const bool keeps_body =
      parser.headers_complete && IsResponseToCall(connection);
  return connection.received_bytes - (keeps_body ? parser.body_bytes : 0);
}

// Returns whether the response belongs to the connection's call. An error
// response may lack the echoed header, because the server may have sent it
// before it read the request's header. It is accepted only as the first
// response on a new connection: on a reused connection it may be the repeated
// response to an earlier request, or to the check.
bool HttpClient::Impl::IsResponseToCall(const Connection& connection) const {
  if (options.echoed_header.empty() || connection.call->waiting_request)
    return true;
  const HttpResponse& response = connection.parser.response;
  const std::string_view echo =
      FindField(response.headers, options.echoed_header);
  if (echo.empty())
    return response.status >= 300 && !connection.reused &&
           !connection.check_sent && !connection.skipped_response;
  return echo == connection.call->echo;
}

// Whether the end of the connection may be the end of a response. Callbacks are
// deferred, so `what` may contain an error of a write and an end of the stream:
// a write takes the error of a reset from the socket, and the kernel reports
// the reset as an end to the read that follows. A server that closes while part
// of the request is unsent is reset soon, and the client may read the end
// before or after that; for one verdict, neither completes a response.
bool HttpClient::Impl::EndedInOrder(const Connection& connection, short what) {
  return what == (BEV_EVENT_READING | BEV_EVENT_EOF) &&
         !HasUnsentBytes(connection);
}

bool HttpClient::Impl::HasUnsentBytes(const Connection& connection) {
  return evbuffer_get_length(bufferevent_get_output(connection.bev)) > 0;
}

void HttpClient::Impl::HandleEvent(Connection& connection, short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection.connected = true;
    connection.connected_at = loop.Now();
    bufferevent_set_timeouts(connection.bev, nullptr, nullptr);
    if (connection.call != nullptr && connection.call->waiting_request &&
        !connection.check_sent)
      SendWaitingRequest(connection);
    return;
  }
  if (connection.call == nullptr)
    return Close(connection);
  if (HasSentNothing(connection))
    return Complete(connection, HttpOutcome::kNotConnected);
  if (EndedInOrder(connection, what) &&
      ParseEnd(connection.parser) == ParseProgress::kComplete) {
    connection.parser.reusable = false;
    if (IsResponseToCall(connection))
      return Complete(connection, HttpOutcome::kAnswered);
  }
  const bool unused = connection.reused && connection.received_bytes == 0;
  Complete(connection, unused ? HttpOutcome::kLostUnused : HttpOutcome::kLost);
}

// If the connection can't carry the call's own request, another connection is
// opened and checked.
void HttpClient::Impl::CompleteCheck(Connection& connection) {
  Call& call = *connection.call;
  if (!call.check->accepts(connection.parser.response))
    return Complete(connection, HttpOutcome::kCheckFailed);
  if (IsReusable(connection) && !HasUnsentBytes(connection)) {
    connection.check_passed = true;
    return SendWaitingRequest(connection);
  }
  if (call.checks >= kMaxChecksPerCall)
    return Complete(connection, HttpOutcome::kNotConnected);
  Close(connection);
  call.connection = Open(call.address, connections_by_address[call.address],
                         options.connect_timeout);
  if (call.connection == nullptr)
    return ScheduleCompletion(call, HttpOutcome::kConnectionUnavailable);
  const HttpRequest request = *call.waiting_request;
  SendCheck(call, request);
}

bool HttpClient::Impl::IsReusable(const Connection& connection) const {
  return connection.parser.reusable && !connection.skipped_response &&
         evbuffer_get_length(bufferevent_get_input(connection.bev)) == 0 &&
         connection.sent_ids.size() < kMaxRequestsPerConnection;
}

// Ends the call of a connection. The connection becomes idle if the response
// allows reuse, no response was skipped, no bytes remain unread and the
// connection may carry another request; otherwise the connection is closed. If
// the server has responded early, the rest of the request is sent first.
void HttpClient::Impl::Complete(Connection& connection, HttpOutcome outcome) {
  Call& call = *connection.call;
  const Callback callback = std::move(call.callback);
  const std::unique_ptr<Timer> timer = std::move(call.timer);
  const TimePoint deadline = call.deadline;
  HttpResponse response;
  const bool has_response =
      outcome == HttpOutcome::kAnswered || outcome == HttpOutcome::kCheckFailed;
  if (has_response)
    response = std::exchange(connection.parser.response, {});
  connection.parser.held_bytes = 0;
  CountBufferedBytes(connection);
  if (evbuffer_get_length(bufferevent_get_input(connection.bev)) > 0)
    ++counters.unsolicited_responses;
  const bool reusable = (has_response || outcome == HttpOutcome::kWithheld) &&
                        IsReusable(connection);
  connection.call = nullptr;
  calls.erase(call.id);
  if (reusable && HasUnsentBytes(connection))
    FinishSending(connection, deadline,
                  KeepAliveTimeout(response, options.idle_timeout));
  else if (reusable)
    ReturnToIdle(connection, KeepAliveTimeout(response, options.idle_timeout));
  else
    Close(connection);
  ResumeReading();
  callback(outcome, std::move(response));
}

void HttpClient::Impl::ScheduleCompletion(Call& call, HttpOutcome outcome) {
  const std::uint64_t id = call.id;
  call.check_timer.reset();
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

// The request may have been written before the loop reports the connection as
// established, so the bytes that are still unsent count too.
bool HttpClient::Impl::HasSentNothing(const Connection& connection) {
  if (connection.call->waiting_request)
    return true;
  return !connection.connected &&
         evbuffer_get_length(bufferevent_get_output(connection.bev)) ==
             connection.request_bytes;
}

bool HttpClient::Impl::ExtendDeadline(Call& call) {
  const std::uint64_t received = call.connection->received_bytes;
  if (options.arrival_extension <= Duration::zero() ||
      received <= call.received_at_extension ||
      call.extensions >= kMaxExtensions)
    return false;
  ++call.extensions;
  call.received_at_extension = received;
  call.timer->Schedule(loop.Now() + options.arrival_extension);
  return true;
}

void HttpClient::Impl::TimeOutCall(std::uint64_t id) {
  if (ExtendDeadline(calls.at(id)))
    return;
  const Call& call = calls.at(id);
  Connection& connection = *call.connection;
  if (call.waiting_request)
    return Complete(connection, OutcomeOfCheckTimeout(call));
  Complete(connection, HasSentNothing(connection) ? HttpOutcome::kNotConnected
                                                  : HttpOutcome::kTimedOut);
}

void HttpClient::Impl::TimeOutCheck(std::uint64_t id) {
  Call& call = calls.at(id);
  // Keeps the timer whose callback this is until the end.
  const std::unique_ptr<Timer> timer = std::move(call.check_timer);
  Complete(*call.connection, OutcomeOfCheckTimeout(call));
}

// Returns the outcome of a call whose check got no response in time. A server
// that may take longer than a connection attempt, but accepted the connection,
// is busy.
HttpOutcome HttpClient::Impl::OutcomeOfCheckTimeout(const Call& call) const {
  return call.connection->connected && call.check &&
                 call.check->max_wait > options.connect_timeout
             ? HttpOutcome::kCheckTimedOut
             : HttpOutcome::kNotConnected;
}

// Returns the outcome of a call whose connection sends no usable response. The
// request itself follows only after the check.
HttpOutcome HttpClient::Impl::OutcomeOfMalformedResponse(const Call& call) {
  return call.waiting_request ? HttpOutcome::kNotConnected
                              : HttpOutcome::kMalformed;
}

HttpClient::HttpClient(EventLoop& loop, const HttpClientOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

HttpClient::~HttpClient() {
  for (auto& [id, call] : impl_->calls) {
    if (call.connection != nullptr)
      impl_->Close(*call.connection);
  }
  while (!impl_->sending_rest.empty())
    impl_->Close(**impl_->sending_rest.begin());
  for (auto& [address, address_connections] : impl_->connections_by_address) {
    while (!address_connections.idle.empty())
      impl_->Close(*address_connections.idle.back());
  }
}

std::uint64_t HttpClient::Send(const std::string& address,
                               const HttpRequest& request,
                               TimePoint deadline,
                               Callback callback,
                               std::optional<ConnectionCheck> check,
                               ReadyHandler on_ready) {
  const std::uint64_t id = impl_->next_id++;
  ++impl_->counters.requests;
  Impl::Call& call = impl_->calls[id];
  call.id = id;
  call.address = address;
  call.callback = std::move(callback);
  call.deadline = deadline;
  call.head_request = request.method == HttpMethod::kHead;
  call.check = std::move(check);
  call.on_ready = std::move(on_ready);
  if (!impl_->options.echoed_header.empty())
    call.echo = FindField(request.headers, impl_->options.echoed_header);
  Impl::AddressConnections& address_connections =
      impl_->connections_by_address[address];
  const bool identifiable =
      impl_->options.echoed_header.empty() || !call.echo.empty();
  if (identifiable && !request.fresh_connection)
    call.connection = impl_->ReuseIdle(address_connections, call);
  if (call.connection == nullptr)
    call.connection = impl_->Open(
        address, address_connections,
        request.connect_timeout.value_or(impl_->options.connect_timeout));
  if (call.connection == nullptr) {
    impl_->ScheduleCompletion(call, HttpOutcome::kConnectionUnavailable);
    return id;
  }
  call.timer = std::make_unique<Timer>(
      impl_->loop, [impl = impl_.get(), id] { impl->TimeOutCall(id); });
  call.timer->Schedule(deadline);
  if (!impl_->NeedsNoCheck(call, *call.connection)) {
    impl_->SendCheck(call, request);
  } else if (call.on_ready && !call.connection->connected) {
    call.waiting_request = request;
    impl_->Attach(call, request.method);
  } else {
    impl_->SendRequest(call, request);
  }
  return id;
}

void HttpClient::Cancel(std::uint64_t id) {
  const auto found = impl_->calls.find(id);
  if (found == impl_->calls.end())
    return;
  if (found->second.connection != nullptr)
    impl_->Close(*found->second.connection);
  impl_->calls.erase(found);
  impl_->ResumeReading();
}

const HttpClientCounters& HttpClient::counters() const {
  return impl_->counters;
}

}  // namespace cicadadrum
