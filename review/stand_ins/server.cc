// Stand-in of a backend server.

#include "server.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace cicadadrum::review {

namespace {

constexpr milliseconds kHeartbeat(1500);
constexpr milliseconds kAcceptWait(50);
constexpr milliseconds kReadTime(500);
// A crash ends the work on all requests within this time.
constexpr milliseconds kWorkStep(5);
// A crashed server is back after this time, as a new boot.
constexpr milliseconds kRestartTime(2000);
// The store removes the row of a silent server after three heartbeats.
constexpr milliseconds kRowLifetime(4500);

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Server::Server(Store& store,
               Record& record,
               ServerOptions options,
               Handler handler)
    : store_(store),
      record_(record),
      options_(std::move(options)),
      handler_(std::move(handler)) {
  const Socket first = Listen(options_.ip, 0);
  port_ = PortOf(first);
  thread_ = std::thread([this] { RunBoots(); });
}

Server::~Server() {
  stopping_ = true;
  thread_.join();
  for (std::thread& thread : serving_)
    thread.join();
}

std::vector<ServerRun> Server::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::string Server::Row(const Boot& boot, std::uint64_t sequence) const {
  return R"({"service":")" + options_.service + R"(","address":")" +
         options_.ip + ":" + std::to_string(port_) + R"(","failureDomain":")" +
         options_.failure_domain + R"(","version":"v1","slots":)" +
         std::to_string(options_.slots) +
         R"(,"state":"ready","coldLeftMilliseconds":0,"sequence":)" +
         std::to_string(sequence) + R"(,"born":)" +
         std::to_string(boot.born_unix_ms) + "}";
}

void Server::RunBoots() {
  for (int number = 1; !stopping_; ++number) {
    auto boot = std::make_shared<Boot>();
    boot->id = options_.name + "-" + std::to_string(number);
    boot->born_unix_ms = UnixMilliseconds();
    if (!RunBoot(boot))
      return;
    // The row of the crashed boot lapses while the next boot runs.
    const std::lock_guard lock(mutex_);
    serving_.emplace_back([this, id = boot->id] {
      const Clock::time_point until = Clock::now() + kRowLifetime;
      while (!stopping_ && Clock::now() < until)
        std::this_thread::sleep_for(kAcceptWait);
      store_.Remove("servers", id);
    });
  }
}

bool Server::RunBoot(const std::shared_ptr<Boot>& boot) {
  Socket listener = Listen(options_.ip, port_);
  if (!listener.is_open()) {
    record_.Write("server " + boot->id + " can't listen");
    return false;
  }
  record_.Write("server " + boot->id + " starts");
  std::uint64_t sequence = 1;
  Clock::time_point next_beat = Clock::now();
  while (boot->up && !stopping_) {
    if (Clock::now() >= next_beat) {
      store_.Put("servers", boot->id, Row(*boot, sequence++));
      next_beat += kHeartbeat;
    }
    Socket socket = Accept(listener, kAcceptWait);
    if (!socket.is_open())
      continue;
    const std::lock_guard lock(mutex_);
    serving_.emplace_back(
        [this, boot](Socket accepted) { Serve(boot, std::move(accepted)); },
        std::move(socket));
  }
  listener.Close();
  const Clock::time_point until = Clock::now() + kRestartTime;
  while (!stopping_ && Clock::now() < until)
    std::this_thread::sleep_for(kAcceptWait);
  return !stopping_;
}

void Server::Serve(const std::shared_ptr<Boot>& boot, Socket socket) {
  {
    const std::lock_guard lock(boot->mutex);
    boot->open.push_back(socket.fd());
  }
  MessageReader reader(socket);
  while (boot->up && !stopping_ && !reader.ended()) {
    const Message request = reader.Read(Clock::now() + kReadTime, false);
    if (!request.complete)
      continue;
    const Message response = Respond(*boot, request);
    if (!boot->up || response.start_line.empty() ||
        !SendAll(socket, Serialize(response, request.method() == "HEAD")))
      break;
  }
  const std::lock_guard lock(boot->mutex);
  std::erase(boot->open, socket.fd());
  if (boot->up)
    socket.Close();
  else
    socket.Reset();
}

Message Server::Respond(Boot& boot, const Message& request) {
  const std::string id = FindHeader(request.headers, "Cicadadrum-Request-Id");
  Message response{.start_line = "HTTP/1.1 200 OK"};
  response.headers.emplace_back("Cicadadrum-Instance-Id", boot.id);
  if (!id.empty())
    response.headers.emplace_back("Cicadadrum-Request-Id", id);
  if (request.target() == "/health")
    return response;
  if (id.empty()) {
    response.start_line = "HTTP/1.1 400 Bad Request";
    response.headers.emplace_back("Cicadadrum-Not-Executed", "1");
    return response;
  }
  const std::string expected =
      FindHeader(request.headers, "Cicadadrum-Expect-Instance");
  if (!expected.empty() && expected != boot.id) {
    response.start_line = "HTTP/1.1 421 Misdirected Request";
    return response;
  }
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back({Clock::now(), boot.id, id, request.method(),
                     request.target(), request.body});
  }
  record_.Write("server " + boot.id + " runs " + id + " " + request.method() +
                " " + request.target() +
                " body_bytes=" + std::to_string(request.body.size()));
  const ServerAction action = handler_(request);
  const Clock::time_point done_at = Clock::now() + action.work;
  while (boot.up && !stopping_ && Clock::now() < done_at)
    std::this_thread::sleep_for(
        std::min<Clock::duration>(kWorkStep, done_at - Clock::now()));
  if (action.crashes) {
    Crash(boot);
    return {};
  }
  response.headers.emplace_back("Cicadadrum-Response-Seal", "seal-" + id);
  response.body = action.body.empty() ? "answer to " + id : action.body;
  return response;
}

// Resets all connections of the boot, as the end of its process does.
void Server::Crash(Boot& boot) {
  const std::lock_guard lock(boot.mutex);
  if (!boot.up.exchange(false))
    return;
  record_.Write("server " + boot.id + " crashes");
  for (const int fd : boot.open) {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    // Wakes the thread that reads or works on the connection.
    shutdown(fd, SHUT_RD);
  }
}

}  // namespace cicadadrum::review
