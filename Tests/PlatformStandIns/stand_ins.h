// In-process substitutes for the store of the operators' platform and for
// backend servers. Both run on the event loop of the test.

#ifndef CICADADRUM_TESTS_PLATFORMSTANDINS_STAND_INS_H_
#define CICADADRUM_TESTS_PLATFORMSTANDINS_STAND_INS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/loop/http_server.h"

namespace cicadadrum::platform {

// How the store substitute handles HTTP requests.
enum class StoreBehaviour : std::uint8_t {
  kAnswers,
  kRefuses,  // Responds with status 503.
  kSilent,   // Sends no response.
};

// A store of versioned rows with a change feed that is read by long polling.
// The change log behind the feed can be truncated.
class StoreStandIn {
 public:
  explicit StoreStandIn(EventLoop& loop);

  const std::string& address() const { return address_; }
  std::uint64_t calls() const { return calls_; }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // The version of the last change.
  std::uint64_t version() const { return version_; }
  // Whether a reader of the table that has all changes waits for the next one.
  bool IsPollWaiting(const std::string& table) const;
  // The version of the last change up to `at`.
  std::uint64_t VersionAt(TimePoint at) const;
  // Makes the feed respond with status 410 to polls for versions before the
  // current one.
  void TruncateChangeLog();
  // Returns to the rows at an earlier version, as a store that comes back from
  // a copy does. Later versions are given out again for other changes, the
  // header Store-Era of all responses rises by one, and the feed responds with
  // status 410 to versions that have not been given out yet.
  void Restore(std::uint64_t version);
  void SetBehaviour(StoreBehaviour behaviour) { behaviour_ = behaviour; }

 private:
  struct Change {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
    TimePoint at;
  };

  struct PendingPoll {
    std::uint64_t id = 0;
    std::string table;
    std::uint64_t after = 0;
    std::unique_ptr<Timer> timer;
  };

  void Handle(std::uint64_t id, const HttpRequest& request);
  void RespondToRead(std::uint64_t id, const std::string& table);
  void RespondToPoll(std::uint64_t id,
                     const std::string& table,
                     std::uint64_t after);
  bool HasChanges(const std::string& table, std::uint64_t after) const;
  void RespondToPendingPolls();
  void RespondToUnknownVersions();
  // Responds with the header that names the era.
  void Respond(std::uint64_t id, HttpResponse response);
  void AppendChange(Change change);

  EventLoop& loop_;
  HttpServer server_;
  std::string address_;
  std::map<std::pair<std::string, std::string>, Change> rows_;
  // All changes of the store's present history. The feed serves those after
  // version change_log_begin_; Restore needs the others, too.
  std::vector<Change> change_log_;
  std::uint64_t version_ = 0;
  std::uint64_t change_log_begin_ = 0;
  std::uint64_t era_ = 1;
  std::vector<PendingPoll> pending_polls_;
  StoreBehaviour behaviour_ = StoreBehaviour::kAnswers;
  std::uint64_t calls_ = 0;
};

// Requests for paths with this prefix get a large response.
constexpr std::string_view kDownloadPrefix = "/download/";

// Returns the body of the response of a server substitute.
std::string AnswerTo(const std::string& path,
                     const std::string& request_id,
                     std::size_t download_bytes);

// Size of the response to a download unless a test sets another one.
constexpr std::size_t kDownloadBytes = 60'000;

// Path of the health checks in the configurations below.
constexpr std::string_view kHealthPath = "/health";

// Returns the first bytes of a health check.
std::string HealthRequestBegin();

// Returns the response of the warm server `id` to a health check.
std::string HealthResponse(const std::string& id);

// How the server substitute handles the next requests. It responds to health
// checks whatever the behaviour is.
enum class ServerBehaviour : std::uint8_t {
  kAnswers,
  // Responds 503 with the header that proves that the request was not executed.
  kSheds,
  // Executes the request and responds 200 without the seal that shows that the
  // response comes from this server.
  kWithoutSeal,
  // Executes the request and never responds.
  kHangs,
  // Executes the request and responds 503 without any proof of non-execution.
  kErrorWithoutProof,
  // Responds like kSheds and asks for no requests for kServerPause.
  kAsksForPause,
  // Executes the request and closes the connection without a response after
  // kLateCloseDelay.
  kClosesLate,
};

}  // namespace cicadadrum::platform

namespace cicadadrum {

template <>
struct EnumNames<platform::ServerBehaviour> {
  static constexpr auto kTable =
      std::to_array<EnumName<platform::ServerBehaviour>>({
          {platform::ServerBehaviour::kAnswers, "answers"},
          {platform::ServerBehaviour::kSheds, "sheds"},
          {platform::ServerBehaviour::kWithoutSeal, "without-seal"},
          {platform::ServerBehaviour::kHangs, "hangs"},
          {platform::ServerBehaviour::kErrorWithoutProof,
           "error-without-proof"},
          {platform::ServerBehaviour::kAsksForPause, "asks-for-pause"},
          {platform::ServerBehaviour::kClosesLate, "closes-late"},
      });
};

}  // namespace cicadadrum

