// Starts and ends the processes of a small deployment.

#include "deployment.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace cicadadrum::review {

namespace {

constexpr int kPortsPerVm = 5;
constexpr milliseconds kReadyTime(20'000);
// Time for the VMs to learn of each other and of the servers.
constexpr milliseconds kSettleTime(4000);
constexpr milliseconds kPoll(100);

// Returns the first command of the deploy file.
std::string DeployCommand() {
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with("run = \""))
      continue;
    const std::size_t begin = line.find('"') + 1;
    return line.substr(begin, line.rfind('"') - begin);
  }
  return {};
}

// Returns three numbers of a loopback network that differ for each process.
std::string LoopbackNetwork() {
  const int pid = getpid();
  return "127." + std::to_string(100 + pid / 250 % 100) + "." +
         std::to_string(1 + pid % 250) + ".";
}

// Returns the first of several ports that are free on the address.
int FreePorts(const std::string& ip) {
  constexpr int kFirst = 18'000;
  constexpr int kLast = 28'000;
  for (int port = kFirst; port < kLast; port += 10) {
    bool is_free = true;
    for (int i = 0; i < kPortsPerVm; ++i)
      is_free = is_free && Listen(ip, port + i).is_open();
    if (is_free)
      return port;
  }
  return 0;
}

std::string JsonList(const std::vector<std::string>& items) {
  std::string json;
  for (const std::string& item : items)
    json += (json.empty() ? "" : ",") + item;
  return "[" + json + "]";
}

}  // namespace

Deployment::Deployment(Record& record)
    : record_(record), network_(LoopbackNetwork()), command_(DeployCommand()) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(folder.data()) == nullptr ? "." : folder;
  front_port_ = FreePorts(Ip(1));
  store_ = std::make_unique<Store>(Ip(200));
}

Deployment::~Deployment() {
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    SignalVm(i, SIGCONT);
    SignalVm(i, SIGKILL);
    if (vms_[i].pid > 0)
      waitpid(vms_[i].pid, nullptr, 0);
  }
  servers_.clear();
  store_.reset();
  std::error_code ignored;
  if (folder_ != ".")
    std::filesystem::remove_all(folder_, ignored);
}

std::string Deployment::Ip(int number) const {
  return network_ + std::to_string(number);
}

void Deployment::PutConfiguration(int version,
                                  const std::vector<RouteOptions>& routes) {
  std::vector<std::string> route_rows;
  std::vector<std::string> service_rows;
  std::vector<std::string> services;
  for (const RouteOptions& route : routes) {
    route_rows.push_back(
        R"({"name":")" + route.name + R"(","host":")" + kHost +
        R"(","prefix":")" + route.prefix + R"(","kind":")" + route.kind +
        R"(","timeoutMilliseconds":)" + std::to_string(route.timeout_ms) +
        R"(,"latencyObjectiveMilliseconds":500,"priority":1,"service":")" +
        route.service + R"(","attempts":)" + std::to_string(route.attempts) +
        R"(,"sticky":true,"homeRegions":[]})");
    if (std::find(services.begin(), services.end(), route.service) !=
        services.end())
      continue;
    services.push_back(route.service);
    service_rows.push_back(
        R"({"name":")" + route.service +
        R"(","healthPath":"/health","maxConnections":330,"protocol":"h1",)" +
        R"("tls":false,"coldStartSeconds":3.0,"coldRequestsPerSecond":11.0})");
  }
  store_->Put("op", "config",
              R"({"version":)" + std::to_string(version) + R"(,"routes":)" +
                  JsonList(route_rows) + R"(,"services":)" +
                  JsonList(service_rows) +
                  R"(,"limits":{"headerBytes":16384,"bodyBytes":67108864,)" +
                  R"("headerTimeoutMilliseconds":3000,)" +
                  R"("idleTimeoutMilliseconds":15000}})");
}

void Deployment::AddServer(const std::string& service,
                           const std::string& failure_domain,
                           Server::Handler handler) {
  const int number = static_cast<int>(servers_.size());
  servers_.push_back(std::make_unique<Server>(
      *store_, record_,
      ServerOptions{.name = "i-" + std::to_string(number),
                    .service = service,
                    .failure_domain = failure_domain,
                    .ip = Ip(100 + number)},
      std::move(handler)));
}

