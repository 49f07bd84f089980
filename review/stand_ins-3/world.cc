// Entry VM processes, callers, and what all cases share.

#include "world.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <stdexcept>

namespace review {

namespace {

// As the deploy file has it. The working folder is the repository's root.
constexpr const char* kProgram = "target/platform/cicadadrum-platform";

// Below the ports that the kernel gives to connections.
constexpr int kFirstPort = 12'000;
constexpr int kPorts = 15'000;

constexpr double kAnswerTimeoutMs = 6000;
constexpr double kConnectTimeoutMs = 1000;
constexpr int kObjects = 400;

unsigned RandomNumber() {
  static std::random_device device;
  return device();
}

}  // namespace

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  file_ << Format(NowMs()) << " " << line << "\n";
}

void Record::Tell(const std::string& line) {
  Write(line);
  const std::lock_guard lock(mutex_);
  file_.flush();
  std::cout << line << std::endl;
}

std::string Format(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", value);
  return text.data();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string ConfigurationBody(const std::vector<Route>& routes,
                              const ServiceRule& rule) {
  std::string list;
  for (const Route& route : routes) {
    list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") +
            route.name + "\",\"host\":\"" + kHost + "\",\"prefix\":\"" +
            route.prefix + "\",\"kind\":\"" + route.kind +
            "\",\"timeoutMilliseconds\":" + std::to_string(route.timeout_ms) +
            ",\"latencyObjectiveMilliseconds\":300,\"priority\":1,"
            "\"service\":\"desk\",\"attempts\":2,\"sticky\":true,"
            "\"homeRegions\":[]}";
  }
  return "{\"version\":7,\"routes\":[" + list +
         "],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\","
         "\"maxConnections\":390,\"protocol\":\"h1\",\"tls\":false,"
         "\"coldStartSeconds\":" +
         Format(rule.cold_seconds) +
         ",\"coldRequestsPerSecond\":" + Format(rule.cold_per_second) +
         "}],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":67108864,"
         "\"headerTimeoutMilliseconds\":3000,\"idleTimeoutMilliseconds\":"
         "15000}}";
}

Entry::Entry(std::string name,
             Zone zone,
             std::string ip,
             int port_base,
             std::string folder)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      ip_(std::move(ip)),
      port_base_(port_base),
      folder_(std::move(folder)) {}

Entry::~Entry() {
  Kill();
}

std::string Entry::SettingsPath() const {
  return folder_ + "/" + name_ + ".json";
}

std::string Entry::seed() const {
  return ip_ + ":" + std::to_string(port_base_ + 4);
}

void Entry::WriteSettings(const Address& store,
                          const std::vector<std::string>& seeds,
                          const std::vector<Zone>& zones) const {
  std::string seed_list;
  for (const std::string& seed : seeds)
    seed_list += (seed_list.empty() ? "\"" : ",\"") + seed + "\"";
  std::string zone_list;
  for (const Zone& zone : zones)
    zone_list += (zone_list.empty() ? "" : ",") +
                 std::string("{\"failureDomain\":\"") + zone.name +
                 "\",\"region\":\"" + zone.region + "\"}";
  const auto port = [&](int number) {
    return "\"" + ip_ + ":" + std::to_string(port_base_ + number) + "\"";
  };
  const std::string path = SettingsPath();
  {
    std::ofstream file(path + ".new");
    file << "{\"name\":\"" << name_ << "\",\"region\":\"" << zone_.region
         << "\",\"failureDomain\":\"" << zone_.name
         << "\",\n\"callerAddress\":" << port(0)
         << ",\"readinessAddress\":" << port(1)
         << ",\"lookupAddress\":" << port(2) << ",\"peerAddress\":" << port(3)
         << ",\"metricsAddress\":" << port(5)
         << ",\n\"linkMegabitsPerSecond\":1000.0,\"processorShare\":0.2,"
            "\"processorSpeed\":1,\"memoryMegabytes\":260,\n\"storeAddress\":\""
         << store.text() << "\",\"seeds\":[" << seed_list
         << "],\n\"failureDomains\":[" << zone_list
         << "],\n\"bounds\":{\"retryBudgetExtra\":62,\"retryWindowSeconds\":10,"
            "\"retryBudgetRatio\":0.2,\"coldLoadFactor\":1.5,"
            "\"coldExtraRequests\":5,\"drainMilliseconds\":2000,"
            "\"configurationMilliseconds\":2000,\"maxShift\":0.15,"
            "\"lookupLifetimeSeconds\":5,\"stopSeconds\":6}}\n";
  }
  std::filesystem::rename(path + ".new", path);
}

void Entry::Start() {
  const std::string log = folder_ + "/" + name_ + ".log";
  const std::string settings = "CICADADRUM_CONFIG=" + SettingsPath();
  const std::string path =
      "PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "");
  pid_ = fork();
  if (pid_ < 0)
    throw std::runtime_error("can't start a process");
  if (pid_ > 0)
    return;
  const int file =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  std::string program = kProgram;
  std::array<char*, 2> arguments = {program.data(), nullptr};
  std::string first = settings;
  std::string second = path;
  std::array<char*, 3> environment = {first.data(), second.data(), nullptr};
  execve(kProgram, arguments.data(), environment.data());
  _exit(127);
}

void Entry::Signal(int number) const {
  if (pid_ > 0)
    kill(pid_, number);
}

bool Entry::IsAlive() {
  if (pid_ <= 0)
    return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0)
    return true;
  pid_ = 0;
  return false;
}

