// Entry VMs and servers in virtual time, for tests of servers that restart
// under their ids and are cold then.
//
// A connection leads to one incarnation of a server. Rows of servers reach each
// entry VM with a lag of its own.

#ifndef CICADADRUM_TESTS_LIBROUTING_RESTART_WORLD_H_
#define CICADADRUM_TESTS_LIBROUTING_RESTART_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

struct RestartWorldOptions {
  std::size_t entries = 9;  // In three regions of two failure domains each.
  std::size_t servers = 16;
  std::size_t slots = 9;
  double requests_per_second = 250;
  double cold_requests_per_second = 11;
  double cold_extra = 5;
  std::size_t objects = 64;
  // Time from the write of a row until an entry VM has it.
  Duration min_row_lag = Milliseconds(300);
  Duration max_row_lag = Milliseconds(2500);
  // Whether the front end does what SendAttempt::cold_check says. If not, it
  // sends requests on any connection.
  bool checks_connections = true;
  std::uint64_t seed = 1;
};

constexpr Duration kColdTime = Seconds(3);
constexpr double kColdLoadFactor = 1.5;

// The most requests that arrived at a cold server in one second.
struct ColdPeak {
  std::size_t requests = 0;
  std::size_t server = 0;
  TimePoint at{};  // End of that second.
};

// What became of the requests that arrived in a span of time.
struct AnswerCounts {
  std::size_t arrived = 0;
  // Lost attempts of requests that can't be repeated.
  std::size_t unsafe_losses = 0;
  std::vector<Duration> latencies;  // Of the requests that were answered.

  double Share() const;
  Duration Median() const;
};

class RestartWorld {
 public:
  explicit RestartWorld(const RestartWorldOptions& options);

  // Ends the server's process, which starts again under its id after `down`.
  void RestartServer(std::size_t server, Duration down);
  // Restarts every third server.
  void RestartThird(Duration down);
  // Closes the connection of one of the server's requests.
  void LoseConnection(std::size_t server);
  // Closes all idle connections to the server without notice.
  void DropIdleConnections(std::size_t server);
  // Restarts the entry VM's process without state.
  void RestartEntry(std::size_t entry, Duration down);
  // Cuts the entry VM from the other ones and from the store, but not from
  // servers.
  void CutEntry(std::size_t entry, bool cut);
  // Callers send no requests until then.
  void PauseLoad(TimePoint until) { load_from_ = until; }

  void At(TimePoint at, std::function<void()> action);
  void RunUntil(TimePoint end);

  // Counts the requests that arrive from `begin` until `end`.
  void CountAnswers(TimePoint begin, TimePoint end);

  TimePoint now() const { return now_; }
  const AnswerCounts& answers() const { return answers_; }
  const RestartWorldOptions& options() const { return options_; }
  const ColdPeak& cold_peak() const { return cold_peak_; }
  // Requests that arrived at cold servers.
  std::size_t cold_requests() const { return cold_requests_; }
  // The upper bound of ColdPeak::requests.
  double AllowedColdPeak() const {
    return options_.cold_requests_per_second * kColdLoadFactor +
           options_.cold_extra;
  }

 private:
  enum class Phase : std::uint8_t { kOnWay, kRunning, kEnded };

  struct Connection {
    std::uint64_t incarnation = 0;
    TimePoint opened_at{};
    TimePoint idle_since{};
    bool check_passed = false;
  };

  // The current attempt of a request.
  struct Attempt {
    std::size_t entry = 0;
    std::uint32_t number = 0;
    std::size_t server = 0;
    Connection connection;
    std::optional<ColdCheck> check;
    bool is_unsafe = false;
    bool is_reused = false;
    Phase phase = Phase::kOnWay;
  };

  // Request and number of an attempt.
  using AttemptKey = std::pair<std::uint64_t, std::uint32_t>;

  struct Backend {
    std::string id;
    std::string domain;
    bool up = true;
    std::uint64_t incarnation = 1;
    TimePoint started_at = TimePoint{};
    std::uint64_t row_version = 0;
    std::size_t running = 0;
    std::deque<std::uint64_t> cached;     // Objects, the last used at the end.
    std::deque<TimePoint> cold_arrivals;  // Within the last second.
  };

  struct Entry {
    std::string domain;
    RoutingState state;
    std::uint64_t boot = 0;
    bool up = false;
    bool cut = false;
    TimePoint wake_at = kNever;
    std::map<std::size_t, std::vector<Connection>> idle;  // By server.
  };

  void StartEntry(std::size_t entry);
  void SendMembers(std::size_t entry);
  void SendFullList(std::size_t entry);
  ServerEntry RowOf(std::size_t server) const;
  void Beat(std::size_t server, std::uint64_t incarnation);
  void Publish(const ServersChanged& change);
  void SendRequest();
  void Step(std::size_t entry, const RoutingEvent& event);
  void Perform(std::size_t entry, const RoutingAction& action);
  void BeginAttempt(std::size_t entry, const SendAttempt& send);
  void Connect(AttemptKey key);
  // Checks the connection that has been opened, or sends the request.
  void UseConnection(AttemptKey key);
  void CheckConnection(AttemptKey key);
  // Sends the request if the entry VM still wants to.
  void Confirm(AttemptKey key);
  void Receive(AttemptKey key);
  void CountArrival(std::size_t server);
  void Finish(AttemptKey key);
  // The entry VM learns of the end one way later.
  void End(AttemptKey key, ServerOutcome outcome);
  void ReportEnd(AttemptKey key, AttemptEnded end);
  void Abandon(std::uint64_t request);
  Attempt* Find(AttemptKey key);
  bool NeedsCheck(const Attempt& attempt, const Connection& connection) const;
  std::optional<Connection> TakeIdle(const Attempt& attempt);
  static ServerOutcome LossOf(const Attempt& attempt);
  Duration OneWay(const Attempt& attempt) const;
  Duration WorkOn(Backend& backend, std::uint64_t object);
  Duration RandomLag();
  bool IsCold(const Backend& backend) const;

  RestartWorldOptions options_;
  Random random_;
  TimePoint now_;
  TimePoint load_from_{};
  std::multimap<TimePoint, std::function<void()>> queue_;
  std::vector<Backend> servers_;
  std::vector<Entry> entries_;
  std::map<std::size_t, ServerEntry> listed_;  // Rows that a new list has.
  std::map<std::uint64_t, Attempt> attempts_;  // By request.
  std::uint64_t next_request_ = 1;
  TimePoint count_from_ = kNever;
  TimePoint count_until_ = kNever;
  std::map<std::uint64_t, TimePoint> counted_;  // Arrivals by request.
  AnswerCounts answers_;
  ColdPeak cold_peak_;
  std::size_t cold_requests_ = 0;
  bool is_confirmed_ = false;  // By the last step.
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_TESTS_LIBROUTING_RESTART_WORLD_H_
