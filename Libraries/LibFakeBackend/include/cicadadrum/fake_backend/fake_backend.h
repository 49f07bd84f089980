// A stand-in for one backend server: slots, shedding, cold start, slow spells,
// crashes, uploads, load reports.

#ifndef CICADADRUM_FAKE_BACKEND_FAKE_BACKEND_H_
#define CICADADRUM_FAKE_BACKEND_FAKE_BACKEND_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "cicadadrum/base/time.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

struct FakeBackendOptions {
  BackendServer server;
  Duration read_time = Milliseconds(10);
  Duration write_time = Milliseconds(20);
  Duration bulk_time = Milliseconds(200);
  std::uint32_t cold_requests = 0;
  std::uint32_t cold_factor = 3;
};

class FakeBackend {
 public:
  FakeBackend(EventLoop& loop, const FakeBackendOptions& options);
  ~FakeBackend();
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  // Listens on the server's address and returns the port.
  boost::leaf::result<std::uint16_t> Start();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

struct FakeBackendSettings {
  std::vector<FakeBackendOptions> servers;
  std::string log_level;
};

// Errors: kFileUnreadable, kInvalidSettings.
boost::leaf::result<FakeBackendSettings> LoadFakeBackendSettings(
    const std::string& path);

}  // namespace cicadadrum

#endif  // CICADADRUM_FAKE_BACKEND_FAKE_BACKEND_H_
