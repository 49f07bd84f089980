// The caller library: selects an entry VM, sends requests to it, and repeats
// requests at other entry VMs if a repeat is safe.

#ifndef CICADADRUM_CALLER_CALLER_H_
#define CICADADRUM_CALLER_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/base/verdict.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_message.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

struct CallerOptions {
  std::vector<std::string>
      seed_addresses;  // Addresses (IP:port) of entry VMs for the first lookup;
                       // at least one.
  std::string client_account;
  std::string
      region;  // The caller's region, or empty to let the entry VM choose.
  std::uint64_t random_seed =
      1;  // For backoff times and the order of seed addresses.
  std::uint32_t max_connections_per_entry = 64;
};

struct CallerRequest {
  std::string service;
  RequestClass request_class = RequestClass::kRoutine;
  HttpMethod method = HttpMethod::kGet;
  std::string
      target;  // Path and query at the backend server, with a leading '/'.
  std::string body;
  HttpFields headers;
  Duration deadline = Seconds(10);  // Relative to the call of Send().
  std::string key;  // Request key for kWrite. If empty, the library uses a key
                    // from a lookup response.
};

// The result of a request.
struct CallerAnswer {
  Verdict verdict = Verdict::kNotRun;  // Covers all attempts.
  HttpResponse response{.status = 0};  // Status 0 if no entry VM responded.
  std::string key;  // The request key of all attempts, for a later repeat by
                    // the application.
  std::uint32_t attempts = 0;
};

// The result of an upload.
struct UploadAnswer {
  bool complete = false;
  std::uint64_t received =
      0;  // Bytes that the backend server is known to have received.
  std::uint32_t parts = 0;  // Parts sent, including those sent again.
  std::uint32_t offset_requests =
      0;  // Number of requests for the offset after a failed part.
};

// Sends requests of one client account. All member functions must be called on
// the thread of the event loop. The object must exist until the callbacks of
// all requests and uploads have been called.
class Caller {
 public:
  // `loop` must outlive the object; `options` is copied.
  Caller(EventLoop& loop, const CallerOptions& options);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Sends a request and calls `callback` once. The request is repeated with the
  // same request key at other entry VMs until an entry VM returns a final
  // response, the deadline passes or the limit of attempts is reached. The
  // verdict covers all attempts of the request. Failures are reported by the
  // verdict; if no entry VM responded, the status of the response is 0.
  void Send(const CallerRequest& request,
            std::function<void(const CallerAnswer&)> callback);

  // Uploads `bytes` in parts. After a failed part, requests the offset from the
  // backend server and continues there. Calls `callback` once: when the upload
  // is complete, when a part was refused permanently, or after `deadline`
  // (relative to now). `upload` is the name of the upload and must be unique
  // for the client account.
  void Upload(const std::string& service,
              const std::string& target,
              const std::string& upload,
              const std::string& bytes,
              Duration deadline,
              std::function<void(const UploadAnswer&)> callback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_CALLER_CALLER_H_
