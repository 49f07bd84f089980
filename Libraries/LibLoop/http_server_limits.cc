// Applies the limits of memory, time and number to the server's connections.

#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <tuple>
#include <vector>

#include "http_server_impl.h"

namespace cicadadrum {

namespace {

// Time limits are checked at this interval.
constexpr Duration kSweepInterval = Milliseconds(250);

// Limits the work of plans: each one looks at all connections.
constexpr Duration kPlanInterval = Milliseconds(5);

// Memory of a connection beside what it receives and sends.
constexpr std::uint64_t kConnectionBytes = 2048;

// A connection whose head has been arriving for this long may be closed for a
// new one.
constexpr Duration kMinHeadTime = Milliseconds(500);

// A connection whose body has made no progress, or whose caller has read
// nothing of its responses, for this long may be closed for a new one.
constexpr Duration kMinStallTime = Seconds(5);

// Whether the peer has closed its sending half or reset the connection. Only
// this tells it while the connection is not read.
bool HasPeerLeft(evutil_socket_t fd) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
         info.tcpi_state != TCP_ESTABLISHED;
}

std::size_t OutputBytes(bufferevent* bev) {
  return evbuffer_get_length(bufferevent_get_output(bev));
}

// Returns what the caller has not acknowledged of responses that are not
// entirely in the socket's buffer. The output alone stays the same for seconds
// while a slow caller reads what is in that buffer.
std::size_t UnreadBytes(bufferevent* bev) {
  const std::size_t output = OutputBytes(bev);
  int queued = 0;
  if (output > 0 && ioctl(bufferevent_getfd(bev), SIOCOUTQ, &queued) != 0)
    queued = 0;
  return output + static_cast<std::size_t>(queued);
}

std::size_t InputBytes(bufferevent* bev) {
  return evbuffer_get_length(bufferevent_get_input(bev));
}

bool IsInputFull(bufferevent* bev) {
  std::size_t high = 0;
  bufferevent_getwatermark(bev, EV_READ, nullptr, &high);
  return InputBytes(bev) >= high;
}

}  // namespace

// Bodies of responses are counted by `unsent`, so of the output only what may
// be heads counts here.
void HttpServer::Impl::Count(Connection& connection) {
  std::uint64_t bytes =
      kConnectionBytes + InputBytes(connection.bev) + connection.body.capacity +
      connection.head_memory +
      std::min<std::uint64_t>(OutputBytes(connection.bev), kMaxUnreadBytes);
  for (const Exchange& exchange : connection.exchanges)
    bytes += exchange.held_bytes;
  // libevent would call the handler of the input again and again if the input
  // stayed full. What comes behind requests ahead stays in the kernel.
  const bool is_full =
      connection.has_requests_ahead || IsInputFull(connection.bev);
  if (is_full && !connection.is_input_full)
    bufferevent_disable(connection.bev, EV_READ);
  else if (!is_full && connection.is_input_full && !connection.is_paused)
    bufferevent_enable(connection.bev, EV_READ);
  connection.is_input_full = is_full;
  const bool is_less = bytes < connection.counted_bytes;
  counters.held_bytes += bytes - connection.counted_bytes;
  connection.counted_bytes = bytes;
  if (is_less && paused_count > 0)
    SchedulePlan();
  if (connection.is_paused || connection.is_closing || MayRead(connection))
    return;
  Pause(connection);
  SchedulePlan();
}

std::uint64_t HttpServer::Impl::ExpectedBytes(const Connection& connection) {
  if (connection.phase == ReadPhase::kHead)
    return 0;
  return connection.head.framing == BodyFraming::kLength
             ? connection.head.body_bytes
             : connection.body.size;
}

bool HttpServer::Impl::MayRead(const Connection& connection) const {
  return TotalBytes() < budget.large_limit ||
         MayReadOn(budget, TotalBytes(), UseOf(connection), favoured);
}

ConnectionUse HttpServer::Impl::UseOf(const Connection& connection) const {
  const bool has_unread = OutputBytes(connection.bev) > 0;
  // Input that waits for memory holds some, like a body that stops short.
  const bool is_receiving =
      connection.phase == ReadPhase::kBody ||
      connection.phase == ReadPhase::kBodyStart ||
      connection.head_until != kNever ||
      (connection.is_paused && !has_unread && InputBytes(connection.bev) > 0);
  return {.id = connection.id,
          .held_bytes = connection.counted_bytes,
          .is_receiving = is_receiving,
          .expected_bytes = ExpectedBytes(connection),
          .body_started_at = connection.body_started_at,
          .has_unread = has_unread,
          .is_handled = std::ranges::any_of(
              connection.exchanges,
              [](const Exchange& exchange) { return !exchange.response; }),
          .is_paused = connection.is_paused,
          .progressed_at =
              is_receiving ? connection.progressed_at : connection.read_at};
}

void HttpServer::Impl::SchedulePlan() {
  if (is_plan_scheduled)
    return;
  is_plan_scheduled = true;
  budget_timer->Schedule(loop.Now() + kPlanInterval);
}

void HttpServer::Impl::ApplyBudget() {
  is_plan_scheduled = false;
  if (paused_count == 0 && TotalBytes() < budget.large_limit)
    return;
  std::vector<ConnectionPointer> planned;
  std::vector<ConnectionUse> uses;
  for (const auto& [id, connection] : connections) {
    if (connection->is_closing && OutputBytes(connection->bev) == 0)
      continue;
    planned.push_back(connection);
    uses.push_back(UseOf(*connection));
  }
  const ReadingPlan plan =
      PlanReading(budget, TotalBytes(), uses, favoured, loop.Now());
  favoured = plan.favoured;
  for (std::size_t i = 0; i < planned.size(); ++i) {
    Connection& connection = *planned[i];
    if (connection.bev == nullptr)
      continue;
    switch (plan.actions[i]) {
      case ReadingAction::kRead:
        // Those that were resumed before may have taken what was free.
        if (connection.is_paused && MayRead(connection))
          Resume(connection);
        break;
      case ReadingAction::kPause:
        if (!connection.is_paused)
          Pause(connection);
        break;
      case ReadingAction::kEvict:
        Evict(connection);
        break;
    }
  }
}

