// Starts, signals and restarts the processes of the entry VMs.

#include "fleet.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include "checks.h"
#include "configurations.h"
#include "free_address.h"

namespace cicadadrum::platform {

namespace {

constexpr Duration kRestartDelay = Milliseconds(300);

// Time that a program may need to load. Until the program has loaded, it has no
// handler for SIGTERM, and the signal's default action ends the process.
constexpr Duration kLoadTime = Milliseconds(250);

// Describes an exit status that waitpid() has reported.
std::string DescribeExit(int status) {
  return WIFSIGNALED(status)
             ? "signal " + std::to_string(WTERMSIG(status))
             : "exit code " + std::to_string(WEXITSTATUS(status));
}

std::string FormatSetting(const std::string& key, const std::string& value) {
  return "  \"" + key + "\": \"" + value + "\",\n";
}

std::string FormatFailureDomains() {
  std::string text;
  for (const SoakFailureDomain& domain : SoakFailureDomains())
    text += (text.empty() ? "" : ", ") + std::string("{\"failureDomain\": \"") +
            domain.name + "\", \"region\": \"" + domain.region + "\"}";
  return text;
}

}  // namespace

Fleet::Fleet(EventLoop& loop,
             const std::string& program,
             const std::string& folder,
             const std::string& store_address,
             std::size_t count,
             double memory_megabytes)
    : loop_(loop), program_(program), entries_(count) {
  // An entry VM connects to the seeds on its own peer port, so all entry VMs
  // share this port and differ in the IP address.
  const std::string free_address = FindFreeAddress();
  const std::string peer_port = free_address.substr(free_address.rfind(':'));
  std::string seeds;
  for (std::size_t i = 0; i < std::min<std::size_t>(count, 3); ++i)
    seeds += (i == 0 ? "" : ", ") + std::string("\"127.0.0.") +
             std::to_string(i + 2) + ":1\"";
  for (std::size_t i = 0; i < count; ++i) {
    EntryProcess& entry = entries_[i];
    const SoakFailureDomain& domain = SoakFailureDomainOf(i);
    entry.name = "entry-" + std::to_string(i + 1);
    entry.settings_path = folder + "/" + entry.name + ".json";
    entry.caller_address = FindFreeAddress();
    entry.readiness_address = FindFreeAddress();
    entry.store_proxy = std::make_unique<FaultProxy>(loop, store_address);
    std::ofstream file(entry.settings_path);
    file << "{\n"
         << FormatSetting("name", entry.name)
         << FormatSetting("region", domain.region)
         << FormatSetting("failureDomain", domain.name)
         << FormatSetting("callerAddress", entry.caller_address)
         << FormatSetting("readinessAddress", entry.readiness_address)
         << FormatSetting("lookupAddress", FindFreeAddress())
         << FormatSetting("peerAddress",
                          "127.0.0." + std::to_string(i + 2) + peer_port)
         << FormatSetting("storeAddress", entry.store_proxy->address())
         << "  \"memoryMegabytes\": " << memory_megabytes << ",\n"
         << "  \"seeds\": [" << seeds << "],\n"
         << "  \"failureDomains\": [" << FormatFailureDomains() << "],\n"
         << "  \"bounds\": {\"retryBudgetExtra\": 60, \"stopSeconds\": 3, "
            "\"configurationMilliseconds\": "
         << kConfigurationBound / Milliseconds(1) << "}\n}\n";
  }
}

Fleet::~Fleet() {
  for (EntryProcess& entry : entries_) {
    if (entry.pid == 0)
      continue;
    kill(entry.pid, SIGKILL);
    waitpid(entry.pid, nullptr, 0);
  }
}

void Fleet::Start(EntryProcess& entry) {
  entry.restart_at = kNever;
  entry.started_at = loop_.Now();
  entry.is_stopped_early = false;
  entry.disturbances.push_back(loop_.Now());
  entry.is_stopping = false;
  ++entry.process_count;
  const std::string log_path = entry.settings_path + ".log";
  entry.pid = fork();
  if (entry.pid != 0)
    return;
  const int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(program_.c_str(), program_.c_str(), "--settings",
        entry.settings_path.c_str(), nullptr);
  _exit(127);
}

void Fleet::Signal(EntryProcess& entry, int signal_number) {
  if (entry.pid == 0)
    return;
  kill(entry.pid, signal_number);
  entry.disturbances.push_back(loop_.Now());
  if (signal_number == SIGTERM && loop_.Now() < entry.started_at + kLoadTime)
    entry.is_stopped_early = true;
  if (signal_number == SIGTERM)
    entry.is_stopping = true;
  if (signal_number == SIGSTOP)
    entry.is_paused = true;
  if (signal_number == SIGCONT)
    entry.is_paused = false;
}

void Fleet::EndPauses() {
  for (EntryProcess& entry : entries_) {
    if (entry.is_paused)
      Signal(entry, SIGCONT);
  }
}

void Fleet::Advance(TimePoint now) {
  for (EntryProcess& entry : entries_) {
    if (entry.is_paused && now >= entry.resume_at)
      Signal(entry, SIGCONT);
    int status = 0;
    if (entry.pid != 0 && waitpid(entry.pid, &status, WNOHANG) == entry.pid) {
      entry.pid = 0;
      entry.is_paused = false;
      entry.restart_at = now + kRestartDelay;
      const bool was_killed =
          WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
      const bool has_stopped = WIFEXITED(status) && WEXITSTATUS(status) == 0;
      const bool has_stopped_early = entry.is_stopped_early &&
                                     WIFSIGNALED(status) &&
                                     WTERMSIG(status) == SIGTERM;
      if (!was_killed && !has_stopped && !has_stopped_early)
        unexpected_exits_.push_back(entry.name + " ended with " +
                                    DescribeExit(status));
    }
    if (entry.pid == 0 && now >= entry.restart_at)
      Start(entry);
  }
}

}  // namespace cicadadrum::platform
