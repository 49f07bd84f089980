// Deployments of entry VMs, a store and servers on one loop.

#ifndef CICADADRUM_TESTS_PLATFORM_FRONT_FIXTURE_H_
#define CICADADRUM_TESTS_PLATFORM_FRONT_FIXTURE_H_

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "free_address.h"
#include "front.h"
#include "headers.h"
#include "scripted_server.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

// Maximum time that a test waits for a condition.
constexpr Duration kTestTimeout = Seconds(20);
// Maximum time until a change written after a restore of the store must be in
// force.
constexpr Duration kRestoreTimeout = Seconds(5);
// Interval between checks of the condition.
constexpr Duration kPollInterval = Milliseconds(5);

// A store, two servers and a client on one loop. Only server_one is listed in
// the store at first.
struct Deployment {
  EventLoop loop;
  KjLoop kj_loop{loop.base()};
  StoreStandIn store{loop};
  ServerStandIn server_one{loop, "s-one"};
  ServerStandIn server_two{loop, "s-two"};
  HttpClient client{loop, {}};
  std::vector<std::string> peers;

  Deployment() {
    store.Put("op", "config", ConfigurationBody(1));
    store.Put("servers", "s-one", server_one.Row("ready"));
  }

  Settings MakeSettings(const std::string& name) {
    Settings settings{.self = {.name = name,
                               .region = "north",
                               .failure_domain = "north-a",
                               .caller_address = FindFreeAddress(),
                               .peer_address = FindFreeAddress()},
                      .readiness_address = FindFreeAddress(),
                      .lookup_address = FindFreeAddress(),
                      .metrics_address = FindFreeAddress(),
                      .store_address = store.address(),
                      .seeds = peers,
                      .routing = {.name = name,
                                  .region = "north",
                                  .failure_domain = "north-a",
                                  .region_by_domain = {{"north-a", "north"}},
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

  // Runs the loop until the condition is true or the time is over, and returns
  // whether the condition is true.
  bool WaitUntil(const std::function<bool()>& condition,
                 Duration timeout = kTestTimeout) {
    const TimePoint end = loop.Now() + timeout;
    Timer timer(loop, [this] { loop.Stop(); });
    while (!condition() && loop.Now() < end) {
      timer.Schedule(loop.Now() + kPollInterval);
      loop.Run();
    }
    return condition();
  }

  // Sends a request and waits for its outcome.
  std::pair<HttpOutcome, HttpResponse> Call(const std::string& address,
                                            const HttpRequest& request) {
    std::optional<std::pair<HttpOutcome, HttpResponse>> result;
    client.Send(address, request, loop.Now() + kTestTimeout,
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

inline HttpRequest Request(const std::string& target,
                           const std::string& id,
                           HttpMethod method = HttpMethod::kGet,
                           const std::string& object = "17") {
  return {.method = method,
          .target = target,
          .headers = {{"Host", "host"},
                      {std::string(kRequestId), id},
                      {std::string(kDeadline), "3000"},
                      {"Cookie", std::string(kObjectCookie) + "=" + object}}};
}

// Returns the value of a metric without labels.
inline double MetricOf(Deployment& deployment,
                       const Settings& settings,
                       const std::string& name) {
  const std::string metrics =
      deployment.Call(settings.metrics_address, {.target = "/metrics"})
          .second.body;
  const std::size_t line = metrics.find("\n" + name + " ");
  REQUIRE(line != std::string::npos);
  return std::stod(metrics.substr(line + name.size() + 2));
}

// A deployment with one entry VM that is ready.
struct SingleEntryDeployment : Deployment {
  Settings settings = MakeSettings("entry-1");
  Front front{loop, kj_loop, settings, {.high = 1, .low = 1}};

  SingleEntryDeployment() {
    REQUIRE(front.Start());
    REQUIRE(WaitUntil([this] { return IsReady(settings); }));
  }

  HttpResponse SendRequest(const HttpRequest& request) {
    return Call(settings.self.caller_address, request).second;
  }

  bool HasMetric(const std::string& line) {
    const std::string metrics =
        Call(settings.metrics_address, {.target = "/metrics"}).second.body;
    return metrics.find("\n" + line + "\n") != std::string::npos;
  }
};

// A deployment with several entry VMs that are ready and know each other.
struct FleetDeployment : Deployment {
  std::vector<Settings> settings;
  std::vector<std::unique_ptr<Front>> fronts;

  // Servers must be in the store by then, so that the entry VMs become ready.
  void StartEntries(std::uint64_t count) {
    for (std::uint64_t i = 1; i <= count; ++i) {
      settings.push_back(MakeSettings("entry-" + std::to_string(i)));
      fronts.push_back(std::make_unique<Front>(
          loop, kj_loop, settings.back(), Incarnation{.high = i, .low = i}));
      REQUIRE(fronts.back()->Start());
    }
    const std::string live = "cicadadrum_live_entries " + std::to_string(count);
    for (std::size_t i = 0; i < count; ++i)
      REQUIRE(WaitUntil(
          [&] { return IsReady(settings[i]) && HasMetric(i, live); }));
  }

  bool HasMetric(std::size_t entry, const std::string& line) {
    const std::string metrics =
        Call(settings[entry].metrics_address, {.target = "/metrics"})
            .second.body;
    return metrics.find("\n" + line + "\n") != std::string::npos;
  }
};

// A deployment with one entry VM that is ready and one scripted server.
struct ScriptedDeployment : Deployment {
  ScriptedServer server;
  Settings settings = MakeSettings("entry-1");
  Front front{loop, kj_loop, settings, {.high = 1, .low = 1}};

  explicit ScriptedDeployment(std::vector<ScriptedResponse> responses)
      : server(loop, std::move(responses)) {
    server.AlwaysRespond(HealthRequestBegin(), HealthResponse("s-one"));
    store.Put("servers", "s-one", server_one.RowAt(server.address(), "ready"));
    REQUIRE(front.Start());
    REQUIRE(WaitUntil([this] { return IsReady(settings); }));
  }

  HttpResponse SendRequest(const HttpRequest& request) {
    return Call(settings.self.caller_address, request).second;
  }
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_PLATFORM_FRONT_FIXTURE_H_
