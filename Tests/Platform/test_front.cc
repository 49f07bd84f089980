// End-to-end tests of the front end: caller, entry VM and servers.

#include "front_fixture.h"

namespace cicadadrum::platform {

TEST_CASE("a request is forwarded to a server and the response is unchanged") {
  SingleEntryDeployment entry;
  const HttpResponse response =
      entry.SendRequest(Request("/read/a?b=c", "id-1"));
  CHECK(response.status == 200);
  CHECK(response.body == "answer to id-1");
  CHECK(FindField(response.headers, kSeal) == "seal-of-id-1");
  REQUIRE(entry.server_one.requests().size() == 1);
  const HttpRequest& seen = entry.server_one.requests()[0];
  CHECK(seen.target == "/read/a?b=c");
  CHECK(FindField(seen.headers, "Host") == "host");
  const int remaining_ms =
      std::stoi(std::string(FindField(seen.headers, kDeadline)));
  CHECK(remaining_ms <= 1000);  // The route's timeout.
  CHECK(remaining_ms > 500);
  CHECK(entry.SendRequest(Request("/none/a", "id-2")).status == 404);
}

// Guards against a response that guarantees "not run" for a request that ran.
TEST_CASE("a 503 is sent only if the server proves that nothing ran") {
  SingleEntryDeployment entry;
  entry.server_one.SetBehaviour(ServerBehaviour::kSheds);
  const HttpResponse shed =
      entry.SendRequest(Request("/write/a", "id-1", HttpMethod::kPost));
  CHECK(shed.status == 503);
  CHECK(!FindField(shed.headers, kRetryAfter).empty());
  CHECK(entry.server_one.executed_requests().empty());
  entry.server_one.SetBehaviour(ServerBehaviour::kErrorWithoutProof);
  CHECK(entry.SendRequest(Request("/write/a", "id-2", HttpMethod::kPost))
            .status == 502);
  entry.server_one.SetBehaviour(ServerBehaviour::kWithoutSeal);
  CHECK(entry.SendRequest(Request("/write/a", "id-3", HttpMethod::kPost))
            .status == 502);
  CHECK(entry.server_one.executed_requests().size() == 2);
}

// Guards against a response that guarantees "not run", and against a second
// server that runs the request, because the server repeated an earlier refusal.
TEST_CASE("a repeated refusal does not refuse a request that the server got") {
  const std::string first = "HTTP/1.1 200 OK\r\n" + std::string(kRequestId) +
                            ": id-1\r\n" + std::string(kSeal) +
                            ": seal\r\nContent-Length: 0\r\n\r\n";
  for (const std::string refused_id : {"", "id-0"}) {
    CAPTURE(refused_id);
    std::string refusal = "HTTP/1.1 503 Service Unavailable\r\n";
    if (!refused_id.empty())
      refusal += std::string(kRequestId) + ": " + refused_id + "\r\n";
    refusal += std::string(kNotRun) + ": 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedDeployment entry({{first},
                              {.bytes = refusal, .then_close = true},
                              {.bytes = refusal, .then_close = true}});
    CHECK(entry.SendRequest(Request("/write/a", "id-1", HttpMethod::kPost))
              .status == 200);
    CHECK(entry.SendRequest(Request("/write/a", "id-2", HttpMethod::kPost))
              .status == 502);
    CHECK(entry.server.request_count() == 2);
    CHECK(entry.server.connection_count() == 1);
  }
}

// Guards against a 200 with an empty or short body for a response that the
// server cut in its head.
TEST_CASE("a response that is cut in its head gets a 502") {
  const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(kRequestId) +
                           ": id-1\r\n" + std::string(kSeal) +
                           ": seal\r\nContent-Length: 60\r\n\r\n";
  for (const std::size_t line : {1, 2, 3, 4}) {
    std::size_t size = 0;
    for (std::size_t i = 0; i < line; ++i)
      size = head.find("\r\n", size) + 2;
    CAPTURE(size);
    for (const bool reset : {false, true}) {
      ScriptedDeployment entry({{.bytes = head.substr(0, size),
                                 .then_close = !reset,
                                 .then_reset = reset}});
      CHECK(entry.SendRequest(Request("/write/a", "id-1", HttpMethod::kPost))
                .status == 502);
    }
  }
}

TEST_CASE("bytes without end that begin no response get a 502 at once") {
  ScriptedDeployment entry(
      {{.endless_bytes = "HTTP/1.1 100 Continue\r\n\r\n"}});
  CHECK(entry.SendRequest(Request("/write/a", "id-1", HttpMethod::kPost))
            .status == 502);
  CHECK(entry.server.connection_count() == 1);
  CHECK(entry.WaitUntil([&] { return entry.server.open_count() == 0; }));
}

