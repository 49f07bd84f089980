// Sends requests over kept connections and notes what comes back.

#include "callers.h"

#include "headers.h"

namespace cicadadrum::platform {

namespace {

constexpr Duration kCallerPatience = Seconds(2);
constexpr std::uint64_t kObjects = 24;
constexpr std::uint64_t kWriteShare = 3;  // One in so many.

}  // namespace

Callers::Callers(EventLoop& loop, std::uint64_t seed)
    : loop_(loop),
      random_{.state = seed},
      client_(loop, {.connect_timeout = Seconds(1)}) {}

void Callers::Send(const std::string& address) {
  const std::string id = "id-" + std::to_string(next_id_++);
  const bool write = RandomBelow(random_, kWriteShare) == 0;
  const std::string object = std::to_string(RandomBelow(random_, kObjects));
  HttpRequest request{
      .method = write ? HttpMethod::kPost : HttpMethod::kGet,
      .target = (write ? "/write/" : "/read/") + object + "/" + id,
      .headers = {{"Host", "host"},
                  {std::string(kRequestId), id},
                  {std::string(kDeadline), "2000"},
                  {"Cookie", std::string(kObjectCookie) + "=" + object}}};
  if (write) {
    request.body = "body of " + id;
    record_.writes.insert(id);
  }
  ++record_.sent;
  ++open_;
  client_.Send(
      address, request, loop_.Now() + kCallerPatience,
      [this, id, write](HttpOutcome outcome, const HttpResponse& response) {
        Note(id, write, outcome, response);
      });
}

void Callers::Note(const std::string& id,
                   bool write,
                   HttpOutcome outcome,
                   const HttpResponse& response) {
  --open_;
  if (outcome != HttpOutcome::kAnswered) {
    ++record_.answers[0];
    return;
  }
  ++record_.answers[response.status];
  if (response.status == 503 && write)
    record_.refused_writes.insert(id);
  if (response.status != 200)
    return;
  ++record_.good;
  if (response.body != "answer to " + id ||
      FindField(response.headers, kSeal) != "seal-of-" + id)
    record_.wrong.push_back(id);
}

}  // namespace cicadadrum::platform
