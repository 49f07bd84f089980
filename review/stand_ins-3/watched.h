// The platform's limit on the memory of an entry VM.

#ifndef CICADADRUM_REVIEW_STAND_INS_3_WATCHED_H_
#define CICADADRUM_REVIEW_STAND_INS_3_WATCHED_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "world.h"

namespace review {

constexpr std::uint64_t kMemoryBytes = 260ULL * 1024 * 1024;
constexpr double kRestartMs = 500;

// Watches an entry VM: a process that exceeds its memory is killed and started
// again.
class Watched {
 public:
  Watched(Entry& entry, Record& record)
      : entry_(entry), record_(record), thread_([this] { Watch(); }) {}
  ~Watched() {
    is_stopped_ = true;
    thread_.join();
  }
  Watched(const Watched&) = delete;
  Watched& operator=(const Watched&) = delete;

  int ends() const { return ends_; }
  std::uint64_t most_bytes() const { return most_bytes_; }

 private:
  void Watch() {
    while (!is_stopped_) {
      SleepMs(2);
      const std::uint64_t bytes = entry_.ResidentBytes();
      most_bytes_ = std::max<std::uint64_t>(most_bytes_, bytes);
      if (bytes <= kMemoryBytes)
        continue;
      record_.Tell(entry_.name() + " has " + std::to_string(bytes >> 20U) +
                   " MB and is killed");
      entry_.Kill();
      ++ends_;
      SleepMs(kRestartMs);
      entry_.Start();
    }
  }

  Entry& entry_;
  Record& record_;
  std::atomic<bool> is_stopped_ = false;
  std::atomic<int> ends_ = 0;
  std::atomic<std::uint64_t> most_bytes_ = 0;
  std::thread thread_;  // Last: it uses the members above.
};

}  // namespace review

#endif  // CICADADRUM_REVIEW_STAND_INS_3_WATCHED_H_
