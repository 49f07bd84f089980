// Sends requests over persistent connections and records the outcomes.

#include "callers.h"

#include <algorithm>

#include "configurations.h"
#include "headers.h"

namespace cicadadrum::platform {

namespace {

// Minimum time for which a caller waits for the response.
constexpr Duration kMinCallerTimeout = Seconds(2);
// Time for which a caller waits beyond the timeout of the route.
constexpr Duration kCallerMargin = Milliseconds(500);
constexpr std::uint64_t kObjectCount = 24;

bool IsWrite(const ConfiguredRoute& route) {
  return route.kind == "unsafe";
}

}  // namespace

Callers::Callers(EventLoop& loop,
                 std::uint64_t seed,
                 std::uint64_t requests_per_download)
    : loop_(loop),
      random_{.state = seed},
      requests_per_download_(requests_per_download),
      client_(loop, {.connect_timeout = Seconds(1)}) {}

// Without downloads, a seed chooses the routes that it always chose; with them
// it plays another run.
ConfiguredRoute Callers::NextRoute(std::uint64_t version) {
  if (requests_per_download_ > 0 && next_id_ % requests_per_download_ == 0)
    return DownloadRoute();
  return ChooseRoute(version, random_);
}

void Callers::Send(const EntryProcess& entry,
                   std::uint64_t version,
                   Touch touch) {
  const ConfiguredRoute route = NextRoute(version);
  const std::string id = "id-" + std::to_string(next_id_++);
  const std::string object = std::to_string(RandomBelow(random_, kObjectCount));
  const Duration timeout = std::max(
      kMinCallerTimeout, Milliseconds(route.timeout_ms) + kCallerMargin);
  HttpRequest request{
      .method = IsWrite(route) ? HttpMethod::kPost : HttpMethod::kGet,
      .target = route.prefix + object + "/" + id,
      .headers = {
          {"Host", route.host},
          {std::string(kRequestId), id},
          {std::string(kDeadline), std::to_string(timeout / Milliseconds(1))},
          {"Cookie", std::string(kObjectCookie) + "=" + object}}};
  if (IsWrite(route)) {
    request.body = "body of " + id;
    record_.writes.insert(id);
  }
  record_.requests[id] = {.id = id,
                          .host = route.host,
                          .path = request.target,
                          .entry = entry.name,
                          .process = entry.process_count,
                          .is_in_touch = touch.is_in_touch,
                          .is_cut_off = touch.is_cut_off,
                          .sent_at = loop_.Now()};
  if (IsLastingRoute(route))
    ++record_.sent_on_lasting_routes;
  ++open_requests_;
  client_.Send(
      entry.caller_address, request, loop_.Now() + timeout,
      [this, id, route](HttpOutcome outcome, const HttpResponse& response) {
        RecordOutcome(id, route, outcome, response);
      });
}

void Callers::SendCrashingRequest(const EntryProcess& entry, Touch touch) {
  const std::string id = "crash-" + std::to_string(next_id_++);
  record_.requests[id] = {.id = id,
                          .host = "host",
                          .path = std::string(kCrashingPath),
                          .entry = entry.name,
                          .process = entry.process_count,
                          .is_in_touch = touch.is_in_touch,
                          .is_cut_off = touch.is_cut_off,
                          .sent_at = loop_.Now()};
  ++open_requests_;
  client_.Send(entry.caller_address,
               {.target = std::string(kCrashingPath),
                .headers = {{"Host", "host"},
                            {std::string(kRequestId), id},
                            {std::string(kDeadline), "3000"}}},
               loop_.Now() + kMinCallerTimeout,
               [this, id](HttpOutcome outcome, const HttpResponse& response) {
                 --open_requests_;
                 record_.requests.at(id).status =
                     outcome == HttpOutcome::kAnswered ? response.status : 0;
               });
}

void Callers::RecordOutcome(const std::string& id,
                            const ConfiguredRoute& route,
                            HttpOutcome outcome,
                            const HttpResponse& response) {
  --open_requests_;
  if (outcome != HttpOutcome::kAnswered) {
    ++record_.responses[0];
    return;
  }
  ++record_.responses[response.status];
  RequestRecord& request = record_.requests.at(id);
  request.status = response.status;
  request.answered_at = loop_.Now();
  request.said_leaving = !FindField(response.headers, kLeaving).empty();
  if (response.status == 503 && IsWrite(route))
    record_.refused_writes.insert(id);
  if (response.status != 200)
    return;
  if (IsLastingRoute(route))
    ++record_.succeeded_on_lasting_routes;
  if (response.body != AnswerTo(request.path, id, kDownloadBytes) ||
      FindField(response.headers, kSeal) != "seal-of-" + id)
    record_.mismatched.push_back(id);
}

}  // namespace cicadadrum::platform
