// Checks the requirements on a demonstration run and prints the report.

#include "report.h"

#include <algorithm>
#include <cstdio>

namespace cicadadrum {

namespace {

// Time after the leaving mark from which the server must receive no new work.
constexpr Duration kMaxWorkAfterMark = Seconds(5);

std::map<std::string, std::uint32_t> CountExecutions(
    const RunObservations& run) {
  std::map<std::string, std::uint32_t> executions;
  for (const auto& [name, server] : run.servers) {
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

Requirement CheckAnswers(const RunObservations& run) {
  std::uint64_t mismatched = 0;
  std::uint64_t answered = 0;
  for (const auto& [key, stream_result] : run.load.streams) {
    mismatched += stream_result.mismatched_answers;
    answered += stream_result.ran;
  }
  return {"every answer is whole and belongs to its request",
          mismatched == 0 && answered > 0,
          std::to_string(mismatched) + " wrong of " + std::to_string(answered)};
}

Requirement CheckAtMostOnce(const RunObservations& run) {
  std::uint32_t repeated = 0;
  const auto executions = CountExecutions(run);
  for (const auto& [key, count] : executions)
    repeated += count > 1 ? 1 : 0;
  return {"non-idempotent requests run at most once",
          repeated == 0 && !executions.empty(),
          std::to_string(repeated) + " repeated of " +
              std::to_string(executions.size())};
}

Requirement CheckNotRun(const RunObservations& run) {
  const auto executions = CountExecutions(run);
  std::uint64_t claimed = 0;
  std::uint64_t false_claims = 0;
  for (const auto& [key, verdict] : run.load.writes) {
    if (verdict != Verdict::kNotRun)
      continue;
    ++claimed;
    false_claims += executions.contains(key) ? 1 : 0;
  }
  return {
      "\"not run\" is true", false_claims == 0,
      std::to_string(false_claims) + " false of " + std::to_string(claimed)};
}

Requirement CheckNotInterrupted(const RunObservations& run) {
  std::uint64_t interrupted = 0;
  for (const auto& [key, stream_result] : run.load.streams)
    interrupted += stream_result.may_have_run;
  return {"planned stops cut no request", interrupted == 0,
          std::to_string(interrupted) + " cut"};
}

Requirement CheckDrain(const RunObservations& run) {
  const auto found = run.servers.find(run.leaving_server);
  if (found == run.servers.end() || !found->second.reached)
    return {"the leaving server drains", false, "not reached"};
  const Duration last_started =
      run.mark_to_end - found->second.since_last_start;
  const bool satisfied =
      last_started <= kMaxWorkAfterMark && found->second.in_flight == 0 &&
      (found->second.cancelled == 0 || run.faults_injected) &&
      found->second.requests_started > 0;
  std::array<char, 96> finding{};
  std::snprintf(
      finding.data(), finding.size(),
      "%llu begun, last %.0f ms after the mark; %llu cut, %u in progress",
      static_cast<unsigned long long>(found->second.requests_started),
      Milliseconds(std::max(last_started, Duration::zero())),
      static_cast<unsigned long long>(found->second.cancelled),
      found->second.in_flight);
  return {"the leaving server gets no new work after 5 s and drains", satisfied,
          finding.data()};
}

Requirement CheckVersions(const RunObservations& run) {
  std::uint64_t lowest = UINT64_MAX;
  std::uint64_t highest = 0;
  std::size_t reached = 0;
  for (const auto& [name, entry] : run.entries) {
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

Requirement CheckServices(const RunObservations& run) {
  std::size_t answered = 0;
  for (const auto& [key, stream_result] : run.load.streams)
    answered += stream_result.ran > 0 ? 1 : 0;
  return {"every service and class was answered",
          answered == run.expected_service_classes,
          std::to_string(answered) + " of " +
              std::to_string(run.expected_service_classes)};
}

}  // namespace

std::vector<Requirement> CheckRequirements(const RunObservations& run) {
  std::vector<Requirement> requirements = {
      CheckServices(run), CheckAnswers(run), CheckAtMostOnce(run),
      CheckNotRun(run),   CheckDrain(run),   CheckVersions(run)};
  // A process that is killed interrupts its requests. The verdicts of these
  // requests must be true then, which the other checks cover.
  if (!run.faults_injected)
    requirements.push_back(CheckNotInterrupted(run));
  return requirements;
}

void PrintReport(const std::string& deployment,
                 const RunObservations& run,
                 const std::vector<Requirement>& requirements) {
  std::printf("\n%s\n%-18s %-8s %7s %7s %7s %7s %9s %9s %9s\n",
              deployment.c_str(), "service", "class", "sent", "ran", "not-run",
              "maybe", "p50 ms", "p99 ms", "max ms");
  for (const auto& [key, stream_result] : run.load.streams) {
    std::printf("%-18s %-8s %7llu %7llu %7llu %7llu %9.1f %9.1f %9.1f\n",
                key.first.c_str(), std::string(NameOf(key.second)).c_str(),
                static_cast<unsigned long long>(stream_result.sent),
                static_cast<unsigned long long>(stream_result.ran),
                static_cast<unsigned long long>(stream_result.not_run),
                static_cast<unsigned long long>(stream_result.may_have_run),
                Milliseconds(Quantile(stream_result.latencies, 0.5)),
                Milliseconds(Quantile(stream_result.latencies, 0.99)),
                Milliseconds(Quantile(stream_result.latencies, 1)));
  }
  for (const auto& [reason, count] : run.load.failures)
    std::printf("  not answered by a server: %s: %llu\n", reason.c_str(),
                static_cast<unsigned long long>(count));
  for (const Requirement& requirement : requirements) {
    std::printf("%-6s %-56s %s\n", requirement.satisfied ? "held" : "BROKEN",
                requirement.text.c_str(), requirement.finding.c_str());
  }
}

}  // namespace cicadadrum
