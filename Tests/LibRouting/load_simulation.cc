// Simulates load on the request cores of several entry VMs.

#include "load_simulation.h"

#include <algorithm>
#include <cmath>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

std::string EntryName(std::size_t index) {
  return "entry-" + std::to_string(index);
}

RoutingState MakeEntry(const LoadScenario& scenario,
                       std::size_t index,
                       std::uint64_t seed) {
  RoutingOptions options = MakeOptions();
  options.name = EntryName(index);
  RoutingState state = MakeRoutingState(std::move(options), seed + index);
  Route route = MakeRoute("read", RouteKind::kSafe, "desk");
  route.latency_objective = scenario.objective;
  ServersChanged servers{.is_full_list = true};
  for (std::size_t i = 0; i < scenario.servers; ++i) {
    ServerEntry server = MakeServer("server-" + std::to_string(i));
    server.slots = static_cast<std::uint32_t>(scenario.slots);
    servers.updated.push_back(server);
  }
  MembersChanged members;
  for (std::size_t i = 0; i < scenario.entries; ++i)
    members.entries.push_back({EntryName(i), "north", "north-a"});
  RoutingActions actions;
  StepRouting(
      state,
      ConfigurationAdopted{
          {.version = 1, .routes = {route}, .services = {{.name = "desk"}}}},
      kStart, actions);
  StepRouting(state, servers, kStart, actions);
  StepRouting(state, members, kStart, actions);
  state.started_at = kStart - Seconds(60);
  return state;
}

}  // namespace

LoadSimulation::LoadSimulation(LoadScenario scenario, std::uint64_t seed)
    : scenario_(scenario), random_{seed}, now_(kStart) {
  for (std::size_t i = 0; i < scenario_.entries; ++i)
    entries_.push_back(MakeEntry(scenario_, i, seed));
  for (std::size_t i = 0; i < scenario_.servers; ++i)
    backends_["server-" + std::to_string(i)];
}

std::vector<SecondCounts> LoadSimulation::Run(Duration time) {
  seconds_.assign(static_cast<std::size_t>(time / Seconds(1)) + 1, {});
  Push({.at = now_, .kind = Event::Kind::kArrival});
  while (!events_.empty() && events_.top().at < kStart + time) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    if (!caches_cleared_ && now_ - kStart >= scenario_.clear_caches_at) {
      caches_cleared_ = true;
      for (auto& [id, backend] : backends_)
        backend.cached.clear();
    }
    switch (event.kind) {
      case Event::Kind::kArrival:
        Arrive();
        break;
      case Event::Kind::kWorkEnds:
        End(event.server, event.job);
        break;
      case Event::Kind::kWake:
        Step(event.entry, TimerExpired{});
        break;
    }
  }
  seconds_.pop_back();
  return seconds_;
}

void LoadSimulation::Push(Event event) {
  event.serial = next_serial_++;
  events_.push(std::move(event));
}

void LoadSimulation::Step(std::size_t entry, const RoutingEvent& event) {
  RoutingActions actions;
  StepRouting(entries_[entry], event, now_, actions);
  for (const RoutingAction& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action))
      Receive(entry, *send);
    if (const auto* delivered = std::get_if<DeliverResponse>(&action))
      Count(delivered->request, false);
    if (const auto* refused = std::get_if<RefuseRequest>(&action))
      Count(refused->request, true);
    if (const auto* share = std::get_if<ShareObservations>(&action)) {
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto& receivers = share->receivers;
        if (std::find(receivers.begin(), receivers.end(), EntryName(i)) !=
            receivers.end())
          Step(i, ObservationsReceived{share->observations});
      }
    }
    if (const auto* wake = std::get_if<WakeAt>(&action);
        wake != nullptr && wake->at != kNever)
      Push({.at = std::max(wake->at, now_ + Microseconds(1)),
            .kind = Event::Kind::kWake,
            .entry = entry});
  }
}

void LoadSimulation::Arrive() {
  const std::uint64_t request = next_request_++;
  const std::uint64_t object = 1 + RandomBelow(random_, scenario_.objects);
  object_of_[request] = object;
  arrived_at_[request] = now_;
  seconds_[static_cast<std::size_t>((now_ - kStart) / Seconds(1))].arrived += 1;
  Step(RandomBelow(random_, scenario_.entries),
       RequestArrived{.request = request,
                      .host = "host",
                      .path = "/read/x",
                      .object = object,
                      .remaining = Seconds(2)});
  const double gap_s =
      -std::log(1 - RandomUnit(random_)) / scenario_.requests_per_second;
  Push({.at = now_ + Microseconds(1 + static_cast<std::int64_t>(gap_s * 1e6)),
        .kind = Event::Kind::kArrival});
}

LoadReport LoadSimulation::ReportOf(const Backend& backend) const {
  return {.running = static_cast<std::uint32_t>(backend.running),
          .waiting = static_cast<std::uint32_t>(backend.waiting.size()),
          .slots = static_cast<std::uint32_t>(scenario_.slots)};
}

void LoadSimulation::Receive(std::size_t entry, const SendAttempt& attempt) {
  Backend& backend = backends_.at(attempt.server);
  Job job{.entry = entry,
          .attempt = attempt,
          .object = object_of_.at(attempt.request)};
  if (backend.running < scenario_.slots)
    return Start(attempt.server, std::move(job));
  if (backend.waiting.size() < scenario_.queue) {
    backend.waiting.push_back(std::move(job));
    return;
  }
  ++rejected_;
  Step(entry, AttemptEnded{.request = attempt.request,
                           .attempt = attempt.attempt,
                           .outcome = ServerOutcome::kRejected,
                           .report = ReportOf(backend)});
}

Duration LoadSimulation::WorkOn(Backend& backend, std::uint64_t object) {
  const auto known =
      std::find(backend.cached.begin(), backend.cached.end(), object);
  const bool is_known = known != backend.cached.end();
  if (is_known)
    backend.cached.erase(known);
  backend.cached.push_back(object);
  if (backend.cached.size() > scenario_.cached_objects)
    backend.cached.pop_front();
  return is_known ? scenario_.cached_work : scenario_.uncached_work;
}

void LoadSimulation::Start(const std::string& server, Job job) {
  Backend& backend = backends_.at(server);
  ++backend.running;
  const TimePoint ends = now_ + WorkOn(backend, job.object);
  Push({.at = ends,
        .kind = Event::Kind::kWorkEnds,
        .server = server,
        .job = std::move(job)});
}

void LoadSimulation::End(const std::string& server, const Job& job) {
  Backend& backend = backends_.at(server);
  --backend.running;
  if (!backend.waiting.empty()) {
    Job next = std::move(backend.waiting.front());
    backend.waiting.pop_front();
    Start(server, std::move(next));
  }
  Step(job.entry, AttemptEnded{.request = job.attempt.request,
                               .attempt = job.attempt.attempt,
                               .outcome = ServerOutcome::kSucceeded,
                               .report = ReportOf(backend)});
}

void LoadSimulation::Count(std::uint64_t request, bool refused) {
  const TimePoint arrived = arrived_at_.at(request);
  SecondCounts& second =
      seconds_[static_cast<std::size_t>((arrived - kStart) / Seconds(1))];
  if (refused)
    second.refused += 1;
  else
    (now_ - arrived <= scenario_.objective ? second.in_time : second.late) += 1;
}

}  // namespace cicadadrum::routing
