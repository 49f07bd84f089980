// Simulates entry VMs, backend servers with object caches, and callers in
// virtual time.

#ifndef CICADADRUM_TESTS_LIBROUTING_LOAD_SIMULATION_H_
#define CICADADRUM_TESTS_LIBROUTING_LOAD_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// The fleet, its servers and the load that callers produce.
struct LoadScenario {
  std::size_t entries = 4;
  std::size_t servers = 6;
  std::size_t slots = 4;
  // Maximum queue length of a server, which rejects further requests.
  std::size_t queue = 12;
  std::size_t cached_objects = 20;  // Capacity of a server's cache.
  std::size_t objects = 60;         // Number of objects that callers ask for.
  Duration uncached_work = Milliseconds(400);
  Duration cached_work = Milliseconds(120);
  Duration objective = Milliseconds(300);
  double requests_per_second = 100;
  // At this time the caches of all servers become empty, as after a power loss.
  Duration clear_caches_at = Seconds(1000);
};

// Results of the requests that arrived within one second.
struct SecondCounts {
  double arrived = 0;
  double in_time = 0;  // Responses within the latency objective.
  double late = 0;     // Responses after it.
  double refused = 0;
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

 private:
  struct Job {
    std::size_t entry = 0;
    SendAttempt attempt;
    std::uint64_t object = 0;
  };

  struct Backend {
    std::deque<Job> waiting;
    std::size_t running = 0;
    std::deque<std::uint64_t> cached;  // Objects, the last used at the end.
  };

  // An event in virtual time. The serial number orders events at the same time.
  struct Event {
    TimePoint at;
    std::uint64_t serial = 0;
    enum class Kind : std::uint8_t { kArrival, kWorkEnds, kWake } kind;
    std::size_t entry = 0;
    std::string server;
    Job job;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : serial > other.serial;
    }
  };

  void Push(Event event);
  void Step(std::size_t entry, const RoutingEvent& event);
  void Arrive();
  void Receive(std::size_t entry, const SendAttempt& attempt);
  void Start(const std::string& server, Job job);
  void End(const std::string& server, const Job& job);
  void Count(std::uint64_t request, bool refused);
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
  bool caches_cleared_ = false;
  std::map<std::uint64_t, std::uint64_t> object_of_;  // By request.
  std::map<std::uint64_t, TimePoint> arrived_at_;     // By request.
  std::vector<SecondCounts> seconds_;
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_TESTS_LIBROUTING_LOAD_SIMULATION_H_