bool Entry::WaitUntilReady(double timeout_ms) {
  const double until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    if (!IsAlive())
      return false;
    const int fd = Connect({ip_, port_base_ + 1}, kConnectTimeoutMs);
    if (fd >= 0) {
      Stream stream(fd);
      stream.Write("GET /readiness HTTP/1.1\r\nHost: " + ip_ + "\r\n\r\n");
      const auto answer = stream.ReadMessage(kConnectTimeoutMs);
      if (answer && answer->status == 200)
        return true;
    }
    SleepMs(50);
  }
  return false;
}

void Entry::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

std::uint64_t Entry::ResidentBytes() const {
  if (pid_ <= 0)
    return 0;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

SlowAnswer ReadSlowly(const Address& address,
                      const std::string& target,
                      const std::string& id,
                      int deadline_ms,
                      const Reading& reading) {
  constexpr std::size_t kPiece = 32'768;
  SlowAnswer answer;
  const int fd = Connect(address, kConnectTimeoutMs, kPiece);
  if (fd < 0)
    return answer;
  Stream stream(fd);
  if (!stream.Write("GET " + target + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nCicadadrum-Request-Id: " + id +
                    "\r\nCicadadrum-Request-Deadline-Ms: " +
                    std::to_string(deadline_ms) + "\r\n\r\n"))
    return answer;
  const double until = NowMs() + reading.timeout_ms;
  const auto head = stream.ReadHead(reading.timeout_ms);
  if (!head)
    return answer;
  answer.status = head->status;
  const auto size = static_cast<std::uint64_t>(
      std::atoll(FieldOf(head->fields, "Content-Length").c_str()));
  double next = NowMs();
  while (answer.bytes < size && NowMs() < until) {
    const std::size_t count = stream.ReadSome(
        std::min<std::uint64_t>(kPiece, size - answer.bytes), until - NowMs());
    if (count == 0)
      return answer;
    const bool was_before_pause = answer.bytes < reading.bytes_before_pause;
    answer.bytes += count;
    next += 1000 * static_cast<double>(count) / reading.bytes_per_second;
    SleepUntilMs(next);
    if (was_before_pause && answer.bytes >= reading.bytes_before_pause)
      SleepMs(reading.pause_ms);
  }
  answer.is_complete = answer.bytes == size;
  return answer;
}

std::string Lookup(const Entry& entry, const Zone& zone) {
  const int fd = Connect(entry.lookup_address(), kConnectTimeoutMs);
  if (fd < 0)
    return {};
  Stream stream(fd);
  stream.Write("GET /resolve?name=" + std::string(kHost) +
               "&region=" + zone.region + "&failureDomain=" + zone.name +
               " HTTP/1.1\r\nHost: " + entry.ip() + "\r\n\r\n");
  const auto answer = stream.ReadMessage(kConnectTimeoutMs);
  return answer && answer->status == 200 ? answer->body : std::string();
}

Callers::Callers(const Entry& entry, Record& record)
    : entry_(entry.name()), address_(entry.caller_address()), record_(record) {}

Callers::~Callers() {
  Stop();
}

void Callers::Start(int count,
                    double period_ms,
                    const std::string& method,
                    const std::string& prefix,
                    int deadline_ms) {
  for (int i = 0; i < count; ++i)
    threads_.emplace_back([=, this] {
      SleepMs(period_ms * i / count);
      Call(i, period_ms, method, prefix, deadline_ms);
    });
}

void Callers::Stop() {
  is_stopped_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

std::vector<Answer> Callers::answers() {
  const std::lock_guard lock(mutex_);
  return answers_;
}

void Callers::Call(int number,
                   double period_ms,
                   const std::string& method,
                   const std::string& prefix,
                   int deadline_ms) {
  std::unique_ptr<Stream> stream;
  double next = NowMs();
  for (int i = 0; !is_stopped_; ++i) {
    SleepUntilMs(next);
    next = std::max(next + period_ms, NowMs());
    const unsigned object = RandomNumber() % kObjects;
    const std::string id = entry_ + "-" + std::to_string(number) + "-" +
                           std::to_string(i) + "-" +
                           std::to_string(RandomNumber() % 100'000);
    const std::string request = Serialize(
        method + " " + prefix + std::to_string(object) + " HTTP/1.1",
        {{"Host", kHost},
         {"Cicadadrum-Request-Id", id},
         {"Cookie", "Cicadadrum-Affinity-Key=" + std::to_string(object)},
         {"Cicadadrum-Request-Deadline-Ms", std::to_string(deadline_ms)}},
        method == "POST" ? "work" : "");
    Answer answer = Ask(stream, request);
    answer.id = id;
    record_.Write("answer " + id + " sent " + Format(answer.sent_at) +
                  " status " + std::to_string(answer.status) +
                  (answer.has_seal ? " sealed" : ""));
    const std::lock_guard lock(mutex_);
    answers_.push_back(answer);
  }
}

Answer Callers::Ask(std::unique_ptr<Stream>& stream,
                    const std::string& request) {
  if (stream == nullptr || stream->HasPeerLeft()) {
    stream.reset();
    const int fd = Connect(address_, kConnectTimeoutMs);
    if (fd >= 0)
      stream = std::make_unique<Stream>(fd);
  }
  Answer answer;
  answer.entry = entry_;
  answer.sent_at = NowMs();
  if (stream != nullptr && stream->Write(request)) {
    const auto message = stream->ReadMessage(kAnswerTimeoutMs);
    if (message) {
      answer.status = message->status;
      answer.has_seal =
          !FieldOf(message->fields, "Cicadadrum-Response-Seal").empty();
    }
    if (!message || FieldOf(message->fields, "Connection") == "close")
      stream.reset();
  } else {
    stream.reset();
  }
  answer.ended_at = NowMs();
  return answer;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Place::Place()
    : network_(static_cast<int>(RandomNumber() % 60'000)),
      port_base_(kFirstPort + static_cast<int>(RandomNumber() % kPorts)) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("can't make a temporary folder");
  folder_ = pattern;
}

Place::~Place() {
  if (std::getenv("REVIEW_KEEP") == nullptr)
    std::filesystem::remove_all(folder_);
  else
    std::cout << "kept " << folder_ << std::endl;
}

std::string Place::Ip(int number) const {
  return "127." + std::to_string(1 + network_ / 250) + "." +
         std::to_string(1 + network_ % 250) + "." + std::to_string(number);
}

int RunCase(const std::string& record_path,
            const std::function<int(Place&, Record&)>& run) {
  std::signal(SIGPIPE, SIG_IGN);
  NowMs();
  Record record(record_path);
  try {
    Place place;
    return run(place, record);
  } catch (const std::exception& exception) {
    record.Tell(std::string("not run: ") + exception.what());
    return kNotRun;
  }
}

}  // namespace review
