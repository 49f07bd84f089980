// Entry VMs, backend servers that keep objects, and callers in virtual time.

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

struct LoadScenario {
  std::size_t entries = 4;
  std::size_t servers = 6;
  std::size_t slots = 4;
  std::size_t queue = 12;  // A server rejects requests beyond it.
  std::size_t cached_objects = 20;
  std::size_t objects = 60;
  Duration uncached_work = Milliseconds(400);
  Duration cached_work = Milliseconds(120);
  Duration objective = Milliseconds(300);
  double requests_per_second = 100;
  // Every server forgets its objects at this time, as after a loss of power.
  Duration clear_caches_at = Seconds(1000);
};

// What callers got of the requests that arrived in one second.
struct SecondCounts {
  double arrived = 0;
  double in_time = 0;
  double late = 0;
  double refused = 0;
  double in_time_share() const { return arrived > 0 ? in_time / arrived : 0; }
};

class LoadSimulation {
 public:
  LoadSimulation(LoadScenario scenario, std::uint64_t seed);

  // Plays the plan and returns what callers got, by second.
  std::vector<SecondCounts> Run(Duration time);

  // Requests that servers rejected because their queue was full.
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
    std::deque<std::uint64_t> cached;  // Objects, the newest at the end.
  };

  // Something that happens at a time; the serial keeps equal times in order.
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
