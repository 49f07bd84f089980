// A small deployment: a store, backend servers and the entry VMs, which run the
// command of the deploy file as separate processes.

#ifndef CICADADRUM_REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define CICADADRUM_REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

namespace review {

// Writes lines with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  double Seconds() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point started_at_ = Clock::now();
};

// The platform's store: rows of tables, full reads and the feed of changes.
// Each machine has an address of its own, so that the store can turn away some.
class Store {
 public:
  explicit Store(std::size_t machines);
  const Address& address(std::size_t machine) const {
    return hosts_[machine]->address();
  }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // While the store is away for a machine, it answers it with 503.
  void SetAway(std::size_t machine, bool is_away);
  // Returns the machine that gets the next answer to a call for the changes of
  // the table.
  std::size_t WaitForAnswer(const std::string& table);

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  std::string Handle(std::size_t machine, const Message& request);
  // Rows that changed after the version; with `all`, those that exist.
  std::string RowsAfter(const std::string& table,
                        std::uint64_t after,
                        bool all) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::uint64_t version_ = 1;
  std::vector<bool> is_away_;  // By machine.
  // The machines of all answers of the feed so far, by table.
  std::map<std::string, std::vector<std::size_t>> answered_;
  std::vector<std::unique_ptr<Host>> hosts_;  // By machine.
};

// A backend server that runs each request at once and echoes its id. The
// response to a path that ends with "/large" has `large_bytes`.
class Server {
 public:
  Server(std::string id, std::size_t large_bytes, Record& record);
  // The server's entry in the store, with a new sequence number.
  std::string Entry();
  const std::string& id() const { return id_; }

 private:
  std::string Handle(const Message& request);

  std::string id_;
  std::size_t large_bytes_;
  Record& record_;
  int sequence_ = 0;
  std::unique_ptr<Host> host_;
};

// An entry VM.
struct Entry {
  std::string name;
  Address callers;
  Address readiness;
  Address lookups;
  pid_t pid = 0;
};

struct DeploymentOptions {
  std::string folder;  // For settings and logs.
  std::size_t entries = 2;
  std::size_t servers = 4;
  int memory_mb = 260;
  int max_fds = 4100;
  int timeout_ms = 10'000;  // Of all routes.
  int drain_ms = 2000;
  // As in the settings; the ports are those of another role.
  std::string seeds = R"("127.0.0.2:8382", "127.0.0.3:8382")";
  std::size_t large_bytes = 1000;
};

// Routes: /read/ is safe, /write/ and /upload/ may run once only.
class Deployment {
 public:
  Deployment(const DeploymentOptions& options, Record& record);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Waits until all entry VMs are ready. Returns whether they are.
  bool WaitUntilReady();
  Entry& entry(std::size_t index) { return entries_[index]; }
  Store& store() { return store_; }
  // Writes the entries of the servers once more, as a heartbeat does.
  void PutServers();
  // Ends the entry VMs and this process, whose threads may still serve
  // connections.
  [[noreturn]] void Finish(int result);
  // Sends the signal to the process.
  void Signal(Entry& entry, int number);
  // Whether the process still runs.
  static bool IsRunning(Entry& entry);
  // The largest resident size of the process so far, in kB; 0 if it has ended.
  static std::uint64_t PeakMemoryKb(const Entry& entry);

 private:
  std::string Settings(const Entry& entry, std::size_t index) const;
  void Start(Entry& entry, const std::string& settings);

  DeploymentOptions options_;
  Record& record_;
  Store store_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Entry> entries_;
  std::uint16_t peer_port_ = 0;
};

// What a server says of itself in the store.
struct ServerState {
  Address address;
  int slots = 8;
  int sequence = 1;
  std::int64_t cold_left_ms = 0;
  // Since its start.
  std::int64_t up_ms = 60'000;
};
std::string ServerEntry(const ServerState& state);

// Returns the method and the target of a request.
std::string TargetOf(const Message& request);

// Returns the bytes of a request. `more_fields` are complete lines.
std::string RequestText(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        int deadline_ms,
                        std::string_view body,
                        const std::string& more_fields = {});

// Returns the addresses that a lookup at the entry VM names, as JSON text.
std::string LookUp(const Entry& entry);

// The value of an environment variable, or `otherwise`.
std::string Variable(const char* name, const std::string& otherwise);

}  // namespace review

#endif  // CICADADRUM_REVIEW_STAND_INS_2_DEPLOYMENT_H_
