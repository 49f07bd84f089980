// Stand-in of the platform's store: versioned rows and a feed of changes.

#ifndef CICADADRUM_REVIEW_STAND_INS_STORE_H_
#define CICADADRUM_REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"

namespace cicadadrum::review {

class Store {
 public:
  // Listens on a free port of `ip`.
  explicit Store(const std::string& ip);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const std::string& address() const { return address_; }

  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

 private:
  struct Change {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };

  void Append(Change change);
  void AcceptConnections();
  void Serve(Socket socket);
  Message Respond(const Message& request);
  std::string RowsOf(const std::string& table);
  std::string ChangesAfter(const std::string& table,
                           std::uint64_t after,
                           milliseconds wait);

  Socket listener_;
  std::string address_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Change> changes_;
  bool stopping_ = false;
  std::thread accepting_;
  std::vector<std::thread> serving_;
};

}  // namespace cicadadrum::review

#endif  // CICADADRUM_REVIEW_STAND_INS_STORE_H_
