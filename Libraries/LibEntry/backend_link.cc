// Sends attempts to backend servers over persistent connections.

#include "backend_link.h"

#include <array>

#include "caller_protocol.h"

namespace cicadadrum {

namespace {

// Header fields of the caller's request that are passed to the backend server.
constexpr auto kForwardedFields = std::to_array<std::string_view>(
    {"Content-Type", "Accept", kClientAccountField, kClassField, kKeyField,
     kUploadField, "Cicadadrum-Upload-Offset", "Cicadadrum-Upload-Total",
     kTraceField});

struct OutcomeName {
  HttpOutcome transport;
  AttemptOutcome attempt;
};

constexpr auto kTransportOutcomes = std::to_array<OutcomeName>({
    {HttpOutcome::kNotConnected, AttemptOutcome::kConnectionRefused},
    {HttpOutcome::kConnectionUnavailable, AttemptOutcome::kNotSent},
    {HttpOutcome::kLost, AttemptOutcome::kConnectionLost},
    {HttpOutcome::kMalformed, AttemptOutcome::kConnectionLost},
    {HttpOutcome::kLostUnused, AttemptOutcome::kConnectionLost},
    {HttpOutcome::kTimedOut, AttemptOutcome::kTimedOut},
});

}  // namespace

HttpRequest MakeBackendRequest(const HttpRequest& request,
                               const RequestArrived& arrived,
                               Duration remaining) {
  HttpRequest outgoing{.method = request.method,
                       .target = BackendTarget(request),
                       .body = request.body};
  for (const std::string_view name : kForwardedFields) {
    const std::string_view value = FindField(request.headers, name);
    if (!value.empty())
      outgoing.headers.emplace_back(name, value);
  }
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
  outgoing.headers.emplace_back(kDeadlineField, std::to_string(milliseconds));
  outgoing.headers.emplace_back("Cicadadrum-Service", arrived.service);
  return outgoing;
}

AttemptOutcome OutcomeOf(HttpOutcome outcome, const HttpResponse& response) {
  for (const OutcomeName& row : kTransportOutcomes) {
    if (row.transport == outcome)
      return row.attempt;
  }
  if (response.status == 503 && FindField(response.headers, kShedField) == "1")
    return AttemptOutcome::kShed;
  return response.status >= 500 ? AttemptOutcome::kServerError
                                : AttemptOutcome::kAnswered;
}

StoredAnswer MakeStoredAnswer(const HttpResponse& response) {
  StoredAnswer stored{
      .status = response.status,
      .content_type = std::string(FindField(response.headers, "Content-Type"))};
  stored.truncated = response.body.size() > kMaxStoredBody;
  if (!stored.truncated)
    stored.body = response.body;
  return stored;
}

BackendLink::BackendLink(EventLoop& loop,
                         std::uint32_t max_connections_per_server)
    : client_(loop,
              {.max_connections_per_address = max_connections_per_server}) {}

void BackendLink::Send(const SendToBackend& send,
                       const HttpRequest& request,
                       Callback callback) {
  const AttemptId id{send.request, send.attempt};
  const auto done = [this, id, callback = std::move(callback)](
                        HttpOutcome outcome, HttpResponse response) {
    calls_.erase(id);
    const AttemptOutcome ended = OutcomeOf(outcome, response);
    callback(ended, std::move(response));
  };
  calls_[id] = client_.Send(send.address, request, send.deadline, done);
}

void BackendLink::Cancel(const CancelAtBackend& cancel) {
  const auto found = calls_.find({cancel.request, cancel.attempt});
  if (found == calls_.end())
    return;
  client_.Cancel(found->second);
  calls_.erase(found);
}

}  // namespace cicadadrum
