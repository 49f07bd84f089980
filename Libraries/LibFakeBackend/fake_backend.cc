// The backend server stand-in.

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

// A request whose target contains this word crashes the server that runs it.
constexpr std::string_view kCrashWord = "crash-the-server";
constexpr Duration kCrashTime = Seconds(2);
constexpr std::uint64_t kMaxPartBytes = 1'048'576;

std::uint64_t ReadNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

HttpResponse Json(std::uint16_t status, std::string body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

}  // namespace

struct FakeBackend::Impl {
  struct Running {
    HttpRequest request;
    std::unique_ptr<Timer> timer;
  };

  EventLoop& loop;
  FakeBackendOptions options;
  std::unique_ptr<HttpServer> server;
  std::string address;  // With the bound port, so that a restart after a crash
                        // listens there again.
  std::map<std::uint64_t, Running> running;
  std::map<std::string, std::uint32_t>
      executions;  // Begun runs of non-idempotent requests, by key.
  std::map<std::string, std::uint64_t> uploads;  // Bytes received, by upload.
  std::uint64_t requests_begun = 0;
  std::uint64_t requests_shed = 0;
  std::uint64_t requests_cancelled = 0;
  TimePoint last_begun_at{};
  std::uint32_t slow_factor = 1;
  Duration report_lag{};
  std::vector<std::pair<TimePoint, std::uint32_t>> load_history;
  Duration down_time{};
  Timer crash;
  Timer restart;

  Impl(EventLoop& event_loop, const FakeBackendOptions& backend_options)
      : loop(event_loop),
        options(backend_options),
        address(backend_options.server.address),
        crash(event_loop, [this] { GoDown(); }),
        restart(event_loop, [this] { (void)Listen(); }) {}

  leaf::result<std::uint16_t> Listen();
  void Handle(std::uint64_t id, HttpRequest request);
  void Begin(std::uint64_t id, HttpRequest request);
  void Finish(std::uint64_t id);
  void Crash(Duration duration);
  void GoDown();
  void Control(std::uint64_t id, const HttpRequest& request);
  void RecordLoad();
  HttpResponse Report();
  HttpResponse ListExecutions();
  HttpResponse Stats() const;
  HttpResponse TakePart(const HttpRequest& request);
  HttpResponse EchoOf(const HttpRequest& request);
  Duration ServiceTime(const HttpRequest& request);
};

leaf::result<std::uint16_t> FakeBackend::Impl::Listen() {
  server = std::make_unique<HttpServer>(
      loop, HttpServerOptions{.max_body_bytes = kMaxPartBytes},
      [this](std::uint64_t id, HttpRequest request) {
        Handle(id, std::move(request));
      },
      [this](std::uint64_t id) {
        // The entry VM cancelled the request; its slot is free again.
        requests_cancelled += running.erase(id);
        RecordLoad();
        server->Respond(id, {.status = 499});
      });
  return server->Listen(address);
}

void FakeBackend::Impl::Handle(std::uint64_t id, HttpRequest request) {
  if (request.path == "/health")
    return server->Respond(id, {.body = "ok\n"});
  if (request.path == "/load")
    return server->Respond(id, Report());
  if (request.path == "/executions")
    return server->Respond(id, ListExecutions());
  if (request.path == "/stats")
    return server->Respond(id, Stats());
  if (request.path == "/control")
    return Control(id, request);
  if (running.size() >= options.server.slots) {
    ++requests_shed;
    return server->Respond(id, {.status = 503,
                                .headers = {{"Cicadadrum-Shed", "1"}},
                                .body = "no free slot\n"});
  }
  Begin(id, std::move(request));
}

Duration FakeBackend::Impl::ServiceTime(const HttpRequest& request) {
  const auto request_class =
      ParseName<RequestClass>(FindField(request.headers, "Cicadadrum-Class"));
  Duration time = options.read_time;
  if (request_class == RequestClass::kWrite)
    time = options.write_time;
  if (request_class == RequestClass::kBulk)
    time = options.bulk_time;
  const bool cold = requests_begun <= options.cold_requests;
  return time * slow_factor * (cold ? options.cold_factor : 1);
}

void FakeBackend::Impl::Begin(std::uint64_t id, HttpRequest request) {
  ++requests_begun;
  last_begun_at = loop.Now();
  const std::string key(FindField(request.headers, "Cicadadrum-Request-Key"));
  if (!key.empty())
    ++executions[key];
  if (request.target.find(kCrashWord) != std::string::npos)
    return Crash(kCrashTime);
  const TimePoint end = loop.Now() + ServiceTime(request);
  Running& entry = running[id];
  entry.request = std::move(request);
  entry.timer = std::make_unique<Timer>(loop, [this, id] { Finish(id); });
  entry.timer->Schedule(end);
  RecordLoad();
}

