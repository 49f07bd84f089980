// Sends the requests of a mix at fixed rates and records the result of each
// request as its caller sees it.

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

// Results of the requests of one service and request class.
struct StreamResult {
  std::uint64_t sent = 0;  // Requests that have ended, with any verdict.
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t mismatched_answers =
      0;  // Answers that are incomplete or belong to another request.
  // Time from sending to the answer, for each request that ran and each upload.
  std::vector<Duration> latencies;
};

// Results of all requests of a run.
struct LoadResult {
  std::map<std::pair<std::string, RequestClass>, StreamResult> streams;
  std::map<std::string, Verdict>
      writes;  // Verdict of each non-idempotent request, by request key.
  std::map<std::string, std::uint64_t>
      failures;  // Number of requests without an answer from a server, by
                 // reason.
};

// Sends the requests of each stream at its fixed rate from Start until Stop.
class Load {
 public:
  // `loop` must outlive the object.
  Load(EventLoop& loop, const Mix& mix);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Start();
  // Sends no further requests; requests in progress continue.
  void Stop();
  // Returns the number of requests that have not ended yet.
  std::uint64_t in_progress() const;
  const LoadResult& result() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_LOAD_H_
