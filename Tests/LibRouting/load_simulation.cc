// Simulates load on the request cores of several entry VMs.

#include "load_simulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

std::string EntryName(std::size_t index) {
  return "entry-" + std::to_string(index);
}

std::string ServerName(const LoadRegion& region, std::size_t index) {
  return region.name + "-server-" + std::to_string(index);
}

// Returns the index of the element of running sums that `position` in [0, 1)
// falls on.
std::size_t PickByWeight(const std::vector<double>& sums, double position) {
  return static_cast<std::size_t>(
      std::upper_bound(sums.begin(), sums.end() - 1, position * sums.back()) -
      sums.begin());
}

RoutingState MakeEntry(const LoadScenario& scenario,
                       std::size_t index,
                       std::uint64_t seed) {
  const std::string region =
      scenario.regions[index % scenario.regions.size()].name;
  RoutingOptions options = MakeOptions();
  options.name = EntryName(index);
  options.region = region;
  options.failure_domain = region + "-a";
  RoutingConfiguration configuration{.version = 1,
                                     .services = {{.name = "desk"}}};
  for (const LoadKind& kind : scenario.kinds) {
    Route route = MakeRoute(kind.route, RouteKind::kSafe, "desk");
    route.latency_objective = kind.objective;
    route.priority = kind.priority;
    configuration.routes.push_back(route);
  }
  ServersChanged servers{.is_full_list = true};
  for (const LoadRegion& other : scenario.regions) {
    options.region_by_domain[other.name + "-a"] = other.name;
    for (std::size_t i = 0; i < other.servers; ++i) {
      ServerEntry server = MakeServer(ServerName(other, i), other.name + "-a");
      server.slots = static_cast<std::uint32_t>(scenario.slots);
      servers.updated.push_back(server);
    }
  }
  RoutingState state = MakeRoutingState(std::move(options), seed + index);
  MembersChanged members;
  for (std::size_t i = 0; i < scenario.entries; ++i) {
    const std::string& other =
        scenario.regions[i % scenario.regions.size()].name;
    members.entries.push_back({EntryName(i), other, other + "-a"});
  }
  RoutingActions actions;
  StepRouting(state, ConfigurationAdopted{configuration}, kStart, actions);
  StepRouting(state, servers, kStart, actions);
  StepRouting(state, members, kStart, actions);
  state.started_at = kStart - Seconds(60);
  return state;
}

}  // namespace

SecondCounts& SecondCounts::operator+=(const SecondCounts& other) {
  arrived += other.arrived;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  timed_out += other.timed_out;
  return *this;
}

LoadSimulation::LoadSimulation(LoadScenario scenario, std::uint64_t seed)
    : scenario_(std::move(scenario)), random_{seed}, now_(kStart) {
  for (std::size_t i = 0; i < scenario_.entries; ++i)
    entries_.push_back(MakeEntry(scenario_, i, seed));
  for (std::size_t region = 0; region < scenario_.regions.size(); ++region) {
    for (std::size_t i = 0; i < scenario_.regions[region].servers; ++i)
      backends_[ServerName(scenario_.regions[region], i)].region = region;
  }
  double sum = 0;
  for (std::size_t i = 1; i <= scenario_.objects; ++i)
    object_weights_.push_back(
        sum += std::pow(static_cast<double>(i), -scenario_.zipf_exponent));
}

std::vector<SecondCounts> LoadSimulation::Run(Duration time) {
  const auto count = static_cast<std::size_t>(time / Seconds(1));
  seconds_.assign(count, {});
  for (const LoadRegion& region : scenario_.regions)
    by_group_[region.name].assign(count, {});
  for (const LoadKind& kind : scenario_.kinds)
    by_group_[kind.route].assign(count, {});
  Push({}, [this] { Arrive(); });
  Push(scenario_.clear_caches_at, [this] {
    for (auto& [id, backend] : backends_)
      backend.cached.clear();
  });
  while (!events_.empty() && events_.top().at < kStart + time) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  return seconds_;
}

void LoadSimulation::Push(Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, next_serial_++, std::move(action)});
}

void LoadSimulation::Step(std::size_t entry, const RoutingEvent& event) {
  RoutingActions actions;
  StepRouting(entries_[entry], event, now_, actions);
  for (const RoutingAction& action : actions)
    Perform(entry, action);
}

void LoadSimulation::Perform(std::size_t entry, const RoutingAction& action) {
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    const Job job{*send, entry, calls_.at(send->request).object};
    Push(LatencyTo(backends_.at(send->server), entry),
         [this, job] { Receive(job); });
  }
  if (const auto* delivered = std::get_if<DeliverResponse>(&action)) {
    const Call call = calls_.extract(delivered->request).mapped();
    Count(call, now_ - call.arrived_at <= call.kind->objective
                    ? &SecondCounts::in_time
                    : &SecondCounts::late);
  }
  if (const auto* refused = std::get_if<RefuseRequest>(&action))
    Refuse(*refused);
  if (const auto* share = std::get_if<ShareObservations>(&action)) {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const auto& receivers = share->receivers;
      if (std::find(receivers.begin(), receivers.end(), EntryName(i)) !=
          receivers.end())
        Push(scenario_.latency, [this, i, share = *share] {
          Step(i, ObservationsReceived{share.observations});
        });
    }
  }
  if (const auto* wake = std::get_if<WakeAt>(&action);
      wake != nullptr && wake->at != kNever)
    Push(std::max(wake->at - now_, Microseconds(1)),
         [this, entry] { Step(entry, TimerExpired{}); });
}

