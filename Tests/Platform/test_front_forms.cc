// Plays the table of response forms against an entry VM.

#include "front_fixture.h"
#include "response_forms.h"

namespace cicadadrum::platform {

namespace {

// More than one, so that a repeated request would be noticed.
constexpr std::size_t kResponses = 8;

// A deployment whose only server sends `bytes` as each response.
struct FormDeployment : Deployment {
  ScriptedServer server;
  Settings settings = MakeSettings("entry-1");
  Front front{loop, kj_loop, settings, {.high = 1, .low = 1}};

  explicit FormDeployment(const std::string& bytes)
      : server(loop, std::vector(kResponses, ScriptedResponse{bytes})) {
    store.Remove("servers", "s-one");
    server.AlwaysRespond(HealthRequestBegin(), HealthResponse("s-form"));
    store.Put("servers", "s-form", server_one.RowAt(server.address(), "ready"));
    REQUIRE(front.Start());
    REQUIRE(WaitUntil([this] { return IsReady(settings); }));
  }
};

// Gives the form the fields of a sealed response to the request a.
std::string Sealed(std::string bytes) {
  const std::string id = "Request-Id: a\r\n";
  const std::size_t at = bytes.rfind(id);
  if (at != std::string::npos)
    bytes.replace(
        at, id.size(),
        std::string(kRequestId) + ": a\r\n" + std::string(kSeal) + ": 1\r\n");
  return bytes;
}

}  // namespace

// Guards against malformed fields, statuses and bodies that reach a caller.
TEST_CASE("a caller gets 502 in place of a malformed response") {
  for (const ResponseForm& form : ResponseForms()) {
    if (form.verdict != FormVerdict::kRefused)
      continue;
    CAPTURE(form.name);
    CAPTURE(form.bytes);
    FormDeployment deployment(Sealed(form.bytes));
    const auto [outcome, response] =
        deployment.Call(deployment.settings.self.caller_address,
                        Request("/write/a", "a", HttpMethod::kPost));
    CHECK(deployment.server.request_count() == 1);
    CHECK(outcome == HttpOutcome::kAnswered);
    CHECK(response.status == 502);
    CHECK(FindField(response.headers, kSeal).empty());
    CHECK(response.body.find("0123") == std::string::npos);
  }
}

// Guards against a table whose rows are refused for another reason.
TEST_CASE("a caller gets the same response if it is well-formed") {
  FormDeployment deployment(Sealed(FormWithLine("X: 1\r\n")));
  const HttpResponse response =
      deployment
          .Call(deployment.settings.self.caller_address,
                Request("/write/a", "a", HttpMethod::kPost))
          .second;
  CHECK(response.status == 200);
  CHECK(response.body == "0123");
}

}  // namespace cicadadrum::platform