void FakeBackend::Impl::Finish(std::uint64_t id) {
  const auto found = running.find(id);
  const HttpRequest request = std::move(found->second.request);
  running.erase(found);
  RecordLoad();
  const bool upload = !FindField(request.headers, "Cicadadrum-Upload").empty();
  server->Respond(id, upload ? TakePart(request) : EchoOf(request));
}

HttpResponse FakeBackend::Impl::EchoOf(const HttpRequest& request) {
  capnp::MallocMessageBuilder message;
  auto echo = message.initRoot<schema::Echo>();
  echo.setServer(options.server.name);
  echo.setService(options.server.service);
  echo.setTarget(request.target);
  echo.setBodyBytes(request.body.size());
  echo.setBodyHash(FormatHex(HashBytes(request.body)));
  echo.setKey(
      std::string(FindField(request.headers, "Cicadadrum-Request-Key")));
  return Json(200, EncodeJson(echo.asReader()));
}

// A part is taken only at the offset that has been received; otherwise the
// caller learns that offset.
HttpResponse FakeBackend::Impl::TakePart(const HttpRequest& request) {
  const std::string upload(FindField(request.headers, "Cicadadrum-Upload"));
  std::uint64_t& received = uploads[upload];
  const bool expected =
      ReadNumber(FindField(request.headers, "Cicadadrum-Upload-Offset")) ==
      received;
  if (request.method == HttpMethod::kPut && expected)
    received += request.body.size();
  capnp::MallocMessageBuilder message;
  message.initRoot<schema::UploadOffset>().setReceived(received);
  const bool conflict = request.method == HttpMethod::kPut && !expected;
  return Json(conflict ? 409 : 200,
              EncodeJson(message.getRoot<schema::UploadOffset>().asReader()));
}

void FakeBackend::Impl::RecordLoad() {
  const TimePoint now = loop.Now();
  load_history.emplace_back(now, static_cast<std::uint32_t>(running.size()));
  while (load_history.size() > 1 && load_history[1].first <= now - report_lag)
    load_history.erase(load_history.begin());
}

HttpResponse FakeBackend::Impl::Report() {
  std::uint32_t in_flight = 0;
  for (const auto& [at, count] : load_history) {
    if (at <= loop.Now() - report_lag)
      in_flight = count;
  }
  capnp::MallocMessageBuilder message;
  auto report = message.initRoot<schema::LoadReport>();
  report.setSlots(options.server.slots);
  report.setInFlight(in_flight);
  report.setAgeMilliseconds(
      static_cast<std::uint32_t>(report_lag / Milliseconds(1)));
  return Json(200, EncodeJson(report.asReader()));
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
  return Json(200,
              EncodeJson(message.getRoot<schema::Executions>().asReader()));
}

HttpResponse FakeBackend::Impl::Stats() const {
  capnp::MallocMessageBuilder message;
  auto stats = message.initRoot<schema::BackendStats>();
  stats.setBegun(requests_begun);
  stats.setShed(requests_shed);
  stats.setCancelled(requests_cancelled);
  stats.setInFlight(static_cast<std::uint32_t>(running.size()));
  stats.setLastBegunMillisecondsAgo(static_cast<std::uint64_t>(
      (loop.Now() - last_begun_at) / Milliseconds(1)));
  return Json(200, EncodeJson(stats.asReader()));
}

void FakeBackend::Impl::Crash(Duration duration) {
  down_time = duration;
  crash.Schedule(loop.Now());
}

// Runs from the loop and not from a callback of the server that it destroys.
void FakeBackend::Impl::GoDown() {
  running.clear();
  RecordLoad();
  server.reset();
  restart.Schedule(loop.Now() + down_time);
}

void FakeBackend::Impl::Control(std::uint64_t id, const HttpRequest& request) {
  capnp::MallocMessageBuilder message;
  const auto control = DecodeJsonAs<schema::BackendControl>(
      request.body, "control", ErrorCode::kInvalidMessage, message);
  if (!control)
    return server->Respond(id, {.status = 400, .body = "malformed\n"});
  slow_factor = control->getSlowFactor();
  report_lag = Milliseconds(control->getReportLagMilliseconds());
  server->Respond(id, {.body = "ok\n"});
  if (control->getCrashMilliseconds() > 0)
    Crash(Milliseconds(control->getCrashMilliseconds()));
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
