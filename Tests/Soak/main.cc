// cicadadrum-soak: runs processes of cicadadrum-platform on loopback against
// substitutes for the store and the backend servers. The program injects faults
// in an order that a seed determines, and checks which responses the callers
// receive and which requests the servers execute. The exit code is 0 only if
// every check passed.

#include <stdlib.h>

#include <csignal>
#include <iostream>
#include <memory>

#include "advice_check.h"
#include "callers.h"
#include "cicadadrum/program/program.h"
#include "fleet.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

constexpr std::size_t kServerCount = 5;
constexpr Duration kLoopInterval = Milliseconds(10);
// Time without faults at the end of the run.
constexpr Duration kSettleTime = Seconds(6);
// Last part of kSettleTime, in which the recovery is checked.
constexpr Duration kRecoveryCheckTime = Seconds(2);
// Minimum share of successful requests in the recovery check.
constexpr double kMinRecoveredShare = 0.95;

enum class Fault : std::uint8_t {
  kKill,
  kStop,
  kPause,
  kStoreLink,
  kServerLink,
  kServerBehaviour,
  kServerLeaves,
  kServersPause,
  kReplaceServer,
  kConfiguration,
  kTruncateChangeLog,
  kStoreBehaviour,
};

}  // namespace

}  // namespace cicadadrum::platform

namespace cicadadrum {

template <>
struct EnumNames<platform::Fault> {
  static constexpr auto kTable = std::to_array<EnumName<platform::Fault>>({
      {platform::Fault::kKill, "kill"},
      {platform::Fault::kStop, "stop"},
      {platform::Fault::kPause, "pause"},
      {platform::Fault::kStoreLink, "store-link"},
      {platform::Fault::kServerLink, "server-link"},
      {platform::Fault::kServerBehaviour, "server-behaviour"},
      {platform::Fault::kServerLeaves, "server-leaves"},
      {platform::Fault::kServersPause, "servers-pause"},
      {platform::Fault::kReplaceServer, "replace-server"},
      {platform::Fault::kConfiguration, "configuration"},
      {platform::Fault::kTruncateChangeLog, "forget-history"},
      {platform::Fault::kStoreBehaviour, "store-behaviour"},
  });
};

}  // namespace cicadadrum

namespace cicadadrum::platform {

namespace {

// A backend server and the proxy between the entry VMs and the server.
struct SoakServer {
  std::unique_ptr<ServerStandIn> server;
  std::unique_ptr<FaultProxy> proxy;
  std::vector<LinkChange> link_changes;
};

class Soak {
 public:
  Soak(const std::string& program,
       const std::string& folder,
       std::uint64_t seed,
       std::size_t entries)
      : random_{.state = seed},
        store_(loop_),
        fleet_(loop_, program, folder, store_.address(), entries),
        callers_(loop_, seed) {}

  void Run(Duration duration);
  bool Report(std::ostream& out);

 private:
  void AddServer();
  void SetLinkMode(SoakServer& server, ProxyMode mode);
  void InjectFault();
  void ClearFaults();
  void SendRequests();
  void RunFor(Duration duration, bool inject_faults);
  // Returns the number of requests executed by servers that are no longer in
  // the store.
  std::size_t CountExecutionsOnRemovedServers() const;
  std::uint64_t RandomNumberBelow(std::uint64_t bound) {
    return RandomBelow(random_, bound);
  }

