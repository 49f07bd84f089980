// Runs the entry VMs, servers, store and callers, injects faults, and checks
// what was recorded.

#ifndef CICADADRUM_TESTS_SOAK_SOAK_H_
#define CICADADRUM_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "callers.h"
#include "cicadadrum/base/random.h"
#include "configurations.h"
#include "faults.h"
#include "fleet.h"
#include "records.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

struct SoakOptions {
  std::string program;  // Path of cicadadrum-platform.
  std::string folder;   // For the settings and logs of the entry VMs.
  std::uint64_t seed = 1;
  std::size_t entry_count = 4;
  std::vector<Fault> faults;
  // Of so many requests, one is a download; none if it is 0.
  std::uint64_t requests_per_download = 0;
  // Retries by an older route than the one in force, and outdated decisions of
  // entry VMs out of touch, are problems.
  bool is_strict = false;
};

// A backend server and the proxy between the entry VMs and the server.
struct SoakServer {
  std::unique_ptr<ServerStandIn> server;
  std::unique_ptr<FaultProxy> proxy;
  SoakFailureDomain failure_domain;
  TimePoint next_heartbeat_at;
  TimePoint last_heartbeat_at;
  TimePoint removed_at = kNever;  // When the server left the store.
  bool has_crashed = false;       // The server resets all connections.
  std::vector<LinkChange> link_changes;
};

// Faults that are injected for a time. The time from one fault to the next is
// random, from `min_interval` to less than `max_interval`.
struct FaultPlan {
  std::vector<Fault> faults;
  Duration min_interval;
  Duration max_interval;
};

class Soak {
 public:
  explicit Soak(SoakOptions options);

  void Run(Duration duration);
  // Writes counts and all problems. Returns whether there is no problem.
  bool Report(std::ostream& out);

 private:
  void AddServer(const SoakFailureDomain& failure_domain);
  void ReplaceServer();
  // Lets the server say in its responses that it is leaving, and adds another
  // one. The entry in the store stays.
  void AnnounceLeaving(std::size_t index);
  void RestartServer(SoakServer& server);
  // Lets all running servers state limits for a while, unless they do already.
  void LimitServers();
  void EndLimits();
  void SetLinkMode(SoakServer& server, ProxyMode mode);
  void WriteConfiguration();
  // Restores the store from a copy. Heartbeats and RewriteStore write again
  // what the copy lacks.
  void RestoreStore();
  void RewriteStore();
  void WriteServerRow(SoakServer& server, const std::string& state);
  void SendHeartbeats();
  void RemoveSilentServers();
  void InjectFault(Fault fault);
  void ClearFaults();
  // Records which entry VMs have a fault now.
  void RecordImpairments();
  Touch TouchOf(const EntryProcess& entry);
  void SendRequests();
  void RunFor(Duration duration, const FaultPlan& plan);
  void RunOnce();
  // Returns the number of requests executed by servers that are no longer in
  // the store.
  std::size_t CountExecutionsOnRemovedServers() const;
  SoakRecords CollectRecords() const;
  std::vector<std::string> FindProblems(const SoakRecords& records) const;
  // Returns what is a problem in strict mode only.
  static std::vector<std::string> FindStrictProblems(
      const SoakRecords& records);
  // Returns a random duration from `min` to less than `max`.
  Duration RandomDuration(Duration min, Duration max);
  std::uint64_t RandomNumberBelow(std::uint64_t bound) {
    return RandomBelow(random_, bound);
  }

  SoakOptions options_;
  Random random_;
  EventLoop loop_;
  StoreStandIn store_;
  StoreBehaviour store_behaviour_ = StoreBehaviour::kAnswers;
  Fleet fleet_;
  Callers callers_;
  // All servers, first those that have left or crashed, then the running
  // servers, which begin at index first_running_.
  std::vector<SoakServer> servers_;
  std::size_t first_running_ = 0;
  std::vector<ConfigurationRecord> configurations_;
  // Time from which on copies of the store exist.
  TimePoint first_copy_at_ = kNever;
  // Time of the oldest copy that was restored and not yet rewritten.
  TimePoint restored_copy_at_ = kNever;
  TimePoint rewrite_at_ = kNever;
  TimePoint limits_until_{};
  // Time at which each entry VM's process last had a fault.
  std::map<std::string, TimePoint> process_impaired_at_;
  // Time at which the store, or each entry VM's link to it, last had a fault.
  std::map<std::string, TimePoint> cut_off_at_;
  std::map<Fault, std::uint64_t> faults_;
  TimePoint next_fault_;
  TimePoint next_clear_ = kNever;
  // Longest time from one iteration of the loop to the next, for which store,
  // servers and callers stood still.
  Duration longest_stall_{};
  TimePoint last_iteration_at_ = kNever;
  std::uint64_t settled_sent_ = 0;
  std::uint64_t settled_succeeded_ = 0;
  std::size_t settled_on_removed_ = 0;
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_SOAK_H_
