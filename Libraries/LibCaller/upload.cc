// Uploads in parts. An upload continues at the backend server's offset after a
// failure.

#include "upload.h"

#include <capnp/message.h>

#include <memory>
#include <optional>

#include "cicadadrum/configuration/json.h"
#include "schemas/http.capnp.h"

namespace cicadadrum {

namespace {

// Entry VMs buffer each part completely, so the size of a part bounds their
// memory use.
constexpr std::size_t kPartBytes = 131'072;
constexpr Duration kPartDeadline = Seconds(10);

struct Upload : std::enable_shared_from_this<Upload> {
  EventLoop& loop;
  Caller& caller;
  UploadRequest request;
  std::function<void(const UploadAnswer&)> callback;
  UploadAnswer answer;

  Upload(EventLoop& event_loop,
         Caller& upload_caller,
         UploadRequest upload_request,
         std::function<void(const UploadAnswer&)> done)
      : loop(event_loop),
        caller(upload_caller),
        request(std::move(upload_request)),
        callback(std::move(done)) {}

  void SendPart();
  void RequestOffset();
  void HandleResponse(const CallerAnswer& received, bool is_offset_response);
  CallerRequest MakeRequest(HttpMethod method, std::string body) const;
};

std::optional<std::uint64_t> ReadOffset(const CallerAnswer& answer) {
  capnp::MallocMessageBuilder message;
  const auto state = DecodeJsonAs<schema::UploadOffset>(
      answer.response.body, "upload", ErrorCode::kInvalidMessage, message);
  const bool may_have_offset =
      answer.response.status == 200 || answer.response.status == 409;
  if (answer.verdict != Verdict::kRan || !may_have_offset || !state)
    return std::nullopt;
  return state->getReceived();
}

// Returns whether the response is a refusal that every further part would
// receive too.
bool IsPermanentRefusal(const CallerAnswer& received) {
  const std::uint16_t status = received.response.status;
  return received.verdict == Verdict::kNotRun && status >= 400 &&
         status < 500 && status != 429;
}

CallerRequest Upload::MakeRequest(HttpMethod method, std::string body) const {
  CallerRequest part{.service = request.service,
                     .request_class = RequestClass::kBulk,
                     .method = method,
                     .target = request.target,
                     .body = std::move(body)};
  part.deadline =
      std::min<Duration>(kPartDeadline, request.deadline - loop.Now());
  part.headers = {
      {"Cicadadrum-Upload", request.upload},
      {"Cicadadrum-Upload-Offset", std::to_string(answer.received)},
      {"Cicadadrum-Upload-Total", std::to_string(request.bytes.size())}};
  return part;
}

void Upload::SendPart() {
  ++answer.parts;
  const std::string part = request.bytes.substr(answer.received, kPartBytes);
  caller.Send(MakeRequest(HttpMethod::kPut, part),
              [self = shared_from_this()](const CallerAnswer& received) {
                self->HandleResponse(received, false);
              });
}

void Upload::RequestOffset() {
  ++answer.offset_requests;
  caller.Send(MakeRequest(HttpMethod::kGet, ""),
              [self = shared_from_this()](const CallerAnswer& received) {
                self->HandleResponse(received, true);
              });
}

void Upload::HandleResponse(const CallerAnswer& received,
                            bool is_offset_response) {
  const auto offset = ReadOffset(received);
  if (offset)
    answer.received = std::min<std::uint64_t>(*offset, request.bytes.size());
  answer.complete = offset && answer.received == request.bytes.size();
  if (answer.complete || IsPermanentRefusal(received) ||
      loop.Now() >= request.deadline)
    return callback(answer);
  // After a failure it is unknown whether the server has received the part, so
  // the offset must be requested before the next part.
  if (!offset && !is_offset_response)
    return RequestOffset();
  SendPart();
}

}  // namespace

void StartUpload(EventLoop& loop,
                 Caller& caller,
                 UploadRequest request,
                 std::function<void(const UploadAnswer&)> callback) {
  std::make_shared<Upload>(loop, caller, std::move(request),
                           std::move(callback))
      ->SendPart();
}

}  // namespace cicadadrum
