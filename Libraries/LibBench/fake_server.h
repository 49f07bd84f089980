// Fake backend server with slots, a bounded backlog, slow periods, a cold cache
// after a restart, and crashes.

#ifndef CICADADRUM_BENCH_FAKE_SERVER_H_
#define CICADADRUM_BENCH_FAKE_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

// A period in which work takes `factor` times as long.
struct SlowPeriod {
  TimePoint from;
  TimePoint to;
  double factor = 1;
};

// One attempt of an entry VM, as the server executes it.
struct Execution {
  std::uint64_t id = 0;  // AttemptId, unique in the simulation.
  RequestClass request_class = RequestClass::kRoutine;
  Duration work{};  // Service time on a server that is warm and not slowed.
  TimePoint deadline = kNever;
  bool crashes_server = false;
};

struct RunningExecution {
  Execution execution;
  TimePoint started_at;
  TimePoint ends_at;
};

struct FakeServer {
  BackendServer description;
  std::vector<SlowPeriod> slow_periods;
  // Slots in effect; fewer than in `description` while the server sheds load.
  std::uint32_t slots = 0;
  std::uint32_t backlog_limit = 0;
  // Executions that are still slowed by the cold cache.
  std::uint32_t cold_executions_left = 0;
  bool up = true;
  bool reports_idle = false;      // Load reports claim an idle server.
  std::uint32_t incarnation = 0;  // Counts starts.
  std::deque<Execution> backlog;
  std::map<std::uint64_t, RunningExecution> running;
  std::uint32_t bulk_running = 0;
  // Integral over time of the share of slots that run bulk requests, in
  // microseconds, up to `bulk_time_updated_at`.
  double bulk_time_integral = 0;
  TimePoint bulk_time_updated_at;
};

enum class AdmissionResult : std::uint8_t { kAccepted, kShed, kRefused };

// Admits an execution to the backlog. The result is kShed if slots and backlog
// are full, and kRefused if the server is down.
AdmissionResult Admit(FakeServer& server, const Execution& execution);

// Starts the next execution of the backlog and returns it, valid until the
// server changes. Returns nullptr if the backlog is empty or no slot is free.
// Executions past their deadline are moved to `expired` instead of started.
const RunningExecution* StartNextExecution(FakeServer& server,
                                           TimePoint now,
                                           std::vector<Execution>& expired);

// Removes a running execution and returns how long it ran; zero if the server
// does not run it.
Duration RemoveRunning(FakeServer& server, std::uint64_t id, TimePoint now);

// Removes an execution from the backlog, if the backlog contains it.
void RemoveQueued(FakeServer& server, std::uint64_t id);

// Advances FakeServer::bulk_time_integral to `now` and returns it.
double BulkTimeIntegralAt(FakeServer& server, TimePoint now);

// Stops the server and returns its queued and running executions, which are
// lost.
std::vector<Execution> Crash(FakeServer& server, TimePoint now);

// Starts a server that is down, with a cold cache.
void Restart(FakeServer& server);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_FAKE_SERVER_H_
