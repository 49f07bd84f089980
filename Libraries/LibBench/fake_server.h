// Fake backend server: slots, a short backlog, slow periods, cold start,
// crashes.

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

struct SlowPeriod {
  TimePoint from;
  TimePoint to;
  double factor = 1;
};

// One attempt as the server sees it.
struct Execution {
  std::uint64_t id = 0;  // Unique in the simulation.
  RequestClass request_class = RequestClass::kRoutine;
  Duration work{};  // Time on a server that is warm and not slowed.
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
  std::uint32_t slots = 0;  // In effect; fewer than described while shedding.
  std::uint32_t backlog_limit = 0;
  std::uint32_t cold_executions_left = 0;  // Runs that still meet a cold cache.
  bool up = true;
  bool reports_idle = false;
  std::uint32_t incarnation = 0;  // Counts starts.
  std::deque<Execution> backlog;
  std::map<std::uint64_t, RunningExecution> running;
  std::uint32_t bulk_running = 0;
  // Integral over time of the share of slots that run bulk, microseconds, up
  // to `bulk_time_updated_at`.
  double bulk_time_integral = 0;
  TimePoint bulk_time_updated_at;
};

enum class AdmissionResult : std::uint8_t { kAccepted, kShed, kRefused };

// Offers an execution to the server. An accepted one is in the backlog.
AdmissionResult Admit(FakeServer& server, const Execution& execution);

// Starts the next execution of the backlog, if there is one and a free slot.
// Executions past their deadline are dropped and put into `expired`.
const RunningExecution* StartNextExecution(FakeServer& server,
                                           TimePoint now,
                                           std::vector<Execution>& expired);

// Removes a running execution; returns the time it ran. Zero if not running.
Duration RemoveRunning(FakeServer& server, std::uint64_t id, TimePoint now);

// Removes an execution from the backlog.
void RemoveQueued(FakeServer& server, std::uint64_t id);

// Value of the bulk integral at `now`.
double BulkTimeIntegralAt(FakeServer& server, TimePoint now);

// Ends the server; running and queued executions are removed and returned.
std::vector<Execution> Crash(FakeServer& server, TimePoint now);

// Starts a server that has ended, with a cold cache.
void Restart(FakeServer& server);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_FAKE_SERVER_H_
