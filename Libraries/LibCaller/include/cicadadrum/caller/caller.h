// The caller library: finds an entry VM, sends requests through it, and repeats
// them where that is safe.

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
      seed_addresses;  // Entry VMs (IP:port) to ask first; at least one.
  std::string customer;
  std::string
      region;  // The caller's region, or empty to let the entry VM choose.
  std::uint64_t random_seed = 1;
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
  Duration deadline = Seconds(10);
  std::string key;  // For kWrite: empty lets the library take a key from a
                    // look-up answer.
};

struct CallerAnswer {
  Verdict verdict = Verdict::kNotRun;
  HttpResponse response{.status = 0};  // Status 0 if no entry VM answered.
  std::string key;  // The key that was used, for a later repeat.
  std::uint32_t attempts = 0;
};

struct UploadAnswer {
  bool complete = false;
  std::uint64_t received = 0;  // Bytes that the backend server holds.
  std::uint32_t parts = 0;
  std::uint32_t offset_requests =
      0;  // How often the offset was asked for again.
};

class Caller {
 public:
  Caller(EventLoop& loop, const CallerOptions& options);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // Sends a request and calls `callback` once. A request is repeated with the
  // same key at other entry VMs until it is answered, its deadline passes, or
  // all entry VMs were asked; the verdict then covers all of its attempts.
  void Send(const CallerRequest& request,
            std::function<void(const CallerAnswer&)> callback);

  // Uploads `bytes` in parts, asks for the offset after a failed part and
  // continues there, until the upload is complete or `deadline` has passed.
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
