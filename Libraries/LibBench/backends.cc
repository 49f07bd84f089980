// Delivers attempts to the fake backend servers and returns their outcomes to
// the entry VMs.

#include <utility>

#include "world.h"

namespace cicadadrum {

namespace {

constexpr Duration kReportInterval = Seconds(1);
// Time from the start of a crashing request to the crash of its server.
constexpr Duration kCrashDelay = Milliseconds(5);
constexpr Duration kRestartDelay = Seconds(1);

Duration DelayTo(const World& world, std::size_t entry, std::size_t server) {
  const EntryVm& from = world.entries[entry].description;
  const BackendServer& to = world.servers[server].description;
  return DelayBetween(world, from.region, from.failure_domain, to.region,
                      to.failure_domain);
}

void ReportOutcome(World& world,
                   const SentAttempt& sent,
                   AttemptOutcome outcome) {
  const Duration delay = DelayTo(world, sent.entry, sent.server);
  if (world.entries[sent.entry].generation != sent.entry_generation)
    return;
  if (outcome == AttemptOutcome::kAnswered ||
      outcome == AttemptOutcome::kShed) {
    return DeliverLater(
        world, sent.entry, delay,
        BackendResponded{sent.request, sent.attempt, outcome, {.status = 200}});
  }
  DeliverLater(world, sent.entry, delay,
               BackendFailed{sent.request, sent.attempt, outcome});
}

void StartQueuedExecutions(World& world, std::size_t index);

void AddBusyTime(World& world, SentAttempt& sent, Duration run_time) {
  sent.run_time = run_time;
  world.result.busy_time += run_time.count();
}

void CompleteExecution(World& world, std::size_t index, std::uint64_t id) {
  FakeServer& server = world.servers[index];
  if (!server.running.contains(id))
    return;
  SentAttempt& sent = world.attempts.at(id);
  AddBusyTime(world, sent, RemoveRunning(server, id, Now(world)));
  ReportOutcome(world, sent, AttemptOutcome::kAnswered);
  StartQueuedExecutions(world, index);
}

void RecordStart(World& world,
                 std::size_t index,
                 const RunningExecution& running) {
  const std::uint64_t id = running.execution.id;
  const SentAttempt& sent = world.attempts.at(id);
  const auto found = world.caller_attempts.find(sent.request);
  if (found == world.caller_attempts.end())
    return;
  const CallerRequest& caller = world.callers[found->second.caller];
  if (!caller.key.empty() && ++world.executions_by_key[caller.key] == 2)
    ++world.result.repeated_writes;
  if (caller.is_counted && caller.request_class != RequestClass::kBulk)
    world.result.waits_for_bulk.push_back(static_cast<std::int64_t>(
        BulkTimeIntegralAt(world.servers[index], Now(world)) -
        sent.bulk_time_at_arrival));
}

void StartQueuedExecutions(World& world, std::size_t index) {
  FakeServer& server = world.servers[index];
  std::vector<Execution> expired;
  while (const RunningExecution* running =
             StartNextExecution(server, Now(world), expired)) {
    const std::uint64_t id = running->execution.id;
    RecordStart(world, index, *running);
    if (running->execution.crashes_server) {
      Schedule(world.queue, Now(world) + kCrashDelay, [&world, index, id] {
        if (!world.servers[index].running.contains(id))
          return;
        ++world.result.crashes;
        CrashServer(world, index);
        Schedule(world.queue, Now(world) + kRestartDelay,
                 [&world, index] { RestartServer(world, index); });
      });
      continue;
    }
    Schedule(world.queue, running->ends_at,
             [&world, index, id] { CompleteExecution(world, index, id); });
  }
  for (const Execution& execution : expired)
    ReportOutcome(world, world.attempts.at(execution.id),
                  AttemptOutcome::kShed);
}

void StartOnArrival(World& world, const Execution& execution) {
  const SentAttempt& sent = world.attempts.at(execution.id);
  FakeServer& server = world.servers[sent.server];
  switch (Admit(server, execution)) {
    case AdmissionResult::kAccepted:
      return StartQueuedExecutions(world, sent.server);
    case AdmissionResult::kShed:
      return ReportOutcome(world, sent, AttemptOutcome::kShed);
    case AdmissionResult::kRefused:
      return ReportOutcome(world, sent, AttemptOutcome::kConnectionRefused);
  }
}

}  // namespace

void SendAttempt(World& world, std::size_t entry, const SendToBackend& send) {
  const CallerRequest& caller =
      world.callers[world.caller_attempts.at(send.request).caller];
  if (caller.is_counted)
    ++world.result.attempts;
  const std::uint64_t id = AttemptId(send.request, send.attempt);
  const std::size_t server = world.server_index.at(send.server);
  FakeServer& target = world.servers[server];
  // During one wait the integral grows almost linearly. Its value at the
  // arrival of the request is therefore extrapolated backwards, with the share
  // of slots that run bulk requests at this time.
  const double share =
      static_cast<double>(target.bulk_running) / target.description.slots;
  const double waited =
      static_cast<double>((Now(world) - caller.first_arrived_at).count());
  world.attempts[id] = {
      .request = send.request,
      .attempt = send.attempt,
      .entry = entry,
      .entry_generation = world.entries[entry].generation,
      .server = server,
      .bulk_time_at_arrival =
          BulkTimeIntegralAt(target, Now(world)) - (waited * share)};
  const Execution execution{.id = id,
                            .request_class = caller.request_class,
                            .work = caller.work,
                            .deadline = send.deadline,
                            .crashes_server = caller.crashes_server};
  Schedule(world.queue, Now(world) + DelayTo(world, entry, server),
           [&world, execution] { StartOnArrival(world, execution); });
}

void CancelAttempt(World& world, std::uint64_t attempt_id) {
  const SentAttempt& sent = world.attempts.at(attempt_id);
  Schedule(world.queue, Now(world) + DelayTo(world, sent.entry, sent.server),
           [&world, attempt_id] {
             SentAttempt& cancelled = world.attempts.at(attempt_id);
             FakeServer& server = world.servers[cancelled.server];
             RemoveQueued(server, attempt_id);
             if (server.running.contains(attempt_id))
               AddBusyTime(world, cancelled,
                           RemoveRunning(server, attempt_id, Now(world)));
             StartQueuedExecutions(world, cancelled.server);
           });
}

void CrashServer(World& world, std::size_t server) {
  if (!world.servers[server].up)
    return;
  for (const auto& [id, running] : world.servers[server].running)
    AddBusyTime(world, world.attempts.at(id), Now(world) - running.started_at);
  for (const Execution& lost : Crash(world.servers[server], Now(world)))
    ReportOutcome(world, world.attempts.at(lost.id),
                  AttemptOutcome::kConnectionLost);
}

void RestartServer(World& world, std::size_t server) {
  if (!world.servers[server].up)
    Restart(world.servers[server]);
}

void StartReports(World& world) {
  Schedule(world.queue, Now(world) + kReportInterval, [&world] {
    for (std::size_t i = 0; i < world.servers.size(); ++i) {
      const FakeServer& server = world.servers[i];
      if (!server.up || world.reports_stopped)
        continue;
      const auto in_progress =
          server.reports_idle
              ? 0U
              : static_cast<std::uint32_t>(server.running.size() +
                                           server.backlog.size());
      Schedule(world.queue, Now(world) + world.report_delay,
               [&world, i, in_progress, taken_at = Now(world)] {
                 DeliverReport(world, i, in_progress, taken_at);
               });
    }
    if (Now(world) < TimePoint(world.scenario->end))
      StartReports(world);
  });
}

}  // namespace cicadadrum
