// Sends the requests of a caller over HTTP.

#include "cicadadrum/caller/caller.h"

#include <capnp/message.h>

#include <charconv>

#include "cicadadrum/caller/choice.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/loop/http_client.h"
#include "schemas/http.capnp.h"
#include "upload.h"

namespace cicadadrum {

namespace {

constexpr Duration kLookupTimeout = Seconds(1);
// A request with the verdict "not run" is repeated after a backoff that starts
// at this time and doubles with each attempt.
constexpr Duration kInitialBackoff = Milliseconds(50);
constexpr Duration kMaxBackoff = Seconds(1);
constexpr std::uint32_t kMaxAttempts = 8;
// An entry VM that does not respond within this time may be paused or
// partitioned from the caller, so the next entry VM is used. A repeat is safe
// because reads are idempotent and all attempts of a write have the same
// request key. Parts of uploads take longer.
constexpr Duration kAttemptTimeout = Milliseconds(1500);
constexpr Duration kBulkAttemptTimeout = Seconds(4);

std::uint64_t ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Returns whether a request that was refused with this status may succeed at
// another entry VM or later.
bool IsRepeatable(std::uint16_t status) {
  return status == 503 || status == 429;
}

}  // namespace

struct Caller::Impl {
  struct Call {
    CallerRequest request;
    std::function<void(const CallerAnswer&)> callback;
    CallerAnswer answer;
    TimePoint deadline;
    std::vector<std::string> remaining;  // Addresses of the entry VMs not used
                                         // yet in this round, best first.
    std::unique_ptr<Timer> timer;
  };
  using CallPointer = std::shared_ptr<Call>;

  EventLoop& loop;
  CallerOptions options;
  CallerState state;
  HttpClient client;

  Impl(EventLoop& event_loop, const CallerOptions& caller_options)
      : loop(event_loop),
        options(caller_options),
        client(event_loop,
               {.max_connections_per_address =
                    caller_options.max_connections_per_entry}) {
    state.seed_addresses = options.seed_addresses;
    state.random.state = options.random_seed;
  }

