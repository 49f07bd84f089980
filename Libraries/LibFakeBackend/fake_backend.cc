// Request handling of the backend server test double.

#include "cicadadrum/fake_backend/fake_backend.h"

#include <capnp/message.h>

#include <charconv>
#include <map>

#include "cicadadrum/base/hash.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/loop/http_server.h"
#include "cicadadrum/model/request.h"
#include "schemas/backend.capnp.h"
#include "schemas/http.capnp.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

// A request whose target contains this text crashes the server that runs the
// request.
constexpr std::string_view kCrashMarker = "crash-the-server";
// Time from such a crash until the server listens again.
constexpr Duration kCrashDuration = Seconds(2);
constexpr std::uint64_t kMaxPartBytes = 1'048'576;

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

HttpResponse JsonResponse(std::uint16_t status, std::string body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

}  // namespace

struct FakeBackend::Impl {
  struct RunningRequest {
    HttpRequest request;
    std::unique_ptr<Timer> timer;
  };

  EventLoop& loop;
  FakeBackendOptions options;
  std::unique_ptr<HttpServer> server;
  // Includes the bound port, so that the server listens on the same port again
  // after a crash.
  std::string address;
  std::map<std::uint64_t, RunningRequest> running;
  std::map<std::string, std::uint32_t>
      executions;  // Started runs of non-idempotent requests, by request key.
  std::map<std::string, std::uint64_t>
      uploads;  // Received bytes by upload name.
  std::uint64_t requests_started = 0;
  std::uint64_t requests_shed = 0;
  std::uint64_t requests_cancelled = 0;
  TimePoint last_started_at{};
  std::uint32_t slow_factor = 1;
  Duration report_lag{};
  std::vector<std::pair<TimePoint, std::uint32_t>> load_history;
  Duration downtime{};
  Timer crash_timer;
  Timer restart_timer;

  Impl(EventLoop& event_loop, const FakeBackendOptions& backend_options)
      : loop(event_loop),
        options(backend_options),
        address(backend_options.server.address),
        crash_timer(event_loop, [this] { StopServer(); }),
        restart_timer(event_loop, [this] { (void)Listen(); }) {}

  leaf::result<std::uint16_t> Listen();
  void HandleRequest(std::uint64_t id, HttpRequest request);
  void StartRequest(std::uint64_t id, HttpRequest request);
  void FinishRequest(std::uint64_t id);
  void ScheduleCrash(Duration duration);
  void StopServer();
  void ApplyControl(std::uint64_t id, const HttpRequest& request);
  void RecordLoad();
  HttpResponse ReportLoad();
  HttpResponse ListExecutions();
  HttpResponse ReportStats() const;
  HttpResponse ReceivePart(const HttpRequest& request);
  HttpResponse MakeEcho(const HttpRequest& request);
  Duration ServiceTime(const HttpRequest& request);
};

leaf::result<std::uint16_t> FakeBackend::Impl::Listen() {
  server = std::make_unique<HttpServer>(
      loop, HttpServerOptions{.limits = {.max_body_bytes = kMaxPartBytes}},
      [this](std::uint64_t id, HttpRequest request) {
        HandleRequest(id, std::move(request));
      },
      [this](std::uint64_t id) {
        // The entry VM cancelled the request, which frees the request's slot.
        requests_cancelled += running.erase(id);
        RecordLoad();
        server->Respond(id, {.status = 499});
      });
  return server->Listen(address);
}

void FakeBackend::Impl::HandleRequest(std::uint64_t id, HttpRequest request) {
  if (request.path == "/health")
    return server->Respond(id, {.body = "ok\n"});
  if (request.path == "/load")
    return server->Respond(id, ReportLoad());
  if (request.path == "/executions")
    return server->Respond(id, ListExecutions());
  if (request.path == "/stats")
    return server->Respond(id, ReportStats());
  if (request.path == "/control")
    return ApplyControl(id, request);
  if (running.size() >= options.server.slots) {
    ++requests_shed;
    return server->Respond(id, {.status = 503,
                                .headers = {{"Cicadadrum-Shed", "1"}},
                                .body = "no free slot\n"});
  }
  StartRequest(id, std::move(request));
}

Duration FakeBackend::Impl::ServiceTime(const HttpRequest& request) {
  const auto request_class =
      ParseName<RequestClass>(FindField(request.headers, "Cicadadrum-Class"));
  Duration time = options.read_time;
  if (request_class == RequestClass::kWrite)
    time = options.write_time;
  if (request_class == RequestClass::kBulk)
    time = options.bulk_time;
  const bool cold = requests_started <= options.cold_requests;
  return time * slow_factor * (cold ? options.cold_factor : 1);
}

void FakeBackend::Impl::StartRequest(std::uint64_t id, HttpRequest request) {
  ++requests_started;
  last_started_at = loop.Now();
  const std::string key(FindField(request.headers, "Cicadadrum-Request-Key"));
  if (!key.empty())
    ++executions[key];
  if (request.target.find(kCrashMarker) != std::string::npos)
    return ScheduleCrash(kCrashDuration);
  const TimePoint end = loop.Now() + ServiceTime(request);
  RunningRequest& running_request = running[id];
  running_request.request = std::move(request);
  running_request.timer =
      std::make_unique<Timer>(loop, [this, id] { FinishRequest(id); });
  running_request.timer->Schedule(end);
  RecordLoad();
}

