#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace review {

namespace {

// The command of the deploy file.
constexpr const char* kProgram = "target/platform/cicadadrum-platform";
constexpr Milliseconds kReadyTime{10'000};
constexpr Milliseconds kHeartbeat{1500};

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63] : '=';
  }
  return text;
}

// Returns the value of a parameter of the query.
std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* before : {"?", "&"}) {
    const std::size_t at = target.find(before + name + "=");
    if (at == std::string::npos)
      continue;
    const std::size_t begin = at + name.size() + 2;
    const std::size_t end = target.find('&', begin);
    return target.substr(begin, end == std::string::npos ? end : end - begin);
  }
  return {};
}

std::string Configuration(int timeout_ms) {
  std::string routes;
  for (const char* name : {"read", "write", "upload"}) {
    const std::string text(name);
    routes += (routes.empty() ? "" : ",") + std::string("{\"name\":\"r-") +
              text + R"(","host":"board.example","prefix":"/)" + text +
              R"(/","kind":")" +
              (text == "read"    ? "safe"
               : text == "write" ? "unsafe"
                                 : "upload") +
              R"(","timeoutMilliseconds":)" + std::to_string(timeout_ms) +
              R"(,"latencyObjectiveMilliseconds":500,"priority":1,)"
              R"("service":"board","attempts":2,"sticky":false,)"
              R"("homeRegions":[]})";
  }
  return R"({"version":7,"routes":[)" + routes +
         R"(],"services":[{"name":"board","healthPath":"/health",)"
         R"("maxConnections":390,"coldStartSeconds":3.0,)"
         R"("coldRequestsPerSecond":10.0}],"limits":{"headerBytes":16384,)"
         R"("bodyBytes":67108864,"headerTimeoutMilliseconds":3000,)"
         R"("idleTimeoutMilliseconds":15000}})";
}

// When this process started.
std::int64_t StartUnixMs() {
  static const std::int64_t started =
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return started;
}

}  // namespace

std::string TargetOf(const Message& request) {
  std::istringstream line(request.first_line);
  std::string method;
  std::string target;
  line >> method >> target;
  return target;
}

std::string ServerEntry(const ServerState& state) {
  return R"({"service":"board","address":")" + state.address.Text() +
         R"(","failureDomain":"cusco-a","version":"v1","slots":)" +
         std::to_string(state.slots) +
         R"(,"state":"ready","coldLeftMilliseconds":)" +
         std::to_string(state.cold_left_ms) + R"(,"born":)" +
         std::to_string(StartUnixMs() - state.up_ms) + R"(,"sequence":)" +
         std::to_string(state.sequence) + "}";
}

Record::Record(const std::string& path) : file_(path) {}

double Record::Seconds() const {
  return std::chrono::duration<double>(Clock::now() - started_at_).count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Seconds());
  file_ << time.data() << text << std::endl;
}

Store::Store(std::size_t machines) : is_away_(machines) {
  for (std::size_t i = 0; i < machines; ++i)
    hosts_.push_back(std::make_unique<Host>(
        "127.0.0.1",
        [this, i](const Message& request) { return Handle(i, request); }));
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {.value = {}, .version = ++version_, .removed = true};
  changed_.notify_all();
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  tables_[table][key] = {.value = value, .version = ++version_};
  changed_.notify_all();
}

void Store::SetAway(std::size_t machine, bool is_away) {
  const std::lock_guard lock(mutex_);
  is_away_[machine] = is_away;
  changed_.notify_all();
}

std::size_t Store::WaitForAnswer(const std::string& table) {
  std::unique_lock lock(mutex_);
  const std::size_t before = answered_[table].size();
  changed_.wait(lock, [&] { return answered_[table].size() > before; });
  return answered_[table].back();
}

std::string Store::RowsAfter(const std::string& table,
                             std::uint64_t after,
                             bool all) const {
  std::string rows;
  const auto found = tables_.find(table);
  if (found == tables_.end())
    return rows;
  for (const auto& [key, row] : found->second) {
    if (all ? row.removed : row.version <= after)
      continue;
    rows += (rows.empty() ? R"({"table":")" : R"(,{"table":")") + table +
            R"(","part":"","key":")" + key + R"(","rowVersion":)" +
            std::to_string(row.version);
    rows += row.removed ? std::string(R"(,"removed":true})")
                        : R"(,"value":")" + EncodeBase64(row.value) + R"("})";
  }
  return rows;
}

