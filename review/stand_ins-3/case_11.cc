// Callers that read large answers slowly come to entry VMs that have not seen
// the size of these answers yet. The processes exceed their memory.

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include "watched.h"
#include "world.h"

namespace review {

namespace {

const std::vector<Zone> kZones = {{"cusco-a", "cusco"}, {"junin-a", "junin"}};

constexpr std::size_t kFileBytes = 8'000'000;
constexpr int kCallers = 60;
constexpr double kBytesPerSecond = 800'000;
constexpr int kDeadlineMs = 10'000;
constexpr double kReadMs = 14'000;
constexpr int kWaves = 3;
constexpr int kServers = 8;
// The rule: on two machines, processes end by themselves three times.
constexpr int kEndsOfRule = 3;

int Run(Place& place, Record& record) {
  Store store({place.Ip(1), place.port_base()});
  store.Put("op", "config",
            ConfigurationBody(
                {{.name = "r1",
                  .prefix = kFilePrefix,
                  .kind = "safe",
                  .timeout_ms = kDeadlineMs},
                 {.name = "r2", .prefix = "/activate/", .kind = "unsafe"}},
                {}));
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 0; i < kServers; ++i) {
    ServerOptions options;
    options.id = "i-" + std::to_string(i);
    options.domain = kZones[static_cast<std::size_t>(i) % 2].name;
    options.address = {place.Ip(20 + i), place.port_base() + 9};
    options.slots = 16;
    options.work_ms = 300;
    options.born_unix_ms = UnixMs();
    options.file_bytes = kFileBytes;
    servers.push_back(std::make_unique<Server>(options, store, record));
    servers.back()->Start();
  }
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::string> seeds;
  for (int i = 0; i < 2; ++i) {
    const Zone& zone = kZones[static_cast<std::size_t>(i)];
    entries.push_back(std::make_unique<Entry>(
        "front-" + zone.name + "-1", zone, place.Ip(2 + i), place.port_base(),
        place.folder()));
    seeds.push_back(entries.back()->seed());
  }
  std::vector<std::unique_ptr<Watched>> watched;
  for (const auto& entry : entries) {
    entry->WriteSettings(store.address(), seeds, kZones);
    entry->Start();
    if (!entry->WaitUntilReady(10'000))
      return kNotRun;
    watched.push_back(std::make_unique<Watched>(*entry, record));
  }
  SleepMs(4000);
  std::vector<std::unique_ptr<Callers>> ordinary;
  for (const auto& entry : entries) {
    ordinary.push_back(std::make_unique<Callers>(*entry, record));
    ordinary.back()->Start(8, 200, "POST", "/activate/", 2500);
  }
  for (int wave = 0; wave < kWaves; ++wave) {
    std::atomic<int> complete = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    for (const auto& entry : entries) {
      for (int i = 0; i < kCallers; ++i) {
        const std::string id = entry->name() + "-file-" + std::to_string(wave) +
                               "-" + std::to_string(i);
        callers.emplace_back([&, id] {
          Reading reading;
          reading.timeout_ms = kReadMs;
          if (HasTrouble())
            reading.bytes_per_second = kBytesPerSecond;
          const SlowAnswer answer =
              ReadSlowly(entry->caller_address(), kFilePrefix + id, id,
                         kDeadlineMs, reading);
          complete += answer.is_complete && answer.status == 200 ? 1 : 0;
          refused += answer.status == 503 ? 1 : 0;
          record.Write("answer " + id + " status " +
                       std::to_string(answer.status) + " bytes " +
                       std::to_string(answer.bytes) +
                       (answer.is_complete ? " complete" : ""));
        });
      }
    }
    for (std::thread& caller : callers)
      caller.join();
    record.Tell("wave " + std::to_string(wave + 1) + ": " +
                std::to_string(complete) + " answers complete, " +
                std::to_string(refused) + " refused with 503, of " +
                std::to_string(callers.size()));
    SleepMs(3000);
  }
  int broken = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    record.Tell(entries[i]->name() + ": at most " +
                std::to_string(watched[i]->most_bytes() >> 20U) +
                " MB of 260, killed " + std::to_string(watched[i]->ends()) +
                " times");
    broken += watched[i]->ends() >= kEndsOfRule ? 1 : 0;
  }
  int without_answer = 0;
  for (const auto& callers : ordinary) {
    callers->Stop();
    for (const Answer& answer : callers->answers())
      without_answer += answer.status == 0 ? 1 : 0;
  }
  record.Tell("ordinary requests that ended without an answer: " +
              std::to_string(without_answer));
  watched.clear();
  store.Stop();
  record.Tell(broken == 2 ? "Fault broken" : "Fault held");
  return broken == 2 ? kRuleBroken : kRuleHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt", review::Run);
}