void LoadSimulation::Arrive() {
  std::vector<double> kinds;
  for (const LoadKind& kind : scenario_.kinds)
    kinds.push_back((kinds.empty() ? 0 : kinds.back()) + kind.demand);
  const std::size_t kind = PickByWeight(kinds, RandomUnit(random_));
  // Each route has its own objects.
  const Call call{.entry = ChooseEntry(),
                  .kind = &scenario_.kinds[kind],
                  .object = 1 + kind * scenario_.objects +
                            PickByWeight(object_weights_, RandomUnit(random_)),
                  .arrived_at = now_};
  Count(call, &SecondCounts::arrived);
  SendRequest(call);
  const double gap_s =
      -std::log(1 - RandomUnit(random_)) / scenario_.requests_per_second;
  Push(Microseconds(1 + static_cast<std::int64_t>(gap_s * 1e6)),
       [this] { Arrive(); });
}

std::size_t LoadSimulation::ChooseEntry() {
  const std::size_t regions = scenario_.regions.size();
  std::vector<double> demand;
  for (std::size_t i = 0; i < regions; ++i) {
    const double turns =
        static_cast<double>((now_ - kStart).count()) /
            static_cast<double>(scenario_.wave_period.count()) +
        static_cast<double>(i) / static_cast<double>(regions);
    const double wave = std::sin(turns * 2 * std::numbers::pi);
    demand.push_back((demand.empty() ? 0 : demand.back()) +
                     scenario_.regions[i].demand *
                         (1 + scenario_.wave_swing * wave));
  }
  const std::size_t region = PickByWeight(demand, RandomUnit(random_));
  const std::size_t entries =
      (scenario_.entries - region + regions - 1) / regions;
  return region + regions * RandomBelow(random_, entries);
}

void LoadSimulation::SendRequest(const Call& call) {
  const std::uint64_t request = next_request_++;
  calls_[request] = call;
  Step(call.entry,
       RequestArrived{.request = request,
                      .host = "host",
                      .path = "/" + call.kind->route + "/x",
                      .object = call.object,
                      .remaining = call.arrived_at + Seconds(2) - now_});
}

void LoadSimulation::Refuse(const RefuseRequest& refusal) {
  Call call = calls_.extract(refusal.request).mapped();
  if (refusal.reason == RefusalReason::kTimedOut)
    return Count(call, &SecondCounts::timed_out);
  if (!scenario_.callers_return || call.has_returned)
    return Count(call, &SecondCounts::refused);
  call.has_returned = true;
  Push(refusal.retry_after, [this, call] { SendRequest(call); });
}

LoadReport LoadSimulation::ReportOf(const Backend& backend) const {
  return {.running = static_cast<std::uint32_t>(backend.running),
          .waiting = static_cast<std::uint32_t>(backend.waiting.size()),
          .slots = static_cast<std::uint32_t>(scenario_.slots)};
}

Duration LoadSimulation::LatencyTo(const Backend& backend,
                                   std::size_t entry) const {
  return backend.region == entry % scenario_.regions.size()
             ? scenario_.latency
             : scenario_.region_latency;
}

void LoadSimulation::Receive(const Job& job) {
  Backend& backend = backends_.at(job.attempt.server);
  if (backend.running < scenario_.slots)
    return Start(backend, job);
  if (backend.waiting.size() < scenario_.queue)
    return backend.waiting.push_back(job);
  ++rejected_;
  Reply(backend, job, ServerOutcome::kRejected);
}

Duration LoadSimulation::WorkOn(Backend& backend, std::uint64_t object) {
  const bool is_known = std::erase(backend.cached, object) > 0;
  backend.cached.push_back(object);
  if (backend.cached.size() > scenario_.cached_objects)
    backend.cached.pop_front();
  (is_known ? cached_ : fresh_) += 1;
  const Duration work =
      is_known ? scenario_.cached_work : scenario_.uncached_work;
  return RandomUnit(random_) < scenario_.tail_share
             ? work * scenario_.tail_factor
             : work;
}

void LoadSimulation::Start(Backend& backend, const Job& job) {
  ++backend.running;
  Push(WorkOn(backend, job.object),
       [this, &backend, job] { End(backend, job); });
}

void LoadSimulation::End(Backend& backend, const Job& job) {
  --backend.running;
  if (!backend.waiting.empty()) {
    const Job next = std::move(backend.waiting.front());
    backend.waiting.pop_front();
    Start(backend, next);
  }
  Reply(backend, job, ServerOutcome::kSucceeded);
}

void LoadSimulation::Reply(Backend& backend,
                           const Job& job,
                           ServerOutcome outcome) {
  const AttemptEnded end{.request = job.attempt.request,
                         .attempt = job.attempt.attempt,
                         .outcome = outcome,
                         .report = ReportOf(backend)};
  Push(LatencyTo(backend, job.entry),
       [this, end, entry = job.entry] { Step(entry, end); });
}

void LoadSimulation::Count(const Call& call, double SecondCounts::*count) {
  const auto second =
      static_cast<std::size_t>((call.arrived_at - kStart) / Seconds(1));
  const LoadRegion& region =
      scenario_.regions[call.entry % scenario_.regions.size()];
  for (auto* counts :
       {&seconds_, &by_group_[region.name], &by_group_[call.kind->route]})
    (*counts)[second].*count += 1;
}

}  // namespace cicadadrum::routing