TEST_CASE("a request that hangs gets a 504 at the timeout of its route") {
  SingleEntryDeployment entry;
  entry.server_one.SetBehaviour(ServerBehaviour::kHangs);
  const TimePoint before = entry.loop.Now();
  CHECK(entry.SendRequest(Request("/write/a", "id-1", HttpMethod::kPost))
            .status == 504);
  CHECK(entry.loop.Now() - before < Milliseconds(1400));
  CHECK(entry.WaitUntil(
      [&] { return entry.server_one.disconnected_count() == 1; }));
}

TEST_CASE("a caller's disconnect cancels the request at the server") {
  SingleEntryDeployment entry;
  entry.server_one.SetBehaviour(ServerBehaviour::kHangs);
  const std::uint64_t call = entry.client.Send(
      entry.settings.self.caller_address, Request("/read/a", "id-1"),
      entry.loop.Now() + kTestTimeout, [](HttpOutcome, const HttpResponse&) {});
  REQUIRE(entry.WaitUntil(
      [&] { return entry.server_one.executed_requests().size() == 1; }));
  entry.client.Cancel(call);
  CHECK(entry.WaitUntil(
      [&] { return entry.server_one.disconnected_count() == 1; },
      Milliseconds(500)));
}

// Guards against requests to draining servers, and against treating invalid
// rows of other writers as servers.
TEST_CASE("servers are added, drained and removed with their rows") {
  SingleEntryDeployment entry;
  entry.store.Put("servers", "s-two", entry.server_two.Row("ready"));
  entry.store.Put("servers", "s-bad-1", "not JSON");
  entry.store.Put("servers", "s-bad-2", "{\"state\":\"ready\"}");
  entry.store.Put("servers", "s-bad-3",
                  "{\"service\":7,\"address\":[],\"state\":\"ready\"}");
  entry.store.Put("servers", "s-one", entry.server_one.Row("draining"));
  int sent_requests = 0;
  const auto reaches_server_two = [&] {
    entry.SendRequest(
        Request("/read/a", "id-" + std::to_string(sent_requests++)));
    return !entry.server_two.executed_requests().empty();
  };
  REQUIRE(entry.WaitUntil(reaches_server_two));
  const std::size_t before = entry.server_one.requests().size();
  for (int i = 0; i < 10; ++i)
    CHECK(entry.SendRequest(Request("/read/a", "late-" + std::to_string(i)))
              .status == 200);
  CHECK(entry.server_one.requests().size() == before);
  entry.store.Remove("servers", "s-two");
  CHECK(entry.WaitUntil([&] {
    return entry.SendRequest(Request("/read/a", "x")).status == 503;
  }));
}

// Guards against requests to a leaving server whose row still says "ready".
TEST_CASE("a server whose responses say that it leaves gets no more requests") {
  SingleEntryDeployment entry;
  entry.server_one.AnnounceLeaving();
  const HttpResponse last = entry.SendRequest(Request("/read/a", "id-1"));
  CHECK(last.status == 200);
  CHECK(FindField(last.headers, kLeaving) == "1");
  CHECK(entry.SendRequest(Request("/read/a", "id-2")).status == 503);
  entry.store.Put("servers", "s-two", entry.server_two.Row("ready"));
  REQUIRE(entry.WaitUntil([&] {
    return entry.SendRequest(Request("/read/a", "id-3")).status == 200;
  }));
  // The entry lapses and returns for the same incarnation.
  entry.store.Remove("servers", "s-one");
  entry.store.Put("servers", "s-one", entry.server_one.Row("ready"));
  entry.front.Reload(entry.settings);
  for (int i = 0; i < 10; ++i)
    CHECK(entry
              .SendRequest(Request("/write/a", "late-" + std::to_string(i),
                                   HttpMethod::kPost))
              .status == 200);
  CHECK(entry.server_one.requests().size() == 1);
}

// Guards against marking a server for the one that has its address now.
TEST_CASE("a 421 with the header of a leaving server marks no server") {
  SingleEntryDeployment entry;
  entry.server_two.AnnounceLeaving();
  // Connections to a cold server are not checked, so the request reaches it.
  entry.store.Put(
      "servers", "s-one",
      entry.server_one.RowAt(entry.server_two.address(), "ready", 3000));
  REQUIRE(entry.WaitUntil([&] {
    entry.SendRequest(Request("/read/a", "id-1"));
    return !entry.server_two.requests().empty();
  }));
  entry.store.Put("servers", "s-one", entry.server_one.Row("ready"));
  CHECK(entry.WaitUntil(
      [&] {
        return entry.SendRequest(Request("/read/a", "id-2")).status == 200;
      },
      Seconds(3)));
}

