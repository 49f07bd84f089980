// Serves the store's rows and feed and the backend servers' responses over
// HTTP.

#include "stand_ins.h"

#include <kj/encoding.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

#include "headers.h"

namespace cicadadrum::platform {

namespace {

constexpr const char* kUsualLoad = "1,0,4,100";

constexpr Duration kListenRetryInterval = Milliseconds(5);

// The rate of a cold server is counted in windows of this length.
constexpr Duration kColdRateWindow = Seconds(1);

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Listen(HttpServer& server) {
  const auto port = server.Listen("127.0.0.1:0");
  return "127.0.0.1:" + std::to_string(port.value());
}

std::string EncodeBase64(const std::string& bytes) {
  return kj::encodeBase64(
             kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()),
                          bytes.size()))
      .cStr();
}

std::string QueryValue(const HttpRequest& request, std::string_view name) {
  return FindParameter(request, name);
}

HttpResponse Json(std::string body) {
  return {.headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

}  // namespace

StoreStandIn::StoreStandIn(EventLoop& loop)
    : loop_(loop),
      server_(
          loop,
          {},
          [this](std::uint64_t id, const HttpRequest& request) {
            Handle(id, request);
          },
          [this](std::uint64_t id) {
            std::erase_if(pending_polls_, [id](const PendingPoll& poll) {
              return poll.id == id;
            });
            server_.Abort(id);
          }),
      address_(Listen(server_)) {}

void StoreStandIn::AppendChange(Change change) {
  change.version = ++version_;
  change.at = loop_.Now();
  if (change.removed)
    rows_.erase({change.table, change.key});
  else
    rows_[{change.table, change.key}] = change;
  change_log_.push_back(std::move(change));
  RespondToPendingPolls();
}

void StoreStandIn::Put(const std::string& table,
                       const std::string& key,
                       const std::string& value) {
  AppendChange({.table = table, .key = key, .value = value});
}

void StoreStandIn::Remove(const std::string& table, const std::string& key) {
  AppendChange({.table = table, .key = key, .removed = true});
}

bool StoreStandIn::IsPollWaiting(const std::string& table) const {
  return std::any_of(pending_polls_.begin(), pending_polls_.end(),
                     [&](const PendingPoll& poll) {
                       return poll.table == table && poll.after == version_;
                     });
}

std::uint64_t StoreStandIn::VersionAt(TimePoint at) const {
  std::uint64_t version = 0;
  for (const Change& change : change_log_) {
    if (change.at <= at)
      version = change.version;
  }
  return version;
}

void StoreStandIn::TruncateChangeLog() {
  change_log_begin_ = version_;
}

void StoreStandIn::Restore(std::uint64_t version) {
  std::erase_if(change_log_, [version](const Change& change) {
    return change.version > version;
  });
  rows_.clear();
  for (const Change& change : change_log_) {
    if (change.removed)
      rows_.erase({change.table, change.key});
    else
      rows_[{change.table, change.key}] = change;
  }
  version_ = version;
  change_log_begin_ = std::min(change_log_begin_, version_);
  ++era_;
  RespondToUnknownVersions();
}

void StoreStandIn::RespondToUnknownVersions() {
  std::erase_if(pending_polls_, [this](const PendingPoll& poll) {
    if (poll.after <= version_)
      return false;
    Respond(poll.id, {.status = 410});
    return true;
  });
}

void StoreStandIn::Respond(std::uint64_t id, HttpResponse response) {
  response.headers.emplace_back(std::string(kStoreEra), std::to_string(era_));
  server_.Respond(id, response);
}

void StoreStandIn::Handle(std::uint64_t id, const HttpRequest& request) {
  ++calls_;
  if (behaviour_ == StoreBehaviour::kSilent)
    return;
  if (behaviour_ == StoreBehaviour::kRefuses)
    return Respond(id, {.status = 503});
  const std::string table = QueryValue(request, "table");
  if (request.path == kReadRowsPath)
    return RespondToRead(id, table);
  const std::uint64_t after = std::stoull(QueryValue(request, "after"));
  if (after < change_log_begin_ || after > version_)
    return Respond(id, {.status = 410});
  if (HasChanges(table, after))
    return RespondToPoll(id, table, after);
  PendingPoll poll{.id = id, .table = table, .after = after};
  poll.timer = std::make_unique<Timer>(loop_, [this, id, table, after] {
    RespondToPoll(id, table, after);
    std::erase_if(pending_polls_, [id](const PendingPoll& candidate) {
      return candidate.id == id;
    });
  });
  poll.timer->Schedule(
      loop_.Now() + Milliseconds(std::stoll(QueryValue(request, "wait_ms"))));
  pending_polls_.push_back(std::move(poll));
}

void StoreStandIn::RespondToRead(std::uint64_t id, const std::string& table) {
  std::string rows;
  for (const auto& [name, row] : rows_) {
    if (row.table != table)
      continue;
    rows += (rows.empty() ? "" : ",") + std::string("{\"key\":\"") + row.key +
            "\",\"value\":\"" + EncodeBase64(row.value) +
            "\",\"rowVersion\":" + std::to_string(row.version) + "}";
  }
  Respond(id,
          Json("{\"rows\":[" + rows + "],\"hasMore\":false,\"rowVersion\":" +
               std::to_string(version_) + ",\"now_ms\":1}"));
}

bool StoreStandIn::HasChanges(const std::string& table,
                              std::uint64_t after) const {
  return std::any_of(change_log_.begin(), change_log_.end(),
                     [&](const Change& change) {
                       return change.table == table && change.version > after;
                     });
}

void StoreStandIn::RespondToPoll(std::uint64_t id,
                                 const std::string& table,
                                 std::uint64_t after) {
  std::string rows;
  for (const Change& change : change_log_) {
    if (change.table != table || change.version <= after)
      continue;
    rows += (rows.empty() ? "" : ",") + std::string("{\"key\":\"") +
            change.key + "\",\"value\":\"" + EncodeBase64(change.value) +
            "\",\"removed\":" + (change.removed ? "true" : "false") +
            ",\"rowVersion\":" + std::to_string(change.version) + "}";
  }
  Respond(id, Json("{\"rows\":[" + rows +
                   "],\"rowVersion\":" + std::to_string(version_) + "}"));
}

void StoreStandIn::RespondToPendingPolls() {
  std::vector<PendingPoll> ready;
  for (auto& poll : pending_polls_) {
    if (HasChanges(poll.table, poll.after))
      ready.push_back(std::move(poll));
  }
  std::erase_if(pending_polls_,
                [](const PendingPoll& poll) { return poll.timer == nullptr; });
  for (const PendingPoll& poll : ready)
    RespondToPoll(poll.id, poll.table, poll.after);
}

std::string AnswerTo(const std::string& path,
                     const std::string& request_id,
                     std::size_t download_bytes) {
  std::string answer = "answer to " + request_id;
  if (!path.starts_with(kDownloadPrefix))
    return answer;
  std::string body;
  while (body.size() < download_bytes)
    body += answer + "\n";
  return body;
}

std::string HealthRequestBegin() {
  return "GET " + std::string(kHealthPath) + " ";
}

std::string HealthResponse(const std::string& id) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kServerId) + ": " + id + "\r\n" +
         std::string(kServerLoad) + ": " + kUsualLoad +
         "\r\nContent-Length: 0\r\n\r\n";
}

