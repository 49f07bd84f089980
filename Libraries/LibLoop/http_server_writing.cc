// Writes the responses of a connection in the order of its requests.

#include <event2/event.h>
#include <http_parser.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

#include "http_server_impl.h"
#include "http_syntax.h"

namespace cicadadrum {

namespace {

// Smaller bodies are copied, so that they are written together with the head.
constexpr std::size_t kMaxCopiedBody = 4096;

// How long the server waits for the caller to close after the last response.
constexpr Duration kDiscardTime = Seconds(1);

// At a planned stop, a caller that has read nothing for this long is not waited
// for.
constexpr Duration kReadingPause = Seconds(2);

// Fields that the server sets itself.
constexpr auto kOwnFields = std::to_array<std::string_view>(
    {"Connection", "Content-Length", "Transfer-Encoding"});

bool IsOwnField(std::string_view name) {
  return std::ranges::any_of(kOwnFields, [name](std::string_view own) {
    return EqualsIgnoringCase(own, name);
  });
}

bool HasBody(HttpMethod method, std::uint16_t status) {
  return method != HttpMethod::kHead && status >= 200 && status != 204 &&
         status != 304;
}

void SetUnsent(UnsentBodies& unsent, std::uint64_t bytes) {
  unsent.bytes = bytes;
  if (unsent.changed)
    unsent.changed(bytes);
}

// Appends a body without a copy of it. It is freed when it has been sent, or
// when its connection has been closed.
void AppendReference(evbuffer* buffer, std::unique_ptr<UnsentBody> body) {
  const auto release = [](const void* /*data*/, std::size_t /*size*/,
                          void* argument) {
    const std::unique_ptr<UnsentBody> sent(static_cast<UnsentBody*>(argument));
  };
  const std::string& bytes = body->bytes();
  if (evbuffer_add_reference(buffer, bytes.data(), bytes.size(), release,
                             body.get()) != 0)
    evbuffer_add(buffer, bytes.data(), bytes.size());
  else
    static_cast<void>(body.release());
}

}  // namespace

UnsentBody::UnsentBody(std::shared_ptr<UnsentBodies> unsent, std::string bytes)
    : unsent_(std::move(unsent)), bytes_(std::move(bytes)) {
  SetUnsent(*unsent_, unsent_->bytes + bytes_.size());
}

UnsentBody::~UnsentBody() {
  SetUnsent(*unsent_, unsent_->bytes - bytes_.size());
}

void HttpServer::Impl::WriteResponses(Connection& connection) {
  evbuffer* output = bufferevent_get_output(connection.bev);
  if (evbuffer_get_length(output) == 0)
    connection.read_at = loop.Now();
  while (!connection.exchanges.empty() &&
         connection.exchanges.front().response) {
    Exchange exchange = std::move(connection.exchanges.front());
    connection.exchanges.pop_front();
    WriteResponse(connection, exchange,
                  connection.is_closing && connection.exchanges.empty());
  }
  if (!connection.is_reading)
    Count(connection);
}

// The head and a small body go into the output together.
void HttpServer::Impl::WriteResponse(Connection& connection,
                                     Exchange& exchange,
                                     bool closes) {
  const HttpResponse& response = *exchange.response;
  const bool has_body = HasBody(exchange.method, response.status);
  const std::size_t body_bytes =
      has_body && exchange.body != nullptr ? exchange.body->bytes().size() : 0;
  std::string text;
  text.reserve(512 + (body_bytes <= kMaxCopiedBody ? body_bytes : 0));
  text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  text.append(http_status_str(static_cast<http_status>(response.status)));
  text.append("\r\n");
  bool has_date = false;
  for (const auto& [name, value] : response.headers) {
    // A body that is not sent has no length here, but its request may state
    // one.
    if (IsOwnField(name) || !IsToken(name) || !IsFieldValue(value))
      continue;
    has_date = has_date || EqualsIgnoringCase(name, "Date");
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!has_date)
    text.append("Date: ").append(DateValue()).append("\r\n");
  if (has_body)
    text.append("Content-Length: ")
        .append(std::to_string(body_bytes))
        .append("\r\n");
  if (closes)
    text.append("Connection: close\r\n");
  else if (exchange.is_http_1_0)
    text.append("Connection: keep-alive\r\n");
  text.append("\r\n");
  const bool is_copied = body_bytes <= kMaxCopiedBody;
  if (body_bytes > 0 && is_copied)
    text.append(exchange.body->bytes());
  evbuffer* output = bufferevent_get_output(connection.bev);
  evbuffer_add(output, text.data(), text.size());
  if (!is_copied)
    AppendReference(output, std::move(exchange.body));
}

const std::string& HttpServer::Impl::DateValue() {
  const std::time_t now = std::time(nullptr);
  if (now != date_second || date.empty()) {
    std::tm fields{};
    gmtime_r(&now, &fields);
    std::array<char, 64> text{};
    std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT",
                  &fields);
    date = text.data();
    date_second = now;
  }
  return date;
}

void HttpServer::Impl::HandleOutput(Connection& connection) {
  connection.read_at = loop.Now();
  const bool is_empty =
      evbuffer_get_length(bufferevent_get_output(connection.bev)) == 0;
  if (connection.exchanges.empty() && is_empty) {
    connection.idle_since = connection.read_at;
    if (connection.is_closing) {
      if (connection.discard_until != kNever)
        Close(connection);
      else
        StartDiscarding(connection);
      return CheckFlushed();
    }
  }
  ReadRequests(connection);
  if (connection.bev != nullptr)
    Count(connection);
  CheckFlushed();
}

void HttpServer::Impl::StartDiscarding(Connection& connection) {
  shutdown(bufferevent_getfd(connection.bev), SHUT_WR);
  connection.phase = ReadPhase::kDiscarded;
  connection.discard_until = loop.Now() + kDiscardTime;
  if (connection.is_paused) {
    connection.is_paused = false;
    --paused_count;
    bufferevent_enable(connection.bev, EV_READ);
  }
  Discard(connection);
  Count(connection);
}

bool HttpServer::Impl::IsFlushed() const {
  const TimePoint now = loop.Now();
  return std::ranges::none_of(connections, [now](const auto& entry) {
    const Connection& connection = *entry.second;
    // A connection that ends before its caller has closed it may be reset, and
    // the response would be lost.
    if (connection.phase == ReadPhase::kDiscarded)
      return now < connection.discard_until;
    return connection.is_waiting ||
           (evbuffer_get_length(bufferevent_get_output(connection.bev)) > 0 &&
            now - connection.read_at < kReadingPause);
  });
}

void HttpServer::Impl::CheckFlushed() {
  if (flush_until != kNever && IsFlushed())
    flush_timer->Schedule(loop.Now());
}

// Requests may have come since the timer was scheduled.
void HttpServer::Impl::EndFlush(const std::function<void()>& callback) {
  if (loop.Now() < flush_until && !IsFlushed())
    return flush_timer->Schedule(flush_until);
  flush_until = kNever;
  callback();
}

}  // namespace cicadadrum
