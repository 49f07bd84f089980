// A caller pauses while it reads an answer, and the entry VM is stopped. The
// process ends in the middle of the answer, long before the grace time does.

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include "world.h"

namespace review {

namespace {

const Zone kZone{"cusco-a", "cusco"};

// More than the kernel takes of an answer that is not read.
constexpr std::size_t kFileBytes = 3'000'000;
constexpr double kPauseMs = 3500;
constexpr int kDeadlineMs = 8000;
constexpr double kGraceMs = 6000;
constexpr int kCallers = 12;
constexpr int kRounds = 4;
// After the first half of each answer has been read.
constexpr double kStopMs = 400;

int Run(Place& place, Record& record) {
  Store store({place.Ip(1), place.port_base()});
  store.Put("op", "config",
            ConfigurationBody({{.name = "r1",
                                .prefix = kFilePrefix,
                                .kind = "safe",
                                .timeout_ms = kDeadlineMs}},
                              {}));
  ServerOptions options;
  options.id = "i-0";
  options.domain = kZone.name;
  options.address = {place.Ip(20), place.port_base() + 9};
  options.slots = 16;
  options.work_ms = 100;
  options.born_unix_ms = UnixMs();
  options.file_bytes = kFileBytes;
  Server server(options, store, record);
  server.Start();
  Entry entry("front-cusco-a-1", kZone, place.Ip(2), place.port_base(),
              place.folder());
  entry.WriteSettings(store.address(), {entry.seed()}, {kZone});
  int lost = 0;
  for (int round = 1; round <= kRounds; ++round) {
    entry.Start();
    if (!entry.WaitUntilReady(10'000))
      return kNotRun;
    SleepMs(4000);
    std::atomic<int> complete = 0;
    std::atomic<int> cut = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      const std::string id =
          "file-" + std::to_string(round) + "-" + std::to_string(i);
      callers.emplace_back([&, id] {
        Reading reading;
        reading.bytes_before_pause = kFileBytes / 2;
        reading.pause_ms = kPauseMs;
        const SlowAnswer answer = ReadSlowly(
            entry.caller_address(), kFilePrefix + id, id, kDeadlineMs, reading);
        complete += answer.status == 200 && answer.is_complete ? 1 : 0;
        cut += answer.status == 200 && !answer.is_complete ? 1 : 0;
        record.Write("answer " + id + " status " +
                     std::to_string(answer.status) + " bytes " +
                     std::to_string(answer.bytes) +
                     (answer.is_complete ? " complete" : " cut"));
      });
    }
    SleepMs(kStopMs);
    const double stopped_at = NowMs();
    double ended_ms = -1;
    if (HasTrouble()) {
      entry.Signal(SIGTERM);
      while (entry.IsAlive() && NowMs() < stopped_at + kGraceMs)
        SleepMs(10);
      ended_ms = NowMs() - stopped_at;
    }
    for (std::thread& caller : callers)
      caller.join();
    entry.Kill();
    record.Tell(
        "round " + std::to_string(round) + ": " + std::to_string(complete) +
        " answers complete, " + std::to_string(cut) + " cut" +
        (ended_ms < 0 ? std::string()
                      : "; the process ended " + Format(ended_ms) +
                            " ms after SIGTERM, of " + Format(kGraceMs)));
    lost += cut;
  }
  store.Stop();
  record.Tell(lost > 0 ? "LOST broken" : "LOST held");
  return lost > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt", review::Run);
}
