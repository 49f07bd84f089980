// End-to-end tests of routes whose responses are large, and of routes that this
// release does not know.

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <list>

#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

constexpr std::uint32_t kRouteTimeoutMs = 3000;

std::string DownloadConfiguration(std::uint64_t version) {
  return ConfigurationBody(version, {{.name = "r1", .prefix = "/read/"},
                                     {.name = "r3",
                                      .prefix = std::string(kDownloadPrefix),
                                      .kind = "download",
                                      .timeout_ms = kRouteTimeoutMs}});
}

// Begins a response with `size` bytes of body and ends after `sent` of them.
std::string CutResponse(std::size_t size, std::size_t sent) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kRequestId) + ": id-1\r\n" +
         std::string(kSeal) +
         ": seal\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
         std::string(sent, 'x');
}

// A caller that sends a request and reads nothing of the response.
class SlowReader {
 public:
  SlowReader(const std::string& address, const std::string& id)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    // A small receive buffer, so that the response waits at the entry VM.
    const int buffer_bytes = 4096;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    const std::size_t colon = address.rfind(':');
    sockaddr_in target{.sin_family = AF_INET};
    target.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&target),
                    sizeof(target)) == 0);
    const std::string request = "GET " + std::string(kDownloadPrefix) + id +
                                " HTTP/1.1\r\nHost: host\r\n" +
                                std::string(kRequestId) + ": " + id + "\r\n" +
                                std::string(kDeadline) + ": 3000\r\n\r\n";
    REQUIRE(send(fd_, request.data(), request.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(request.size()));
  }
  ~SlowReader() { close(fd_); }
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;

 private:
  int fd_;
};

std::ptrdiff_t ExecutionsOf(const ServerStandIn& server,
                            const std::string& id) {
  const auto& executed = server.executed_requests();
  return std::count(executed.begin(), executed.end(), id);
}

double MetricOf(SingleEntryDeployment& entry, const std::string& name) {
  return MetricOf(entry, entry.settings, name);
}

}  // namespace

