// Tests of the whole path on the platform: caller, entry VM, store, servers.

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "front.h"
#include "headers.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

namespace {

// Longest time that a test waits for something to become true.
constexpr Duration kPatience = Seconds(20);
constexpr Duration kLook = Milliseconds(5);

// Returns an address on which nothing listens at present.
std::string NextAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{.sin_family = AF_INET};
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

struct Deployment {
  EventLoop loop;
  KjLoop kj_loop{loop.base()};
  StoreStandIn store{loop};
  ServerStandIn one{loop, "s-one"};
  ServerStandIn two{loop, "s-two"};
  HttpClient client{loop, {}};
  std::vector<std::string> peers;

  Deployment() {
    store.Put("op", "config", ConfigurationBody(1));
    store.Put("servers", "s-one", one.Row("ready"));
  }

  Settings MakeSettings(const std::string& name) {
    Settings settings{.self = {.name = name,
                               .region = "north",
                               .failure_domain = "north-a",
                               .caller_address = NextAddress(),
                               .peer_address = NextAddress()},
                      .readiness_address = NextAddress(),
                      .lookup_address = NextAddress(),
                      .store_address = store.address(),
                      .seeds = peers,
                      .routing = {.name = name,
                                  .region = "north",
                                  .failure_domain = "north-a",
                                  .region_of = {{"north-a", "north"}},
                                  .bounds = {.retry_extra = 100}},
                      .drain_bound = Milliseconds(200),
                      .configuration_bound = Seconds(2),
                      .stop_time = Seconds(2),
                      .lookup_lifetime_seconds = 5,
                      .log_level = "off",
                      .log_lines_per_second = 0};
    peers.push_back(settings.self.peer_address);
    return settings;
  }

  bool WaitUntil(const std::function<bool()>& condition,
                 Duration patience = kPatience) {
    const TimePoint end = loop.Now() + patience;
    Timer timer(loop, [this] { loop.Stop(); });
    while (!condition() && loop.Now() < end) {
      timer.Schedule(loop.Now() + kLook);
      loop.Run();
    }
    return condition();
  }

  // Sends a request and waits for its end.
  std::pair<HttpOutcome, HttpResponse> Call(const std::string& address,
                                            const HttpRequest& request) {
    std::optional<std::pair<HttpOutcome, HttpResponse>> result;
    client.Send(address, request, loop.Now() + kPatience,
                [&](HttpOutcome outcome, HttpResponse response) {
                  result = {outcome, std::move(response)};
                });
    WaitUntil([&] { return result.has_value(); });
    REQUIRE(result);
    return *result;
  }

  bool IsReady(const Settings& settings) {
    return Call(settings.readiness_address, {.target = "/readiness"})
               .second.status == 200;
  }
};

HttpRequest Request(const std::string& target,
                    const std::string& id,
                    HttpMethod method = HttpMethod::kGet) {
  return {.method = method,
          .target = target,
          .headers = {{"Host", "host"},
                      {std::string(kRequestId), id},
                      {std::string(kDeadline), "3000"},
                      {"Cookie", std::string(kObjectCookie) + "=17"}}};
}

struct OneEntry : Deployment {
  Settings settings = MakeSettings("entry-1");
  Front front{loop, kj_loop, settings, {.high = 1, .low = 1}};

  OneEntry() {
    REQUIRE(front.Start());
    REQUIRE(WaitUntil([this] { return IsReady(settings); }));
  }

  HttpResponse Ask(const HttpRequest& request) {
    return Call(settings.self.caller_address, request).second;
  }
};

}  // namespace

TEST_CASE("a request reaches a server and its answer comes back unchanged") {
  OneEntry entry;
  const HttpResponse response = entry.Ask(Request("/read/a?b=c", "id-1"));
  CHECK(response.status == 200);
  CHECK(response.body == "answer to id-1");
  CHECK(FindField(response.headers, kSeal) == "seal-of-id-1");
  REQUIRE(entry.one.requests().size() == 1);
  const HttpRequest& seen = entry.one.requests()[0];
  CHECK(seen.target == "/read/a?b=c");
  CHECK(FindField(seen.headers, "Host") == "host");
  const int left_ms =
      std::stoi(std::string(FindField(seen.headers, kDeadline)));
  CHECK(left_ms <= 1000);  // The route's timeout.
  CHECK(left_ms > 500);
  CHECK(entry.Ask(Request("/none/a", "id-2")).status == 404);
}

