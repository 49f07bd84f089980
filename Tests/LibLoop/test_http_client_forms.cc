// Plays the table of response forms against the HTTP client: whole, split at
// each byte, with a reset at each byte, and while an upload is half written.

#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "http_client_fixture.h"
#include "response_forms.h"

namespace cicadadrum {

namespace {

// More than the socket buffers of both sides take.
constexpr std::size_t kUploadBytes = 8 << 20;

HttpRequest RequestFor(const ResponseForm& form) {
  return {
      .method = form.method, .target = "/", .headers = {{"Request-Id", "a"}}};
}

HttpRequest UploadFor(const ResponseForm& form) {
  HttpRequest request = RequestFor(form);
  request.body = std::string(kUploadBytes, 'u');
  return request;
}

// Whether the first `size` bytes of the form are the response, in full.
bool IsCompleteAt(const ResponseForm& form, std::size_t size) {
  return form.verdict == FormVerdict::kComplete &&
         size >= form.bytes.size() - form.excess_bytes;
}

// A request may have run when its connection has ended, so the outcome must not
// claim that nothing was sent.
bool MayHaveRun(HttpOutcome outcome) {
  return outcome == HttpOutcome::kLost || outcome == HttpOutcome::kMalformed ||
         outcome == HttpOutcome::kLostUnused;
}

void CheckResponse(const ResponseForm& form,
                   const std::pair<HttpOutcome, HttpResponse>& result) {
  CHECK(result.first == HttpOutcome::kAnswered);
  CHECK(result.second.status == form.status);
  CHECK(result.second.body == form.body);
  // Fields of a trailer are no fields of the head.
  CHECK(FindField(result.second.headers, "Seal").empty());
}

void CheckVerdict(const ResponseForm& form,
                  const std::pair<HttpOutcome, HttpResponse>& result) {
  if (form.verdict == FormVerdict::kRefused) {
    CHECK(result.first == HttpOutcome::kMalformed);
    CHECK(result.second.headers.empty());
  } else {
    CheckResponse(form, result);
  }
}

// The next request does not get what is left of the response before.
void CheckNextRequest(ClientFixture& fixture, const ResponseForm& form) {
  const std::size_t connections = fixture.server.connection_count();
  CHECK(fixture.Call("b").second.body == "next");
  if (form.verdict != FormVerdict::kComplete || form.excess_bytes > 0)
    CHECK(fixture.server.connection_count() == connections + 1);
}

}  // namespace

// Guards against malformed bytes that reach a caller, or another request.
TEST_CASE("each form of a response has one verdict, however it is split") {
  for (const ResponseForm& form : ResponseForms()) {
    CAPTURE(form.name);
    CAPTURE(form.bytes);
    const bool then_close = form.verdict == FormVerdict::kUntilClose;
    std::vector<ScriptedResponse> responses;
    for (std::size_t i = 1; i <= form.bytes.size(); ++i) {
      responses.push_back(
          {.bytes = form.bytes, .then_close = then_close, .split_at = i});
      responses.push_back({MakeResponse("b", "next")});
    }
    ClientFixture fixture(responses);
    for (std::size_t i = 1; i <= form.bytes.size(); ++i) {
      CAPTURE(i);
      CheckVerdict(form, fixture.Call(RequestFor(form)));
      CheckNextRequest(fixture, form);
    }
  }
}

// Guards against a part of a response that is delivered as the whole.
TEST_CASE("a form that is reset anywhere is complete or not delivered") {
  for (const ResponseForm& form : ResponseForms()) {
    CAPTURE(form.name);
    CAPTURE(form.bytes);
    std::vector<ScriptedResponse> responses;
    for (std::size_t size = 0; size <= form.bytes.size(); ++size)
      responses.push_back(
          {.bytes = form.bytes.substr(0, size), .then_reset = true});
    ClientFixture fixture(responses);
    for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
      CAPTURE(size);
      const auto result = fixture.Call(RequestFor(form));
      if (IsCompleteAt(form, size))
        CheckResponse(form, result);
      else
        CHECK(MayHaveRun(result.first));
    }
  }
}

