// State changes of a fake backend server.

#include "fake_server.h"

#include <algorithm>

namespace cicadadrum {

namespace {

// Number of executions after a restart that are slowed by the cold cache.
constexpr std::uint32_t kColdExecutions = 40;
// Factor on the service time of these executions.
constexpr double kColdFactor = 3;

// Returns the largest factor of the slow periods at `now`, and sets `until` to
// the next time at which it may change.
double SlowFactor(const FakeServer& server, TimePoint now, TimePoint& until) {
  double factor = 1;
  until = kNever;
  for (const SlowPeriod& period : server.slow_periods) {
    if (period.from <= now && now < period.to) {
      factor = std::max(factor, period.factor);
      until = std::min(until, period.to);
    } else if (period.from > now) {
      until = std::min(until, period.from);
    }
  }
  return factor;
}

// Returns when `work` that starts at `now` ends, given the slow periods.
TimePoint FinishTime(const FakeServer& server, TimePoint now, Duration work) {
  auto remaining_work = static_cast<double>(work.count());
  while (true) {
    TimePoint until;
    const double factor = SlowFactor(server, now, until);
    const double needed = remaining_work * factor;
    if (until == kNever || needed <= static_cast<double>((until - now).count()))
      return now + Duration(static_cast<std::int64_t>(needed));
    remaining_work -= static_cast<double>((until - now).count()) / factor;
    now = until;
  }
}

void AdvanceBulkTimeIntegral(FakeServer& server, TimePoint now) {
  const auto elapsed =
      static_cast<double>((now - server.bulk_time_updated_at).count());
  server.bulk_time_integral +=
      elapsed * server.bulk_running / server.description.slots;
  server.bulk_time_updated_at = now;
}

}  // namespace

AdmissionResult Admit(FakeServer& server, const Execution& execution) {
  if (!server.up)
    return AdmissionResult::kRefused;
  if (server.running.size() + server.backlog.size() >=
      server.slots + server.backlog_limit)
    return AdmissionResult::kShed;
  server.backlog.push_back(execution);
  return AdmissionResult::kAccepted;
}

const RunningExecution* StartNextExecution(FakeServer& server,
                                           TimePoint now,
                                           std::vector<Execution>& expired) {
  while (!server.backlog.empty() && server.running.size() < server.slots) {
    const Execution execution = server.backlog.front();
    server.backlog.pop_front();
    if (execution.deadline <= now) {
      expired.push_back(execution);
      continue;
    }
    Duration work = execution.work;
    if (server.cold_executions_left > 0) {
      --server.cold_executions_left;
      work = Duration(static_cast<std::int64_t>(
          static_cast<double>(work.count()) * kColdFactor));
    }
    if (execution.request_class == RequestClass::kBulk) {
      AdvanceBulkTimeIntegral(server, now);
      ++server.bulk_running;
    }
    RunningExecution& running = server.running[execution.id];
    running = {execution, now, FinishTime(server, now, work)};
    return &running;
  }
  return nullptr;
}

Duration RemoveRunning(FakeServer& server, std::uint64_t id, TimePoint now) {
  const auto found = server.running.find(id);
  if (found == server.running.end())
    return {};
  if (found->second.execution.request_class == RequestClass::kBulk) {
    AdvanceBulkTimeIntegral(server, now);
    --server.bulk_running;
  }
  const Duration run_time = now - found->second.started_at;
  server.running.erase(found);
  return run_time;
}

void RemoveQueued(FakeServer& server, std::uint64_t id) {
  std::erase_if(server.backlog,
                [id](const Execution& queued) { return queued.id == id; });
}

double BulkTimeIntegralAt(FakeServer& server, TimePoint now) {
  AdvanceBulkTimeIntegral(server, now);
  return server.bulk_time_integral;
}

std::vector<Execution> Crash(FakeServer& server, TimePoint now) {
  AdvanceBulkTimeIntegral(server, now);
  std::vector<Execution> lost(server.backlog.begin(), server.backlog.end());
  for (const auto& [id, running] : server.running)
    lost.push_back(running.execution);
  server.backlog.clear();
  server.running.clear();
  server.bulk_running = 0;
  server.up = false;
  return lost;
}

void Restart(FakeServer& server) {
  server.up = true;
  server.cold_executions_left = kColdExecutions;
  ++server.incarnation;
}

}  // namespace cicadadrum
