// In-process substitutes for the store of the operators' platform and for
// backend servers. Both run on the event loop of the test.

#ifndef CICADADRUM_TESTS_PLATFORMSTANDINS_STAND_INS_H_
#define CICADADRUM_TESTS_PLATFORMSTANDINS_STAND_INS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
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
  // Returns to the state at an earlier version, as a store does that comes back
  // from a copy: the changes since are lost, their versions are assigned again,
  // and the era rises. The change log must reach back to the beginning.
  void Restore(std::uint64_t version);
  // Makes the feed respond with status 410 to polls for versions before the
  // current one.
  void TruncateChangeLog();
  void SetBehaviour(StoreBehaviour behaviour) { behaviour_ = behaviour; }

 private:
  struct Change {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
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
  // Responds with the header that names the era.
  void Respond(std::uint64_t id, HttpResponse response);
  void AppendChange(Change change);

  EventLoop& loop_;
  HttpServer server_;
  std::string address_;
  std::map<std::pair<std::string, std::string>, Change> rows_;
  std::vector<Change> change_log_;
  std::uint64_t version_ = 0;
  std::uint64_t change_log_begin_ = 0;
  std::uint64_t era_ = 1;
  std::vector<PendingPoll> pending_polls_;
  StoreBehaviour behaviour_ = StoreBehaviour::kAnswers;
  std::uint64_t calls_ = 0;
};

// How the server substitute handles the next requests.
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
      });
};

}  // namespace cicadadrum

namespace cicadadrum::platform {

// Time for which a server with ServerBehaviour::kAsksForPause wants no requests
// from the entry VM to which it responds.
constexpr Duration kServerPause = Milliseconds(1250);

// A request that named this server, and what the response announced.
struct HandledRequest {
  std::string id;
  TimePoint at;  // Of the arrival and of the response, if there is one.
  bool said_leaving = false;
  bool asked_for_pause = false;
};

// A backend server that records the requests that it receives.
class ServerStandIn {
 public:
  ServerStandIn(EventLoop& loop, std::string id);

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }

  // Returns the row that the server publishes about itself in the store.
  std::string Row(const std::string& state,
                  double cold_ms = 0,
                  int sequence = 4) const;
  // Returns the row with `address`, that of a proxy, instead of the server's.
  std::string RowAt(const std::string& address, const std::string& state) const;

  void SetBehaviour(ServerBehaviour behaviour) { behaviour_ = behaviour; }
  // From now on, all responses say that the server is leaving.
  void AnnounceLeaving() { leaving_ = true; }
  bool is_leaving() const { return leaving_; }
  // Returns the ids of the executed requests in the order of execution.
  const std::vector<std::string>& executed_requests() const {
    return executed_requests_;
  }
  const std::vector<HttpRequest>& requests() const { return requests_; }
  const std::vector<HandledRequest>& handled_requests() const {
    return handled_requests_;
  }
  // Returns the number of callers that disconnected before the response.
  std::size_t disconnected_count() const { return disconnected_count_; }

 private:
  void Handle(std::uint64_t id, const HttpRequest& request);

  EventLoop& loop_;
  std::string id_;
  HttpServer server_;
  std::string address_;
  ServerBehaviour behaviour_ = ServerBehaviour::kAnswers;
  bool leaving_ = false;
  std::vector<std::string> executed_requests_;
  std::vector<HttpRequest> requests_;
  std::vector<HandledRequest> handled_requests_;
  std::size_t disconnected_count_ = 0;
};

// Returns a configuration with one idempotent and one non-idempotent route.
std::string ConfigurationBody(std::uint64_t version,
                              const std::string& prefix = "/read/");

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_PLATFORMSTANDINS_STAND_INS_H_
