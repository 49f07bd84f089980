// The HTTP interface for callers.

#include "caller_protocol.h"

#include <capnp/message.h>

#include <charconv>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/configuration/json.h"
#include "schemas/http.capnp.h"

namespace cicadadrum {

namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::int64_t kDefaultDeadlineMilliseconds = 10'000;
constexpr std::int64_t kMaxDeadlineMilliseconds = 120'000;

struct RefusalStatus {
  RefusalReason reason;
  std::uint16_t status;
};

// HTTP statuses of refusals. For other reasons the status is 503 if the request
// did not run, and 502 otherwise.
constexpr auto kRefusalStatuses = std::to_array<RefusalStatus>({
    {RefusalReason::kUnknownClientAccount, 403},
    {RefusalReason::kNotInPlan, 403},
    {RefusalReason::kRateLimit, 429},
    {RefusalReason::kConcurrencyLimit, 429},
    {RefusalReason::kBodyTooLarge, 413},
    {RefusalReason::kDeadline, 504},
    {RefusalReason::kKeyMissing, 400},
    {RefusalReason::kKeyInUse, 409},
});

// Returns the service of a path "/v1/services/<service>/<rest>", or an empty
// view for other paths.
std::string_view ServiceOf(std::string_view path) {
  if (!path.starts_with(kServicePrefix))
    return {};
  path.remove_prefix(kServicePrefix.size());
  return path.substr(0, path.find('/'));
}

template <typename Number>
bool ReadNumber(std::string_view text, Number& number) {
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  return error == std::errc() && end == last;
}

std::uint64_t Fingerprint(const RequestArrived& arrived,
                          const HttpRequest& request) {
  const std::string head = arrived.client_account + '\n' + arrived.service +
                           '\n' + std::string(NameOf(request.method)) + '\n' +
                           request.target + '\n';
  return HashBytes(request.body.view(), HashBytes(head));
}

}  // namespace

std::optional<RequestArrived> ReadServiceRequest(const HttpRequest& request,
                                                 std::uint64_t id,
                                                 TimePoint now,
                                                 std::string& error_message) {
  RequestArrived arrived{.request = id,
                         .service = std::string(ServiceOf(request.path))};
  arrived.client_account = FindField(request.headers, kClientAccountField);
  const auto request_class =
      ParseName<RequestClass>(FindField(request.headers, kClassField));
  if (!request_class) {
    error_message =
        std::string(kClassField) + " must be urgent, routine, write or bulk";
    return std::nullopt;
  }
  std::int64_t deadline = kDefaultDeadlineMilliseconds;
  const std::string_view deadline_text =
      FindField(request.headers, kDeadlineField);
  const bool deadline_valid =
      deadline_text.empty() || ReadNumber(deadline_text, deadline);
  if (!deadline_valid || deadline < 1 || deadline > kMaxDeadlineMilliseconds) {
    error_message =
        std::string(kDeadlineField) + " must be an integer from 1 to 120000";
    return std::nullopt;
  }
  const std::string_view floor_text = FindField(request.headers, kFloorField);
  if (!floor_text.empty() &&
      !ReadNumber(floor_text, arrived.configuration_floor)) {
    error_message =
        std::string(kFloorField) + " must be a configuration version";
    return std::nullopt;
  }
  const std::string_view upload = FindField(request.headers, kUploadField);
  arrived.affinity =
      upload.empty() ? 0
                     : HashBytes(upload, HashBytes(arrived.client_account)) | 1;
  arrived.request_class = *request_class;
  arrived.key = FindField(request.headers, kKeyField);
  arrived.body_bytes = request.body.size();
  arrived.deadline = now + Milliseconds(deadline);
  arrived.fingerprint = Fingerprint(arrived, request);
  return arrived;
}

ForwardedRequest MakeForwardedRequest(const HttpRequest& request,
                                      const RequestArrived& arrived,
                                      std::string traceparent) {
  return {.client_account = arrived.client_account,
          .service = arrived.service,
          .request_class = arrived.request_class,
          .key = arrived.key,
          .method = std::string(NameOf(request.method)),
          .path = request.target,
          .body = request.body.ToString(),
          .deadline = arrived.deadline,
          .traceparent = std::move(traceparent)};
}

HttpRequest RestoreForwardedRequest(const ForwardedRequest& forwarded) {
  HttpRequest request{
      .method =
          ParseName<HttpMethod>(forwarded.method).value_or(HttpMethod::kPost),
      .target = forwarded.path,
      .path = forwarded.path.substr(0, forwarded.path.find('?')),
      .body = forwarded.body};
  request.headers = {
      {kClientAccountField, forwarded.client_account},
      {kClassField, std::string(NameOf(forwarded.request_class))},
      {kKeyField, forwarded.key}};
  return request;
}

std::string BackendTarget(const HttpRequest& request) {
  const std::size_t begin = request.target.find(kServicePrefix);
  const std::size_t slash =
      begin == std::string::npos
          ? begin
          : request.target.find('/', begin + kServicePrefix.size());
  return slash == std::string::npos ? "/" : request.target.substr(slash);
}

std::uint16_t StatusOf(Verdict verdict, RefusalReason reason) {
  for (const RefusalStatus& row : kRefusalStatuses) {
    if (row.reason == reason)
      return row.status;
  }
  return verdict == Verdict::kNotRun ? 503 : 502;
}

HttpResponse MakeJsonResponse(std::uint16_t status, std::string body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

HttpResponse MakeRefusal(Verdict verdict,
                         RefusalReason reason,
                         Duration retry_after,
                         const std::string& detail) {
  capnp::MallocMessageBuilder message;
  auto body = message.initRoot<schema::Refusal>();
  body.setReason(std::string(NameOf(reason)));
  body.setDetail(detail);
  HttpResponse response =
      MakeJsonResponse(StatusOf(verdict, reason), EncodeJson(body.asReader()));
  response.headers.emplace_back(kVerdictField, NameOf(verdict));
  response.headers.emplace_back(kReasonField, NameOf(reason));
  if (retry_after > Duration::zero()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return response;
}

HttpResponse MakeStoredResponse(const StoredAnswer& stored) {
  HttpResponse response{.status = stored.status, .body = stored.body};
  if (!stored.content_type.empty())
    response.headers.emplace_back("Content-Type", stored.content_type);
  if (stored.truncated)
    response.headers.emplace_back("Cicadadrum-Body", "not-kept");
  response.headers.emplace_back(kVerdictField, NameOf(Verdict::kRan));
  return response;
}

}  // namespace cicadadrum
