// Sends requests over persistent connections and records the outcomes.

#include "callers.h"

#include "headers.h"

namespace cicadadrum::platform {

namespace {

constexpr Duration kCallerTimeout = Seconds(2);
constexpr std::uint64_t kObjectCount = 24;
// On average, one of this number of requests is a write.
constexpr std::uint64_t kRequestsPerWrite = 3;

}  // namespace

Callers::Callers(EventLoop& loop, std::uint64_t seed)
    : loop_(loop),
      random_{.state = seed},
      client_(loop, {.connect_timeout = Seconds(1)}) {}

void Callers::Send(const std::string& address) {
  const std::string id = "id-" + std::to_string(next_id_++);
  const bool is_write = RandomBelow(random_, kRequestsPerWrite) == 0;
  const std::string object = std::to_string(RandomBelow(random_, kObjectCount));
  HttpRequest request{
      .method = is_write ? HttpMethod::kPost : HttpMethod::kGet,
      .target = (is_write ? "/write/" : "/read/") + object + "/" + id,
      .headers = {{"Host", "host"},
                  {std::string(kRequestId), id},
                  {std::string(kDeadline), "2000"},
                  {"Cookie", std::string(kObjectCookie) + "=" + object}}};
  if (is_write) {
    request.body = "body of " + id;
    record_.writes.insert(id);
  }
  record_.requests[id] = {.entry_address = address, .sent_at = loop_.Now()};
  ++record_.sent;
  ++open_requests_;
  client_.Send(
      address, request, loop_.Now() + kCallerTimeout,
      [this, id, is_write](HttpOutcome outcome, const HttpResponse& response) {
        RecordOutcome(id, is_write, outcome, response);
      });
}

void Callers::RecordOutcome(const std::string& id,
                            bool is_write,
                            HttpOutcome outcome,
                            const HttpResponse& response) {
  --open_requests_;
  if (outcome != HttpOutcome::kAnswered) {
    ++record_.responses[0];
    return;
  }
  ++record_.responses[response.status];
  if (!FindField(response.headers, kLeaving).empty())
    record_.requests[id].leaving_received_at = loop_.Now();
  if (response.status == 503 && is_write)
    record_.refused_writes.insert(id);
  if (response.status != 200)
    return;
  ++record_.succeeded;
  if (response.body != "answer to " + id ||
      FindField(response.headers, kSeal) != "seal-of-" + id)
    record_.mismatched.push_back(id);
}

}  // namespace cicadadrum::platform
