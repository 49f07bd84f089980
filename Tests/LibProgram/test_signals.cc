// Tests of signals that arrive while a program starts.

#include <doctest/doctest.h>

#include <csignal>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/program/program.h"

namespace cicadadrum {

namespace {

constexpr Duration kTestTimeout = Seconds(20);

}  // namespace

// Guards against what the soak showed (seeds 249 and 333): a SIGTERM or SIGHUP
// that came before the program watched for it ended the process.
TEST_CASE("signals wait until the program watches for them") {
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
