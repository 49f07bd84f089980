// Sends the mix of work and records what each caller saw.

#ifndef CICADADRUM_DEMONSTRATION_LOAD_H_
#define CICADADRUM_DEMONSTRATION_LOAD_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cicadadrum/base/verdict.h"
#include "cicadadrum/caller/caller.h"
#include "mix.h"

namespace cicadadrum {

// What the callers of one service and class saw.
struct StreamResult {
  std::uint64_t sent = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t mismatched_answers =
      0;  // Answers that do not belong to their request or are not whole.
  std::vector<Duration> latencies;
};

struct LoadResult {
  std::map<std::pair<std::string, RequestClass>, StreamResult> streams;
  std::map<std::string, Verdict>
      writes;  // Verdict of each non-idempotent request, by key.
  std::map<std::string, std::uint64_t>
      failures;  // Requests without an answer from a server, by reason.
};

// Sends requests at fixed rates until Stop.
class Load {
 public:
  Load(EventLoop& loop, const Mix& mix);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Start();
  void Stop();
  // Number of requests that have no answer yet.
  std::uint64_t in_progress() const;
  const LoadResult& result() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_LOAD_H_
