// Sends the mix of work. Each request carries a target and a body of its own,
// so that an answer that belongs to another request is found.

#include "load.h"

#include <capnp/message.h>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/configuration/json.h"
#include "schemas/backend.capnp.h"

namespace cicadadrum {

namespace {

constexpr Duration kUploadDeadline = Seconds(60);

// Whether the answer is the whole answer to this request.
bool IsOwnAnswer(const CallerRequest& request, const CallerAnswer& answer) {
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

std::string FailureOf(const Stream& stream, const CallerAnswer& answer) {
  const std::string_view reason =
      FindField(answer.response.headers, "Cicadadrum-Reason");
  return stream.service + " " + std::string(NameOf(answer.verdict)) + " " +
         (reason.empty() ? "status " + std::to_string(answer.response.status)
                         : std::string(reason));
}

}  // namespace

struct Load::Impl {
  struct Source {
    Stream stream;
    std::unique_ptr<Caller> caller;
    std::unique_ptr<Timer> timer;
    TimePoint next;
  };

  EventLoop& loop;
  std::vector<std::unique_ptr<Source>> sources;
  LoadResult result;
  std::uint64_t next_serial = 1;
  std::uint64_t in_progress = 0;
  bool stopped = false;

  Impl(EventLoop& event_loop, const Mix& mix);
  void Fire(Source& source);
  void SendRequest(Source& source);
  void SendUpload(Source& source);
};

Load::Impl::Impl(EventLoop& event_loop, const Mix& mix) : loop(event_loop) {
  for (const Stream& stream : mix.streams) {
    CallerOptions options{.customer = stream.customer,
                          .region = stream.region,
                          .random_seed = sources.size() + 1};
    for (const EntryVm& entry : mix.deployment.entries)
      options.seed_addresses.push_back(entry.caller_address);
    auto source = std::make_unique<Source>();
    source->stream = stream;
    source->caller = std::make_unique<Caller>(loop, options);
    source->timer = std::make_unique<Timer>(
        loop, [this, pointer = source.get()] { Fire(*pointer); });
    sources.push_back(std::move(source));
  }
}

void Load::Impl::Fire(Source& source) {
  if (stopped)
    return;
  if (source.stream.request_class == RequestClass::kBulk)
    SendUpload(source);
  else
    SendRequest(source);
  source.next += Microseconds(
      static_cast<std::int64_t>(1e6 / source.stream.requests_per_second));
  source.timer->Schedule(source.next);
}

void Load::Impl::SendRequest(Source& source) {
  const std::uint64_t serial = next_serial++;
  CallerRequest request{.service = source.stream.service,
                        .request_class = source.stream.request_class,
                        .target = "/item/" + std::to_string(serial),
                        .deadline = source.stream.deadline};
  if (!IsIdempotent(request.request_class)) {
    request.method = HttpMethod::kPost;
    request.body =
        std::string(source.stream.body_bytes, 'a') + std::to_string(serial);
  }
  const TimePoint begun = loop.Now();
  ++in_progress;
  source.caller->Send(request, [this, request, begun, stream = source.stream](
                                   const CallerAnswer& answer) {
    --in_progress;
    StreamResult& row = result.streams[{stream.service, stream.request_class}];
    ++row.sent;
    CountVerdict(row, answer.verdict);
    if (!IsIdempotent(stream.request_class))
      result.writes[answer.key] = answer.verdict;
    if (answer.verdict != Verdict::kRan) {
      ++result.failures[FailureOf(stream, answer)];
      return;
    }
    row.latencies.push_back(loop.Now() - begun);
    if (!IsOwnAnswer(request, answer))
      ++row.wrong_answers;
  });
}

void Load::Impl::SendUpload(Source& source) {
  const std::string name = "upload-" + std::to_string(next_serial++);
  const TimePoint begun = loop.Now();
  ++in_progress;
  source.caller->Upload(
      source.stream.service, "/uploads/" + name, name,
      std::string(source.stream.body_bytes, 'b'), kUploadDeadline,
      [this, begun, stream = source.stream](const UploadAnswer& answer) {
        --in_progress;
        StreamResult& row =
            result.streams[{stream.service, stream.request_class}];
        ++row.sent;
        CountVerdict(row,
                     answer.complete ? Verdict::kRan : Verdict::kMayHaveRun);
        row.latencies.push_back(loop.Now() - begun);
        if (!answer.complete)
          ++result.failures[stream.service + " upload not complete"];
      });
}

Load::Load(EventLoop& loop, const Mix& mix)
    : impl_(std::make_unique<Impl>(loop, mix)) {}

Load::~Load() = default;

void Load::Start() {
  const TimePoint now = impl_->loop.Now();
  std::int64_t offset = 0;
  for (auto& source : impl_->sources) {
    // The streams begin at different times so that their requests do not arrive
    // together.
    source->next = now + Milliseconds(7 * ++offset);
    source->timer->Schedule(source->next);
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
