// Reads the requests of a connection.

#include <algorithm>
#include <array>
#include <utility>

#include "http_server_impl.h"

namespace cicadadrum {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// A body that arrives more slowly than this within ByteBudget::stall_time makes
// no progress.
constexpr std::uint64_t kProgressBytes = 16'384;

// What is dropped of a request behind the last response. Not reading the rest
// ends the connection with a reset.
constexpr std::uint64_t kMaxDiscardedBytes = std::uint64_t{1} << 20;

// Requests that were sent ahead and are handled in one iteration of the loop,
// at most. More would keep other connections waiting.
constexpr std::size_t kMaxTurns = 64;

constexpr std::uint16_t kBadRequest = 400;

// While a request is handled, its head is held by the handler and, in part, by
// what is sent on to a server.
constexpr std::uint64_t kHandledHeads = 2;

// Time after which memory is usually free again.
constexpr const char* kRetryAfterSeconds = "1.00";

std::uint16_t StatusOf(HeadVerdict verdict) {
  switch (verdict) {
    case HeadVerdict::kUnsupportedMethod:
      return 501;
    case HeadVerdict::kUnsupportedVersion:
      return 505;
    case HeadVerdict::kUnsupportedExpectation:
      return 417;
    case HeadVerdict::kAccepted:
    case HeadVerdict::kMalformed:
      break;
  }
  return kBadRequest;
}

// Removes the empty lines at the beginning of `input` and returns their size.
std::size_t SkipEmptyLines(evbuffer* input) {
  std::size_t skipped = 0;
  while (true) {
    std::array<char, 512> bytes{};
    const ev_ssize_t count =
        evbuffer_copyout(input, bytes.data(), bytes.size());
    std::size_t end = 0;
    while (std::cmp_less(end + 1, count) && bytes[end] == '\r' &&
           bytes[end + 1] == '\n')
      end += 2;
    evbuffer_drain(input, end);
    skipped += end;
    if (end < bytes.size())
      return skipped;
  }
}

// Returns the first `size` bytes, which are made contiguous.
std::string_view FirstBytes(evbuffer* input, std::size_t size) {
  return {reinterpret_cast<const char*>(
              evbuffer_pullup(input, static_cast<ev_ssize_t>(size))),
          size};
}

// Returns the part of a head that has not been searched yet, without the LF of
// a line end whose CR has been.
std::string_view Unsearched(std::string_view bytes, std::size_t from) {
  const bool is_in_line_end = from > 0 && from < bytes.size() &&
                              bytes[from - 1] == '\r' && bytes[from] == '\n';
  return bytes.substr(is_in_line_end ? from + 1 : from);
}

}  // namespace

RequestOrder HttpServer::Impl::OrderOf(const Connection& connection) const {
  RequestOrder order{.unanswered = connection.exchanges.size(),
                     .unread_bytes = evbuffer_get_length(
                         bufferevent_get_output(connection.bev)),
                     .max_requests = options.max_requests_ahead};
  for (const Exchange& exchange : connection.exchanges) {
    order.last_method = exchange.method;
    if (exchange.body != nullptr)
      order.unread_bytes += exchange.body->bytes().size();
  }
  return order;
}

void HttpServer::Impl::HandleInput(Connection& connection) {
  if (connection.is_closing)
    return Discard(connection);
  ReadRequests(connection);
  if (connection.bev != nullptr)
    Count(connection);
}

void HttpServer::Impl::Discard(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.bev);
  connection.discarded_bytes += evbuffer_get_length(input);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (connection.discarded_bytes > kMaxDiscardedBytes)
    bufferevent_disable(connection.bev, EV_READ);
}

// A head takes several times its size once it is parsed, and many connections
// may be read before the next plan. Count pauses those that may not be read.
void HttpServer::Impl::ReadRequests(Connection& connection) {
  if (connection.is_reading || connection.has_requests_ahead ||
      !MayRead(connection) || !ReadRequest(connection))
    return;
  connection.has_requests_ahead = true;
  WaitForTurn(connection);
}

void HttpServer::Impl::WaitForTurn(Connection& connection) {
  if (connection.is_waiting)
    return;
  connection.is_waiting = true;
  waiting.push_back(connection.shared_from_this());
  turn_timer->Schedule(loop.Now());
}

void HttpServer::Impl::ReadWaiting() {
  const std::size_t turns = std::min(waiting.size(), kMaxTurns);
  for (std::size_t i = 0; i < turns; ++i) {
    const ConnectionPointer connection = std::move(waiting.front());
    waiting.pop_front();
    connection->is_waiting = false;
    if (connection->bev == nullptr)
      continue;
    if (connection->is_closing || MayRead(*connection))
      connection->has_requests_ahead = ReadRequest(*connection);
    if (connection->bev == nullptr)
      continue;
    Count(*connection);
    if (connection->has_requests_ahead && !connection->is_paused)
      WaitForTurn(*connection);
  }
  if (!waiting.empty())
    turn_timer->Schedule(loop.Now());
}

