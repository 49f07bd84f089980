// An entry VM that starts with stale seeds never joins the others, and a cold
// server gets the allowance of the fleet twice.

#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include "world.h"

namespace review {

namespace {

const Zone kFirstZone{"cusco-a", "cusco"};
const Zone kSecondZone{"cusco-b", "cusco"};

constexpr double kColdSeconds = 3;
constexpr double kColdPerSecond = 10;
// cold_per_s x cold_load_factor + cold_slack of the settings.
constexpr int kColdBound = 20;
// A cold server crashes at this many requests in a second: two and a half times
// what it tolerates, and above the bound.
constexpr int kCrashPerSecond = 25;

constexpr double kSeedLagMs = 3000;
constexpr double kSettleMs = 12'000;
constexpr int kBoots = 6;
constexpr double kDownMs = 2000;
constexpr double kUpMs = 5000;

// Returns the highest number of requests within one second at the cold server.
int MostInASecond(const std::vector<Arrival>& arrivals) {
  int most = 0;
  std::vector<double> window;
  for (const Arrival& arrival : arrivals) {
    if (!arrival.is_cold)
      continue;
    window.push_back(arrival.at);
    std::erase_if(window, [&](double at) { return at <= arrival.at - 1000; });
    most = std::max(most, static_cast<int>(window.size()));
  }
  return most;
}


int Run(Place& place, Record& record) {
  const std::vector<Zone> zones = {kFirstZone, kSecondZone};
  Store store({place.Ip(1), place.port_base()});
  store.Put("op", "config",
            ConfigurationBody({{.name = "r1", .prefix = "/status/",
                                .kind = "safe"},
                               {.name = "r2", .prefix = "/activate/",
                                .kind = "unsafe"}},
                              {.cold_seconds = kColdSeconds,
                               .cold_per_second = kColdPerSecond}));
  const auto server_options = [&](int number) {
    ServerOptions options;
    options.id = "i-" + std::to_string(number);
    options.domain = kFirstZone.name;
    options.address = {place.Ip(20 + number), place.port_base() + 9};
    options.work_ms = 60;
    options.born_unix_ms = UnixMs();
    return options;
  };
  Server warm(server_options(0), store, record);
  warm.Start();

  Entry first("front-cusco-a-1", kFirstZone, place.Ip(2), place.port_base(),
              place.folder());
  Entry added("front-cusco-b-2", kSecondZone, place.Ip(3), place.port_base(),
              place.folder());
  const std::vector<std::string> live_seeds = {first.seed(), added.seed()};
  // Machines that were removed: nothing answers there.
  const std::string stale_port = std::to_string(place.port_base() + 4);
  const std::vector<std::string> stale_seeds = {place.Ip(4) + ":" + stale_port,
                                                place.Ip(5) + ":" + stale_port};
  first.WriteSettings(store.address(), {first.seed()}, zones);
  first.Start();
  if (!first.WaitUntilReady(10'000))
    return kNotRun;
  added.WriteSettings(store.address(),
                      HasTrouble() ? stale_seeds : live_seeds, zones);
  added.Start();
  if (!added.WaitUntilReady(10'000))
    return kNotRun;
  record.Tell(std::string("added ") + added.name() + " with " +
              (HasTrouble() ? "stale" : "live") + " seeds");

  // The platform corrects the seeds of both machines within seed_lag_s.
  SleepMs(kSeedLagMs);
  for (const Entry* entry : {&first, &added}) {
    entry->WriteSettings(store.address(), live_seeds, zones);
    entry->Signal(SIGHUP);
  }
  record.Tell("settings of both name live seeds; SIGHUP sent");
  SleepMs(kSettleMs);
  record.Tell("directory of " + first.name() + ": " +
              Lookup(first, kFirstZone));
  record.Tell("directory of " + added.name() + ": " +
              Lookup(added, kSecondZone));

  std::vector<std::unique_ptr<Callers>> callers;
  for (const Entry* entry : {&first, &added}) {
    callers.push_back(std::make_unique<Callers>(*entry, record));
    callers.back()->Start(12, 300, "GET", "/status/", 2000);
    callers.push_back(std::make_unique<Callers>(*entry, record));
    callers.back()->Start(12, 300, "POST", "/activate/", 2500);
  }
  SleepMs(5000);

  int most = 0;
  int crashes = 0;
  int lost_at_servers = 0;
  for (int boot = 1; boot <= kBoots; ++boot) {
    ServerOptions options = server_options(boot);
    options.cold_ms = kColdSeconds * 1000;
    options.crash_per_second = kCrashPerSecond;
    Server cold(options, store, record);
    cold.Start();
    const double until = NowMs() + kUpMs;
    while (NowMs() < until && !cold.has_crashed_by_load())
      SleepMs(10);
    const bool has_crashed = cold.has_crashed_by_load();
    SleepMs(50);
    const std::vector<Arrival> arrivals = cold.arrivals();
    const int boot_most = MostInASecond(arrivals);
    most = std::max(most, boot_most);
    int lost = 0;
    if (has_crashed) {
      ++crashes;
      lost = static_cast<int>(
          std::ranges::count(arrivals, false, &Arrival::has_ended));
      lost_at_servers += lost;
      cold.Crash();
    } else {
      cold.Announce("draining");
      SleepMs(2500);
      cold.Crash();
    }
    for (const Arrival& arrival : arrivals)
      record.Write("server " + arrival.server + " got " + arrival.id + " at " +
                   Format(arrival.at) + (arrival.is_cold ? " cold" : " warm") +
                   (arrival.has_ended ? " answered" : " lost"));
    record.Tell("cold server " + options.id + ": at most " +
                std::to_string(boot_most) + " requests in a second, bound " +
                std::to_string(kColdBound) +
                (has_crashed ? "; it crashed and lost " : "; lost ") +
                std::to_string(lost));
    cold.RemoveRow();
    SleepMs(kDownMs);
  }
  int unsafe_failed = 0;
  for (const auto& caller : callers) {
    caller->Stop();
    for (const Answer& answer : caller->answers())
      unsafe_failed += answer.status == 502 ? 1 : 0;
  }
  const bool alive = first.IsAlive() && added.IsAlive();
  record.Tell("crashes of cold servers: " + std::to_string(crashes) +
              ", requests lost there: " + std::to_string(lost_at_servers) +
              ", answers 502: " + std::to_string(unsafe_failed));
  store.Stop();
  if (!alive)
    return kNotRun;
  record.Tell(most > kColdBound ? "FAILBACK broken" : "FAILBACK held");
  return most > kColdBound ? kRuleBroken : kRuleHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt", review::Run);
}
