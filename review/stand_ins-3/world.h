// The operators' platform, backend servers, callers and entry VM processes of
// one case.

#ifndef CICADADRUM_REVIEW_STAND_INS_3_WORLD_H_
#define CICADADRUM_REVIEW_STAND_INS_3_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

// Writes lines with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Write(const std::string& line);
  // Also writes the line to standard output.
  void Tell(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// The platform's metadata store: two tables of rows and their feed.
class Store {
 public:
  explicit Store(const Address& address);

  // Both return the time of the acknowledgement.
  double Put(const std::string& table,
             const std::string& key,
             const std::string& value);
  double Remove(const std::string& table, const std::string& key);
  const Address& address() const { return listener_.address(); }
  void Stop();

 private:
  struct Row {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool is_removed = false;
  };

  void Serve(Stream& stream);
  std::string Read(const std::string& table);
  std::string Feed(const std::string& table,
                   std::uint64_t after,
                   double wait_ms);
  double Change(Row row);
  static std::string RowsJson(const std::vector<const Row*>& rows);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_stopped_ = false;
  std::uint64_t version_ = 0;
  // The last change of each row, removals included.
  std::map<std::pair<std::string, std::string>, Row> rows_;
  Listener listener_;
};

struct ServerOptions {
  std::string id;
  std::string service = "desk";
  std::string domain;
  Address address;
  int slots = 8;
  double work_ms = 20;
  std::int64_t born_unix_ms = 0;
  // How long the server is cold after its start.
  double cold_ms = 0;
  // A cold server crashes if more requests than this arrive within a second. 0
  // for a server that does not crash.
  int crash_per_second = 0;
  // Size of the answer to a request for a path that begins with kFilePrefix.
  std::size_t file_bytes = 0;
};

constexpr const char* kFilePrefix = "/files/";

struct Arrival {
  double at = 0;
  std::string id;
  std::string server;
  bool is_cold = false;
  bool has_run = false;  // The run began.
  bool has_ended = false;
};

// A backend server. It writes its own row and its heartbeats.
class Server {
 public:
  Server(ServerOptions options, Store& store, Record& record);
  ~Server();

  const ServerOptions& options() const { return options_; }
  // Listens and writes the row.
  void Start();
  // Writes the state to the store and returns the time of its acknowledgement.
  double Announce(const std::string& state);
  // Removes the row, and returns the time of the acknowledgement. The server
  // goes on serving.
  double RemoveRow();
  // Ends the server without a word. Its requests are lost.
  void Crash();
  bool is_running() const { return is_running_; }
  bool has_crashed_by_load() const { return has_crashed_by_load_; }
  // The requests for this server, without health checks and those that got 421.
  std::vector<Arrival> arrivals();

 private:
  double ColdLeftMs() const;
  std::string Row(const std::string& state) const;
  void Beat();
  void Serve(Stream& stream);
  bool Answer(Stream& stream, const Message& request);
  bool Run(Stream& stream, const Message& request);
  std::size_t AddArrival(const std::string& id);

  ServerOptions options_;
  Store& store_;
  Record& record_;
  std::unique_ptr<Listener> listener_;
  std::atomic<bool> is_running_ = false;
  std::atomic<bool> has_crashed_by_load_ = false;
  std::atomic<bool> is_ending_ = false;
  std::atomic<bool> has_row_ = false;
  std::atomic<int> running_ = 0;
  std::atomic<int> waiting_ = 0;
  double started_at_ = 0;
  std::int64_t sequence_ = 0;
  std::mutex mutex_;
  std::string state_ = "ready";
  std::vector<Arrival> arrivals_;
  std::thread beats_;
};

struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  int timeout_ms = 2500;
};

struct ServiceRule {
  double cold_seconds = 3;
  double cold_per_second = 10;
};

constexpr const char* kHost = "desk.example";

