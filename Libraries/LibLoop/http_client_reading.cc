// Pauses the reading of large responses while memory is short.

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

#include "http_client_impl.h"

namespace cicadadrum {

namespace {

// Responses of which less has arrived are never paused: they free their memory
// soon.
constexpr std::uint64_t kMinPausedBytes = 32'768;

}  // namespace

bool HttpClient::Impl::IsReadingLarge(const Connection* except) const {
  return std::any_of(calls.begin(), calls.end(), [&](const auto& entry) {
    const Connection* connection = entry.second.connection;
    return connection != nullptr && connection != except &&
           !connection->paused && connection->buffered_bytes >= kMinPausedBytes;
  });
}

void HttpClient::Impl::PauseIfNeeded(Connection& connection) {
  if (counters.buffered_bytes <= reading_limit || connection.paused ||
      connection.buffered_bytes < kMinPausedBytes ||
      !IsReadingLarge(&connection))
    return;
  bufferevent_disable(connection.bev, EV_READ);
  connection.paused = true;
  ++paused_count;
  ++counters.pauses;
}

void HttpClient::Impl::ResumeReading() {
  if (paused_count == 0)
    return;
  const bool has_room = counters.buffered_bytes <= reading_limit;
  if (!has_room && IsReadingLarge(nullptr))
    return;
  for (auto& [id, call] : calls) {
    if (call.connection == nullptr || !call.connection->paused)
      continue;
    call.connection->paused = false;
    --paused_count;
    bufferevent_enable(call.connection->bev, EV_READ);
    if (!has_room)
      return;
  }
}

void HttpClient::LimitReading(std::uint64_t bytes) {
  impl_->reading_limit = bytes;
  impl_->ResumeReading();
}

}  // namespace cicadadrum