std::string Store::Handle(std::size_t machine, const Message& request) {
  const std::string target = TargetOf(request);
  const std::string table = Parameter(target, "table");
  const bool is_feed = target.starts_with("/rows-feed");
  if (!is_feed && !target.starts_with("/rows-get"))
    return Response(404, {}, "");
  const std::uint64_t after =
      is_feed ? std::strtoull(Parameter(target, "after").c_str(), nullptr, 10)
              : 0;
  const Milliseconds wait(
      std::strtol(Parameter(target, "wait_ms").c_str(), nullptr, 10));
  std::unique_lock lock(mutex_);
  if (is_feed)
    changed_.wait_for(lock, wait, [&] {
      return is_away_[machine] || !RowsAfter(table, after, false).empty();
    });
  if (is_away_[machine])
    return Response(503, {{"Store-Era", "1"}}, "");
  if (is_feed) {
    answered_[table].push_back(machine);
    changed_.notify_all();
  }
  const std::string body = R"({"rows":[)" + RowsAfter(table, after, !is_feed) +
                           R"(],"hasMore":false,"rowVersion":)" +
                           std::to_string(version_) + R"(,"now_ms":1000})";
  return Response(
      200, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body);
}

Server::Server(std::string id, std::size_t large_bytes, Record& record)
    : id_(std::move(id)),
      large_bytes_(large_bytes),
      record_(record),
      host_(std::make_unique<Host>("127.0.0.1", [this](const Message& request) {
        return Handle(request);
      })) {}

std::string Server::Entry() {
  return ServerEntry(
      {.address = host_->address(), .slots = 8, .sequence = ++sequence_});
}

std::string Server::Handle(const Message& request) {
  const std::string target = TargetOf(request);
  if (target == "/health")
    return Response(200,
                    {{"Cicadadrum-Instance-Id", id_},
                     {"Cicadadrum-Server-Load", "0,0,8,100"}},
                    "");
  const std::string id = FindField(request.fields, "Cicadadrum-Request-Id");
  if (FindField(request.fields, "Cicadadrum-Expect-Instance") != id_)
    return Response(421,
                    {{"Cicadadrum-Request-Id", id},
                     {"Cicadadrum-Not-Executed", "1"},
                     {"Cicadadrum-Instance-Id", id_}},
                    "");
  record_.Line("server " + id_ + " runs " + id);
  const std::string body = target.ends_with("/large")
                               ? std::string(large_bytes_, 'x')
                               : "body of " + id;
  return Response(200,
                  {{"Cicadadrum-Request-Id", id},
                   {"Cicadadrum-Response-Seal", "seal-of-" + id},
                   {"Cicadadrum-Server-Load", "0,0,8,100"}},
                  body);
}

Deployment::Deployment(const DeploymentOptions& options, Record& record)
    : options_(options), record_(record), store_(options.entries) {
  store_.Put("op", "config", Configuration(options.timeout_ms));
  for (std::size_t i = 0; i < options.servers; ++i) {
    servers_.push_back(std::make_unique<Server>("i-0000000" + std::to_string(i),
                                                options.large_bytes, record));
    store_.Put("servers", servers_.back()->id(), servers_.back()->Entry());
  }
  peer_port_ = FreeAddress("127.0.0.2").port;
  for (std::size_t i = 0; i < options.entries; ++i) {
    const std::string ip = "127.0.0." + std::to_string(i + 2);
    entries_.push_back({.name = "front-cusco-a-" + std::to_string(i + 1),
                        .callers = FreeAddress(ip),
                        .readiness = FreeAddress(ip),
                        .lookups = FreeAddress(ip)});
    Start(entries_.back(), Settings(entries_.back(), i));
  }
}

void Deployment::Finish(int result) {
  for (const Entry& entry : entries_) {
    if (entry.pid == 0)
      continue;
    kill(entry.pid, SIGKILL);
    waitpid(entry.pid, nullptr, 0);
  }
  std::_Exit(result);
}