// Returns the configuration of version 7 with one service, "desk".
std::string ConfigurationBody(const std::vector<Route>& routes,
                              const ServiceRule& rule);

struct Zone {
  std::string name;
  std::string region;
};

// One entry VM and the process that runs on it.
class Entry {
 public:
  // `folder` is where the settings and the log are written.
  Entry(std::string name,
        Zone zone,
        std::string ip,
        int port_base,
        std::string folder);
  ~Entry();

  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  Address caller_address() const { return {ip_, port_base_}; }
  Address lookup_address() const { return {ip_, port_base_ + 2}; }
  // The form in which the settings name a seed.
  std::string seed() const;
  // Replaces the settings file. The process reads it at its start and when it
  // changes.
  void WriteSettings(const Address& store,
                     const std::vector<std::string>& seeds,
                     const std::vector<Zone>& zones) const;
  void Start();
  void Signal(int number) const;
  // Whether the process runs.
  bool IsAlive();
  bool WaitUntilReady(double timeout_ms);
  void Kill();
  // Returns the resident memory of the process in bytes, or 0.
  std::uint64_t ResidentBytes() const;

 private:
  std::string SettingsPath() const;

  std::string name_;
  Zone zone_;
  std::string ip_;
  int port_base_;
  std::string folder_;
  pid_t pid_ = 0;
};

struct Answer {
  std::string id;
  std::string entry;
  double sent_at = 0;
  double ended_at = 0;
  int status = 0;  // 0 if the connection ended without an answer.
  bool has_seal = false;
};

// Callers that send requests to one entry VM, each one after the other over a
// kept connection.
class Callers {
 public:
  Callers(const Entry& entry, Record& record);
  ~Callers();

  // Starts `count` callers. Each sends a request every `period_ms`.
  void Start(int count,
             double period_ms,
             const std::string& method,
             const std::string& prefix,
             int deadline_ms);
  void Stop();
  std::vector<Answer> answers();

 private:
  void Call(int number,
            double period_ms,
            const std::string& method,
            const std::string& prefix,
            int deadline_ms);
  Answer Ask(std::unique_ptr<Stream>& stream, const std::string& request);

  std::string entry_;
  Address address_;
  Record& record_;
  std::atomic<bool> is_stopped_ = false;
  std::mutex mutex_;
  std::vector<Answer> answers_;
  std::vector<std::thread> threads_;
};

// The answer counts as complete if all of its body has come.
struct SlowAnswer {
  int status = 0;
  std::uint64_t bytes = 0;  // Of the body.
  bool is_complete = false;
};

// How a caller reads an answer: at `bytes_per_second`, and with a pause behind
// the first `bytes_before_pause`.
struct Reading {
  double bytes_per_second = 1e9;
  std::uint64_t bytes_before_pause = 0;
  double pause_ms = 0;
  double timeout_ms = 15'000;
};

// Sends a GET over a new connection and reads the answer.
SlowAnswer ReadSlowly(const Address& address,
                      const std::string& target,
                      const std::string& id,
                      int deadline_ms,
                      const Reading& reading);

// Returns the body of the answer to a lookup, or an empty text.
std::string Lookup(const Entry& entry, const Zone& zone);

// Whether the disruption is to happen: the variable TROUBLE is not 0.
bool HasTrouble();

// Addresses of the loopback range that no other run uses, a port, and a folder
// that is removed at the end.
class Place {
 public:
  Place();
  ~Place();
  std::string Ip(int number) const;
  int port_base() const { return port_base_; }
  const std::string& folder() const { return folder_; }

 private:
  int network_;
  int port_base_;
  std::string folder_;
};

// Runs a case. Returns kNotRun if it throws.
int RunCase(const std::string& record_path,
            const std::function<int(Place&, Record&)>& run);

std::int64_t UnixMs();
std::string Format(double value);

}  // namespace review

#endif  // CICADADRUM_REVIEW_STAND_INS_3_WORLD_H_