namespace cicadadrum::platform {

// Time for which a server with ServerBehaviour::kAsksForPause wants no requests
// from the entry VM to which it responds.
constexpr Duration kServerPause = Milliseconds(1250);
constexpr Duration kLateCloseDelay = Seconds(4);

// One request that a server substitute received, and what the response
// announced.
struct ServerArrival {
  TimePoint at;  // Of the arrival and of an immediate response.
  std::string request_id;
  std::string host;
  std::string path;
  // The server responded with status 421 because the request names another
  // server.
  bool names_other_server = false;
  bool said_leaving = false;
  bool asked_for_pause = false;
  double stated_limit = 0;  // 0 if the response states none.
  bool is_at_cold_server = false;
};

// A backend server that records the requests that it receives, other than
// health checks.
class ServerStandIn {
 public:
  ServerStandIn(EventLoop& loop,
                std::string id,
                std::string failure_domain = "north-a");

  const std::string& id() const { return id_; }
  const std::string& failure_domain() const { return failure_domain_; }
  const std::string& address() const { return address_; }

  // Returns the row that the server publishes about itself in the store. Its
  // cold time is what is left of that of RestartCold, and its sequence that of
  // AdvanceSequence, if none is given.
  std::string Row(const std::string& state,
                  std::optional<double> cold_ms = {},
                  std::optional<std::uint64_t> sequence = {}) const;
  // Returns the row with `address`, that of a proxy, instead of the server's.
  std::string RowAt(const std::string& address,
                    const std::string& state,
                    double cold_ms = 0) const;

  // Makes the next rows carry a higher sequence, as each heartbeat does.
  void AdvanceSequence() { ++sequence_; }

  void SetBehaviour(ServerBehaviour behaviour) { behaviour_ = behaviour; }
  // From now on, a request for this path crashes the server when it runs.
  void SetCrashingPath(std::string path) { crashing_path_ = std::move(path); }
  // Closes the connections of all requests that run, as a crash of the server
  // does.
  void Crash();
  // Crashes the server and starts it again at its address and under its id,
  // cold for this time. All connections are closed, also idle ones. Must not be
  // called while the server handles a request.
  void RestartCold(Duration cold_time);
  // Responds to all requests that ServerBehaviour::kHangs has left running.
  void RespondToAll();
  // Sets the size of the responses to requests for downloads.
  void SetDownloadBytes(std::size_t bytes) { download_bytes_ = bytes; }
  // From now on, all responses say that the server is leaving.
  void AnnounceLeaving() { leaving_ = true; }
  bool is_leaving() const { return leaving_; }
  // Whether responses state anything that entry VMs have to keep to.
  bool MakesAnnouncements() const {
    return leaving_ || limit_ > 0 ||
           behaviour_ == ServerBehaviour::kAsksForPause;
  }
  // From now on, all responses state that the server takes this many requests a
  // second from all entry VMs together; 0 for no limit.
  void SetLimit(double requests_per_second) { limit_ = requests_per_second; }
  // Returns the ids of the executed requests in the order of execution.
  const std::vector<std::string>& executed_requests() const {
    return executed_requests_;
  }
  const std::vector<HttpRequest>& requests() const { return requests_; }
  // Returns all requests in the order of arrival.
  const std::vector<ServerArrival>& arrivals() const { return arrivals_; }
  Duration ColdTimeLeft() const;
  // Returns the highest number of requests that arrived within one second at
  // the server while it was cold. Requests for other servers do not count.
  std::size_t CountColdArrivals() const;
  std::size_t health_check_count() const { return health_check_count_; }
  // Returns the number of callers that disconnected before the response.
  std::size_t disconnected_count() const { return disconnected_count_; }

 private:
  std::unique_ptr<HttpServer> MakeServer();
  // Closes all connections and listens at the address once more.
  void ListenAgain();
  void Handle(std::uint64_t id, const HttpRequest& request);
  void RespondToHealthCheck(std::uint64_t id, const HttpRequest& request);
  void CloseLate(std::uint64_t id);

  EventLoop& loop_;
  std::string id_;
  std::string failure_domain_;
  std::uint64_t sequence_ = 4;
  std::int64_t started_unix_ms_;
  TimePoint cold_until_{};
  Timer listen_timer_;
  std::unique_ptr<HttpServer> server_;
  std::string address_;
  ServerBehaviour behaviour_ = ServerBehaviour::kAnswers;
  std::size_t download_bytes_ = kDownloadBytes;
  std::string crashing_path_;
  // The requests that run, with their responses.
  std::map<std::uint64_t, HttpResponse> running_;
  bool leaving_ = false;
  double limit_ = 0;
  std::vector<std::string> executed_requests_;
  std::vector<HttpRequest> requests_;
  std::vector<ServerArrival> arrivals_;
  std::size_t health_check_count_ = 0;
  // Timers of requests whose connections are closed late, by id.
  std::map<std::uint64_t, Timer> late_closes_;
  std::size_t disconnected_count_ = 0;
};

// A route of a configuration that the operator writes. All routes lead to the
// service of the server substitutes.
struct ConfiguredRoute {
  std::string name;
  std::string host = "host";
  std::string prefix;
  std::string kind = "safe";
  std::uint32_t timeout_ms = 1000;
  std::uint32_t attempts = 2;
  // The route's requests may reach servers of any region if this is empty.
  std::vector<std::string> home_regions;
};

// Returns a configuration with the given routes.
std::string ConfigurationBody(std::uint64_t version,
                              const std::vector<ConfiguredRoute>& routes);

// Returns a configuration with one idempotent and one non-idempotent route.
std::string ConfigurationBody(std::uint64_t version,
                              const std::string& prefix = "/read/");

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_PLATFORMSTANDINS_STAND_INS_H_
