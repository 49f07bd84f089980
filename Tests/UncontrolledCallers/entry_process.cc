// Starts cicadadrum-platform and reads /proc.

#include "entry_process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "free_address.h"

namespace cicadadrum::platform {

namespace {

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "callers-XXXXXX").string();
  return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

std::string FormatSetting(const std::string& key, const std::string& value) {
  return "  \"" + key + "\": \"" + value + "\",\n";
}

}  // namespace

EntryProcess::EntryProcess(const EntryProcessOptions& options)
    : folder_(MakeFolder()),
      caller_address_(FindFreeAddress()),
      readiness_address_(FindFreeAddress()),
      lookup_address_(FindFreeAddress()) {
  const std::string settings_path = folder_ + "/settings.json";
  std::ofstream(settings_path)
      << "{\n"
      << FormatSetting("name", "entry-1") << FormatSetting("region", "north")
      << FormatSetting("failureDomain", "north-a")
      << FormatSetting("callerAddress", caller_address_)
      << FormatSetting("readinessAddress", readiness_address_)
      << FormatSetting("lookupAddress", lookup_address_)
      << FormatSetting("peerAddress", FindFreeAddress())
      << FormatSetting("storeAddress", options.store_address)
      << "  \"memoryMegabytes\": " << options.memory_megabytes << ",\n"
      << "  \"failureDomains\": [{\"failureDomain\": \"north-a\", \"region\": "
         "\"north\"}]\n}\n";
  const std::string log_path = folder_ + "/log";
  pid_ = fork();
  if (pid_ != 0)
    return;
  const rlimit descriptors{.rlim_cur = options.max_descriptors,
                           .rlim_max = options.max_descriptors};
  setrlimit(RLIMIT_NOFILE, &descriptors);
  const int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execl(PLATFORM_PROGRAM, PLATFORM_PROGRAM, "--settings", settings_path.c_str(),
        nullptr);
  _exit(127);
}

EntryProcess::~EntryProcess() {
  if (IsAlive()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

bool EntryProcess::IsAlive() {
  if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
    pid_ = 0;
  return pid_ != 0;
}

std::uint64_t EntryProcess::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t EntryProcess::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(pid_) + "/fd", error);
  return error ? 0 : static_cast<std::uint64_t>(std::distance(begin(open), {}));
}

}  // namespace cicadadrum::platform
