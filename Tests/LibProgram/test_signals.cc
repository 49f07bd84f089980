// Tests of signals that arrive during startup.

#include <doctest/doctest.h>

#include <csignal>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/program/program.h"

namespace cicadadrum {

namespace {

// Maximum time that a test waits for a signal.
constexpr Duration kTestTimeout = Seconds(20);

}  // namespace

// Guards against a fault that the soak test found (seeds 249 and 333): a
// SIGTERM or SIGHUP that arrived before its signal watcher was installed ended
// the process.
TEST_CASE("signals stay pending until their watcher is installed") {
  for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) {
    CAPTURE(signal_number);
    BlockSignals();
    raise(signal_number);
    EventLoop loop;
    bool signal_received = false;
    const SignalWatcher watcher(loop, signal_number, [&] {
      signal_received = true;
      loop.Stop();
    });
    UnblockSignals();
    Timer limit(loop, [&] { loop.Stop(); });
    limit.Schedule(loop.Now() + kTestTimeout);
    loop.Run();
    CHECK(signal_received);
  }
}

}  // namespace cicadadrum