bool HttpServer::Impl::ReadRequest(Connection& connection) {
  connection.is_reading = true;
  const std::uint64_t first = next_request;
  bool has_more = true;
  const auto may_read = [&] {
    return has_more && connection.bev != nullptr && !connection.is_closing;
  };
  while (may_read() && next_request == first) {
    switch (connection.phase) {
      case ReadPhase::kHead:
        has_more = ReadHead(connection);
        break;
      case ReadPhase::kBodyStart:
        has_more = StartBody(connection);
        break;
      case ReadPhase::kBody:
        has_more = ReadBody(connection);
        break;
      case ReadPhase::kDiscarded:
        has_more = false;
        break;
    }
  }
  connection.is_reading = false;
  return may_read() &&
         evbuffer_get_length(bufferevent_get_input(connection.bev)) > 0;
}

bool HttpServer::Impl::ReadHead(Connection& connection) {
  if (!MayReadHead(OrderOf(connection)))
    return false;
  evbuffer* input = bufferevent_get_input(connection.bev);
  if (evbuffer_get_length(input) == 0)
    return false;
  if (connection.searched_bytes == 0)
    connection.empty_line_bytes += SkipEmptyLines(input);
  const std::size_t length = evbuffer_get_length(input);
  const std::uint64_t max_bytes =
      options.limits.max_header_bytes -
      std::min(options.limits.max_header_bytes, connection.empty_line_bytes);
  if (connection.head_until == kNever) {
    connection.head_until = loop.Now() + options.limits.header_timeout;
    connection.progressed_at = loop.Now();
  }
  const auto available =
      static_cast<std::size_t>(std::min<std::uint64_t>(length, max_bytes));
  const std::string_view bytes =
      available == 0 ? std::string_view() : FirstBytes(input, available);
  const std::size_t from =
      std::min(bytes.size(),
               connection.searched_bytes -
                   std::min(connection.searched_bytes, kHeadEnd.size() - 1));
  const std::size_t end = bytes.find(kHeadEnd, from);
  if (end == std::string_view::npos) {
    if (HasBareLineEnd(Unsearched(bytes, from))) {
      Refuse(connection, kBadRequest);
      return false;
    }
    if (length >= max_bytes) {
      Refuse(connection, kHeadTooLarge);
      return false;
    }
    // One CR may belong to another empty line.
    connection.searched_bytes = length == 1 ? 0 : length;
    return false;
  }
  connection.head = {};
  const std::size_t head_bytes = end + kHeadEnd.size();
  const HeadVerdict verdict =
      ReadRequestHead(bytes.substr(0, head_bytes), connection.head);
  evbuffer_drain(input, head_bytes);
  connection.head_memory = MemoryOfHead(connection.head.request);
  connection.searched_bytes = 0;
  connection.empty_line_bytes = 0;
  connection.head_until = kNever;
  connection.max_body_bytes = MaxBodyBytes();
  connection.phase = ReadPhase::kBodyStart;
  if (verdict != HeadVerdict::kAccepted)
    Refuse(connection, StatusOf(verdict));
  else if (connection.head.body_bytes > connection.max_body_bytes)
    Refuse(connection, kContentTooLarge);
  return true;
}

std::uint64_t HttpServer::Impl::MaxBodyBytes() const {
  return std::min(options.limits.max_body_bytes, budget.large_limit);
}

bool HttpServer::Impl::StartBody(Connection& connection) {
  const RequestHead& head = connection.head;
  if (!MayStart(OrderOf(connection), head.request.method,
                head.expects_continue))
    return false;
  if (head.framing == BodyFraming::kNone) {
    Dispatch(connection);
    return true;
  }
  const TimePoint now = loop.Now();
  Duration timeout = options.body_timeout;
  if (options.body_timeout_of)
    timeout = std::min(timeout,
                       options.body_timeout_of(head.request).value_or(timeout));
  connection.body_until = now + timeout;
  connection.body_started_at = now;
  connection.progressed_at = now;
  connection.progress_bytes = 0;
  connection.chunks = {};
  connection.phase = ReadPhase::kBody;
  bufferevent_set_max_single_read(connection.bev, kBodyReadBytes);
  if (head.expects_continue &&
      evbuffer_get_length(bufferevent_get_input(connection.bev)) == 0)
    evbuffer_add(bufferevent_get_output(connection.bev), kContinue.data(),
                 kContinue.size());
  return true;
}

