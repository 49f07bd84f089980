// Simulates the callers of the soak test and records the responses.

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
#include "fleet.h"
#include "records.h"

namespace cicadadrum::platform {

// Counts of responses, and the request ids that the checks of the soak test
// use.
struct CallerRecord {
  // Count of requests by status of the response; 0 stands for no response.
  std::map<std::uint16_t, std::uint64_t> responses;
  // Ids of all writes that were sent.
  std::set<std::string> writes;
  // Ids of writes that received status 503, with which an entry VM reports that
  // the write was not executed.
  std::set<std::string> refused_writes;
  // Ids of requests that received status 200 with another body or seal than the
  // servers send for the request.
  std::vector<std::string> mismatched;
  // All requests, by id.
  std::map<std::string, RequestRecord> requests;
  // Requests on routes that all versions of the configuration have, and those
  // of them that received status 200.
  std::uint64_t sent_on_lasting_routes = 0;
  std::uint64_t succeeded_on_lasting_routes = 0;
};

// Whether an entry VM is in touch when a caller sends a request; see
// RequestRecord.
struct Touch {
  bool is_in_touch = false;
  bool is_cut_off = false;
};

class Callers {
 public:
  // Of `requests_per_download` requests, one is a download; none if it is 0.
  Callers(EventLoop& loop,
          std::uint64_t seed,
          std::uint64_t requests_per_download);

  // Sends one request on a random route to the entry VM. The newest version of
  // the configuration is `version`.
  void Send(const EntryProcess& entry, std::uint64_t version, Touch touch);

  // Sends the request that crashes servers, each time with an id of its own.
  void SendCrashingRequest(const EntryProcess& entry, Touch touch);

  const CallerRecord& record() const { return record_; }
  std::uint64_t open_requests() const { return open_requests_; }

 private:
  void RecordOutcome(const std::string& id,
                     const ConfiguredRoute& route,
                     HttpOutcome outcome,
                     const HttpResponse& response);
  ConfiguredRoute NextRoute(std::uint64_t version);

  EventLoop& loop_;
  Random random_;
  std::uint64_t requests_per_download_;
  HttpClient client_;
  CallerRecord record_;
  std::uint64_t next_id_ = 1;
  std::uint64_t open_requests_ = 0;
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_CALLERS_H_
