// HTTP interface for callers and operators.

#include "cicadadrum/entry/entry_server.h"

#include <capnp/message.h>

#include "caller_protocol.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/loop/http_server.h"
#include "cicadadrum/telemetry/log.h"
#include "cicadadrum/telemetry/process_metrics.h"
#include "entry_core.h"
#include "schemas/http.capnp.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint32_t kLookupLifetimeSeconds = 30;

}  // namespace

struct EntryServer::Impl {
  EntrySettings settings;
  EntryCore core;
  HttpServer server;
  std::map<std::uint64_t, std::uint64_t>
      request_by_exchange;  // Id of the request in progress, by the HTTP
                            // server's exchange id.

  Impl(EventLoop& loop,
       const EntrySettings& entry_settings,
       const Incarnation& incarnation)
      : settings(entry_settings),
        core(loop, settings, incarnation),
        server(
            loop,
            {.limits = {.max_body_bytes = settings.max_body_bytes},
             .max_held_bytes = settings.max_buffered_bytes},
            [this](std::uint64_t id, HttpRequest request) {
              HandleRequest(id, std::move(request));
            },
            [this](std::uint64_t id) { HandleDisconnect(id); }) {}

  void HandleRequest(std::uint64_t id, HttpRequest request);
  void HandleDisconnect(std::uint64_t id);
  HttpResponse MakeLookupResponse(const HttpRequest& request);
  HttpResponse MakeStatusResponse();
  HttpResponse RenderMetrics();
  void ChangeMark(std::uint64_t id, const HttpRequest& request);
};

void EntryServer::Impl::HandleRequest(std::uint64_t id, HttpRequest request) {
  if (request.path.starts_with("/v1/services/")) {
    const std::uint64_t core_id = core.NewRequestId();
    request_by_exchange[id] = core_id;
    return core.HandleCallerRequest(core_id, std::move(request),
                                    [this, id](const HttpResponse& response) {
                                      request_by_exchange.erase(id);
                                      server.Respond(id, response);
                                    });
  }
  if (request.path == "/v1/lookup")
    return server.Respond(id, MakeLookupResponse(request));
  if (request.path == "/v1/leaving" && request.method == HttpMethod::kPost)
    return ChangeMark(id, request);
  if (request.path == "/v1/status")
    return server.Respond(id, MakeStatusResponse());
  if (request.path == "/metrics")
    return server.Respond(id, RenderMetrics());
  if (request.path == "/healthz")
    return server.Respond(id, {.body = "ok\n"});
  if (request.path == "/readyz") {
    const bool ready = IsReady(core.state()) && !core.state().stopping;
    return server.Respond(
        id, {.status = static_cast<std::uint16_t>(ready ? 200 : 503),
             .body = ready ? "ready\n" : "not ready\n"});
  }
  server.Respond(id, {.status = 404, .body = "not found\n"});
}

void EntryServer::Impl::HandleDisconnect(std::uint64_t id) {
  const auto found = request_by_exchange.find(id);
  if (found != request_by_exchange.end())
    core.Dispatch(CallerDisconnected{found->second});
}

HttpResponse EntryServer::Impl::MakeLookupResponse(const HttpRequest& request) {
  const EntryState& state = core.state();
  const std::string client_account = FindParameter(request, "client_account");
  const std::string service = FindParameter(request, "service");
  std::string region = FindParameter(request, "region");
  if (region.empty())
    region = state.self.region;
  capnp::MallocMessageBuilder message;
  auto answer = message.initRoot<schema::LookupAnswer>();
  answer.setRegion(region);
  const EntryDirectory& directory = core.directory();
  const std::vector<std::uint32_t> ranked =
      RankEntries(directory, region, client_account, service);
  auto entries = answer.initEntries(static_cast<unsigned>(ranked.size()));
  for (unsigned i = 0; i < entries.size(); ++i) {
    const EntryVm& entry = directory.entries[ranked[i]];
    entries[i].setName(entry.name);
    entries[i].setRegion(entry.region);
    entries[i].setAddress(entry.caller_address);
  }
  answer.setLifetimeSeconds(kLookupLifetimeSeconds);
  answer.setConfigurationVersion(state.configuration.version);
  auto keys = answer.initRequestKeys(1);
  keys.set(0, IssueRequestKey(core.state().claims).text);
  return MakeJsonResponse(200, EncodeJson(answer.asReader()));
}

