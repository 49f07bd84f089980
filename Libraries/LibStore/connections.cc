// A bounded pool of persistent HTTP connections to the platform.

#include "connections.h"

#include <deque>
#include <map>
#include <utility>

#include "cicadadrum/loop/http_client.h"

namespace cicadadrum {

namespace {

// The policy cancels attempts earlier.
constexpr Duration kMaxRequestTime = Seconds(50);

// Bytes of a response that are no part of its body. The framing of chunks may
// take as many bytes as the body.
constexpr std::uint64_t kMaxHeaderBytes = 65'536;

constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kFirstServerError = 500;

struct WaitingRequest {
  std::uint64_t id = 0;
  StoreHttpRequest request;
};

HttpClientOptions OptionsFor(std::size_t max_connections,
                             std::size_t max_response_bytes) {
  return {
      // A connection that still sends the rest of a request whose response has
      // arrived is in use, but carries no call.
      .max_connections_per_address =
          static_cast<std::uint32_t>(2 * max_connections),
      .max_response_bytes = max_response_bytes,
      .max_buffered_bytes =
          max_connections * (max_response_bytes + kMaxHeaderBytes),
      .max_discarded_bytes = max_response_bytes + kMaxHeaderBytes,
  };
}

HttpRequest MakeRequest(const StoreHttpRequest& source) {
  HttpRequest request{.target = source.path};
  if (!source.put && !source.post)
    return request;
  request.method = source.put ? HttpMethod::kPut : HttpMethod::kPost;
  request.headers.emplace_back(
      "Content-Type",
      source.post ? "application/json" : "application/octet-stream");
  request.body = source.body;
  return request;
}

// A server error other than 503 (unavailable) does not show whether the request
// took effect, and neither does a connection that ended.
StoreAttemptOutcome OutcomeOf(HttpOutcome outcome, std::uint16_t status) {
  if (outcome == HttpOutcome::kNotConnected ||
      outcome == HttpOutcome::kConnectionUnavailable)
    return StoreAttemptOutcome::kNotSent;
  if (outcome != HttpOutcome::kAnswered)
    return StoreAttemptOutcome::kLost;
  if (status == kUnavailable)
    return StoreAttemptOutcome::kRefused;
  return status >= kFirstServerError ? StoreAttemptOutcome::kLost
                                     : StoreAttemptOutcome::kAnswered;
}

}  // namespace

struct Connections::Impl {
  EventLoop& loop;
  std::string address;
  std::size_t max_connections = 0;
  DoneCallback done;
  HttpClient client;
  std::map<std::uint64_t, std::uint64_t> sent;  // Ids of the client, by id.
  std::deque<WaitingRequest> waiting;
  // Starts waiting requests outside the client's callbacks.
  Timer start_timer;

  Impl(EventLoop& event_loop,
       std::string platform_address,
       std::size_t connection_limit,
       std::size_t max_response_bytes,
       DoneCallback done_callback)
      : loop(event_loop),
        address(std::move(platform_address)),
        max_connections(connection_limit),
        done(std::move(done_callback)),
        client(loop, OptionsFor(connection_limit, max_response_bytes)),
        start_timer(loop, [this] { StartWaitingRequests(); }) {}

  void StartWaitingRequests();
  void Finish(std::uint64_t id, HttpOutcome outcome, HttpResponse response);
};

void Connections::Impl::StartWaitingRequests() {
  while (!waiting.empty() && sent.size() < max_connections) {
    const WaitingRequest next = std::move(waiting.front());
    waiting.pop_front();
    sent[next.id] = client.Send(
        address, MakeRequest(next.request), loop.Now() + kMaxRequestTime,
        [this, id = next.id](HttpOutcome outcome, HttpResponse response) {
          Finish(id, outcome, std::move(response));
        });
  }
}

void Connections::Impl::Finish(std::uint64_t id,
                               HttpOutcome outcome,
                               HttpResponse response) {
  sent.erase(id);
  start_timer.Schedule(loop.Now());
  const StoreAttemptOutcome ended = OutcomeOf(outcome, response.status);
  done(id, ended, {response.status, std::move(response.body)});
}

Connections::Connections(EventLoop& loop,
                         const std::string& address,
                         std::size_t max_connections,
                         std::size_t max_response_bytes,
                         DoneCallback done)
    : impl_(std::make_unique<Impl>(loop,
                                   address,
                                   max_connections,
                                   max_response_bytes,
                                   std::move(done))) {}

Connections::~Connections() = default;

void Connections::Send(std::uint64_t id, const StoreHttpRequest& request) {
  impl_->waiting.push_back({id, request});
  impl_->start_timer.Schedule(impl_->loop.Now());
}

void Connections::Cancel(std::uint64_t id) {
  std::erase_if(impl_->waiting, [id](const WaitingRequest& waiting) {
    return waiting.id == id;
  });
  const auto found = impl_->sent.find(id);
  if (found == impl_->sent.end())
    return;
  impl_->client.Cancel(found->second);
  impl_->sent.erase(found);
  impl_->start_timer.Schedule(impl_->loop.Now());
}

}  // namespace cicadadrum
