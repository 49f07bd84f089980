// Simulation in virtual time of a store and of entry VMs that pass its rows on
// to each other.

#ifndef CICADADRUM_TESTS_LIBDISCOVERY_RELAY_WORLD_H_
#define CICADADRUM_TESTS_LIBDISCOVERY_RELAY_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/discovery/relay.h"
#include "cicadadrum/discovery/table.h"

namespace cicadadrum::discovery {

constexpr TimePoint kRelayStart{Seconds(100)};

// One entry VM. Its name starts with its region: "north-1" is in "north".
struct RelayEntry {
  RelayCandidate self;
  TableState table;
  RelayState relay;
  TimePoint table_wake = kNever;
  TimePoint relay_wake = kNever;
  std::map<std::string, TableRow> rows;  // The local copy of the table.
  std::uint64_t store_calls = 0;
  TimePoint called_at;  // When the last call was sent.
  // Latest time for which the rows were confirmed.
  TimePoint confirmed_at = kRelayStart;
  bool store_unreachable = false;  // Calls to the store get no response.
  bool is_frozen = false;          // The process runs nothing.

  bool IsVersionApplied(const std::string& key, std::uint64_t version) const {
    return rows.contains(key) && rows.at(key).version.number == version;
  }
  std::set<std::string> Keys() const;
};

class RelayWorld {
 public:
  RelayWorld(const std::vector<std::string>& names,
             const TableOptions& options);

  // Writes the row with a new value.
  void Put(const std::string& key);
  // Writes the row with its last value, as a heartbeat does.
  void Repeat(const std::string& key);
  void Remove(const std::string& key);
  // Returns the keys of the rows that the store has.
  std::set<std::string> Keys() const;
  std::uint64_t version() const { return version_; }
  // Lets the store forget its changes, but not its rows.
  void TruncateChangeLog() { log_begin_ = version_; }
  // Returns the store to the state at an earlier version, in a new era.
  void Restore(std::uint64_t version);
  // Advances the simulation to `end` in steps of a millisecond.
  void RunUntil(TimePoint end);

  RelayEntry& entry(const std::string& name) { return entries_.at(name); }
  std::vector<std::string> Names() const;
  // Returns the name of the entry VM that reads the store for `region`.
  std::string RelayOf(const std::string& region) const;

  TimePoint now = kRelayStart;
  // Number of confirmations at entry VMs that lacked a change from before the
  // confirmed time.
  std::size_t false_confirmations = 0;

 private:
  struct Change {
    TimePoint at;
    std::uint64_t number = 0;  // Counts all changes, lost ones included.
  };

  struct OpenFollow {
    std::string entry;
    FollowTable call;
    TimePoint until;
  };

  void RunAfter(Duration delay, std::function<void()> action);
  void Step(const std::string& name, const TableEvent& event);
  void RecordConfirmation(RelayEntry& entry, Duration query_age);
  void StepRelayOf(const std::string& name, const RelayEvent& event);
  void Execute(const std::string& name, const ReadTable& action);
  void Execute(const std::string& name, const FollowTable& action);
  void SendToPeer(const std::string& name,
                  std::uint64_t call,
                  const std::string& peer,
                  const RelayRequest& request);
  void FailAfter(const std::string& name, std::uint64_t call, Duration delay);
  void AnswerFollow(const OpenFollow& waiting);
  void AnswerReadyFollows();
  void RunTimers();

  std::map<std::string, RelayEntry> entries_;
  std::multimap<TimePoint, std::function<void()>> scheduled_;
  std::vector<TableRow> change_log_;  // All changes of the store.
  std::vector<OpenFollow> open_follows_;
  std::map<std::string, Change> last_puts_;  // By key.
  std::uint64_t puts_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t log_begin_ = 0;  // Earlier changes can't be requested.
  std::uint64_t era_ = 1;
  std::uint64_t next_call_ = 1;
  // Handlers of responses, by call number at the relay.
  std::map<std::uint64_t, std::function<void(const RelayResponse&)>>
      response_handlers_;
};

}  // namespace cicadadrum::discovery

#endif  // CICADADRUM_TESTS_LIBDISCOVERY_RELAY_WORLD_H_