// Guards against a promise of "not run" for a request that ran.
TEST_CASE("only a proof makes a refusal a promise") {
  OneEntry entry;
  entry.one.SetBehaviour(ServerBehaviour::kSheds);
  const HttpResponse shed =
      entry.Ask(Request("/write/a", "id-1", HttpMethod::kPost));
  CHECK(shed.status == 503);
  CHECK(!FindField(shed.headers, kRetryAfter).empty());
  CHECK(entry.one.ran().empty());
  entry.one.SetBehaviour(ServerBehaviour::kBareError);
  CHECK(entry.Ask(Request("/write/a", "id-2", HttpMethod::kPost)).status ==
        502);
  entry.one.SetBehaviour(ServerBehaviour::kUnsealed);
  CHECK(entry.Ask(Request("/write/a", "id-3", HttpMethod::kPost)).status ==
        502);
  CHECK(entry.one.ran().size() == 2);
}

TEST_CASE("a request is answered at its route's timeout") {
  OneEntry entry;
  entry.one.SetBehaviour(ServerBehaviour::kHangs);
  const TimePoint before = entry.loop.Now();
  CHECK(entry.Ask(Request("/write/a", "id-1", HttpMethod::kPost)).status ==
        504);
  CHECK(entry.loop.Now() - before < Milliseconds(1400));
  CHECK(entry.WaitUntil([&] { return entry.one.left() == 1; }));
}

TEST_CASE("a caller that leaves ends the work at the server") {
  OneEntry entry;
  entry.one.SetBehaviour(ServerBehaviour::kHangs);
  const std::uint64_t call = entry.client.Send(
      entry.settings.self.caller_address, Request("/read/a", "id-1"),
      entry.loop.Now() + kPatience, [](HttpOutcome, const HttpResponse&) {});
  REQUIRE(entry.WaitUntil([&] { return entry.one.ran().size() == 1; }));
  entry.client.Cancel(call);
  CHECK(entry.WaitUntil([&] { return entry.one.left() == 1; },
                        Milliseconds(500)));
}

// Guards against sending work to servers that leave, and against taking rows of
// other writers for servers.
TEST_CASE("servers come and go with their rows") {
  OneEntry entry;
  entry.store.Put("servers", "s-two", entry.two.Row("ready"));
  entry.store.Put("servers", "s-bad-1", "not JSON");
  entry.store.Put("servers", "s-bad-2", "{\"state\":\"ready\"}");
  entry.store.Put("servers", "s-bad-3",
                  "{\"service\":7,\"address\":[],\"state\":\"ready\"}");
  entry.store.Put("servers", "s-one", entry.one.Row("draining"));
  int asked = 0;
  const auto uses_two = [&] {
    entry.Ask(Request("/read/a", "id-" + std::to_string(asked++)));
    return !entry.two.ran().empty();
  };
  REQUIRE(entry.WaitUntil(uses_two));
  const std::size_t before = entry.one.requests().size();
  for (int i = 0; i < 10; ++i)
    CHECK(entry.Ask(Request("/read/a", "late-" + std::to_string(i))).status ==
          200);
  CHECK(entry.one.requests().size() == before);
  entry.store.Remove("servers", "s-two");
  CHECK(entry.WaitUntil(
      [&] { return entry.Ask(Request("/read/a", "x")).status == 503; }));
}

TEST_CASE("a new configuration is in force and lost history loses none") {
  OneEntry entry;
  entry.store.Put("op", "config", ConfigurationBody(7, "/other/"));
  entry.store.ForgetHistory();
  CHECK(entry.WaitUntil(
      [&] { return entry.Ask(Request("/other/a", "y")).status == 200; }));
  CHECK(entry.Ask(Request("/read/a", "z")).status == 404);
  // An older version that comes later changes nothing.
  entry.store.Put("op", "config", ConfigurationBody(3));
  entry.store.Put("op", "config", ConfigurationBody(8, "/third/"));
  CHECK(entry.WaitUntil(
      [&] { return entry.Ask(Request("/third/a", "y")).status == 200; }));
}

