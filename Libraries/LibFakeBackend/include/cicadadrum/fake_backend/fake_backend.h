// Test double of one backend server. Simulates request slots, load shedding, a
// cold start, periods of slow service, crashes, uploads and load reports.
//
// Serves the messages of Schemas/backend.capnp over HTTP on an event loop.

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

// Service times and cold start of one simulated server.
struct FakeBackendOptions {
  BackendServer server;  // Name, address (IP:port) and number of slots.
  Duration read_time = Milliseconds(10);   // Of all classes but write and bulk.
  Duration write_time = Milliseconds(20);  // Of requests of class write.
  Duration bulk_time = Milliseconds(200);  // Of requests of class bulk.
  // Number of requests after the start that the server runs while cold.
  std::uint32_t cold_requests = 0;
  // Factor on the service time while the server is cold.
  std::uint32_t cold_factor = 3;
};

// One simulated backend server. All state is in memory; the counters and
// executions survive a simulated crash.
class FakeBackend {
 public:
  // `loop` must outlive the object.
  FakeBackend(EventLoop& loop, const FakeBackendOptions& options);
  ~FakeBackend();
  FakeBackend(const FakeBackend&) = delete;
  FakeBackend& operator=(const FakeBackend&) = delete;

  // Listens on the server's address and returns the bound port. Fails with the
  // errors of HttpServer::Listen: kAddressInvalid, kBindFailed. Call once.
  boost::leaf::result<std::uint16_t> Start();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Settings of the program fake-backend.
struct FakeBackendSettings {
  std::vector<FakeBackendOptions> servers;
  std::string log_level;
};

// Reads the settings from the JSON file at `path`. Errors: kFileUnreadable,
// kInvalidSettings.
boost::leaf::result<FakeBackendSettings> LoadFakeBackendSettings(
    const std::string& path);

}  // namespace cicadadrum

#endif  // CICADADRUM_FAKE_BACKEND_FAKE_BACKEND_H_
