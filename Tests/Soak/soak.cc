// Injects faults in an order that the seed determines.

#include "soak.h"

#include <algorithm>
#include <csignal>
#include <ostream>

#include "checks.h"
#include "configurations.h"

namespace cicadadrum::platform {

namespace {

// Two in each region.
constexpr std::size_t kServerCount = 6;
constexpr Duration kLoopInterval = Milliseconds(10);
constexpr Duration kHeartbeatInterval = Milliseconds(1500);
// The entry of a server that sends no heartbeat for this time is removed.
constexpr Duration kEntryLifetime = 3 * kHeartbeatInterval;
// At the end of the run there are no faults other than new configurations: for
// this time until the recovery is checked, ...
constexpr Duration kRecoveryTime = Seconds(4);
// ... for this time while it is checked, ...
constexpr Duration kRecoveryCheckTime = Seconds(2);
// ... and for this time in which all entry VMs are in touch.
constexpr Duration kCalmTime = Seconds(4);
// Minimum share of successful requests in the recovery check.
constexpr double kMinRecoveredShare = 0.95;
// Age of the copy from which the store is restored, and the time after which
// the operator has written again what the copy lacks.
constexpr Duration kMinCopyAge = Seconds(1);
constexpr Duration kMaxCopyAge = Seconds(8);
constexpr Duration kMinRewriteDelay = Seconds(1);
constexpr Duration kMaxRewriteDelay = Seconds(2);
// The longest pause exceeds the bound within which a new configuration is in
// force, so that requests wait at a paused entry VM whose version is too old.
constexpr Duration kMinPause = Milliseconds(200);
constexpr Duration kMaxPause = Milliseconds(4200);
// Limits hold long enough for windows of the check, which begin after
// kStableWindow.
constexpr Duration kLimitTime = Seconds(11);
// Every entry VM has checked by then whether a limit still holds.
constexpr Duration kLimitEndTime = Seconds(15);
// Limits are from 1 to this number of requests a second.
constexpr std::uint64_t kMaxLimit = 6;
// Time for which a server that restarts is cold, as the configuration has it.
constexpr Duration kColdTime = Seconds(3);
constexpr Duration kMinClearInterval = Milliseconds(1500);
constexpr Duration kMaxClearInterval = Milliseconds(4500);

void AppendViolations(const std::string& label,
                      const std::vector<Violation>& violations,
                      std::vector<std::string>& problems) {
  for (const Violation& violation : violations)
    problems.push_back(label + std::string(NameOf(violation.rule)) +
                       ": request " + violation.request_id + " for " +
                       violation.detail);
}

}  // namespace

Soak::Soak(SoakOptions options)
    : options_(std::move(options)),
      random_{.state = options_.seed},
      store_(loop_),
      fleet_(loop_,
             options_.program,
             options_.folder,
             store_.address(),
             options_.entry_count),
      callers_(loop_, options_.seed, options_.requests_per_download) {}

Duration Soak::RandomDuration(Duration min, Duration max) {
  return min + Duration(static_cast<std::int64_t>(RandomNumberBelow(
                   static_cast<std::uint64_t>((max - min).count()))));
}

void Soak::WriteConfiguration() {
  const std::uint64_t version = configurations_.size() + 1;
  configurations_.push_back({.version = version,
                             .acknowledged_at = loop_.Now(),
                             .routes = RoutesOfVersion(version)});
  store_.Put("op", "config",
             ConfigurationBody(version, configurations_.back().routes));
}

void Soak::WriteServerRow(SoakServer& server, const std::string& state) {
  store_.Put("servers", server.server->id(),
             server.server->RowAt(server.proxy->address(), state));
}

void Soak::AddServer(const SoakFailureDomain& failure_domain) {
  SoakServer added{.failure_domain = failure_domain};
  added.server = std::make_unique<ServerStandIn>(
      loop_, "s-" + std::to_string(servers_.size()), failure_domain.name);
  added.server->SetCrashingPath(std::string(kCrashingPath));
  added.proxy = std::make_unique<FaultProxy>(loop_, added.server->address());
  added.last_heartbeat_at = loop_.Now();
  added.next_heartbeat_at = loop_.Now() + kHeartbeatInterval;
  WriteServerRow(added, "ready");
  servers_.push_back(std::move(added));
}

// The new server lies in the failure domain of the server that leaves or
// crashes.
void Soak::ReplaceServer() {
  AddServer(SoakFailureDomain(servers_[first_running_].failure_domain));
  SoakServer& leaving = servers_[first_running_++];
  leaving.has_crashed = RandomNumberBelow(2) == 0;
  if (leaving.has_crashed)
    return SetLinkMode(leaving, ProxyMode::kReset);
  WriteServerRow(leaving, "draining");
  store_.Remove("servers", leaving.server->id());
  leaving.removed_at = loop_.Now();
}

void Soak::AnnounceLeaving(std::size_t index) {
  if (servers_[index].server->is_leaving())
    return;
  servers_[index].server->AnnounceLeaving();
  AddServer(SoakFailureDomain(servers_[index].failure_domain));
}

// The checks of announcements know no restarts, so servers that have made one
// do not restart.
void Soak::RestartServer(SoakServer& server) {
  if (server.server->MakesAnnouncements())
    return;
  server.server->RestartCold(kColdTime);
  server.next_heartbeat_at =
      loop_.Now() + RandomDuration(Duration::zero(), kHeartbeatInterval);
}

void Soak::SetLinkMode(SoakServer& server, ProxyMode mode) {
  if (server.proxy->mode() != mode)
    server.link_changes.push_back({loop_.Now(), mode});
  server.proxy->SetMode(mode);
}

void Soak::RestoreStore() {
  const TimePoint now = loop_.Now();
  const Duration age =
      std::min(RandomDuration(kMinCopyAge, kMaxCopyAge), now - first_copy_at_);
  store_.Restore(store_.VersionAt(now - age));
  restored_copy_at_ = std::min(restored_copy_at_, now - age);
  rewrite_at_ = now + RandomDuration(kMinRewriteDelay, kMaxRewriteDelay);
}

void Soak::RewriteStore() {
  const ConfigurationRecord& newest = configurations_.back();
  store_.Put("op", "config", ConfigurationBody(newest.version, newest.routes));
  for (SoakServer& server : servers_) {
    if (server.removed_at == kNever || server.removed_at < restored_copy_at_)
      continue;
    store_.Remove("servers", server.server->id());
    server.removed_at = loop_.Now();
  }
  restored_copy_at_ = kNever;
  rewrite_at_ = kNever;
}

// Writes the rows of the servers whose heartbeat is due, if the store accepts
// writes.
void Soak::SendHeartbeats() {
  const TimePoint now = loop_.Now();
  if (store_behaviour_ != StoreBehaviour::kAnswers)
    return;
  for (std::size_t i = first_running_; i < servers_.size(); ++i) {
    SoakServer& server = servers_[i];
    if (now < server.next_heartbeat_at)
      continue;
    server.server->AdvanceSequence();
    server.last_heartbeat_at = now;
    server.next_heartbeat_at = now + kHeartbeatInterval;
    server.removed_at = kNever;
    WriteServerRow(server, "ready");
  }
}

// Removes the entries of crashed servers, and of servers that can't reach the
// store, after their lifetime.
void Soak::RemoveSilentServers() {
  for (SoakServer& server : servers_) {
    if (server.removed_at != kNever ||
        loop_.Now() < server.last_heartbeat_at + kEntryLifetime)
      continue;
    store_.Remove("servers", server.server->id());
    server.removed_at = loop_.Now();
  }
}

void Soak::InjectFault(Fault fault) {
  ++faults_[fault];
  EntryProcess& entry =
      fleet_.entries()[RandomNumberBelow(fleet_.entries().size())];
  const std::size_t running_count = servers_.size() - first_running_;
  const std::size_t index = first_running_ + RandomNumberBelow(running_count);
  SoakServer& server = servers_[index];
  const auto mode = static_cast<ProxyMode>(1 + RandomNumberBelow(4));
  switch (fault) {
    case Fault::kKill:
      return fleet_.Signal(entry, SIGKILL);
    case Fault::kStop:
      return fleet_.Signal(entry, SIGTERM);
    case Fault::kPause:
      entry.resume_at = loop_.Now() + RandomDuration(kMinPause, kMaxPause);
      return fleet_.Signal(entry, SIGSTOP);
    case Fault::kStoreLink:
      return entry.store_proxy->SetMode(mode);
    case Fault::kServerLink:
      return SetLinkMode(server, mode);
    case Fault::kServerBehaviour:
      return server.server->SetBehaviour(static_cast<ServerBehaviour>(
          RandomNumberBelow(EnumNames<ServerBehaviour>::kTable.size())));
    case Fault::kServerLeaves:
      return AnnounceLeaving(index);
    case Fault::kServersPause:
      for (std::size_t i = first_running_; i < servers_.size(); ++i)
        servers_[i].server->SetBehaviour(ServerBehaviour::kAsksForPause);
      return;
    case Fault::kServerLimits:
      return LimitServers();
    case Fault::kReplaceServer:
      return ReplaceServer();
    case Fault::kConfiguration:
      return WriteConfiguration();
    case Fault::kTruncateChangeLog:
      return store_.TruncateChangeLog();
    case Fault::kStoreBehaviour:
      store_behaviour_ = static_cast<StoreBehaviour>(RandomNumberBelow(3));
      return store_.SetBehaviour(store_behaviour_);
    case Fault::kRestoreStore:
      return RestoreStore();
    case Fault::kCrashingRequest:
      if (entry.pid != 0)
        callers_.SendCrashingRequest(entry, TouchOf(entry));
      return;
    case Fault::kServerRestart:
      return RestartServer(server);
  }
}

void Soak::LimitServers() {
  if (loop_.Now() < limits_until_)
    return;
  limits_until_ = loop_.Now() + kLimitTime;
  for (std::size_t i = first_running_; i < servers_.size(); ++i)
    servers_[i].server->SetLimit(
        1 + static_cast<double>(RandomNumberBelow(kMaxLimit)));
}

void Soak::EndLimits() {
  for (SoakServer& server : servers_)
    server.server->SetLimit(0);
}

void Soak::ClearFaults() {
  store_behaviour_ = StoreBehaviour::kAnswers;
  store_.SetBehaviour(store_behaviour_);
  for (SoakServer& server : servers_) {
    SetLinkMode(server,
                server.has_crashed ? ProxyMode::kReset : ProxyMode::kPass);
    server.server->SetBehaviour(ServerBehaviour::kAnswers);
  }
  for (EntryProcess& entry : fleet_.entries())
    entry.store_proxy->SetMode(ProxyMode::kPass);
}

void Soak::RecordImpairments() {
  const bool is_store_impaired =
      store_behaviour_ != StoreBehaviour::kAnswers || rewrite_at_ != kNever;
  for (const EntryProcess& entry : fleet_.entries()) {
    if (entry.pid == 0 || entry.is_paused || entry.is_stopping)
      process_impaired_at_[entry.name] = loop_.Now();
    if (is_store_impaired || entry.store_proxy->mode() != ProxyMode::kPass)
      cut_off_at_[entry.name] = loop_.Now();
  }
}

Touch Soak::TouchOf(const EntryProcess& entry) {
  const TimePoint window_begin = loop_.Now() - kStableWindow;
  const bool is_cut_off = cut_off_at_[entry.name] > window_begin;
  const bool was_process_impaired =
      std::max(entry.started_at, process_impaired_at_[entry.name]) >
      window_begin;
  return {.is_in_touch = !is_cut_off && !was_process_impaired,
          .is_cut_off = is_cut_off};
}

// Callers send requests to an entry VM until its process has exited, also while
// the process is paused or stopping.
void Soak::SendRequests() {
  for (EntryProcess& entry : fleet_.entries()) {
    if (entry.pid == 0 || RandomNumberBelow(3) != 0)
      continue;
    callers_.Send(entry, configurations_.back().version, TouchOf(entry));
  }
}

// Runs the loop for kLoopInterval.
void Soak::RunOnce() {
  Timer timer(loop_, [this] { loop_.Stop(); });
  timer.Schedule(loop_.Now() + kLoopInterval);
  loop_.Run();
  const TimePoint now = loop_.Now();
  if (last_iteration_at_ != kNever)
    longest_stall_ = std::max(longest_stall_, now - last_iteration_at_);
  last_iteration_at_ = now;
}

void Soak::RunFor(Duration duration, const FaultPlan& plan) {
  const TimePoint end = loop_.Now() + duration;
  while (loop_.Now() < end) {
    RunOnce();
    fleet_.Advance(loop_.Now());
    SendHeartbeats();
    RemoveSilentServers();
    if (loop_.Now() >= rewrite_at_)
      RewriteStore();
    if (loop_.Now() >= limits_until_)
      EndLimits();
    RecordImpairments();
    SendRequests();
    if (!plan.faults.empty() && loop_.Now() >= next_fault_) {
      InjectFault(plan.faults[RandomNumberBelow(plan.faults.size())]);
      next_fault_ =
          loop_.Now() + RandomDuration(plan.min_interval, plan.max_interval);
    }
    if (loop_.Now() >= next_clear_) {
      ClearFaults();
      next_clear_ =
          loop_.Now() + RandomDuration(kMinClearInterval, kMaxClearInterval);
    }
    RecordImpairments();
  }
}

std::size_t Soak::CountExecutionsOnRemovedServers() const {
  std::size_t executions = 0;
  for (std::size_t i = 0; i < first_running_; ++i)
    executions += servers_[i].server->executed_requests().size();
  return executions;
}

void Soak::Run(Duration duration) {
  const FaultPlan all{.faults = options_.faults,
                      .min_interval = Milliseconds(50),
                      .max_interval = Milliseconds(550)};
  // While faults settle, a new version follows after the previous one has to be
  // in force.
  FaultPlan settle{
      .min_interval = kConfigurationBound + kMachineAllowance,
      .max_interval = kConfigurationBound + kMachineAllowance + Seconds(1)};
  if (std::find(all.faults.begin(), all.faults.end(), Fault::kConfiguration) !=
      all.faults.end())
    settle.faults = {Fault::kConfiguration};
  WriteConfiguration();
  for (std::size_t i = 0; i < kServerCount; ++i)
    AddServer(SoakFailureDomainOf(i));
  first_copy_at_ = loop_.Now();
  for (EntryProcess& entry : fleet_.entries())
    fleet_.Start(entry);
  RunFor(Seconds(1), {});
  next_clear_ = loop_.Now();
  RunFor(duration, all);
  ClearFaults();
  if (limits_until_ > TimePoint{}) {
    EndLimits();
    RunFor(kLimitEndTime, {});
  }
  // A pause is longer than the time in which the entry VMs have to recover.
  fleet_.EndPauses();
  next_clear_ = kNever;
  RunFor(kRecoveryTime, settle);
  const std::uint64_t sent = callers_.record().sent_on_lasting_routes;
  const std::uint64_t succeeded = callers_.record().succeeded_on_lasting_routes;
  const std::size_t on_removed = CountExecutionsOnRemovedServers();
  RunFor(kRecoveryCheckTime, settle);
  settled_sent_ = callers_.record().sent_on_lasting_routes - sent;
  settled_succeeded_ =
      callers_.record().succeeded_on_lasting_routes - succeeded;
  RunFor(kCalmTime, settle);
  settled_on_removed_ = CountExecutionsOnRemovedServers() - on_removed;
  // Requests that are still open end at the callers' timeout.
  while (callers_.open_requests() > 0)
    RunOnce();
}

SoakRecords Soak::CollectRecords() const {
  SoakRecords records{.configurations = configurations_,
                      .requests = callers_.record().requests};
  for (const EntryProcess& entry : fleet_.entries())
    records.disturbances[entry.name] = entry.disturbances;
  for (const SoakServer& server : servers_) {
    records.link_changes[server.server->id()] = server.link_changes;
    for (const ServerArrival& arrival : server.server->arrivals()) {
      if (!arrival.names_other_server)
        records.arrivals.push_back(
            {.at = arrival.at,
             .request_id = arrival.request_id,
             .host = arrival.host,
             .path = arrival.path,
             .server = server.server->id(),
             .region = server.failure_domain.region,
             .may_be_held_up = IsLinkImpaired(
                 server.link_changes, arrival.at - kStableWindow, arrival.at),
             .said_leaving = arrival.said_leaving,
             .asked_for_pause = arrival.asked_for_pause,
             .stated_limit = arrival.stated_limit,
             .is_at_cold_server = arrival.is_at_cold_server});
    }
  }
  return records;
}

std::vector<std::string> Soak::FindProblems(const SoakRecords& records) const {
  const CallerRecord& record = callers_.record();
  std::map<std::string, int> executions;
  for (const SoakServer& server : servers_) {
    for (const std::string& id : server.server->executed_requests())
      ++executions[id];
  }
  std::vector<std::string> problems;
  for (const std::string& id : record.writes) {
    if (executions.contains(id) && executions.at(id) > 1)
      problems.push_back("write " + id + " was executed more than once");
  }
  for (const std::string& id : record.refused_writes) {
    if (executions.contains(id))
      problems.push_back("write " + id +
                         " was refused as not executed but was executed");
  }
  for (const std::string& id : record.mismatched)
    problems.push_back("request " + id +
                       " received a response that does not belong to it");
  for (const std::string& name : fleet_.unexpected_exits())
    problems.push_back(name + ", which no injected fault explains");
  if (settled_on_removed_ > 0)
    problems.push_back(std::to_string(settled_on_removed_) +
                       " requests were executed on servers that had been "
                       "removed from the store before the recovery check");
  if (static_cast<double>(settled_succeeded_) <
      static_cast<double>(settled_sent_) * kMinRecoveredShare)
    problems.push_back("after the faults ended, only " +
                       std::to_string(settled_succeeded_) + " of " +
                       std::to_string(settled_sent_) + " requests succeeded");
  AppendViolations("", FindOutdatedDecisions(records), problems);
  AppendViolations("", FindDowngrades(records), problems);
  AppendViolations("", FindRequestsAfterLeaving(records), problems);
  AppendViolations("", FindBrokenPauses(records), problems);
  AppendViolations("", FindBrokenLimits(records), problems);
  AppendViolations("", FindLateCrashRetries(records), problems);
  AppendViolations("", FindColdFloods(records), problems);
  return problems;
}

std::vector<std::string> Soak::FindStrictProblems(const SoakRecords& records) {
  std::vector<std::string> problems;
  AppendViolations("retry by an older route: ", FindOutdatedRetries(records),
                   problems);
  AppendViolations("out of touch: ", FindOutdatedDecisionsOutOfTouch(records),
                   problems);
  return problems;
}

bool Soak::Report(std::ostream& out) {
  const CallerRecord& record = callers_.record();
  const SoakRecords records = CollectRecords();
  out << "sent " << record.requests.size() << ", in touch "
      << std::count_if(
             record.requests.begin(), record.requests.end(),
             [](const auto& entry) { return entry.second.is_in_touch; })
      << ", writes " << record.writes.size();
  for (const auto& [status, count] : record.responses)
    out << ", " << status << ": " << count;
  out << "\nfaults";
  for (const auto& [fault, count] : faults_)
    out << ", " << NameOf(fault) << " " << count;
  out << "; longest stall of the soak " << longest_stall_ / Milliseconds(1)
      << " ms\n";
  const std::vector<std::string> problems = FindProblems(records);
  const std::vector<std::string> strict_problems = FindStrictProblems(records);
  for (const std::string& problem : problems)
    out << "BROKEN: " << problem << "\n";
  for (const std::string& problem : strict_problems)
    out << (options_.is_strict ? "BROKEN: " : "note: ") << problem << "\n";
  return problems.empty() && (!options_.is_strict || strict_problems.empty());
}

}  // namespace cicadadrum::platform