// Guards against a write error that hides the reset of the connection: the
// kernel reports the end of the stream after it.
TEST_CASE("a form that is reset beside an upload is complete or lost") {
  for (const ResponseForm& form : ResponseForms()) {
    CAPTURE(form.name);
    CAPTURE(form.bytes);
    const bool until_close = form.verdict == FormVerdict::kUntilClose;
    // Resets of the others are played above at each byte. An upload takes
    // longer.
    const std::size_t first = until_close ? 0 : form.bytes.size();
    for (std::size_t size = first; size <= form.bytes.size(); ++size) {
      CAPTURE(size);
      ClientFixture fixture({{.bytes = form.bytes.substr(0, size),
                              .then_reset = true,
                              .split_at = size,
                              .stop_reading = true}});
      const auto result = fixture.Call(UploadFor(form));
      if (result.first == HttpOutcome::kAnswered && IsCompleteAt(form, size))
        CheckResponse(form, result);
      else
        CHECK(MayHaveRun(result.first));
    }
  }
}

// Guards against two verdicts on one form: if the server closes next, the
// kernel resets the connection, and the reset may arrive before or after the
// client reads the end.
TEST_CASE("a response without a length needs a request that was sent in full") {
  const std::string bytes = FormWithFields("", "0123");
  ClientFixture fixture(
      {{.bytes = bytes, .then_shutdown = true, .stop_reading = true},
       {.bytes = bytes, .then_shutdown = true}});
  CHECK(fixture.Call(UploadFor({})).first == HttpOutcome::kLost);
  CheckResponse({.body = "0123"}, fixture.Call(RequestFor({})));
}

// Guards against bytes of the next request in place of the rest of an upload,
// and against an upload that is cut because its response has arrived.
TEST_CASE("a form that arrives beside an upload leaves the upload whole") {
  for (const ResponseForm& form : ResponseForms()) {
    CAPTURE(form.name);
    CAPTURE(form.bytes);
    const bool until_close = form.verdict == FormVerdict::kUntilClose;
    ClientFixture fixture(
        {{.bytes = form.bytes, .then_close = until_close, .stop_reading = true},
         {MakeResponse("b", "next")}});
    const auto result = fixture.Call(UploadFor(form));
    if (until_close) {
      // The kernel resets a connection that is closed before all is read.
      CHECK(result.first == HttpOutcome::kLost);
      continue;
    }
    CheckVerdict(form, result);
    CHECK(fixture.Call("b").second.body == "next");
    CHECK(fixture.server.connection_count() == 2);
    if (form.verdict != FormVerdict::kComplete || form.excess_bytes > 0)
      continue;
    fixture.server.ReadAgain();
    const TimePoint deadline = fixture.loop.Now() + kCallTimeout;
    const std::string& read = fixture.server.requests().front();
    const std::size_t head_size = read.find("\r\n\r\n") + 4;
    const std::size_t rest = kUploadBytes - (read.size() - head_size);
    while (fixture.server.unanswered_bytes() < rest &&
           fixture.loop.Now() < deadline)
      fixture.RunFor(Milliseconds(1));
    CHECK(fixture.server.unanswered_bytes() == rest);
    // The connection is kept when all has been sent.
    fixture.RunFor(Milliseconds(1));
    CHECK(fixture.server.open_count() == 2);
  }
}

// Guards against connections, and copies of uploads, that last for as long as a
// server does not read.
TEST_CASE("the rest of an upload is sent until the call's deadline only") {
  constexpr Duration kTimeout = Milliseconds(200);
  ClientFixture fixture(
      {{.bytes = MakeResponse("a", "early"), .stop_reading = true}});
  std::string body;
  fixture.client.Send(
      fixture.server.address(), UploadFor({}), fixture.loop.Now() + kTimeout,
      [&](HttpOutcome /*outcome*/, const HttpResponse& response) {
        body = response.body;
      });
  fixture.RunFor(2 * kTimeout);
  CHECK(body == "early");
  fixture.server.ReadAgain();
  const TimePoint deadline = fixture.loop.Now() + kCallTimeout;
  while (fixture.server.open_count() > 0 && fixture.loop.Now() < deadline)
    fixture.RunFor(Milliseconds(1));
  CHECK(fixture.server.open_count() == 0);
}

}  // namespace cicadadrum
