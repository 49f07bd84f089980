// Test double of the platform, served over HTTP on an event loop.
//
// Serves the interface of Schemas/store.capnp, GET /metrics, and POST /control
// (Schemas/fakes.capnp). All state is in memory.

#ifndef CICADADRUM_FAKE_PLATFORM_FAKE_PLATFORM_H_
#define CICADADRUM_FAKE_PLATFORM_FAKE_PLATFORM_H_

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cicadadrum/fake_platform/platform_state.h"

struct event_base;

namespace cicadadrum {

// Settings of the program fake-platform.
struct PlatformSettings {
  std::string listen = "127.0.0.1:0";  // IP:port; port 0 selects a free port.
  // Time after which a VM list set through POST /control is served.
  Duration vm_list_lag = Seconds(2);
  std::vector<BackendServer> vms;  // VM list served from the start.
  // Limit on the size of a request body, in bytes.
  std::size_t max_body_bytes = 16 << 20;
};

// Parses settings from JSON with comments. Fails with kInvalidSettings if the
// JSON is malformed or has an unknown field.
boost::leaf::result<PlatformSettings> ParsePlatformSettings(
    const std::string& json);

// Fails with kAddressInvalid if `listen` is not an IPv4 address with a port.
boost::leaf::result<void> CheckPlatformSettings(
    const PlatformSettings& settings);

// Parses the body of POST /control. Fails with kInvalidMessage if the JSON is
// malformed or has an unknown field.
boost::leaf::result<PlatformControl> ParsePlatformControl(
    const std::string& json);

// The HTTP server. It runs on the thread of its event base.
class FakePlatform {
 public:
  // Creates a server that is listening already. `base` must outlive the
  // returned object. Fails with kAddressInvalid or kBindFailed.
  static boost::leaf::result<std::unique_ptr<FakePlatform>> Create(
      event_base* base,
      const PlatformSettings& settings);

  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  // Returns the IP:port that the server listens on, with the bound port.
  const std::string& Address() const;

  // Returns the state of the server; tests may change it between callbacks of
  // the event loop.
  PlatformState& State();

 private:
  class Impl;
  explicit FakePlatform(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_FAKE_PLATFORM_FAKE_PLATFORM_H_
