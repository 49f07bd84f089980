// A server starts again under its id after the clock of its machine was set
// back. The entry VM ignores all that it says, so that it keeps getting
// requests after it has said that it is draining.

#include <algorithm>
#include <memory>
#include <vector>

#include "world.h"

namespace review {

namespace {

const Zone kZone{"cusco-a", "cusco"};

constexpr double kDrainMs = 2000;
constexpr double kToleranceMs = 20;
// The step of the clock, and how long the server is up and down before it
// starts again.
constexpr int kStepMs = 2400;
constexpr double kUpMs = 1000;
constexpr double kDownMs = 500;
constexpr double kServingMs = 8000;
// A server goes on for drain_ms after it has said that it is draining, and a
// little longer.
constexpr double kLongerMs = 200;
constexpr int kRounds = 4;

int Run(Place& place, Record& record) {
  Store store({place.Ip(1), place.port_base()});
  store.Put(
      "op", "config",
      ConfigurationBody(
          {{.name = "r2", .prefix = "/activate/", .kind = "unsafe"}}, {}));
  const auto server_options = [&](int number) {
    ServerOptions options;
    options.id = "i-" + std::to_string(number);
    options.domain = kZone.name;
    options.address = {place.Ip(20 + number), place.port_base() + 9};
    options.work_ms = 100;
    options.born_unix_ms = UnixMs();
    return options;
  };
  Server lasting(server_options(0), store, record);
  lasting.Start();
  Entry entry("front-cusco-a-1", kZone, place.Ip(2), place.port_base(),
              place.folder());
  entry.WriteSettings(store.address(), {entry.seed()}, {kZone});
  entry.Start();
  if (!entry.WaitUntilReady(10'000))
    return kNotRun;
  Callers callers(entry, record);
  callers.Start(16, 200, "POST", "/activate/", 2500);
  SleepMs(4000);

  int late = 0;
  int cut = 0;
  for (int round = 1; round <= kRounds; ++round) {
    ServerOptions options = server_options(round);
    // The machine's clock is ahead, and is set right before the second start.
    if (HasTrouble())
      options.born_unix_ms += kStepMs;
    {
      Server first_boot(options, store, record);
      first_boot.Start();
      SleepMs(kUpMs);
    }
    SleepMs(kDownMs);
    options.born_unix_ms = UnixMs();
    Server second_boot(options, store, record);
    second_boot.Start();
    SleepMs(kServingMs);
    const double draining_at = second_boot.Announce("draining");
    SleepMs(kDrainMs + kLongerMs);
    second_boot.Crash();
    second_boot.RemoveRow();
    int round_late = 0;
    int round_cut = 0;
    double latest = 0;
    for (const Arrival& arrival : second_boot.arrivals()) {
      const double after = arrival.at - draining_at;
      latest = std::max(latest, after);
      record.Write("server " + arrival.server + " got " + arrival.id + " " +
                   Format(after) + " ms after it was draining" +
                   (arrival.has_ended ? "" : ", lost"));
      round_late += after > kDrainMs + kToleranceMs ? 1 : 0;
      round_cut += arrival.has_ended ? 0 : 1;
    }
    record.Tell("server " + options.id + ": " + std::to_string(round_late) +
                " requests later than drain_ms after it was draining, the "
                "last " +
                Format(latest) +
                " ms after it; cut by its end: " + std::to_string(round_cut));
    late += round_late;
    cut += round_cut;
    SleepMs(1000);
  }
  callers.Stop();
  int failed = 0;
  for (const Answer& answer : callers.answers())
    failed += answer.status == 200 || answer.status == 503 ? 0 : 1;
  const bool alive = entry.IsAlive();
  record.Tell("late requests: " + std::to_string(late) +
              ", cut: " + std::to_string(cut) +
              "; callers without a 200 or 503: " + std::to_string(failed));
  store.Stop();
  if (!alive)
    return kNotRun;
  record.Tell(late > 0 ? "DRAIN broken" : "DRAIN held");
  return late > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt", review::Run);
}
