// Entry VMs and servers in virtual time, for tests of requests that crash the
// servers which run them.
//
// Servers crash when they run a request with a crashing fingerprint, and come
// back as new incarnations. Entry VMs keep connections to servers open, and
// replicate the evidence about suspects with delays.

#ifndef CICADADRUM_TESTS_LIBROUTING_SUSPECT_WORLD_H_
#define CICADADRUM_TESTS_LIBROUTING_SUSPECT_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

struct SuspectWorldOptions {
  std::size_t entries = 3;
  std::size_t servers = 6;  // In two failure domains by turns.
  std::uint32_t max_attempts = 3;
  Duration work = Milliseconds(60);
  std::uint64_t seed = 1;
};

// What happened to the requests with one fingerprint.
struct FingerprintCounts {
  std::size_t sent = 0;      // By callers.
  std::size_t answered = 0;  // By servers.
  std::size_t blocked = 0;   // Refused because the fingerprint is blocked.
  std::size_t crashes = 0;   // Servers that crashed because of it.
  std::size_t arrivals = 0;  // At servers.
  TimePoint third_crash = kNever;
  // Arrivals beyond the first one of a request that entry VMs in touch sent
  // later than kStableWindow after the third crash.
  std::size_t late_retries = 0;
};

// The shortest `stable_window_ms` of the operators' deployments.
constexpr Duration kStableWindow = Milliseconds(3000);

class SuspectWorld {
 public:
  explicit SuspectWorld(const SuspectWorldOptions& options);

  // Makes the requests with this fingerprint crash their servers.
  void MakeCrashing(std::uint64_t fingerprint);

  // Sends a request to an entry VM now.
  void Send(std::size_t entry,
            std::uint64_t fingerprint,
            const std::string& route = "read");
  // Sends requests at random entry VMs, one per `interval`, until `end`.
  void SendRepeatedly(std::uint64_t fingerprint,
                      Duration interval,
                      TimePoint end,
                      const std::string& route = "read");

  // Ends the server's process. It is back after two seconds.
  void CrashServer(std::size_t server);
  void CrashFailureDomain(const std::string& domain);
  // Closes all idle connections to the server without notice.
  void DropIdleConnections(std::size_t server);
  // Restarts the entry VM's process without state.
  void RestartEntry(std::size_t entry);
  // Cuts the entry VM from the other entry VMs, but not from servers.
  void CutEntry(std::size_t entry, bool cut);

  void At(TimePoint at, std::function<void()> action);
  void RunUntil(TimePoint end);

  TimePoint now() const { return now_; }
  const FingerprintCounts& Of(std::uint64_t fingerprint) {
    return counts_[fingerprint];
  }
  const RoutingState& state(std::size_t entry) const {
    return entries_[entry].state;
  }

 private:
  struct Attempt {
    std::size_t entry = 0;
    std::uint64_t boot = 0;  // Of the entry VM.
    SendAttempt send;
    bool reused = false;
  };

  struct Server {
    std::string domain;
    std::uint64_t incarnation = 0;
    bool up = false;
    std::map<std::uint64_t, Attempt> running;  // By number of the attempt.
    // Numbers of idle connections by entry VM.
    std::map<std::size_t, std::size_t> idle;
    std::size_t dropped_idle = 0;  // Connections of `idle` that are closed.
  };

  struct Request {
    std::uint64_t fingerprint = 0;
    std::size_t arrivals = 0;
  };

  struct Entry {
    RoutingState state;
    std::uint64_t boot = 0;
    std::uint64_t next_request = 1;
    bool cut = false;
    TimePoint wake_at = kNever;  // Time of the last WakeAt.
    TimePoint in_touch_from{};   // As the operators' rules define it.
    std::map<std::uint64_t, Request> requests;
    // Records of suspects by slot, as the entry VMs replicate them.
    std::map<std::uint32_t, SuspectRecord> records;
  };

  void StartEntry(std::size_t entry);
  void StartServer(std::size_t server);
  ServerEntry EntryOf(std::size_t server) const;
  void Step(std::size_t entry, const RoutingEvent& event);
  void Perform(std::size_t entry, const RoutingAction& action);
  void BeginAttempt(std::size_t entry, const SendAttempt& send);
  void RunAttempt(std::uint64_t number, std::size_t server);
  void EndAttempt(const Attempt& attempt, ServerOutcome outcome);
  void Adopt(std::size_t entry, const SuspectRecord& record);
  void Synchronize(std::size_t entry);
  void Wake(std::size_t entry, TimePoint at);
  std::size_t RandomEntry();

  SuspectWorldOptions options_;
  Random random_;
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> queue_;
  std::vector<Server> servers_;
  std::vector<Entry> entries_;
  std::set<std::uint64_t> crashing_;
  std::map<std::uint64_t, FingerprintCounts> counts_;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_TESTS_LIBROUTING_SUSPECT_WORLD_H_
