// Plays the table of response forms against the HTTP client: whole, split at
// each byte, and with a reset at each byte.

#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "http_client_fixture.h"
#include "response_forms.h"

namespace cicadadrum {

namespace {

HttpRequest RequestFor(const ResponseForm& form) {
  return {
      .method = form.method, .target = "/", .headers = {{"Request-Id", "a"}}};
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

}  // namespace cicadadrum