// Guards against marking a server for the one that has its address now, and
// against requests to that one.
TEST_CASE("a check that another server answers marks no server") {
  SingleEntryDeployment entry;
  entry.server_two.AnnounceLeaving();
  entry.store.Put("servers", "s-one",
                  entry.server_one.RowAt(entry.server_two.address(), "ready"));
  REQUIRE(entry.WaitUntil([&] {
    entry.SendRequest(Request("/read/a", "id-1"));
    return entry.server_two.health_check_count() > 0;
  }));
  CHECK(entry.server_two.requests().empty());
  entry.store.Put("servers", "s-one", entry.server_one.Row("ready"));
  CHECK(entry.WaitUntil(
      [&] {
        return entry.SendRequest(Request("/read/a", "id-2")).status == 200;
      },
      Seconds(3)));
}

// Guards against requests to a server that said when it wants the next one.
TEST_CASE("a server that asks for a pause with a 503 gets no request in it") {
  SingleEntryDeployment entry;
  entry.server_one.SetBehaviour(ServerBehaviour::kAsksForPause);
  CHECK(entry.SendRequest(Request("/read/a", "id-1")).status == 503);
  entry.server_one.SetBehaviour(ServerBehaviour::kAnswers);
  const TimePoint sent_at = entry.loop.Now();
  const HttpResponse refused = entry.SendRequest(Request("/read/a", "id-2"));
  const TimePoint refused_at = entry.loop.Now();
  CHECK(refused.status == 503);
  const Duration told(static_cast<std::int64_t>(
      std::stod(std::string(FindField(refused.headers, kRetryAfter))) * 1e6));
  TimePoint last_refused_sent_at = sent_at;
  bool served = false;
  CHECK(entry.WaitUntil([&] {
    if (served)
      return true;
    const TimePoint poll_sent_at = entry.loop.Now();
    served = entry.SendRequest(Request("/read/a", "id-3")).status == 200;
    if (!served)
      last_refused_sent_at = poll_sent_at;
    return served;
  }));
  // The caller was told when the server is free again, rounded up to 10 ms.
  CHECK(told > kServerPause / 2);
  CHECK(sent_at + told <= entry.loop.Now() + Milliseconds(10));
  CHECK(refused_at + told >= last_refused_sent_at);
  CHECK(entry.server_one.requests().size() == 2);
}

TEST_CASE("a stopping entry VM serves requests and is left out of lookups") {
  SingleEntryDeployment entry;
  bool stopped = false;
  entry.front.RequestStop([&] { stopped = true; });
  CHECK(!entry.IsReady(entry.settings));
  const auto [outcome, response] = entry.Call(
      entry.settings.self.caller_address, Request("/read/a", "late"));
  CHECK(outcome == HttpOutcome::kAnswered);
  CHECK(response.status == 200);
  CHECK(FindField(response.headers, "Connection") == "close");
  const HttpResponse lookup =
      entry
          .Call(entry.settings.lookup_address,
                {.target = "/resolve?name=host&region=north&zone=north-a"})
          .second;
  CHECK(lookup.status == 503);
  CHECK(entry.WaitUntil([&] { return stopped; }, Seconds(3)));
}

// Guards against callers of a planned stop that are cut without an answer.
TEST_CASE("a request that still runs at the end of a stop is answered") {
  Deployment deployment;
  deployment.store.Put("op", "config",
                       ConfigurationBody(2, {{.name = "r2",
                                              .prefix = "/write/",
                                              .kind = "unsafe",
                                              .timeout_ms = 10'000}}));
  Settings settings = deployment.MakeSettings("entry-1");
  Front front{
      deployment.loop, deployment.kj_loop, settings, {.high = 1, .low = 1}};
  REQUIRE(front.Start());
  REQUIRE(deployment.WaitUntil([&] { return deployment.IsReady(settings); }));
  deployment.server_one.SetBehaviour(ServerBehaviour::kHangs);
  const TimePoint stopped_at = deployment.loop.Now();
  front.RequestStop([] {});
  HttpRequest request = Request("/write/a", "id-1", HttpMethod::kPost);
  request.headers[2].second = "10000";  // The caller's deadline in ms.
  const auto [outcome, response] =
      deployment.Call(settings.self.caller_address, request);
  CHECK(deployment.server_one.executed_requests().size() == 1);
  CHECK(outcome == HttpOutcome::kAnswered);
  CHECK(response.status == 504);
  // Later, the process would have been killed.
  CHECK(deployment.loop.Now() - stopped_at < settings.stop_time);
}

}  // namespace cicadadrum::platform
