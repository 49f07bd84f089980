// Callers of the soak and what they saw.

#ifndef CICADADRUM_TESTS_SOAK_CALLERS_H_
#define CICADADRUM_TESTS_SOAK_CALLERS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"

namespace cicadadrum::platform {

// Counts of answers, and ids that the promises are checked for.
struct CallerRecord {
  std::map<std::uint16_t, std::uint64_t> responses;  // By status; 0 for none.
  std::set<std::string> writes;                      // Sent.
  std::set<std::string> refused_writes;              // Answered "not run".
  std::vector<std::string> mismatched;  // Answers to another request.
  std::uint64_t sent = 0;
  std::uint64_t succeeded = 0;
};

class Callers {
 public:
  Callers(EventLoop& loop, std::uint64_t seed);

  // Sends one read or write to the entry VM at `address`.
  void Send(const std::string& address);

  CallerRecord& record() { return record_; }
  std::uint64_t open_requests() const { return open_requests_; }

 private:
  void RecordOutcome(const std::string& id,
                     bool is_write,
                     HttpOutcome outcome,
                     const HttpResponse& response);

  EventLoop& loop_;
  Random random_;
  HttpClient client_;
  CallerRecord record_;
  std::uint64_t next_id_ = 1;
  std::uint64_t open_requests_ = 0;
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_CALLERS_H_
