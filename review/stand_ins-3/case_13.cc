// After a relay was cut off from the store, it holds back removals of servers,
// and the other entry VMs of its region go on sending requests to them.

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "world.h"

namespace review {

namespace {

const Zone kFirstZone{"cusco-a", "cusco"};
const Zone kSecondZone{"cusco-b", "cusco"};
const Zone kOtherZone{"junin-a", "junin"};

constexpr double kDrainMs = 2000;
// Of the measurement: the store's acknowledgement is noted before its answer.
constexpr double kToleranceMs = 20;
constexpr double kSettleMs = 9000;
constexpr double kWatchMs = 4000;

constexpr int kRounds = 6;
constexpr int kLastingServers = 6;
constexpr int kLeavingServers = 28;
constexpr double kCutMs = 4000;
// The servers leave one after the other, from this time before the end of the
// cut on.
constexpr double kEarlierMs = 500;
constexpr double kLeavingGapMs = 90;
// A server goes on for drain_ms after its removal, and a little longer.
constexpr double kLongerMs = 200;
constexpr double kCalmMs = 4000;

struct Leaving {
  std::unique_ptr<Server> server;
  double removed_at = 0;
};

// Lets the servers leave, and ends each when its time is over.
void Leave(std::vector<Leaving>& leaving) {
  double next = NowMs();
  for (Leaving& one : leaving) {
    SleepUntilMs(next);
    next += kLeavingGapMs;
    one.removed_at = one.server->RemoveRow();
  }
  for (Leaving& one : leaving) {
    SleepUntilMs(one.removed_at + kDrainMs + kLongerMs);
    one.server->Crash();
  }
}

struct Result {
  int late = 0;
  double latest_ms = 0;  // After the removal.
  int lost = 0;          // Late requests that the end of the server cut.
};

// Counts the requests of the entry VM that reached the servers too late.
Result Judge(const std::vector<Leaving>& leaving,
             const std::string& entry,
             Record& record) {
  Result result;
  for (const Leaving& one : leaving) {
    for (const Arrival& arrival : one.server->arrivals()) {
      const double after = arrival.at - one.removed_at;
      if (after <= 0)
        continue;
      record.Write("server " + arrival.server + " got " + arrival.id + " " +
                   Format(after) + " ms after its removal" +
                   (arrival.has_ended ? "" : ", lost"));
      if (!arrival.id.starts_with(entry + "-"))
        continue;
      result.latest_ms = std::max(result.latest_ms, after);
      if (after <= kDrainMs + kToleranceMs)
        continue;
      ++result.late;
      result.lost += arrival.has_ended ? 0 : 1;
    }
  }
  return result;
}

int Run(Place& place, Record& record) {
  const std::vector<Zone> zones = {kFirstZone, kSecondZone, kOtherZone};
  Store store({place.Ip(1), place.port_base()});
  store.Put("op", "config",
            ConfigurationBody({{.name = "r2", .prefix = "/activate/",
                                .kind = "unsafe"}},
                              {}));
  int next_server = 0;
  const auto start_server = [&] {
    ServerOptions options;
    options.id = "i-" + std::to_string(next_server);
    options.domain = kSecondZone.name;
    options.address = {place.Ip(20 + next_server), place.port_base() + 9};
    options.slots = 16;
    options.work_ms = 150;
    options.born_unix_ms = UnixMs();
    ++next_server;
    auto server = std::make_unique<Server>(options, store, record);
    server->Start();
    return server;
  };
  std::vector<std::unique_ptr<Server>> lasting;
  for (int i = 0; i < kLastingServers; ++i)
    lasting.push_back(start_server());

  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const int number = static_cast<int>(i);
    entries.push_back(std::make_unique<Entry>(
        "front-" + zones[i].name + "-1", zones[i], place.Ip(2 + number),
        place.port_base(), place.folder()));
    seeds.push_back(entries.back()->seed());
    proxies.push_back(std::make_unique<Proxy>(
        Address{place.Ip(10 + number), place.port_base()}, store.address()));
  }
  for (std::size_t i = 0; i < zones.size(); ++i) {
    entries[i]->WriteSettings(proxies[i]->address(), seeds, zones);
    entries[i]->Start();
  }
  for (const auto& entry : entries) {
    if (!entry->WaitUntilReady(10'000))
      return kNotRun;
  }
  SleepMs(kSettleMs);
  // The relay of the region reads the store for the other entry VM.
  const std::uint64_t first_before = proxies[0]->forwarded();
  const std::uint64_t second_before = proxies[1]->forwarded();
  SleepMs(kWatchMs);
  const bool is_first_relay = proxies[0]->forwarded() - first_before >
                              proxies[1]->forwarded() - second_before;
  const std::size_t relay = is_first_relay ? 0 : 1;
  const Entry& other = *entries[1 - relay];
  record.Tell(entries[relay]->name() + " reads the store for " + other.name());

  Callers callers(other, record);
  callers.Start(60, 150, "POST", "/activate/", 2500);
  Result total;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Leaving> leaving;
    for (int i = 0; i < kLeavingServers; ++i)
      leaving.push_back({.server = start_server()});
    SleepMs(kCalmMs);
    if (HasTrouble()) {
      record.Tell(entries[relay]->name() + " is cut off from the store");
      proxies[relay]->SetCut(true);
    }
    SleepMs(kCutMs - kEarlierMs);
    std::thread planned([&] { Leave(leaving); });
    SleepMs(kEarlierMs);
    proxies[relay]->SetCut(false);
    if (HasTrouble())
      record.Tell("the cut ends");
    planned.join();
    const Result result = Judge(leaving, other.name(), record);
    record.Tell("round " + std::to_string(round + 1) + ": " +
                std::to_string(result.late) +
                " requests reached a server later than drain_ms after its "
                "removal, the last " +
                Format(result.latest_ms) + " ms after it; cut by its end: " +
                std::to_string(result.lost));
    total.late += result.late;
    total.lost += result.lost;
  }
  callers.Stop();
  int failed = 0;
  for (const Answer& answer : callers.answers())
    failed += answer.status == 200 || answer.status == 503 ? 0 : 1;
  record.Tell("late requests: " + std::to_string(total.late) +
              ", cut: " + std::to_string(total.lost) +
              "; callers without a 200 or 503: " + std::to_string(failed));
  bool alive = true;
  for (const auto& entry : entries)
    alive = entry->IsAlive() && alive;
  for (const auto& proxy : proxies)
    proxy->Stop();
  store.Stop();
  if (!alive)
    return kNotRun;
  record.Tell(total.late > 0 ? "DRAIN broken" : "DRAIN held");
  return total.late > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt", review::Run);
}