// Guards against a configuration that is refused whole because of a route for
// downloads.
TEST_CASE("a download is delivered whole and counted by kind") {
  SingleEntryDeployment entry;
  entry.store.Put("op", "config", DownloadConfiguration(2));
  REQUIRE(entry.WaitUntil([&] {
    return entry.SendRequest(Request("/download/a", "id-0")).status == 200;
  }));
  entry.server_one.SetDownloadBytes(540'000);
  const std::string counter = "cicadadrum_delivered_total{kind=\"download\"}";
  const double before = MetricOf(entry, counter);
  const HttpResponse response =
      entry.SendRequest(Request("/download/a", "id-1"));
  CHECK(response.status == 200);
  CHECK(response.body == AnswerTo("/download/a", "id-1", 540'000));
  CHECK(FindField(response.headers, kSeal) == "seal-of-id-1");
  CHECK(MetricOf(entry, counter) == before + 1);
  CHECK(entry.WaitUntil([&] {
    return MetricOf(entry, "cicadadrum_unsent_response_bytes") == 0;
  }));
}

// Guards against a response that breaks off and looks complete, and against a
// caller that gets an error although another server has the file.
TEST_CASE("a download that is cut in its body is repeated at another server") {
  for (const bool reset : {false, true}) {
    ScriptedDeployment entry({{.bytes = CutResponse(90'000, 30'000),
                               .then_close = !reset,
                               .then_reset = reset}});
    entry.store.Put("op", "config", DownloadConfiguration(2));
    entry.store.Put("servers", "s-two", entry.server_two.Row("ready"));
    // Some object is handled by the scripted server first.
    bool all_complete = true;
    int sent = 0;
    REQUIRE(entry.WaitUntil([&] {
      const std::string target = "/download/" + std::to_string(sent++);
      HttpRequest request = Request(target, "id-1");
      request.headers[3].second =
          std::string(kObjectCookie) + "=" + std::to_string(sent);
      const HttpResponse response = entry.SendRequest(request);
      if (response.status == 200)
        all_complete &=
            response.body == AnswerTo(target, "id-1", kDownloadBytes);
      return entry.server.request_count() == 1;
    }));
    CHECK(all_complete);
    REQUIRE(!entry.server_two.requests().empty());
    // The last request ran at the second server after the first one failed.
    CHECK(entry.server_two.requests().back().target ==
          "/download/" + std::to_string(sent - 1));
  }
}

TEST_CASE("a caller that leaves during a download ends the transfer") {
  ScriptedDeployment entry({{.bytes = CutResponse(900'000, 100'000)}});
  entry.store.Put("op", "config", DownloadConfiguration(2));
  std::uint64_t call = 0;
  REQUIRE(entry.WaitUntil([&] {
    if (call != 0)
      entry.client.Cancel(call);
    call = entry.client.Send(entry.settings.self.caller_address,
                             Request("/download/a", "id-1"),
                             entry.loop.Now() + kTestTimeout,
                             [](HttpOutcome, const HttpResponse&) {});
    return entry.WaitUntil([&] { return entry.server.request_count() == 1; },
                           Milliseconds(200));
  }));
  CHECK(entry.server.open_count() == 1);
  entry.client.Cancel(call);
  CHECK(entry.WaitUntil([&] { return entry.server.open_count() == 0; },
                        Milliseconds(500)));
}

// Guards against an entry VM that runs out of memory because callers do not
// read their responses.
TEST_CASE("callers that do not read hold a bounded number of bytes") {
  constexpr std::size_t kResponseBytes = 2'000'000;
  constexpr double kMemory = 10'000'000;
  Deployment deployment;
  Settings settings = deployment.MakeSettings("entry-1");
  settings.routing.response_memory_bytes = static_cast<std::uint64_t>(kMemory);
  deployment.store.Put("op", "config", DownloadConfiguration(2));
  deployment.server_one.SetDownloadBytes(kResponseBytes);
  Front front(deployment.loop, deployment.kj_loop, settings,
              {.high = 1, .low = 1});
  REQUIRE(front.Start());
  REQUIRE(deployment.WaitUntil([&] { return deployment.IsReady(settings); }));
  const auto held = [&] {
    return MetricOf(deployment, settings, "cicadadrum_unsent_response_bytes") +
           MetricOf(deployment, settings,
                    "cicadadrum_incomplete_response_bytes");
  };
  double most_held = 0;
  {
    std::list<SlowReader> readers;
    for (int i = 0; i < 30; ++i) {
      readers.emplace_back(settings.self.caller_address,
                           "slow-" + std::to_string(i));
      deployment.WaitUntil([] { return false; }, Milliseconds(30));
      most_held = std::max(most_held, held());
    }
    // Callers that come now are told to come back, and small responses pass.
    const auto [outcome, refused] = deployment.Call(
        settings.self.caller_address, Request("/download/late", "late-1"));
    CHECK(outcome == HttpOutcome::kAnswered);
    CHECK(refused.status == 503);
    CHECK(!FindField(refused.headers, kRetryAfter).empty());
    CHECK(deployment
              .Call(settings.self.caller_address, Request("/read/a", "late-2"))
              .second.status == 200);
  }
  CHECK(most_held > kMemory / 4);
  CHECK(most_held <= kMemory);
  CHECK(deployment.WaitUntil([&] { return held() == 0; }));
  CHECK(deployment
            .Call(settings.self.caller_address, Request("/download/x", "id-9"))
            .second.status == 200);
}

// Guards against callers of a planned stop whose large response is cut.
TEST_CASE("a download that runs during a stop is delivered whole") {
  SingleEntryDeployment entry;
  entry.server_one.SetDownloadBytes(2'000'000);
  entry.store.Put("op", "config", DownloadConfiguration(2));
  REQUIRE(entry.WaitUntil([&] {
    return entry.SendRequest(Request("/download/a", "id-0")).status == 200;
  }));
  std::optional<HttpResponse> received;
  entry.client.Send(
      entry.settings.self.caller_address, Request("/download/a", "id-1"),
      entry.loop.Now() + kTestTimeout, [&](HttpOutcome, HttpResponse response) {
        received = std::move(response);
      });
  const std::size_t before = entry.server_one.requests().size();
  REQUIRE(entry.WaitUntil(
      [&] { return entry.server_one.requests().size() > before; }));
  bool stopped = false;
  entry.front.RequestStop([&] { stopped = true; });
  REQUIRE(entry.WaitUntil([&] { return stopped; }));
  REQUIRE(entry.WaitUntil([&] { return received.has_value(); }));
  CHECK(received->status == 200);
  CHECK(received->body == AnswerTo("/download/a", "id-1", 2'000'000));
}

// Guards against an entry VM that serves nothing because of a value of a later
// release, and against serving a route whose restrictions it can't read.
TEST_CASE("routes of a later release cost those routes only") {
  SingleEntryDeployment entry;
  entry.store.Put("op", "evacuate/elsewhere", "{\"since\":[[7]]}");
  entry.store.Put("servers", "s-odd", "{\"state\":\"warming\"}");
  std::string body =
      ConfigurationBody(5, {{.name = "r1", .prefix = "/read/"},
                            {.name = "r4", .prefix = "/new/", .kind = "stream"},
                            {.name = "r5", .prefix = "/read/odd/"}});
  const std::size_t last_homes = body.rfind("\"homeRegions\":[]");
  body.replace(last_homes, std::string("\"homeRegions\":[]").size(),
               "\"homeRegions\":{\"only\":\"south\"}");
  entry.store.Put("op", "config", body);
  REQUIRE(entry.WaitUntil([&] {
    return entry.SendRequest(Request("/new/a", "id-0")).status == 200;
  }));
  CHECK(entry.SendRequest(Request("/read/a", "id-1")).status == 200);
  const HttpResponse refused =
      entry.SendRequest(Request("/read/odd/a", "id-2"));
  CHECK(refused.status == 503);
  CHECK(refused.body == "unreadable-route\n");
  CHECK(ExecutionsOf(entry.server_one, "id-2") == 0);
  CHECK(entry.HasMetric(
      "cicadadrum_configuration_remarks_total{kind=\"unknown-kind\"} 1"));
  CHECK(entry.HasMetric(
      "cicadadrum_configuration_remarks_total{kind=\"unreadable-route\"} 1"));
  // A request of the unknown kind that may have run is not sent again.
  entry.server_one.SetBehaviour(ServerBehaviour::kWithoutSeal);
  CHECK(entry.SendRequest(Request("/new/a", "id-3")).status == 502);
  CHECK(ExecutionsOf(entry.server_one, "id-3") == 1);
}

}  // namespace cicadadrum::platform
