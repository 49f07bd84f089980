// A backend server: its row in the store, its heartbeats and its requests.

#include <algorithm>
#include <cstdlib>

#include "world.h"

namespace review {

namespace {

constexpr double kBeatMs = 1500;
constexpr double kIdleMs = 20'000;
constexpr double kWindowMs = 1000;
// Requests that wait for a slot, as multiples of the slots.
constexpr int kQueueFactor = 3;
constexpr const char* kHealthPath = "/health";

}  // namespace

Server::Server(ServerOptions options, Store& store, Record& record)
    : options_(std::move(options)), store_(store), record_(record) {}

Server::~Server() {
  Crash();
  if (beats_.joinable())
    beats_.join();
}

void Server::Start() {
  started_at_ = NowMs();
  listener_ = std::make_unique<Listener>(
      options_.address, [this](Stream& stream) { Serve(stream); });
  is_running_ = true;
  has_row_ = true;
  Announce("ready");
  beats_ = std::thread([this] { Beat(); });
}

double Server::ColdLeftMs() const {
  return std::max(0.0, started_at_ + options_.cold_ms - NowMs());
}

std::string Server::Row(const std::string& state) const {
  return "{\"service\":\"" + options_.service + "\",\"address\":\"" +
         options_.address.text() + "\",\"failureDomain\":\"" + options_.domain +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
         ",\"state\":\"" + state + "\",\"coldLeftMilliseconds\":" +
         std::to_string(static_cast<long>(ColdLeftMs())) +
         ",\"sequence\":" + std::to_string(sequence_) +
         ",\"born\":" + std::to_string(options_.born_unix_ms) + "}";
}

double Server::Announce(const std::string& state) {
  const std::lock_guard lock(mutex_);
  state_ = state;
  ++sequence_;
  const double at = store_.Put("servers", options_.id, Row(state));
  record_.Write("server " + options_.id + " writes " + state + " sequence " +
                std::to_string(sequence_) + " born " +
                std::to_string(options_.born_unix_ms));
  return at;
}

double Server::RemoveRow() {
  const std::lock_guard lock(mutex_);
  has_row_ = false;
  const double at = store_.Remove("servers", options_.id);
  record_.Write("row of server " + options_.id + " is removed");
  return at;
}

void Server::Beat() {
  double next = NowMs() + kBeatMs;
  while (is_running_) {
    SleepMs(20);
    if (NowMs() < next)
      continue;
    next += kBeatMs;
    const std::lock_guard lock(mutex_);
    if (!has_row_ || !is_running_)
      continue;
    ++sequence_;
    store_.Put("servers", options_.id, Row(state_));
  }
}

void Server::Crash() {
  if (!is_running_.exchange(false))
    return;
  is_ending_ = true;
  record_.Write("server " + options_.id + " ends");
  listener_->Stop();
}

std::vector<Arrival> Server::arrivals() {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

std::size_t Server::AddArrival(const std::string& id) {
  const double now = NowMs();
  const bool is_cold = ColdLeftMs() > 0;
  const std::lock_guard lock(mutex_);
  arrivals_.push_back(
      {.at = now, .id = id, .server = options_.id, .is_cold = is_cold});
  const auto recent = std::count_if(
      arrivals_.begin(), arrivals_.end(),
      [&](const Arrival& a) { return a.is_cold && a.at > now - kWindowMs; });
  if (is_cold && options_.crash_per_second > 0 &&
      recent > options_.crash_per_second)
    has_crashed_by_load_ = true;
  return arrivals_.size() - 1;
}

void Server::Serve(Stream& stream) {
  while (!is_ending_) {
    const auto request = stream.ReadMessage(kIdleMs);
    if (!request || has_crashed_by_load_ || !Answer(stream, *request))
      return;
  }
}

bool Server::Answer(Stream& stream, const Message& request) {
  const std::string load = std::to_string(running_) + "," +
                           std::to_string(waiting_) + "," +
                           std::to_string(options_.slots) + ",100";
  if (request.target == kHealthPath) {
    Fields fields = {{"Cicadadrum-Instance-Id", options_.id},
                     {"Cicadadrum-Server-Load", load}};
    const double cold_ms = ColdLeftMs();
    if (cold_ms > 0)
      fields.emplace_back("Cicadadrum-Cold-Ms",
                          std::to_string(static_cast<long>(cold_ms) + 1));
    return stream.Write(Serialize("HTTP/1.1 200 OK", fields, ""));
  }
  const std::string id = FieldOf(request.fields, "Cicadadrum-Request-Id");
  const std::string expected =
      FieldOf(request.fields, "Cicadadrum-Expect-Instance");
  if (!expected.empty() && expected != options_.id)
    return stream.Write(Serialize("HTTP/1.1 421 Misdirected Request",
                                  {{"Cicadadrum-Request-Id", id},
                                   {"Cicadadrum-Instance-Id", options_.id}},
                                  ""));
  if (running_ >= options_.slots && waiting_ >= options_.slots * kQueueFactor) {
    return stream.Write(Serialize("HTTP/1.1 503 Service Unavailable",
                                  {{"Cicadadrum-Request-Id", id},
                                   {"Cicadadrum-Not-Executed", "1"},
                                   {"Cicadadrum-Server-Load", load}},
                                  ""));
  }
  return Run(stream, request);
}

bool Server::Run(Stream& stream, const Message& request) {
  const std::string id = FieldOf(request.fields, "Cicadadrum-Request-Id");
  const std::size_t index = AddArrival(id);
  const auto has_ended = [&] {
    return is_ending_ || has_crashed_by_load_ || stream.HasPeerLeft();
  };
  ++waiting_;
  int running = running_;
  while (running >= options_.slots ||
         !running_.compare_exchange_weak(running, running + 1)) {
    if (has_ended()) {
      --waiting_;
      return false;
    }
    SleepMs(1);
    running = running_;
  }
  --waiting_;
  {
    const std::lock_guard lock(mutex_);
    arrivals_[index].has_run = true;
  }
  const double until = NowMs() + options_.work_ms;
  while (NowMs() < until && !has_ended())
    SleepMs(1);
  --running_;
  if (has_ended())
    return false;
  {
    const std::lock_guard lock(mutex_);
    arrivals_[index].has_ended = true;
  }
  const std::string load = std::to_string(running_) + "," +
                           std::to_string(waiting_) + "," +
                           std::to_string(options_.slots) + ",100";
  const Fields fields = {{"Cicadadrum-Request-Id", id},
                         {"Cicadadrum-Response-Seal", "seal." + id},
                         {"Cicadadrum-Server-Load", load}};
  std::string body = "answer to " + id;
  if (request.target.starts_with(kFilePrefix))
    body.resize(options_.file_bytes, '.');
  return stream.Write(Serialize("HTTP/1.1 200 OK", fields, body));
}

}  // namespace review