  Random random_;
  EventLoop loop_;
  StoreStandIn store_;
  Fleet fleet_;
  Callers callers_;
  // All servers, first those removed from the store, then the listed servers,
  // which begin at index first_listed_.
  std::vector<SoakServer> servers_;
  std::size_t first_listed_ = 0;
  std::uint64_t configuration_ = 1;
  std::map<Fault, std::uint64_t> faults_;
  TimePoint next_fault_;
  TimePoint next_clear_;
  std::uint64_t settled_sent_ = 0;
  std::uint64_t settled_succeeded_ = 0;
  std::size_t settled_on_removed_ = 0;
};

void Soak::AddServer() {
  SoakServer added;
  added.server = std::make_unique<ServerStandIn>(
      loop_, "s-" + std::to_string(servers_.size()));
  added.proxy = std::make_unique<FaultProxy>(loop_, added.server->address());
  store_.Put("servers", added.server->id(),
             added.server->RowAt(added.proxy->address(), "ready"));
  servers_.push_back(std::move(added));
}

void Soak::SetLinkMode(SoakServer& server, ProxyMode mode) {
  if (server.proxy->mode() != mode)
    server.link_changes.push_back({loop_.Now(), mode});
  server.proxy->SetMode(mode);
}

void Soak::InjectFault() {
  const auto fault =
      static_cast<Fault>(RandomNumberBelow(EnumNames<Fault>::kTable.size()));
  ++faults_[fault];
  EntryProcess& entry =
      fleet_.entries()[RandomNumberBelow(fleet_.entries().size())];
  const std::size_t listed_count = servers_.size() - first_listed_;
  SoakServer& server =
      servers_[first_listed_ + RandomNumberBelow(listed_count)];
  const auto mode = static_cast<ProxyMode>(1 + RandomNumberBelow(4));
  switch (fault) {
    case Fault::kKill:
      return fleet_.Signal(entry, SIGKILL);
    case Fault::kStop:
      return fleet_.Signal(entry, SIGTERM);
    case Fault::kPause:
      entry.resume_at =
          loop_.Now() + Milliseconds(200 + static_cast<std::int64_t>(
                                               RandomNumberBelow(1500)));
      return fleet_.Signal(entry, SIGSTOP);
    case Fault::kStoreLink:
      return entry.store_proxy->SetMode(mode);
    case Fault::kServerLink:
      return SetLinkMode(server, mode);
    case Fault::kServerBehaviour:
      return server.server->SetBehaviour(static_cast<ServerBehaviour>(
          RandomNumberBelow(EnumNames<ServerBehaviour>::kTable.size())));
    case Fault::kServerLeaves:
      if (server.server->is_leaving())
        return;
      server.server->AnnounceLeaving();
      return AddServer();
    case Fault::kServersPause:
      for (std::size_t i = first_listed_; i < servers_.size(); ++i)
        servers_[i].server->SetBehaviour(ServerBehaviour::kAsksForPause);
      return;
    case Fault::kReplaceServer:
      AddServer();
      store_.Put("servers", servers_[first_listed_].server->id(),
                 servers_[first_listed_].server->RowAt(
                     servers_[first_listed_].proxy->address(), "draining"));
      store_.Remove("servers", servers_[first_listed_].server->id());
      ++first_listed_;
      return;
    case Fault::kConfiguration:
      return store_.Put("op", "config", ConfigurationBody(++configuration_));
    case Fault::kTruncateChangeLog:
      return store_.TruncateChangeLog();
    case Fault::kStoreBehaviour:
      return store_.SetBehaviour(
          static_cast<StoreBehaviour>(RandomNumberBelow(3)));
  }
}

void Soak::ClearFaults() {
  store_.SetBehaviour(StoreBehaviour::kAnswers);
  for (SoakServer& server : servers_) {
    SetLinkMode(server, ProxyMode::kPass);
    server.server->SetBehaviour(ServerBehaviour::kAnswers);
  }
  for (EntryProcess& entry : fleet_.entries())
    entry.store_proxy->SetMode(ProxyMode::kPass);
}

// Callers send requests to an entry VM until its process has exited, also while
// the process is paused or stopping.
void Soak::SendRequests() {
  for (EntryProcess& entry : fleet_.entries()) {
    if (entry.pid != 0 && RandomNumberBelow(3) == 0)
      callers_.Send(entry.caller_address);
  }
}

void Soak::RunFor(Duration duration, bool inject_faults) {
  const TimePoint end = loop_.Now() + duration;
  Timer timer(loop_, [this] { loop_.Stop(); });
  while (loop_.Now() < end) {
    timer.Schedule(loop_.Now() + kLoopInterval);
    loop_.Run();
    fleet_.Advance(loop_.Now());
    SendRequests();
    if (inject_faults && loop_.Now() >= next_fault_) {
      InjectFault();
      next_fault_ =
          loop_.Now() +
          Milliseconds(50 + static_cast<std::int64_t>(RandomNumberBelow(500)));
    }
    if (inject_faults && loop_.Now() >= next_clear_) {
      ClearFaults();
      next_clear_ =
          loop_.Now() + Milliseconds(1500 + static_cast<std::int64_t>(
                                                RandomNumberBelow(3000)));
    }
  }
}

std::size_t Soak::CountExecutionsOnRemovedServers() const {
  std::size_t executions = 0;
  for (std::size_t i = 0; i < first_listed_; ++i)
    executions += servers_[i].server->executed_requests().size();
  return executions;
}

void Soak::Run(Duration duration) {
  store_.Put("op", "config", ConfigurationBody(configuration_));
  for (std::size_t i = 0; i < kServerCount; ++i)
    AddServer();
  for (EntryProcess& entry : fleet_.entries())
    fleet_.Start(entry);
  RunFor(Seconds(1), false);
  RunFor(duration, true);
  ClearFaults();
  RunFor(kSettleTime - kRecoveryCheckTime, false);
  const std::uint64_t sent = callers_.record().sent;
  const std::uint64_t succeeded = callers_.record().succeeded;
  const std::size_t on_removed = CountExecutionsOnRemovedServers();
  RunFor(kRecoveryCheckTime, false);
  settled_on_removed_ = CountExecutionsOnRemovedServers() - on_removed;
  settled_sent_ = callers_.record().sent - sent;
  settled_succeeded_ = callers_.record().succeeded - succeeded;
  // Requests that are still open end at the callers' timeout.
  Timer timer(loop_, [this] { loop_.Stop(); });
  while (callers_.open_requests() > 0) {
    timer.Schedule(loop_.Now() + kLoopInterval);
    loop_.Run();
  }
}

bool Soak::Report(std::ostream& out) {
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
  for (const SoakServer& server : servers_) {
    AppendAdviceProblems(
        {.server = *server.server, .link_changes = server.link_changes},
        fleet_.entries(), record, problems);
  }
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
  out << "sent " << record.sent << ", writes " << record.writes.size();
  for (const auto& [status, count] : record.responses)
    out << ", " << status << ": " << count;
  out << "\nfaults";
  for (const auto& [fault, count] : faults_)
    out << ", " << NameOf(fault) << " " << count;
  out << "\n";
  for (const std::string& problem : problems)
    out << "BROKEN: " << problem << "\n";
  return problems.empty();
}

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("program", po::value<std::string>()->required(),
                        "path of the program cicadadrum-platform")(
      "seed", po::value<std::uint64_t>()->default_value(1),
      "seed of the random faults and requests")(
      "seconds", po::value<std::int64_t>()->default_value(20),
      "duration of the time with faults, in seconds")(
      "entries", po::value<std::size_t>()->default_value(4),
      "number of entry VMs, 1 to 200");
  return options;
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  std::signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/cicadadrum-soak-XXXXXX";
  if (mkdtemp(folder) == nullptr)
    return leaf::new_error(
        Error{ErrorCode::kFileUnreadable, "can't create a folder in /tmp"});
  const auto seed = values["seed"].as<std::uint64_t>();
  Soak soak(values["program"].as<std::string>(), folder, seed,
            values["entries"].as<std::size_t>());
  soak.Run(Seconds(values["seconds"].as<std::int64_t>()));
  const bool passed = soak.Report(std::cout);
  std::cout << "seed " << seed << (passed ? ": held" : ": broken")
            << "; logs are in " << folder << "\n";
  return passed ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace

}  // namespace cicadadrum::platform

int main(int argc, char** argv) {
  const cicadadrum::ProgramInfo info{"cicadadrum-soak",
                                     "injects faults into entry VM processes "
                                     "and checks responses and executions"};
  const auto parsed = cicadadrum::ParseCommandLine(
      info, cicadadrum::platform::Options(), {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(
      info, [&] { return cicadadrum::platform::Run(parsed.values); });
}
