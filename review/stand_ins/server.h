// Stand-in of a backend server that records what it receives and runs.

#ifndef CICADADRUM_REVIEW_STAND_INS_SERVER_H_
#define CICADADRUM_REVIEW_STAND_INS_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace cicadadrum::review {

struct ServerOptions {
  std::string name;  // Ids of the boots begin with it.
  std::string service;
  std::string failure_domain;
  std::string ip;
  int slots = 4;
};

// A request that a server began to run.
struct ServerRun {
  Clock::time_point at;
  std::string boot;  // Id of the server's boot.
  std::string request_id;
  std::string method;
  std::string target;
  std::string body;
};

// What a server does with a request that it runs.
struct ServerAction {
  milliseconds work{0};
  bool crashes = false;  // The server ends in place of an answer.
  std::string body;      // Of the answer; a short text if it is empty.
};

class Server {
 public:
  using Handler = std::function<ServerAction(const Message& request)>;

  Server(Store& store, Record& record, ServerOptions options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::vector<ServerRun> runs();

 private:
  // One start of the server.
  struct Boot {
    std::string id;
    std::int64_t born_unix_ms = 0;
    std::atomic<bool> up = true;
    std::mutex mutex;  // Guards `open`.
    std::vector<int> open;
  };

  std::string Row(const Boot& boot, std::uint64_t sequence) const;
  void RunBoots();
  // Accepts connections and publishes the row until the boot ends. Returns
  // whether the server is to start again.
  bool RunBoot(const std::shared_ptr<Boot>& boot);
  void Serve(const std::shared_ptr<Boot>& boot, Socket socket);
  // Returns the answer, or a message without a start line after a crash.
  Message Respond(Boot& boot, const Message& request);
  void Crash(Boot& boot);

  Store& store_;
  Record& record_;
  ServerOptions options_;
  Handler handler_;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;  // Guards `runs_` and `serving_`.
  std::vector<ServerRun> runs_;
  std::vector<std::thread> serving_;
  std::thread thread_;
};

}  // namespace cicadadrum::review

#endif  // CICADADRUM_REVIEW_STAND_INS_SERVER_H_
