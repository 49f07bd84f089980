// Sends the requests of a mix. Each request has a unique target, and each write
// a unique body, so that an answer that belongs to another request is detected.

#include "load.h"

#include <capnp/message.h>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/configuration/json.h"
#include "schemas/backend.capnp.h"

namespace cicadadrum {

namespace {

constexpr Duration kUploadDeadline = Seconds(60);

// Returns whether the answer is complete and belongs to this request.
bool IsMatchingAnswer(const CallerRequest& request,
                      const CallerAnswer& answer) {
  capnp::MallocMessageBuilder message;
  const auto echo = DecodeJsonAs<schema::Echo>(
      answer.response.body, "answer", ErrorCode::kInvalidMessage, message);
  return echo && answer.response.status == 200 &&
         request.target == echo->getTarget().cStr() &&
         FormatHex(HashBytes(request.body)) == echo->getBodyHash().cStr() &&
         answer.key == echo->getKey().cStr();
}

void CountVerdict(StreamResult& result, Verdict verdict) {
  switch (verdict) {
    case Verdict::kRan:
      ++result.ran;
      return;
    case Verdict::kNotRun:
      ++result.not_run;
      return;
    case Verdict::kMayHaveRun:
      ++result.may_have_run;
      return;
  }
}

std::string FormatFailure(const Stream& stream, const CallerAnswer& answer) {
  const std::string_view reason =
      FindField(answer.response.headers, "Cicadadrum-Reason");
  return stream.service + " " + std::string(NameOf(answer.verdict)) + " " +
         (reason.empty() ? "status " + std::to_string(answer.response.status)
                         : std::string(reason));
}

}  // namespace

struct Load::Impl {
  struct StreamSender {
    Stream stream;
    std::unique_ptr<Caller> caller;
    std::unique_ptr<Timer> timer;
    TimePoint next_send_at;
  };

  EventLoop& loop;
  std::vector<std::unique_ptr<StreamSender>> senders;
  LoadResult result;
  std::uint64_t next_request_number = 1;
  std::uint64_t in_progress = 0;
  bool stopped = false;

  Impl(EventLoop& event_loop, const Mix& mix);
  void SendNext(StreamSender& sender);
  void SendRequest(StreamSender& sender);
  void SendUpload(StreamSender& sender);
};

Load::Impl::Impl(EventLoop& event_loop, const Mix& mix) : loop(event_loop) {
  for (const Stream& stream : mix.streams) {
    CallerOptions options{.client_account = stream.client_account,
                          .region = stream.region,
                          .random_seed = senders.size() + 1};
    for (const EntryVm& entry : mix.deployment.entries)
      options.seed_addresses.push_back(entry.caller_address);
    auto sender = std::make_unique<StreamSender>();
    sender->stream = stream;
    sender->caller = std::make_unique<Caller>(loop, options);
    sender->timer = std::make_unique<Timer>(
        loop, [this, pointer = sender.get()] { SendNext(*pointer); });
    senders.push_back(std::move(sender));
  }
}

void Load::Impl::SendNext(StreamSender& sender) {
  if (stopped)
    return;
  if (sender.stream.request_class == RequestClass::kBulk)
    SendUpload(sender);
  else
    SendRequest(sender);
  sender.next_send_at += Microseconds(
      static_cast<std::int64_t>(1e6 / sender.stream.requests_per_second));
  sender.timer->Schedule(sender.next_send_at);
}

void Load::Impl::SendRequest(StreamSender& sender) {
  const std::uint64_t request_number = next_request_number++;
  CallerRequest request{.service = sender.stream.service,
                        .request_class = sender.stream.request_class,
                        .target = "/item/" + std::to_string(request_number),
                        .deadline = sender.stream.deadline};
  if (!IsIdempotent(request.request_class)) {
    request.method = HttpMethod::kPost;
    request.body = std::string(sender.stream.body_bytes, 'a') +
                   std::to_string(request_number);
  }
  const TimePoint started_at = loop.Now();
  ++in_progress;
  sender.caller->Send(
      request, [this, request, started_at,
                stream = sender.stream](const CallerAnswer& answer) {
        --in_progress;
        StreamResult& stream_result =
            result.streams[{stream.service, stream.request_class}];
        ++stream_result.sent;
        CountVerdict(stream_result, answer.verdict);
        if (!IsIdempotent(stream.request_class))
          result.writes[answer.key] = answer.verdict;
        if (answer.verdict != Verdict::kRan) {
          ++result.failures[FormatFailure(stream, answer)];
          return;
        }
        stream_result.latencies.push_back(loop.Now() - started_at);
        if (!IsMatchingAnswer(request, answer))
          ++stream_result.mismatched_answers;
      });
}

void Load::Impl::SendUpload(StreamSender& sender) {
  const std::string name = "upload-" + std::to_string(next_request_number++);
  const TimePoint started_at = loop.Now();
  ++in_progress;
  sender.caller->Upload(
      sender.stream.service, "/uploads/" + name, name,
      std::string(sender.stream.body_bytes, 'b'), kUploadDeadline,
      [this, started_at, stream = sender.stream](const UploadAnswer& answer) {
        --in_progress;
        StreamResult& stream_result =
            result.streams[{stream.service, stream.request_class}];
        ++stream_result.sent;
        CountVerdict(stream_result,
                     answer.complete ? Verdict::kRan : Verdict::kMayHaveRun);
        stream_result.latencies.push_back(loop.Now() - started_at);
        if (!answer.complete)
          ++result.failures[stream.service + " upload not complete"];
      });
}

Load::Load(EventLoop& loop, const Mix& mix)
    : impl_(std::make_unique<Impl>(loop, mix)) {}

Load::~Load() = default;

void Load::Start() {
  const TimePoint now = impl_->loop.Now();
  std::int64_t start_index = 0;
  for (auto& sender : impl_->senders) {
    // The streams start at different times so that their requests do not arrive
    // at the same time.
    sender->next_send_at = now + Milliseconds(7 * ++start_index);
    sender->timer->Schedule(sender->next_send_at);
  }
}

void Load::Stop() {
  impl_->stopped = true;
}

std::uint64_t Load::in_progress() const {
  return impl_->in_progress;
}

const LoadResult& Load::result() const {
  return impl_->result;
}

}  // namespace cicadadrum
