// Simulates the links of entry VMs as queues.

#include "link_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <queue>
#include <string>

#include "cicadadrum/lookup/select_entries.h"
#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kServerWork = Milliseconds(100);
constexpr std::uint32_t kServerSlots = 10'000;

// One entry VM, and the queue of its link to the callers.
struct SimulatedEntry {
  EntryVm vm;
  RoutingState core;
  bool is_weak = false;
  std::deque<std::pair<TimePoint, std::uint64_t>> unsent;  // End, bytes.
  TimePoint link_free_at = kStart;
};

// The end of a server's work on an attempt.
struct WorkEnd {
  TimePoint at;
  std::uint64_t serial = 0;
  std::size_t entry = 0;
  SendAttempt attempt;
  bool operator<(const WorkEnd& other) const {
    return at != other.at ? at > other.at : serial > other.serial;
  }
};

SimulatedEntry MakeEntry(const LinkScenario& scenario,
                         std::size_t index,
                         std::uint64_t seed) {
  SimulatedEntry entry;
  entry.is_weak = index >= scenario.strong_entries;
  entry.vm = {.name = "entry-" + std::to_string(index),
              .region = "north",
              .failure_domain = "north-a",
              .link_megabits_per_second =
                  entry.is_weak ? scenario.weak_megabits_per_second
                                : scenario.strong_megabits_per_second,
              .processor_share = entry.is_weak ? 0.1 : 0.5};
  RoutingOptions options = MakeOptions();
  options.name = entry.vm.name;
  if (scenario.limits_links)
    options.link_megabits_per_second = entry.vm.link_megabits_per_second;
  entry.core = MakeRoutingState(std::move(options), seed + index);
  Route route = MakeRoute("read", RouteKind::kDownload, "desk");
  route.latency_objective = scenario.objective;
  route.timeout = scenario.deadline;
  ServerEntry server = MakeServer("server");
  server.slots = kServerSlots;
  RoutingActions actions;
  StepRouting(
      entry.core,
      ConfigurationAdopted{
          {.version = 1, .routes = {route}, .services = {{.name = "desk"}}}},
      kStart, actions);
  StepRouting(entry.core,
              ServersChanged{.updated = {server}, .is_full_list = true}, kStart,
              actions);
  return entry;
}

class LinkSimulation {
 public:
  LinkSimulation(const LinkScenario& scenario, std::uint64_t seed)
      : scenario_(scenario), random_{seed} {
    for (std::size_t i = 0; i < scenario.strong_entries + scenario.weak_entries;
         ++i) {
      entries_.push_back(MakeEntry(scenario, i, seed));
      vms_.push_back(entries_.back().vm);
    }
  }

  LinkResult Run(Duration time) {
    TimePoint next_arrival = kStart;
    while (next_arrival < kStart + time) {
      while (!work_.empty() && work_.top().at <= next_arrival)
        EndWork();
      now_ = next_arrival;
      Arrive();
      next_arrival += NextGap();
    }
    while (!work_.empty())
      EndWork();
    return result_;
  }

 private:
  Duration NextGap() {
    const bool is_burst = now_ >= kStart + scenario_.burst_begin &&
                          now_ < kStart + scenario_.burst_end;
    const double rate = is_burst ? scenario_.burst_requests_per_second
                                 : scenario_.requests_per_second;
    const double gap_s = -std::log(1 - RandomUnit(random_)) / rate;
    return Microseconds(1 + static_cast<std::int64_t>(gap_s * 1e6));
  }

  std::size_t ChooseEntry() {
    if (scenario_.choice == EntryChoice::kUniform)
      return RandomBelow(random_, entries_.size());
    // A caller asks some entry VM, which names those that it selects.
    const SimulatedEntry& responder =
        entries_[RandomBelow(random_, entries_.size())];
    const auto named =
        SelectEntries(vms_, "north",
                      {.responder = responder.vm.name,
                       .responder_region = responder.vm.region,
                       .request_bytes = responder.core.mean_transfer_bytes});
    const std::string& name = named[RandomBelow(random_, named.size())].name;
    const auto found =
        std::find_if(vms_.begin(), vms_.end(),
                     [&](const EntryVm& vm) { return vm.name == name; });
    return static_cast<std::size_t>(found - vms_.begin());
  }

  static std::uint64_t UnsentBytes(SimulatedEntry& entry, TimePoint now) {
    while (!entry.unsent.empty() && entry.unsent.front().first <= now)
      entry.unsent.pop_front();
    std::uint64_t bytes = 0;
    for (const auto& [end, size] : entry.unsent)
      bytes += size;
    return bytes;
  }

  void Arrive() {
    const std::size_t index = ChooseEntry();
    SimulatedEntry& entry = entries_[index];
    const std::uint64_t request = next_request_++;
    arrived_at_[request] = now_;
    result_.sent += 1;
    Step(index, RequestArrived{.request = request,
                               .host = "host",
                               .path = "/read/x",
                               .object = request % 50,
                               .remaining = scenario_.deadline,
                               .unsent_bytes = UnsentBytes(entry, now_)});
  }

  void EndWork() {
    const WorkEnd end = work_.top();
    work_.pop();
    now_ = end.at;
    Step(end.entry, AttemptEnded{.request = end.attempt.request,
                                 .attempt = end.attempt.attempt,
                                 .outcome = ServerOutcome::kSucceeded,
                                 .response_bytes = scenario_.response_bytes});
  }

  void Step(std::size_t index, const RoutingEvent& event) {
    RoutingActions actions;
    StepRouting(entries_[index].core, event, now_, actions);
    for (const RoutingAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action))
        work_.push({now_ + kServerWork, next_serial_++, index, *send});
      if (const auto* delivered = std::get_if<DeliverResponse>(&action))
        Deliver(entries_[index], delivered->request);
      if (std::holds_alternative<RefuseRequest>(action))
        result_.refused += 1;
    }
  }

  void Deliver(SimulatedEntry& entry, std::uint64_t request) {
    constexpr double kBitsPerByte = 8;
    const double transfer_us = static_cast<double>(scenario_.response_bytes) *
                               kBitsPerByte / entry.vm.link_megabits_per_second;
    entry.link_free_at = std::max(entry.link_free_at, now_) +
                         Microseconds(static_cast<std::int64_t>(transfer_us));
    entry.unsent.emplace_back(entry.link_free_at, scenario_.response_bytes);
    if (entry.is_weak)
      result_.longest_weak_queue =
          std::max(result_.longest_weak_queue, entry.link_free_at - now_);
    const Duration took = entry.link_free_at - arrived_at_.at(request);
    (took <= scenario_.objective ? result_.in_time : result_.late) += 1;
  }

  LinkScenario scenario_;
  Random random_;
  TimePoint now_ = kStart;
  std::vector<SimulatedEntry> entries_;
  std::vector<EntryVm> vms_;
  std::priority_queue<WorkEnd> work_;
  std::map<std::uint64_t, TimePoint> arrived_at_;  // By request.
  std::uint64_t next_serial_ = 0;
  std::uint64_t next_request_ = 1;
  LinkResult result_;
};

}  // namespace

LinkResult SimulateLinks(const LinkScenario& scenario,
                         std::uint64_t seed,
                         Duration time) {
  return LinkSimulation(scenario, seed).Run(time);
}

}  // namespace cicadadrum::routing