  void StartCall(const CallPointer& call);
  void RequestLookup(const CallPointer& call,
                     std::vector<std::string> addresses);
  bool ApplyLookupResponse(const std::string& service,
                           const HttpResponse& response);
  bool NeedsKey(const Call& call) const;
  void SendAttempt(const CallPointer& call);
  TimePoint AttemptDeadline(const Call& call) const;
  HttpRequest MakeRequest(const Call& call) const;
  void HandleAttemptResult(const CallPointer& call,
                           const std::string& address,
                           HttpOutcome outcome,
                           HttpResponse response);
  void ScheduleRepeat(const CallPointer& call);
  void Finish(const CallPointer& call);
};

bool Caller::Impl::NeedsKey(const Call& call) const {
  return !IsIdempotent(call.request.request_class) && call.answer.key.empty();
}

void Caller::Impl::StartCall(const CallPointer& call) {
  const auto cached = state.lookups.find(call->request.service);
  const bool has_key =
      cached != state.lookups.end() && !cached->second.request_keys.empty();
  if (NeedsLookup(state, call->request.service, loop.Now()) ||
      (NeedsKey(*call) && !has_key))
    return RequestLookup(
        call, RankAddresses(state, call->request.service, loop.Now()));
  if (NeedsKey(*call)) {
    call->answer.key = cached->second.request_keys.front();
    state.lookups[call->request.service].request_keys.pop_front();
  }
  call->remaining = RankAddresses(state, call->request.service, loop.Now());
  SendAttempt(call);
}

void Caller::Impl::RequestLookup(const CallPointer& call,
                                 std::vector<std::string> addresses) {
  const bool usable =
      state.lookups.contains(call->request.service) && !NeedsKey(*call);
  if (addresses.empty() && usable) {
    // No entry VM responded to the lookup. The entry VMs of the expired lookup
    // response may become reachable again.
    call->remaining = RankAddresses(state, call->request.service, loop.Now());
    return SendAttempt(call);
  }
  if (addresses.empty() || loop.Now() >= call->deadline)
    return Finish(call);
  const std::string address = addresses.front();
  addresses.erase(addresses.begin());
  const HttpRequest request{
      .method = HttpMethod::kGet,
      .target = "/v1/lookup?client_account=" + options.client_account +
                "&service=" + call->request.service +
                "&region=" + options.region};
  const TimePoint deadline =
      std::min(call->deadline, loop.Now() + kLookupTimeout);
  client.Send(address, request, deadline,
              [this, call, address, addresses](HttpOutcome outcome,
                                               const HttpResponse& response) {
                if (outcome == HttpOutcome::kAnswered &&
                    ApplyLookupResponse(call->request.service, response))
                  return StartCall(call);
                RecordFailure(state, address, loop.Now());
                RequestLookup(call, addresses);
              });
}

bool Caller::Impl::ApplyLookupResponse(const std::string& service,
                                       const HttpResponse& response) {
  capnp::MallocMessageBuilder message;
  const auto answer = DecodeJsonAs<schema::LookupAnswer>(
      response.body, "lookup response", ErrorCode::kInvalidMessage, message);
  if (response.status != 200 || !answer || answer->getEntries().size() == 0 ||
      answer->getRequestKeys().size() == 0)
    return false;
  CachedLookup& cached = state.lookups[service];
  cached.addresses.clear();
  for (const auto entry : answer->getEntries())
    cached.addresses.emplace_back(entry.getAddress());
  for (const auto key : answer->getRequestKeys())
    cached.request_keys.emplace_back(key);
  cached.expires_at = loop.Now() + Seconds(answer->getLifetimeSeconds());
  RecordVersion(state, answer->getConfigurationVersion());
  return true;
}

HttpRequest Caller::Impl::MakeRequest(const Call& call) const {
  HttpRequest request{
      .method = call.request.method,
      .target = "/v1/services/" + call.request.service + call.request.target,
      .headers = call.request.headers,
      .body = call.request.body};
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - loop.Now());
  request.headers.emplace_back("Cicadadrum-Client-Account",
                               options.client_account);
  request.headers.emplace_back("Cicadadrum-Class",
                               NameOf(call.request.request_class));
  request.headers.emplace_back(
      "Cicadadrum-Deadline-Ms",
      std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
  request.headers.emplace_back("Cicadadrum-Configuration-Floor",
                               std::to_string(state.configuration_floor));
  if (!call.answer.key.empty())
    request.headers.emplace_back("Cicadadrum-Request-Key", call.answer.key);
  return request;
}

// Returns the deadline of an attempt. For the last entry VM of a round this is
// the deadline of the request.
TimePoint Caller::Impl::AttemptDeadline(const Call& call) const {
  if (call.remaining.empty())
    return call.deadline;
  const bool bulk = call.request.request_class == RequestClass::kBulk;
  const Duration timeout = bulk ? kBulkAttemptTimeout : kAttemptTimeout;
  return std::min(call.deadline, loop.Now() + timeout);
}

void Caller::Impl::SendAttempt(const CallPointer& call) {
  if (loop.Now() >= call->deadline || call->remaining.empty())
    return ScheduleRepeat(call);
  const std::string address = call->remaining.front();
  call->remaining.erase(call->remaining.begin());
  ++call->answer.attempts;
  client.Send(
      address, MakeRequest(*call), call->deadline,
      [this, call, address](HttpOutcome outcome, HttpResponse response) {
        HandleAttemptResult(call, address, outcome, std::move(response));
      });
}

void Caller::Impl::HandleAttemptResult(const CallPointer& call,
                                       const std::string& address,
                                       HttpOutcome outcome,
                                       HttpResponse response) {
  if (outcome == HttpOutcome::kNotConnected ||
      outcome == HttpOutcome::kConnectionUnavailable) {
    RecordFailure(state, address, loop.Now());
    return SendAttempt(call);
  }
  if (outcome != HttpOutcome::kAnswered) {
    RecordFailure(state, address, loop.Now());
    call->answer.verdict = Verdict::kMayHaveRun;
    // A repeat of a non-idempotent request is safe because it has the same
    // request key.
    return SendAttempt(call);
  }
  RecordVersion(state,
                ReadNumber(FindField(response.headers,
                                     "Cicadadrum-Configuration-Version")));
  const auto verdict =
      ParseName<Verdict>(FindField(response.headers, "Cicadadrum-Verdict"))
          .value_or(Verdict::kMayHaveRun);
  const bool repeatable =
      verdict == Verdict::kNotRun && IsRepeatable(response.status);
  call->answer.verdict = Combine(call->answer.verdict, verdict);
  call->answer.response = std::move(response);
  if (repeatable && call->answer.attempts < kMaxAttempts)
    return ScheduleRepeat(call);
  Finish(call);
}

// Sends the next attempt after a random backoff, or finishes the request if the
// deadline or the limit of attempts is reached first. A new round starts when
// all entry VMs of the current round have been used.
void Caller::Impl::ScheduleRepeat(const CallPointer& call) {
  const Duration doubled_backoff =
      kInitialBackoff * (1 << std::min(call->answer.attempts, 5U));
  const Duration backoff = std::min(doubled_backoff, kMaxBackoff);
  const Duration wait =
      backoff / 2 +
      Microseconds(static_cast<std::int64_t>(RandomBelow(
          state.random, static_cast<std::uint64_t>(backoff.count()))));
  if (call->answer.attempts >= kMaxAttempts ||
      loop.Now() + wait >= call->deadline)
    return Finish(call);
  call->timer = std::make_unique<Timer>(loop, [this, call] {
    if (call->remaining.empty())
      call->remaining = RankAddresses(state, call->request.service, loop.Now());
    SendAttempt(call);
  });
  call->timer->Schedule(loop.Now() + wait);
}

void Caller::Impl::Finish(const CallPointer& call) {
  const auto callback = std::move(call->callback);
  // The timer's function owns a reference to the call, so the timer must exist
  // until this function returns.
  const std::unique_ptr<Timer> timer = std::move(call->timer);
  callback(call->answer);
}

Caller::Caller(EventLoop& loop, const CallerOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

Caller::~Caller() = default;

void Caller::Send(const CallerRequest& request,
                  std::function<void(const CallerAnswer&)> callback) {
  const auto call = std::make_shared<Impl::Call>();
  call->request = request;
  call->callback = std::move(callback);
  call->answer.key = request.key;
  call->deadline = impl_->loop.Now() + request.deadline;
  impl_->StartCall(call);
}

void Caller::Upload(const std::string& service,
                    const std::string& target,
                    const std::string& upload,
                    const std::string& bytes,
                    Duration deadline,
                    std::function<void(const UploadAnswer&)> callback) {
  StartUpload(impl_->loop, *this,
              {service, target, upload, bytes, impl_->loop.Now() + deadline},
              std::move(callback));
}

}  // namespace cicadadrum
