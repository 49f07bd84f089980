// Reads the state of entry VMs and backend servers over HTTP.

#include "observe.h"

#include <capnp/message.h>

#include "cicadadrum/configuration/json.h"
#include "cicadadrum/loop/http_fetch.h"
#include "schemas/backend.capnp.h"
#include "schemas/http.capnp.h"

namespace cicadadrum {

namespace {

constexpr Duration kCallTimeout = Seconds(2);

template <typename T>
std::optional<typename T::Reader> ReadBody(const HttpCall& call,
                                           capnp::MessageBuilder& message) {
  if (call.outcome != HttpOutcome::kAnswered || call.response.status != 200)
    return std::nullopt;
  const auto body = DecodeJsonAs<T>(call.response.body, call.address,
                                    ErrorCode::kInvalidMessage, message);
  return body ? std::optional(*body) : std::nullopt;
}

}  // namespace

std::map<std::string, ServerObservation> ObserveServers(
    EventLoop& loop,
    const std::vector<BackendServer>& servers) {
  std::vector<HttpCall> calls;
  for (const BackendServer& server : servers) {
    calls.push_back(
        {.address = server.address, .request = {.target = "/stats"}});
    calls.push_back(
        {.address = server.address, .request = {.target = "/executions"}});
  }
  FetchAll(loop, calls, kCallTimeout);
  std::map<std::string, ServerObservation> observations;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    ServerObservation& observation = observations[servers[i].name];
    capnp::MallocMessageBuilder stats_message;
    capnp::MallocMessageBuilder executions_message;
    const auto stats =
        ReadBody<schema::BackendStats>(calls[2 * i], stats_message);
    const auto executions =
        ReadBody<schema::Executions>(calls[2 * i + 1], executions_message);
    observation.reached = stats && executions;
    if (!observation.reached)
      continue;
    observation.requests_started = stats->getBegun();
    observation.shed = stats->getShed();
    observation.cancelled = stats->getCancelled();
    observation.in_flight = stats->getInFlight();
    observation.since_last_start = Milliseconds(
        static_cast<std::int64_t>(stats->getLastBegunMillisecondsAgo()));
    for (const auto execution : executions->getExecutions())
      observation.executions[execution.getKey()] = execution.getCount();
  }
  return observations;
}

std::map<std::string, EntryObservation> ObserveEntries(
    EventLoop& loop,
    const std::vector<EntryVm>& entries) {
  std::vector<HttpCall> calls;
  calls.reserve(entries.size());
  for (const EntryVm& entry : entries)
    calls.push_back(
        {.address = entry.caller_address, .request = {.target = "/v1/status"}});
  FetchAll(loop, calls, kCallTimeout);
  std::map<std::string, EntryObservation> observations;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    EntryObservation& observation = observations[entries[i].name];
    capnp::MallocMessageBuilder message;
    const auto status = ReadBody<schema::EntryStatus>(calls[i], message);
    observation.reached = status.has_value();
    if (!status)
      continue;
    observation.configuration_version = status->getConfigurationVersion();
    observation.ready = status->getReady();
  }
  return observations;
}

std::optional<std::string> MarkLeaving(EventLoop& loop,
                                       const std::vector<EntryVm>& entries,
                                       const std::string& server) {
  capnp::MallocMessageBuilder message;
  auto mark = message.initRoot<schema::MarkLeaving>();
  mark.setServer(server);
  mark.setLeaving(true);
  const std::string body = EncodeJson(mark.asReader());
  for (const EntryVm& entry : entries) {
    std::vector<HttpCall> calls = {{.address = entry.caller_address,
                                    .request = {.method = HttpMethod::kPost,
                                                .target = "/v1/leaving",
                                                .body = body}}};
    FetchAll(loop, calls, kCallTimeout);
    if (calls[0].outcome == HttpOutcome::kAnswered &&
        calls[0].response.status == 200)
      return entry.name;
  }
  return std::nullopt;
}

}  // namespace cicadadrum