void HttpServer::Impl::Pause(Connection& connection) {
  if (connection.phase == ReadPhase::kDiscarded)
    return;
  bufferevent_disable(connection.bev, EV_READ);
  connection.is_paused = true;
  // Input that waits for memory is evicted after that which waited before it.
  if (connection.phase == ReadPhase::kHead && connection.head_until == kNever)
    connection.progressed_at = loop.Now();
  ++paused_count;
  ++counters.pauses;
}

void HttpServer::Impl::Resume(Connection& connection) {
  connection.is_paused = false;
  --paused_count;
  const TimePoint now = loop.Now();
  connection.progressed_at = now;
  connection.progress_bytes = 0;
  if (connection.head_until != kNever)
    connection.head_until = now + options.limits.header_timeout;
  if (!connection.is_input_full)
    bufferevent_enable(connection.bev, EV_READ);
  if (connection.has_requests_ahead)
    WaitForTurn(connection);
  else
    ReadRequests(connection);
  if (connection.bev != nullptr)
    Count(connection);
}

// A request that has not been passed on is refused as not run. A connection
// with responses that its caller does not read is closed.
void HttpServer::Impl::Evict(Connection& connection) {
  ++counters.evicted;
  if (connection.phase == ReadPhase::kBody)
    return Refuse(connection, kServiceUnavailable);
  Lose(connection);
}

void HttpServer::Impl::ScheduleSweep() {
  if (is_sweep_scheduled)
    return;
  is_sweep_scheduled = true;
  sweep_timer->Schedule(loop.Now() + kSweepInterval);
}

void HttpServer::Impl::Sweep() {
  is_sweep_scheduled = false;
  const TimePoint now = loop.Now();
  std::vector<ConnectionPointer> swept;
  swept.reserve(connections.size());
  for (const auto& [id, connection] : connections)
    swept.push_back(connection);
  for (const ConnectionPointer& connection : swept) {
    if (connection->bev != nullptr)
      SweepConnection(*connection, now);
  }
  ApplyBudget();
  CheckFlushed();
  if (!connections.empty())
    ScheduleSweep();
}

void HttpServer::Impl::SweepConnection(Connection& connection, TimePoint now) {
  const std::size_t unread = UnreadBytes(connection.bev);
  if (unread < connection.unread_bytes)
    connection.read_at = now;
  connection.unread_bytes = unread;
  if (connection.phase == ReadPhase::kDiscarded) {
    if (now >= connection.discard_until)
      Close(connection);
    return;
  }
  const bool is_read = (bufferevent_get_enabled(connection.bev) & EV_READ) != 0;
  // After the end of the input, complete responses are still written.
  const bool has_ended = connection.discard_until != kNever;
  // The end of the input is behind the requests that wait for their turns.
  if (!has_ended && !is_read && !connection.is_waiting &&
      HasPeerLeft(bufferevent_getfd(connection.bev)))
    return Lose(connection);
  if (unread > 0 && now - connection.read_at >= options.unread_timeout) {
    ++counters.unread;
    return Lose(connection);
  }
  if (connection.is_closing)
    return;
  if (now >= connection.head_until && !connection.is_paused)
    return Refuse(connection, kRequestTimeout);
  // The caller of a paused connection could not send the body.
  if (now >= connection.body_until)
    return Refuse(connection,
                  connection.is_paused ? kServiceUnavailable : kRequestTimeout);
  const bool is_idle = connection.exchanges.empty() && unread == 0 &&
                       !connection.has_requests_ahead &&
                       connection.phase == ReadPhase::kHead &&
                       connection.head_until == kNever;
  if (is_idle && now - connection.idle_since >= options.limits.idle_timeout)
    Close(connection);
}

// A request that is handled keeps its connection: it may have run.
bool HttpServer::Impl::IsDisplaceable(const Connection& connection,
                                      TimePoint now) const {
  const ConnectionUse use = UseOf(connection);
  if (use.is_handled)
    return false;
  if (use.has_unread || connection.phase == ReadPhase::kBody ||
      connection.phase == ReadPhase::kBodyStart)
    return now - use.progressed_at >= kMinStallTime;
  return connection.head_until == kNever ||
         connection.head_until <=
             now + options.limits.header_timeout - kMinHeadTime;
}

bool HttpServer::Impl::Displace() {
  // Connections without a whole request so far come first, those with requests
  // ahead last.
  using Rank = std::tuple<bool, bool, bool, TimePoint>;
  const TimePoint now = loop.Now();
  Connection* chosen = nullptr;
  Rank chosen_rank;
  for (const auto& [id, connection] : connections) {
    if (!IsDisplaceable(*connection, now))
      continue;
    const Rank rank{connection->has_requests_ahead,
                    connection->has_requested && !connection->is_closing,
                    connection->head_until != kNever, connection->idle_since};
    if (chosen == nullptr || rank < chosen_rank) {
      chosen = connection.get();
      chosen_rank = rank;
    }
  }
  if (chosen == nullptr)
    return false;
  ++counters.displaced;
  Close(*chosen);
  return true;
}

}  // namespace cicadadrum