ServerStandIn::ServerStandIn(EventLoop& loop,
                             std::string id,
                             std::string failure_domain)
    : loop_(loop),
      id_(std::move(id)),
      failure_domain_(std::move(failure_domain)),
      started_unix_ms_(UnixMilliseconds()),
      listen_timer_(loop, [this] { ListenAgain(); }),
      server_(MakeServer()),
      address_(Listen(*server_)) {}

std::unique_ptr<HttpServer> ServerStandIn::MakeServer() {
  return std::make_unique<HttpServer>(
      loop_, HttpServerOptions{},
      [this](std::uint64_t request_id, const HttpRequest& request) {
        Handle(request_id, request);
      },
      [this](std::uint64_t request_id) {
        ++disconnected_count_;
        running_.erase(request_id);
        server_->Abort(request_id);
      });
}

void ServerStandIn::RestartCold(Duration cold_time) {
  late_closes_.clear();
  running_.clear();
  sequence_ = 0;
  started_unix_ms_ = std::max(UnixMilliseconds(), started_unix_ms_ + 1);
  cold_until_ = loop_.Now() + cold_time;
  ListenAgain();
}

// A child process that has not executed its program yet still holds the old
// listening socket. Until then the address is in use.
void ServerStandIn::ListenAgain() {
  server_.reset();
  server_ = MakeServer();
  if (!server_->Listen(address_))
    listen_timer_.Schedule(loop_.Now() + kListenRetryInterval);
}

