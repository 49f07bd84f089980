// Simulates entry VMs, backend servers with object caches, and callers in
// virtual time.

#ifndef CICADADRUM_TESTS_LIBROUTING_LOAD_SIMULATION_H_
#define CICADADRUM_TESTS_LIBROUTING_LOAD_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Servers and callers of one region.
struct LoadRegion {
  std::string name = "north";
  std::size_t servers = 6;
  double demand = 1;  // Relative to the demand of the other regions.
};

// Requests of one route of the service.
struct LoadKind {
  std::string route = "read";
  std::uint32_t priority = 0;
  double demand = 1;  // Relative to the demand of the other kinds.
  Duration objective = Milliseconds(300);
};

// The fleet, its servers and the load that callers produce.
struct LoadScenario {
  std::size_t entries = 4;  // The regions have them in turn.
  std::vector<LoadRegion> regions = {{}};
  std::vector<LoadKind> kinds = {{}};
  std::size_t slots = 4;
  // Maximum queue length of a server, which rejects further requests.
  std::size_t queue = 12;
  std::size_t cached_objects = 20;  // Capacity of a server's cache.
  std::size_t objects = 60;         // Number of objects that callers ask for.
  Duration uncached_work = Milliseconds(400);
  Duration cached_work = Milliseconds(120);
  double requests_per_second = 100;
  // Exponent of the Zipf distribution of requests over objects; 0 for equal
  // rates.
  double zipf_exponent = 0;
  // This share of the requests takes `tail_factor` times as long.
  double tail_share = 0;
  std::int64_t tail_factor = 7;
  // The demand of each region rises and falls by this share of its mean. The
  // waves of the regions are equal parts of the period apart.
  double wave_swing = 0;
  Duration wave_period = Seconds(36);
  // One-way latencies.
  Duration latency{};
  Duration region_latency = Milliseconds(12);
  // A refused caller returns once after the delay that the refusal states.
  bool callers_return = false;
  // At this time the caches of all servers become empty, as after a power loss.
  Duration clear_caches_at = Seconds(1000);
};

// Results of the requests that arrived within one second.
struct SecondCounts {
  double arrived = 0;
  double in_time = 0;  // Responses within the latency objective.
  double late = 0;     // Responses after it.
  double refused = 0;
  double timed_out = 0;
  SecondCounts& operator+=(const SecondCounts& other);
  double answered_share() const {
    return arrived > 0 ? (in_time + late) / arrived : 0;
  }
  double in_time_share() const { return arrived > 0 ? in_time / arrived : 0; }
};

// Runs a scenario. Equal scenarios and seeds give equal results.
class LoadSimulation {
 public:
  LoadSimulation(LoadScenario scenario, std::uint64_t seed);

  // Runs the scenario for `time` and returns the results, by second.
  std::vector<SecondCounts> Run(Duration time);

  // Returns how many requests servers rejected because their queue was full.
  std::size_t rejected() const { return rejected_; }

  // Returns the results of the last run by second, of a kind of request or of
  // the callers of a region.
  const std::vector<SecondCounts>& OfKind(const std::string& route) {
    return by_group_[route];
  }
  const std::vector<SecondCounts>& OfRegion(const std::string& region) {
    return by_group_[region];
  }

  // Share of the work that concerned objects which the server had cached.
  double cached_share() const {
    return cached_ / std::max(cached_ + fresh_, 1.0);
  }

 private:
  // A request of a caller, who may send it again.
  struct Call {
    std::size_t entry = 0;
    const LoadKind* kind = nullptr;
    std::uint64_t object = 0;
    TimePoint arrived_at;
    bool has_returned = false;
  };

  struct Job {
    SendAttempt attempt;
    std::size_t entry = 0;
    std::uint64_t object = 0;
  };

  struct Backend {
    std::size_t region = 0;
    std::deque<Job> waiting;
    std::size_t running = 0;
    std::deque<std::uint64_t> cached;  // Objects, the last used at the end.
  };

  // An event in virtual time. The serial number orders events at the same time.
  struct Event {
    TimePoint at;
    std::uint64_t serial = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : serial > other.serial;
    }
  };

  void Push(Duration delay, std::function<void()> action);
  void Step(std::size_t entry, const RoutingEvent& event);
  void Perform(std::size_t entry, const RoutingAction& action);
  void Arrive();
  void SendRequest(const Call& call);
  void Receive(const Job& job);
  void Start(Backend& backend, const Job& job);
  void End(Backend& backend, const Job& job);
  void Reply(Backend& backend, const Job& job, ServerOutcome outcome);
  void Refuse(const RefuseRequest& refusal);
  void Count(const Call& call, double SecondCounts::*count);
  std::size_t ChooseEntry();
  Duration LatencyTo(const Backend& backend, std::size_t entry) const;
  LoadReport ReportOf(const Backend& backend) const;
  Duration WorkOn(Backend& backend, std::uint64_t object);

  LoadScenario scenario_;
  Random random_;
  TimePoint now_;
  std::vector<RoutingState> entries_;
  std::map<std::string, Backend> backends_;
  std::priority_queue<Event> events_;
  std::uint64_t next_serial_ = 0;
  std::uint64_t next_request_ = 1;
  std::size_t rejected_ = 0;
  double cached_ = 0;
  double fresh_ = 0;
  std::vector<double> object_weights_;   // Running sums.
  std::map<std::uint64_t, Call> calls_;  // Open requests, by id.
  std::vector<SecondCounts> seconds_;
  std::map<std::string, std::vector<SecondCounts>> by_group_;
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_TESTS_LIBROUTING_LOAD_SIMULATION_H_