bool HttpServer::Impl::ReadBody(Connection& connection) {
  return connection.head.framing == BodyFraming::kLength
             ? ReadLength(connection)
             : ReadChunks(connection);
}

// Moves bytes of the input to the body. Returns whether memory was free.
bool HttpServer::Impl::AppendToBody(Connection& connection, std::size_t size) {
  const std::uint64_t max_bytes =
      connection.head.framing == BodyFraming::kLength
          ? connection.head.body_bytes
          : connection.max_body_bytes;
  char* target = ExtendBody(connection.body, size, max_bytes);
  if (target == nullptr) {
    Evict(connection);
    return false;
  }
  evbuffer_remove(bufferevent_get_input(connection.bev), target, size);
  connection.body.size += size;
  connection.progress_bytes += size;
  if (connection.progress_bytes >= kProgressBytes) {
    connection.progress_bytes = 0;
    connection.progressed_at = loop.Now();
  }
  return true;
}

bool HttpServer::Impl::ReadLength(Connection& connection) {
  const std::size_t length =
      evbuffer_get_length(bufferevent_get_input(connection.bev));
  const std::uint64_t left = connection.head.body_bytes - connection.body.size;
  if (length == 0 ||
      !AppendToBody(connection, std::min<std::uint64_t>(length, left)))
    return false;
  if (connection.body.size < connection.head.body_bytes)
    return false;
  Dispatch(connection);
  return true;
}

bool HttpServer::Impl::ReadChunks(Connection& connection) {
  evbuffer* input = bufferevent_get_input(connection.bev);
  while (evbuffer_get_length(input) > 0) {
    std::size_t available = evbuffer_get_contiguous_space(input);
    if (connection.chunks.part != ChunkPart::kData)
      available = std::max(available, std::min(evbuffer_get_length(input),
                                               kMaxChunkLineBytes + 2));
    const ChunkStep step =
        ReadChunkStep(connection.chunks, FirstBytes(input, available));
    if (step.progress == ChunkProgress::kNeedMore)
      return false;
    if (step.progress == ChunkProgress::kMalformed) {
      Refuse(connection, kBadRequest);
      return false;
    }
    if (!step.is_body) {
      evbuffer_drain(input, step.consumed);
    } else if (connection.body.size + step.consumed >
               connection.max_body_bytes) {
      Refuse(connection, kContentTooLarge);
      return false;
    } else if (!AppendToBody(connection, step.consumed)) {
      return false;
    }
    if (step.progress == ChunkProgress::kComplete) {
      Dispatch(connection);
      return true;
    }
  }
  return false;
}

void HttpServer::Impl::Dispatch(Connection& connection) {
  HttpRequest request = std::move(connection.head.request);
  request.body = TakeBody(connection.body);
  connection.body_until = kNever;
  connection.phase = ReadPhase::kHead;
  bufferevent_set_max_single_read(connection.bev, kHeadReadBytes);
  if (!connection.head.keeps_connection)
    connection.is_closing = true;
  const std::uint64_t id = next_request++;
  connection.exchanges.push_back(
      {.id = id,
       .method = request.method,
       .is_http_1_0 = connection.head.is_http_1_0,
       .held_bytes =
           kHandledHeads * connection.head_memory + request.body.size()});
  connection.head = {};
  connection.head_memory = 0;
  connection.has_requested = true;
  connections_by_request[id] = &connection;
  ++counters.requests;
  if (paused_count > 0)
    SchedulePlan();
  on_request(id, std::move(request));
}

// What has been read of the request is dropped. The response follows those to
// the requests before it.
void HttpServer::Impl::Refuse(Connection& connection, std::uint16_t status) {
  HttpResponse response{.status = status};
  if (options.refusal_fields_of && !connection.head.request.target.empty())
    response.headers = options.refusal_fields_of(connection.head.request);
  if (status == kServiceUnavailable)
    response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  else if (status == kRequestTimeout)
    ++counters.timed_out;
  else if (status == kContentTooLarge || status == kHeadTooLarge)
    ++counters.too_large;
  else
    ++counters.malformed;
  connection.exchanges.push_back({.method = connection.head.request.method,
                                  .is_http_1_0 = connection.head.is_http_1_0,
                                  .response = std::move(response)});
  connection.is_closing = true;
  connection.head = {};
  connection.head_memory = 0;
  connection.body = {};
  connection.head_until = kNever;
  connection.body_until = kNever;
  connection.phase = ReadPhase::kHead;
  WriteResponses(connection);
}

}  // namespace cicadadrum
