// The table of what happened, and the check of the promises.

#include "report.h"

#include <algorithm>
#include <cstdio>

namespace cicadadrum {

namespace {

// A leaving backend server receives no new work after this time.
constexpr Duration kLeavingBound = Seconds(5);

std::map<std::string, std::uint32_t> CountExecutions(const RunRecord& record) {
  std::map<std::string, std::uint32_t> executions;
  for (const auto& [name, server] : record.servers) {
    for (const auto& [key, count] : server.executions)
      executions[key] += count;
  }
  return executions;
}

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

Duration Quantile(std::vector<Duration> samples, double quantile) {
  if (samples.empty())
    return {};
  std::sort(samples.begin(), samples.end());
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(samples.size() - 1));
  return samples[index];
}

Promise CheckAnswers(const RunRecord& record) {
  std::uint64_t wrong = 0;
  std::uint64_t answered = 0;
  for (const auto& [key, row] : record.load.streams) {
    wrong += row.wrong_answers;
    answered += row.ran;
  }
  return {"every answer is whole and belongs to its request",
          wrong == 0 && answered > 0,
          std::to_string(wrong) + " wrong of " + std::to_string(answered)};
}

Promise CheckAtMostOnce(const RunRecord& record) {
  std::uint32_t repeated = 0;
  const auto executions = CountExecutions(record);
  for (const auto& [key, count] : executions)
    repeated += count > 1 ? 1 : 0;
  return {"non-idempotent requests run at most once",
          repeated == 0 && !executions.empty(),
          std::to_string(repeated) + " repeated of " +
              std::to_string(executions.size())};
}

Promise CheckNotRun(const RunRecord& record) {
  const auto executions = CountExecutions(record);
  std::uint64_t claimed = 0;
  std::uint64_t false_claims = 0;
  for (const auto& [key, verdict] : record.load.writes) {
    if (verdict != Verdict::kNotRun)
      continue;
    ++claimed;
    false_claims += executions.contains(key) ? 1 : 0;
  }
  return {
      "\"not run\" is true", false_claims == 0,
      std::to_string(false_claims) + " false of " + std::to_string(claimed)};
}

Promise CheckUncut(const RunRecord& record) {
  std::uint64_t cut = 0;
  for (const auto& [key, row] : record.load.streams)
    cut += row.may_have_run;
  return {"planned stops cut no request", cut == 0,
          std::to_string(cut) + " cut"};
}

Promise CheckDrain(const RunRecord& record) {
  const auto found = record.servers.find(record.leaving_server);
  if (found == record.servers.end() || !found->second.reached)
    return {"the leaving server drains", false, "not reached"};
  const Duration last_begun =
      record.mark_to_end - found->second.since_last_begun;
  const bool held = last_begun <= kLeavingBound &&
                    found->second.in_flight == 0 &&
                    (found->second.cancelled == 0 || record.faults) &&
                    found->second.begun > 0;
  std::array<char, 96> figure{};
  std::snprintf(
      figure.data(), figure.size(),
      "%llu begun, last %.0f ms after the mark; %llu cut, %u in progress",
      static_cast<unsigned long long>(found->second.begun),
      Milliseconds(std::max(last_begun, Duration::zero())),
      static_cast<unsigned long long>(found->second.cancelled),
      found->second.in_flight);
  return {"the leaving server gets no new work after 5 s and drains", held,
          figure.data()};
}

Promise CheckVersions(const RunRecord& record) {
  std::uint64_t lowest = UINT64_MAX;
  std::uint64_t highest = 0;
  std::size_t reached = 0;
  for (const auto& [name, entry] : record.entries) {
    if (!entry.reached)
      continue;
    ++reached;
    lowest = std::min(lowest, entry.configuration_version);
    highest = std::max(highest, entry.configuration_version);
  }
  return {
      "the configuration is in force at every entry VM",
      reached > 0 && lowest == highest && highest > 0,
      "version " + std::to_string(highest) + " at " + std::to_string(reached)};
}

Promise CheckServices(const RunRecord& record) {
  std::size_t answered = 0;
  for (const auto& [key, row] : record.load.streams)
    answered += row.ran > 0 ? 1 : 0;
  return {
      "every service and class was answered", answered == record.expected_rows,
      std::to_string(answered) + " of " + std::to_string(record.expected_rows)};
}

}  // namespace

std::vector<Promise> CheckPromises(const RunRecord& record) {
  std::vector<Promise> promises = {
      CheckServices(record), CheckAnswers(record), CheckAtMostOnce(record),
      CheckNotRun(record),   CheckDrain(record),   CheckVersions(record)};
  // A process that is killed cuts its requests; what must hold then is that
  // their verdicts are true, which the other checks cover.
  if (!record.faults)
    promises.push_back(CheckUncut(record));
  return promises;
}

void PrintReport(const std::string& deployment,
                 const RunRecord& record,
                 const std::vector<Promise>& promises) {
  std::printf("\n%s\n%-18s %-8s %7s %7s %7s %7s %9s %9s %9s\n",
              deployment.c_str(), "service", "class", "sent", "ran", "not-run",
              "maybe", "p50 ms", "p99 ms", "max ms");
  for (const auto& [key, row] : record.load.streams) {
    std::printf("%-18s %-8s %7llu %7llu %7llu %7llu %9.1f %9.1f %9.1f\n",
                key.first.c_str(), std::string(NameOf(key.second)).c_str(),
                static_cast<unsigned long long>(row.sent),
                static_cast<unsigned long long>(row.ran),
                static_cast<unsigned long long>(row.not_run),
                static_cast<unsigned long long>(row.may_have_run),
                Milliseconds(Quantile(row.latencies, 0.5)),
                Milliseconds(Quantile(row.latencies, 0.99)),
                Milliseconds(Quantile(row.latencies, 1)));
  }
  for (const auto& [reason, count] : record.load.failures)
    std::printf("  not answered by a server: %s: %llu\n", reason.c_str(),
                static_cast<unsigned long long>(count));
  for (const Promise& promise : promises) {
    std::printf("%-6s %-56s %s\n", promise.held ? "held" : "BROKEN",
                promise.text.c_str(), promise.figure.c_str());
  }
}

}  // namespace cicadadrum
