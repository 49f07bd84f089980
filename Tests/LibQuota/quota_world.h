// Entry VMs that share the quotas of accounts, in virtual time: members that
// learn of changes late, messages that are delayed, lost and repeated, network
// partitions, suspensions and restarts.

#ifndef CICADADRUM_TESTS_LIBQUOTA_QUOTA_WORLD_H_
#define CICADADRUM_TESTS_LIBQUOTA_QUOTA_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/quota/quota.h"

namespace cicadadrum::quota {

struct AccountDemand {
  AccountLimit limit;
  double requests_per_second = 0;  // Over all entry VMs.
  // Number of entry VMs that receive the requests; 0 for all.
  std::size_t entries = 0;
};

struct WorldOptions {
  std::size_t entries = 12;  // In three regions.
  std::vector<AccountDemand> accounts;
  double lost_share = 0;      // Of the messages.
  double repeated_share = 0;  // Of the messages.
  // Longest time until an entry VM learns of a change of the members.
  Duration max_membership_delay = Seconds(2);
  // Whether the entry VMs have been running for long.
  bool is_settled = true;
  std::uint64_t seed = 1;
};

struct AccountCounts {
  std::vector<TimePoint> sent;
  std::size_t arrived = 0;
  std::size_t refused = 0;
  std::vector<Duration> waits;  // Of the requests that were sent.
};

class QuotaWorld {
 public:
  explicit QuotaWorld(const WorldOptions& options);

  void Run(Duration time);
  void Kill(std::size_t entry);
  void Restart(std::size_t entry);
  void Suspend(std::size_t entry, Duration time);
  // Separates the entry VMs of a region from the others.
  void CutRegion(std::size_t region);
  void HealCuts();
  void ChangeLimits(const std::vector<AccountLimit>& limits);
  // Forgets what was counted so far.
  void ResetCounts();

  const AccountCounts& counts(const std::string& account) const {
    return counts_.at(account);
  }
  // Returns the most requests of the account sent in a window that ends after
  // `from`.
  std::size_t MostInWindow(const std::string& account, TimePoint from) const;
  // Returns bytes that the entry VM has sent since the last ResetCounts.
  std::uint64_t bytes(std::size_t entry) const { return entries_[entry].bytes; }
  std::uint64_t datagrams(std::size_t entry) const {
    return entries_[entry].datagrams;
  }
  // Returns the index of the owner of the account's first cell.
  std::size_t OwnerOf(const std::string& account) const;
  TimePoint now() const { return now_; }

 private:
  struct Entry {
    QuotaState state;
    bool is_alive = true;
    TimePoint resumes_at{};  // Is suspended until then.
    Duration suspended{};    // Time that its clock has missed.
    Duration unreported{};   // Part of it that the core does not know.
    std::size_t cut = 0;     // Entry VMs of the same number reach each other.
    // Time at which its knowledge of each entry VM is updated.
    std::vector<TimePoint> learns_at;
    std::vector<bool> sees;
    std::uint64_t bytes = 0;
    std::uint64_t datagrams = 0;
  };
  struct Packet {
    std::size_t receiver = 0;
    QuotaMessage message;
  };

  void Start(std::size_t entry);
  bool IsReachable(std::size_t from, std::size_t to) const;
  void ScheduleViews();
  void UpdateViews();
  void SendArrivals();
  void Deliver(std::size_t entry, const QuotaMessage& message);
  void Finish(std::size_t entry, QuotaOutput& output);
  void Transmit(std::size_t from, std::size_t to, const QuotaMessage& message);
  TimePoint LocalTime(Entry& entry);
  Duration RandomDuration(Duration bound);

  WorldOptions options_;
  std::vector<AccountLimit> limits_;
  Random random_;
  TimePoint now_{Seconds(1000)};
  std::vector<Entry> entries_;
  std::multimap<TimePoint, Packet> packets_;
  std::map<std::string, AccountCounts> counts_;
  std::map<std::uint64_t, TimePoint> arrived_at_;
  std::map<std::string, double> credit_;
  std::uint64_t next_request_ = 1;
};

}  // namespace cicadadrum::quota

#endif  // CICADADRUM_TESTS_LIBQUOTA_QUOTA_WORLD_H_