std::vector<ServerRun> Deployment::Runs() {
  std::vector<ServerRun> all;
  for (const auto& server : servers_) {
    const std::vector<ServerRun> runs = server->runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  std::sort(all.begin(), all.end(),
            [](const ServerRun& a, const ServerRun& b) { return a.at < b.at; });
  return all;
}

void Deployment::AddVm(const VmPlace& place) {
  vms_.push_back({.place = place});
}

// Writes what the template of the deploy file gives for this VM.
void Deployment::WriteSettings(std::size_t vm) const {
  const VmPlace& place = vms_[vm].place;
  const std::string ip = VmIp(vm);
  const auto address = [&](int port) {
    return "\"" + ip + ":" + std::to_string(front_port_ + port) + "\"";
  };
  std::vector<std::string> seeds;
  std::vector<std::string> domains;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    if (i < 3)
      seeds.push_back("\"" + VmIp(i) + ":8382\"");
    const VmPlace& other = vms_[i].place;
    const std::string domain = R"({"failureDomain":")" + other.failure_domain +
                               R"(","region":")" + other.region + R"("})";
    if (std::find(domains.begin(), domains.end(), domain) == domains.end())
      domains.push_back(domain);
  }
  std::ofstream file(folder_ + "/" + place.name + ".json");
  file << R"({"name":")" << place.name << R"(","region":")" << place.region
       << R"(","failureDomain":")" << place.failure_domain
       << R"(","callerAddress":)" << address(0) << R"(,"readinessAddress":)"
       << address(1) << R"(,"lookupAddress":)" << address(2)
       << R"(,"peerAddress":)" << address(3) << R"(,"metricsAddress":)"
       << address(4) << R"(,"linkMegabitsPerSecond":1000.0,)"
       << R"("processorShare":0.2,"processorSpeed":1,"memoryMegabytes":)"
       << kMemoryMegabytes << R"(,"storeAddress":")" << store_->address()
       << R"(","seeds":)" << JsonList(seeds) << R"(,"failureDomains":)"
       << JsonList(domains)
       << R"(,"bounds":{"retryBudgetExtra":58,"retryWindowSeconds":10,)"
       << R"("retryBudgetRatio":0.2,"coldLoadFactor":1.5,)"
       << R"("coldExtraRequests":5,"drainMilliseconds":2500,)"
       << R"("configurationMilliseconds":2500,"maxShift":0.15,)"
       << R"("lookupLifetimeSeconds":5,"stopSeconds":)" << kGrace.count() / 1000
       << "}}\n";
}

bool Deployment::StartVm(std::size_t vm) {
  WriteSettings(vm);
  Vm& started = vms_[vm];
  const std::string settings =
      "CICADADRUM_CONFIG=" + folder_ + "/" + started.place.name + ".json";
  const std::string log = folder_ + "/" + started.place.name + ".log";
  std::string path = "PATH=/usr/bin:/bin";
  std::string variable = settings;
  std::array<char*, 3> environment = {path.data(), variable.data(), nullptr};
  std::istringstream words(command_);
  std::vector<std::string> parts;
  for (std::string word; words >> word;)
    parts.push_back(word);
  std::vector<char*> arguments;
  arguments.reserve(parts.size() + 1);
  for (std::string& part : parts)
    arguments.push_back(part.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      parts.empty()
          ? ENOENT
          : posix_spawn(&started.pid, arguments.front(), &actions, nullptr,
                        arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    started.pid = -1;
  record_.Write("vm " + started.place.name +
                (error == 0 ? " starts" : " can't be started"));
  return error == 0;
}

bool Deployment::IsVmRunning(std::size_t vm) {
  if (vms_[vm].pid > 0 && waitpid(vms_[vm].pid, nullptr, WNOHANG) != 0)
    vms_[vm].pid = -1;
  return vms_[vm].pid > 0;
}

void Deployment::SignalVm(std::size_t vm, int signal) {
  if (!IsVmRunning(vm))
    return;
  record_.Write("vm " + vms_[vm].place.name + " gets signal " +
                std::to_string(signal));
  kill(vms_[vm].pid, signal);
}

double Deployment::VmMemoryMegabytes(std::size_t vm) const {
  std::ifstream file("/proc/" + std::to_string(vms_[vm].pid) + "/statm");
  double pages = 0;
  double resident_pages = 0;
  file >> pages >> resident_pages;
  return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double Deployment::VmProcessorSeconds(std::size_t vm) const {
  std::ifstream file("/proc/" + std::to_string(vms_[vm].pid) + "/stat");
  std::string word;
  double ticks = 0;
  constexpr int kUserTicks = 14;
  constexpr int kSystemTicks = 15;
  for (int i = 1; i <= kSystemTicks && file >> word; ++i) {
    if (i == kUserTicks || i == kSystemTicks)
      ticks += std::strtod(word.c_str(), nullptr);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

bool Deployment::IsReady(std::size_t vm) const {
  const Message request{.start_line = "GET /readiness HTTP/1.1",
                        .headers = {{"Host", VmIp(vm)}}};
  return Call(VmIp(vm), front_port_ + 1, request, milliseconds(500)).status() ==
         200;
}

bool Deployment::WaitUntilReady() {
  const Clock::time_point until = Clock::now() + kReadyTime;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    while (!IsReady(vm)) {
      if (Clock::now() >= until || !IsVmRunning(vm))
        return false;
      std::this_thread::sleep_for(kPoll);
    }
  }
  std::this_thread::sleep_for(kSettleTime);
  return true;
}

Message MakeRequest(const std::string& method,
                    const std::string& target,
                    const std::string& id,
                    milliseconds deadline) {
  return {.start_line = method + " " + target + " HTTP/1.1",
          .headers = {{"Host", kHost},
                      {"Cicadadrum-Request-Id", id},
                      {"Cicadadrum-Request-Deadline-Ms",
                       std::to_string(deadline.count())}}};
}

Message Call(const std::string& ip,
             int port,
             const Message& request,
             milliseconds deadline) {
  const Clock::time_point until = Clock::now() + deadline;
  const Socket socket = Connect(ip, port);
  if (!socket.is_open() || !SendAll(socket, Serialize(request)))
    return {};
  MessageReader reader(socket);
  return reader.Read(until, true);
}

}  // namespace cicadadrum::review