TEST_CASE("an evacuated failure domain gets nothing until it is taken back") {
  OneEntry entry;
  entry.store.Put("op", "evacuate/north-a", "{}");
  CHECK(entry.WaitUntil(
      [&] { return entry.Ask(Request("/read/a", "x")).status == 503; }));
  entry.store.Remove("op", "evacuate/north-a");
  CHECK(entry.WaitUntil(
      [&] { return entry.Ask(Request("/read/a", "y")).status == 200; }));
}

TEST_CASE("the store's silence changes no belief and calls stay bounded") {
  OneEntry entry;
  entry.store.SetBehaviour(StoreBehaviour::kRefuses);
  const std::uint64_t before = entry.store.calls();
  const TimePoint end = entry.loop.Now() + Seconds(2);
  while (entry.loop.Now() < end)
    CHECK(entry.Ask(Request("/read/a", "x")).status == 200);
  CHECK(entry.store.calls() - before <= 2 * 2 * 5);
  entry.store.SetBehaviour(StoreBehaviour::kAnswers);
  entry.store.Put("op", "config", ConfigurationBody(9, "/after/"));
  CHECK(entry.WaitUntil(
      [&] { return entry.Ask(Request("/after/a", "y")).status == 200; }));
}

TEST_CASE("a planned stop cuts nothing and look-ups stop naming it") {
  OneEntry entry;
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

TEST_CASE("entry VMs find each other and look-ups name both") {
  OneEntry entry;
  const Settings second = entry.MakeSettings("entry-2");
  Front other(entry.loop, entry.kj_loop, second, {.high = 1, .low = 2});
  REQUIRE(other.Start());
  const auto names_both = [&] {
    const std::string body =
        entry
            .Call(entry.settings.lookup_address,
                  {.target = "/resolve?name=host&region=north&zone=north-a"})
            .second.body;
    return body.find(entry.settings.self.caller_address) != std::string::npos &&
           body.find(second.self.caller_address) != std::string::npos;
  };
  CHECK(entry.WaitUntil(names_both));
}

// Guards against an entry VM that can't start while the store turns it away.
TEST_CASE("a configuration comes from a peer") {
  OneEntry entry;
  Settings second = entry.MakeSettings("entry-2");
  StoreStandIn without_configuration(entry.loop);
  without_configuration.Put("servers", "s-one", entry.one.Row("ready"));
  second.store_address = without_configuration.address();
  Front other(entry.loop, entry.kj_loop, second, {.high = 1, .low = 2});
  REQUIRE(other.Start());
  CHECK(entry.WaitUntil([&] { return entry.IsReady(second); }));
  CHECK(entry.Call(second.self.caller_address, Request("/read/a", "x"))
            .second.status == 200);
}

// Guards against an entry VM that knows no servers, or old ones, while the
// store turns it away.
TEST_CASE("servers and their changes come from a peer") {
  OneEntry entry;
  Settings second = entry.MakeSettings("entry-2");
  StoreStandIn refusing(entry.loop);
  refusing.SetBehaviour(StoreBehaviour::kRefuses);
  second.store_address = refusing.address();
  Front other(entry.loop, entry.kj_loop, second, {.high = 1, .low = 2});
  REQUIRE(other.Start());
  REQUIRE(entry.WaitUntil([&] { return entry.IsReady(second); }));
  const auto ask = [&] {
    return entry.Call(second.self.caller_address, Request("/read/a", "x"))
        .second.status;
  };
  CHECK(ask() == 200);
  entry.store.Put("servers", "s-two", entry.two.Row("ready"));
  entry.store.Remove("servers", "s-one");
  CHECK(entry.WaitUntil([&] {
    const std::size_t before = entry.two.ran().size();
    return ask() == 200 && entry.two.ran().size() == before + 1;
  }));
  entry.store.Put("op", "evacuate/north-a", "{}");
  CHECK(entry.WaitUntil([&] { return ask() == 503; }));
}

}  // namespace cicadadrum::platform
