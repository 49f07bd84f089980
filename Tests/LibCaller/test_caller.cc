// Tests of the caller library against a small HTTP server that acts as an entry
// VM.

#include <doctest/doctest.h>

#include "cicadadrum/caller/caller.h"
#include "cicadadrum/caller/choice.h"
#include "cicadadrum/loop/http_server.h"

namespace cicadadrum {

namespace {

// Responds to lookups with its own address and one request key, and passes
// service requests to `handler`.
struct FakeEntry {
  std::function<void(std::uint64_t id, const HttpRequest&)> handler;
  std::string address;
  std::vector<HttpRequest> requests;
  HttpServer server;

  explicit FakeEntry(EventLoop& loop)
      : server(
            loop,
            {},
            [this](std::uint64_t id, const HttpRequest& request) {
              Handle(id, request);
            },
            [this](std::uint64_t id) { server.Respond(id, {}); }) {
    const auto port = server.Listen("127.0.0.1:0");
    REQUIRE(port);
    address = "127.0.0.1:" + std::to_string(*port);
  }

  void Handle(std::uint64_t id, const HttpRequest& request) {
    if (request.path != "/v1/lookup") {
      requests.push_back(request);
      return handler(id, request);
    }
    server.Respond(
        id,
        {.body =
             R"({"entries": [{"address": ")" + address +
             R"("}], "lifetimeSeconds": 30, "configurationVersion": "7", "requestKeys": ["c.e.)" +
             std::string(32, '1') + R"(.1"]})"});
  }
};

HttpResponse MakeAnswer(std::uint16_t status, const std::string& verdict) {
  return {.status = status,
          .headers = {{"Cicadadrum-Verdict", verdict}},
          .body = "body"};
}

CallerAnswer SendAndWait(EventLoop& loop,
                         Caller& caller,
                         const CallerRequest& request) {
  CallerAnswer result;
  caller.Send(request, [&](const CallerAnswer& answer) {
    result = answer;
    loop.Stop();
  });
  loop.Run();
  return result;
}

}  // namespace

// Guards against a request that fails because the first entry VM is
// unreachable.
TEST_CASE("a caller uses the next entry VM when the first can't be reached") {
  EventLoop loop;
  FakeEntry entry(loop);
  entry.handler = [&](std::uint64_t id, const HttpRequest&) {
    entry.server.Respond(id, MakeAnswer(200, "ran"));
  };
  Caller caller(loop, {.seed_addresses = {"127.0.0.1:1", entry.address},
                       .client_account = "roads"});
  const CallerAnswer answer = SendAndWait(
      loop, caller, {.service = "status-board", .target = "/x?y=1"});
  CHECK(answer.verdict == Verdict::kRan);
  REQUIRE(entry.requests.size() == 1);
  CHECK(entry.requests[0].target == "/v1/services/status-board/x?y=1");
  CHECK(FindField(entry.requests[0].headers,
                  "Cicadadrum-Configuration-Floor") == "7");
}

// Guards against a repeat with a different request key, which would allow a
// second execution.
TEST_CASE("a repeat of a non-idempotent request has the same request key") {
  EventLoop loop;
  FakeEntry entry(loop);
  entry.handler = [&](std::uint64_t id, const HttpRequest&) {
    if (entry.requests.size() == 1)
      return entry.server.Abort(id);
    entry.server.Respond(id, MakeAnswer(200, "ran"));
  };
  Caller caller(loop,
                {.seed_addresses = {entry.address}, .client_account = "roads"});
  const CallerAnswer answer = SendAndWait(
      loop, caller,
      {.service = "issue-svc", .request_class = RequestClass::kWrite});
  CHECK(answer.verdict == Verdict::kRan);
  REQUIRE(entry.requests.size() == 2);
  CHECK(
      !FindField(entry.requests[0].headers, "Cicadadrum-Request-Key").empty());
  CHECK(FindField(entry.requests[0].headers, "Cicadadrum-Request-Key") ==
        FindField(entry.requests[1].headers, "Cicadadrum-Request-Key"));
}

// Guards against the verdict "not run" for a request whose earlier attempt may
// have run.
TEST_CASE("the verdict is may-have-run if a refusal follows a lost attempt") {
  EventLoop loop;
  FakeEntry entry(loop);
  entry.handler = [&](std::uint64_t id, const HttpRequest&) {
    if (entry.requests.size() == 1)
      return entry.server.Abort(id);
    entry.server.Respond(id, MakeAnswer(403, "not-run"));
  };
  Caller caller(loop,
                {.seed_addresses = {entry.address}, .client_account = "roads"});
  const CallerAnswer answer = SendAndWait(
      loop, caller,
      {.service = "issue-svc", .request_class = RequestClass::kWrite});
  CHECK(answer.verdict == Verdict::kMayHaveRun);
}

// Guards against discarding an expired lookup response while no entry VM
// responds.
TEST_CASE("entry VMs of an expired lookup response are still ranked") {
  CallerState state{.seed_addresses = {"seed"}};
  state.lookups["s"] = {.addresses = {"a", "b"},
                        .expires_at = TimePoint(Seconds(1))};
  const TimePoint later(Seconds(100));
  CHECK(NeedsLookup(state, "s", later));
  CHECK(RankAddresses(state, "s", later) ==
        std::vector<std::string>{"a", "b", "seed"});
  RecordFailure(state, "a", later);
  CHECK(RankAddresses(state, "s", later) ==
        std::vector<std::string>{"b", "seed", "a"});
}

}  // namespace cicadadrum