Duration ServerStandIn::ColdTimeLeft() const {
  return std::max(cold_until_ - loop_.Now(), Duration::zero());
}

std::size_t ServerStandIn::CountColdArrivals() const {
  std::size_t most = 0;
  std::deque<TimePoint> window;
  for (const ServerArrival& arrival : arrivals_) {
    if (arrival.names_other_server || !arrival.is_at_cold_server)
      continue;
    window.push_back(arrival.at);
    while (window.front() <= arrival.at - kColdRateWindow)
      window.pop_front();
    most = std::max(most, window.size());
  }
  return most;
}

std::string ServerStandIn::RowAt(const std::string& address,
                                 const std::string& state,
                                 double cold_ms) const {
  std::string row = Row(state, cold_ms);
  return row.replace(row.find(address_), address_.size(), address);
}

std::string ServerStandIn::Row(const std::string& state,
                               std::optional<double> cold_ms,
                               std::optional<std::uint64_t> sequence) const {
  return "{\"service\":\"desk\",\"address\":\"" + address_ +
         "\",\"failureDomain\":\"" + failure_domain_ +
         "\",\"version\":\"v1\",\"slots\":4,\"state\":\"" + state +
         "\",\"coldLeftMilliseconds\":" +
         std::to_string(cold_ms.value_or(
             static_cast<double>(ColdTimeLeft() / Milliseconds(1)))) +
         ",\"sequence\":" + std::to_string(sequence.value_or(sequence_)) +
         ",\"born\":" + std::to_string(started_unix_ms_) + "}";
}

void ServerStandIn::RespondToHealthCheck(std::uint64_t id,
                                         const HttpRequest& request) {
  ++health_check_count_;
  HttpResponse response{.headers = {{std::string(kServerId), id_},
                                    {std::string(kServerLoad), kUsualLoad}}};
  const std::string_view request_id = FindField(request.headers, kRequestId);
  if (!request_id.empty())
    response.headers.emplace_back(kRequestId, request_id);
  if (ColdTimeLeft() > Duration::zero())
    response.headers.emplace_back(
        kColdLeft, std::to_string(ColdTimeLeft() / Milliseconds(1)));
  if (leaving_) {
    response.status = 503;
    response.headers.emplace_back(kLeaving, "1");
  }
  server_->Respond(id, std::move(response));
}