void EntryServer::Impl::ChangeMark(std::uint64_t id,
                                   const HttpRequest& request) {
  capnp::MallocMessageBuilder message;
  const auto mark = DecodeJsonAs<schema::MarkLeaving>(
      request.body.ToString(), "mark", ErrorCode::kInvalidMessage, message);
  const std::string server_name =
      mark ? std::string(mark->getServer()) : std::string();
  const auto& servers = core.state().servers;
  const bool known = std::any_of(servers.begin(), servers.end(),
                                 [&](const BackendServer& candidate) {
                                   return candidate.name == server_name;
                                 });
  if (!known)
    return server.Respond(
        id, {.status = 400, .body = "not the name of a backend server\n"});
  core.fleet().ChangeMark(
      server_name, mark->getLeaving(),
      [this, id](std::uint64_t sequence, bool recorded) {
        if (sequence == 0)
          return server.Respond(
              id, {.status = 503,
                   .body = "the leaving mark was not removed: the platform "
                           "table did not record the change\n"});
        capnp::MallocMessageBuilder answer_message;
        auto answer = answer_message.initRoot<schema::MarkAnswer>();
        answer.setSequence(sequence);
        answer.setRecordedInTable(recorded);
        server.Respond(id,
                       MakeJsonResponse(200, EncodeJson(answer.asReader())));
      });
}

HttpResponse EntryServer::Impl::RenderMetrics() {
  const EntryState& state = core.state();
  Metrics& metrics = core.metrics();
  SetProcessMetrics(metrics);
  metrics.SetGauge("cicadadrum_configuration_version", "",
                   static_cast<double>(state.configuration.version));
  metrics.SetGauge("cicadadrum_live_entries", "",
                   static_cast<double>(state.live.size()));
  metrics.SetGauge("cicadadrum_requests_in_progress", "",
                   static_cast<double>(state.requests.size()));
  metrics.SetGauge("cicadadrum_ready", "", IsReady(state) ? 1 : 0);
  metrics.SetGauge("cicadadrum_http_malformed", "",
                   static_cast<double>(server.counters().malformed));
  return {.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = metrics.Render()};
}

HttpResponse EntryServer::Impl::MakeStatusResponse() {
  const EntryState& state = core.state();
  capnp::MallocMessageBuilder message;
  auto status = message.initRoot<schema::EntryStatus>();
  status.setName(state.self.name);
  status.setRegion(state.self.region);
  status.setReady(IsReady(state));
  status.setConfigurationVersion(state.configuration.version);
  status.setRequestsInProgress(
      static_cast<std::uint32_t>(state.requests.size()));
  auto members = status.initMembers(static_cast<unsigned>(state.live.size()));
  for (unsigned i = 0; i < members.size(); ++i)
    members.set(i, state.live[i].name);
  std::vector<std::pair<const PoolKey*, const PoolServer*>> rows;
  for (const auto& [key, pool] : state.pools) {
    if (PoolOwner(state, key) != state.self.name)
      continue;
    for (const PoolServer& pool_server : pool.servers)
      rows.emplace_back(&key, &pool_server);
  }
  auto servers = status.initPools(static_cast<unsigned>(rows.size()));
  for (unsigned i = 0; i < servers.size(); ++i) {
    const auto& [key, pool_server] = rows[i];
    servers[i].setName(pool_server->description.name);
    servers[i].setService(key->service);
    servers[i].setRegion(key->region);
    servers[i].setState(std::string(NameOf(pool_server->state)));
    servers[i].setSlots(pool_server->description.slots);
    servers[i].setInFlight(
        static_cast<std::uint32_t>(pool_server->leases.size()));
  }
  return MakeJsonResponse(200, EncodeJson(status.asReader()));
}

EntryServer::EntryServer(EventLoop& loop,
                         const EntrySettings& settings,
                         const Incarnation& incarnation)
    : impl_(std::make_unique<Impl>(loop, settings, incarnation)) {}

EntryServer::~EntryServer() = default;

leaf::result<void> EntryServer::Start() {
  BOOST_LEAF_AUTO(port,
                  impl_->server.Listen(impl_->settings.self.caller_address));
  LoggerFor("entry")->info("{} listens on port {}", impl_->settings.self.name,
                           port);
  return impl_->core.Start();
}

void EntryServer::RequestStop(std::function<void()> on_stopped) {
  impl_->core.on_stopped = [impl = impl_.get(),
                            on_stopped = std::move(on_stopped)] {
    impl->server.WhenFlushed(on_stopped);
  };
  impl_->core.Stop();
}

}  // namespace cicadadrum