// The settings that deploy/settings.json.template renders.
std::string Deployment::Settings(const Entry& entry, std::size_t index) const {
  const std::string ip = "127.0.0." + std::to_string(index + 2);
  std::ostringstream text;
  text << R"({"name": ")" << entry.name << R"(", "region": "cusco",)"
       << R"("failureDomain": "cusco-a", "callerAddress": ")"
       << entry.callers.Text() << R"(", "readinessAddress": ")"
       << entry.readiness.Text() << R"(", "lookupAddress": ")"
       << entry.lookups.Text() << R"(", "peerAddress": ")" << ip << ":"
       << peer_port_ << R"(", "metricsAddress": ")" << FreeAddress(ip).Text()
       << R"(", "linkMegabitsPerSecond": 1000.0, "processorShare": 0.2,)"
       << R"("processorSpeed": 1, "memoryMegabytes": )" << options_.memory_mb
       << R"(, "storeAddress": ")" << store_.address(index).Text()
       << R"(", "seeds": [)" << options_.seeds << "],"
       << R"("failureDomains": [{"failureDomain": "cusco-a",)"
       << R"("region": "cusco"}], "bounds": {"retryBudgetExtra": 62,)"
       << R"("retryWindowSeconds": 10, "retryBudgetRatio": 0.2,)"
       << R"("coldLoadFactor": 1.5, "coldExtraRequests": 5,)"
       << R"("drainMilliseconds": )" << options_.drain_ms
       << R"(, "configurationMilliseconds": 2000,)"
       << R"("maxShift": 0.15, "lookupLifetimeSeconds": 5,)"
       << R"("stopSeconds": 6}})";
  return text.str();
}

void Deployment::Start(Entry& entry, const std::string& settings) {
  const std::string path = options_.folder + "/" + entry.name + ".json";
  std::ofstream(path) << settings;
  const std::string log = options_.folder + "/" + entry.name + ".log";
  // Between fork and exec, other threads may hold the lock of the allocator.
  std::string variable = "CICADADRUM_CONFIG=" + path;
  std::string program = kProgram;
  const std::array<char*, 2> arguments{program.data(), nullptr};
  const std::array<char*, 2> environment{variable.data(), nullptr};
  entry.pid = fork();
  if (entry.pid != 0)
    return record_.Line(entry.name + " started, callers at " +
                        entry.callers.Text());
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const auto max_fds = static_cast<rlim_t>(options_.max_fds);
  const rlimit limit{.rlim_cur = max_fds, .rlim_max = max_fds};
  setrlimit(RLIMIT_NOFILE, &limit);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execve(kProgram, arguments.data(), environment.data());
  _exit(127);
}

bool Deployment::WaitUntilReady() {
  const auto until = Clock::now() + kReadyTime;
  for (const Entry& entry : entries_) {
    bool is_ready = false;
    while (!is_ready && Clock::now() < until) {
      Stream stream = Stream::Connect(entry.readiness);
      is_ready =
          stream.IsOpen() &&
          stream.Send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          stream.Read(Clock::now() + Milliseconds(500)).Status() == 200;
      std::this_thread::sleep_for(Milliseconds(50));
    }
    if (!is_ready)
      return false;
  }
  // The members find each other, and the servers beat once.
  std::this_thread::sleep_for(kHeartbeat);
  PutServers();
  std::this_thread::sleep_for(kHeartbeat);
  return true;
}

void Deployment::PutServers() {
  for (const auto& server : servers_)
    store_.Put("servers", server->id(), server->Entry());
}

void Deployment::Signal(Entry& entry, int number) {
  record_.Line("signal " + std::to_string(number) + " to " + entry.name);
  if (entry.pid != 0)
    kill(entry.pid, number);
}

bool Deployment::IsRunning(Entry& entry) {
  if (entry.pid != 0 && waitpid(entry.pid, nullptr, WNOHANG) == entry.pid)
    entry.pid = 0;
  return entry.pid != 0;
}

std::uint64_t Deployment::PeakMemoryKb(const Entry& entry) {
  std::ifstream status("/proc/" + std::to_string(entry.pid) + "/status");
  std::string word;
  while (status >> word) {
    std::uint64_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes)
      return kilobytes;
  }
  return 0;
}

std::string RequestText(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        int deadline_ms,
                        std::string_view body,
                        const std::string& more_fields) {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: board.example\r\n"
                     "Cicadadrum-Request-Id: " +
                     id + "\r\nCookie: Cicadadrum-Affinity-Key=17\r\n";
  text += "Cicadadrum-Request-Deadline-Ms: " + std::to_string(deadline_ms) +
          "\r\n" + more_fields;
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text.append("\r\n").append(body);
}

std::string LookUp(const Entry& entry) {
  Stream stream = Stream::Connect(entry.lookups);
  if (!stream.IsOpen() ||
      !stream.Send("GET /resolve?name=board.example&region=cusco&"
                   "failureDomain=cusco-a HTTP/1.1\r\nHost: lookup\r\n\r\n"))
    return {};
  return stream.Read(Clock::now() + Milliseconds(1000)).message.body;
}

std::string Variable(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

}  // namespace review