void ServerStandIn::Handle(std::uint64_t id, const HttpRequest& request) {
  if (request.method == HttpMethod::kGet && request.path == kHealthPath)
    return RespondToHealthCheck(id, request);
  requests_.push_back(request);
  const std::string request_id(FindField(request.headers, kRequestId));
  const bool names_other_server =
      FindField(request.headers, kExpectedServer) != id_;
  const bool asks_for_pause =
      !names_other_server && behaviour_ == ServerBehaviour::kAsksForPause;
  const bool responds =
      names_other_server || (behaviour_ != ServerBehaviour::kHangs &&
                             behaviour_ != ServerBehaviour::kClosesLate);
  arrivals_.push_back(
      {.at = loop_.Now(),
       .request_id = request_id,
       .host = std::string(FindField(request.headers, "Host")),
       .path = request.path,
       .names_other_server = names_other_server,
       .said_leaving = leaving_ && responds,
       .asked_for_pause = asks_for_pause,
       .stated_limit = responds && !names_other_server ? limit_ : 0,
       .is_at_cold_server = ColdTimeLeft() > Duration::zero()});
  HttpResponse response{.headers = {{std::string(kRequestId), request_id}}};
  if (leaving_)
    response.headers.emplace_back(kLeaving, "1");
  if (limit_ > 0 && !names_other_server)
    response.headers.emplace_back(kLimit, std::to_string(limit_));
  if (names_other_server) {
    response.status = 421;
    return server_->Respond(id, response);
  }
  if (behaviour_ == ServerBehaviour::kSheds || asks_for_pause) {
    response.status = 503;
    response.headers.emplace_back(kNotRun, "1");
    if (asks_for_pause)
      response.headers.emplace_back(
          kRetryAfter,
          std::to_string(std::chrono::duration<double>(kServerPause).count()));
    return server_->Respond(id, response);
  }
  executed_requests_.push_back(request_id);
  if (!crashing_path_.empty() && request.path == crashing_path_) {
    running_[id];
    return Crash();
  }
  if (behaviour_ == ServerBehaviour::kClosesLate)
    return CloseLate(id);
  if (behaviour_ == ServerBehaviour::kErrorWithoutProof)
    response.status = 503;
  if (behaviour_ == ServerBehaviour::kAnswers ||
      behaviour_ == ServerBehaviour::kHangs)
    response.headers.emplace_back(kSeal, "seal-of-" + request_id);
  response.headers.emplace_back(kServerLoad, kUsualLoad);
  response.body = AnswerTo(request.path, request_id, download_bytes_);
  if (behaviour_ == ServerBehaviour::kHangs)
    running_[id] = std::move(response);
  else
    server_->Respond(id, std::move(response));
}

void ServerStandIn::Crash() {
  for (const auto& [id, response] : std::exchange(running_, {}))
    server_->Abort(id);
}

void ServerStandIn::RespondToAll() {
  for (auto& [id, response] : std::exchange(running_, {}))
    server_->Respond(id, std::move(response));
}

void ServerStandIn::CloseLate(std::uint64_t id) {
  const auto [timer, added] =
      late_closes_.try_emplace(id, loop_, [this, id] { server_->Abort(id); });
  timer->second.Schedule(loop_.Now() + kLateCloseDelay);
}

namespace {

std::string RouteJson(const ConfiguredRoute& route) {
  std::string homes;
  for (const std::string& region : route.home_regions)
    homes += (homes.empty() ? "\"" : ",\"") + region + "\"";
  return "{\"name\":\"" + route.name + "\",\"prefix\":\"" + route.prefix +
         "\",\"kind\":\"" + route.kind + "\",\"host\":\"" + route.host +
         "\",\"timeoutMilliseconds\":" + std::to_string(route.timeout_ms) +
         ",\"latencyObjectiveMilliseconds\":300,\"priority\":1,"
         "\"service\":\"desk\",\"attempts\":" +
         std::to_string(route.attempts) + ",\"sticky\":true,\"homeRegions\":[" +
         homes + "]}";
}

}  // namespace

std::string ConfigurationBody(std::uint64_t version,
                              const std::vector<ConfiguredRoute>& routes) {
  std::string routes_json;
  for (const ConfiguredRoute& route : routes)
    routes_json += (routes_json.empty() ? "" : ",") + RouteJson(route);
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         routes_json + "],\"services\":[{\"name\":\"desk\",\"healthPath\":\"" +
         std::string(kHealthPath) +
         "\","
         "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false,"
         "\"coldStartSeconds\":3.0,\"coldRequestsPerSecond\":10.0}],"
         "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":67108864,"
         "\"headerTimeoutMilliseconds\":3000,\"idleTimeoutMilliseconds\":"
         "15000}}";
}

std::string ConfigurationBody(std::uint64_t version,
                              const std::string& prefix) {
  return ConfigurationBody(
      version, {{.name = "r1", .prefix = prefix},
                {.name = "r2", .prefix = "/write/", .kind = "unsafe"}});
}

}  // namespace cicadadrum::platform