void FakeBackend::Impl::FinishRequest(std::uint64_t id) {
  const auto found = running.find(id);
  const HttpRequest request = std::move(found->second.request);
  running.erase(found);
  RecordLoad();
  const bool upload = !FindField(request.headers, "Cicadadrum-Upload").empty();
  server->Respond(id, upload ? ReceivePart(request) : MakeEcho(request));
}

HttpResponse FakeBackend::Impl::MakeEcho(const HttpRequest& request) {
  capnp::MallocMessageBuilder message;
  auto echo = message.initRoot<schema::Echo>();
  echo.setServer(options.server.name);
  echo.setService(options.server.service);
  echo.setTarget(request.target);
  echo.setBodyBytes(request.body.size());
  echo.setBodyHash(FormatHex(HashBytes(request.body.view())));
  echo.setKey(
      std::string(FindField(request.headers, "Cicadadrum-Request-Key")));
  return JsonResponse(200, EncodeJson(echo.asReader()));
}

// Appends a part only if its offset equals the number of bytes received so
// far. The response reports that number in either case, with status 409 if the
// part was rejected.
HttpResponse FakeBackend::Impl::ReceivePart(const HttpRequest& request) {
  const std::string upload(FindField(request.headers, "Cicadadrum-Upload"));
  std::uint64_t& received = uploads[upload];
  const bool expected =
      ParseNumber(FindField(request.headers, "Cicadadrum-Upload-Offset")) ==
      received;
  if (request.method == HttpMethod::kPut && expected)
    received += request.body.size();
  capnp::MallocMessageBuilder message;
  message.initRoot<schema::UploadOffset>().setReceived(received);
  const bool conflict = request.method == HttpMethod::kPut && !expected;
  return JsonResponse(
      conflict ? 409 : 200,
      EncodeJson(message.getRoot<schema::UploadOffset>().asReader()));
}

void FakeBackend::Impl::RecordLoad() {
  const TimePoint now = loop.Now();
  load_history.emplace_back(now, static_cast<std::uint32_t>(running.size()));
  while (load_history.size() > 1 && load_history[1].first <= now - report_lag)
    load_history.erase(load_history.begin());
}

HttpResponse FakeBackend::Impl::ReportLoad() {
  std::uint32_t in_flight = 0;
  for (const auto& [time, count] : load_history) {
    if (time <= loop.Now() - report_lag)
      in_flight = count;
  }
  capnp::MallocMessageBuilder message;
  auto report = message.initRoot<schema::LoadReport>();
  report.setSlots(options.server.slots);
  report.setInFlight(in_flight);
  report.setAgeMilliseconds(
      static_cast<std::uint32_t>(report_lag / Milliseconds(1)));
  return JsonResponse(200, EncodeJson(report.asReader()));
}

HttpResponse FakeBackend::Impl::ListExecutions() {
  capnp::MallocMessageBuilder message;
  auto list = message.initRoot<schema::Executions>().initExecutions(
      static_cast<unsigned>(executions.size()));
  unsigned next = 0;
  for (const auto& [key, count] : executions) {
    list[next].setKey(key);
    list[next++].setCount(count);
  }
  return JsonResponse(
      200, EncodeJson(message.getRoot<schema::Executions>().asReader()));
}

HttpResponse FakeBackend::Impl::ReportStats() const {
  capnp::MallocMessageBuilder message;
  auto stats = message.initRoot<schema::BackendStats>();
  stats.setBegun(requests_started);
  stats.setShed(requests_shed);
  stats.setCancelled(requests_cancelled);
  stats.setInFlight(static_cast<std::uint32_t>(running.size()));
  stats.setLastBegunMillisecondsAgo(static_cast<std::uint64_t>(
      (loop.Now() - last_started_at) / Milliseconds(1)));
  return JsonResponse(200, EncodeJson(stats.asReader()));
}

void FakeBackend::Impl::ScheduleCrash(Duration duration) {
  downtime = duration;
  crash_timer.Schedule(loop.Now());
}

// Destroys the HTTP server, and therefore must run from a timer and not from a
// callback of that server.
void FakeBackend::Impl::StopServer() {
  running.clear();
  RecordLoad();
  server.reset();
  restart_timer.Schedule(loop.Now() + downtime);
}

void FakeBackend::Impl::ApplyControl(std::uint64_t id,
                                     const HttpRequest& request) {
  capnp::MallocMessageBuilder message;
  const auto control = DecodeJsonAs<schema::BackendControl>(
      request.body.ToString(), "control", ErrorCode::kInvalidMessage, message);
  if (!control)
    return server->Respond(id, {.status = 400, .body = "malformed\n"});
  slow_factor = control->getSlowFactor();
  report_lag = Milliseconds(control->getReportLagMilliseconds());
  server->Respond(id, {.body = "ok\n"});
  if (control->getCrashMilliseconds() > 0)
    ScheduleCrash(Milliseconds(control->getCrashMilliseconds()));
}

FakeBackend::FakeBackend(EventLoop& loop, const FakeBackendOptions& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

FakeBackend::~FakeBackend() = default;

leaf::result<std::uint16_t> FakeBackend::Start() {
  BOOST_LEAF_AUTO(port, impl_->Listen());
  impl_->address = impl_->address.substr(0, impl_->address.rfind(':') + 1) +
                   std::to_string(port);
  return port;
}

}  // namespace cicadadrum
