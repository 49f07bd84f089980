// Polls the load reports of backend servers.

#include "load_poller.h"

#include <capnp/message.h>

#include "cicadadrum/configuration/json.h"
#include "schemas/http.capnp.h"

namespace cicadadrum {

namespace {

// A load report costs a server about 6 ms, so one report per second takes 0.6%
// of one slot.
constexpr Duration kPollInterval = Seconds(1);
constexpr Duration kPollTimeout = Milliseconds(500);

}  // namespace

LoadPoller::LoadPoller(EventLoop& loop,
                       std::function<std::vector<BackendServer>()> servers,
                       std::function<void(const LoadReported&)> sink)
    : loop_(loop),
      servers_(std::move(servers)),
      sink_(std::move(sink)),
      client_(loop, {.max_connections_per_address = 1}),
      timer_(loop, [this] { Poll(); }) {}

void LoadPoller::Start() {
  Poll();
}

void LoadPoller::Poll() {
  for (const BackendServer& server : servers_())
    RequestLoadReport(server);
  timer_.Schedule(loop_.Now() + kPollInterval);
}

void LoadPoller::RequestLoadReport(const BackendServer& server) {
  const HttpRequest request{.method = HttpMethod::kGet, .target = "/load"};
  const auto on_response = [this, name = server.name](
                               HttpOutcome outcome,
                               const HttpResponse& response) {
    if (outcome != HttpOutcome::kAnswered || response.status != 200)
      return;
    capnp::MallocMessageBuilder message;
    const auto report = DecodeJsonAs<schema::LoadReport>(
        response.body, name, ErrorCode::kInvalidMessage, message);
    if (!report)
      return;
    const TimePoint measured_at =
        loop_.Now() - Milliseconds(report->getAgeMilliseconds());
    sink_({name,
           {.in_progress = report->getInFlight(), .taken_at = measured_at}});
  };
  client_.Send(server.address, request, loop_.Now() + kPollTimeout,
               on_response);
}

}  // namespace cicadadrum
