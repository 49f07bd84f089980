// The platform's test double as an HTTP server on an event loop.
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

struct PlatformSettings {
  std::string listen = "127.0.0.1:0";  // IP:port; port 0 takes a free one.
  Duration vm_list_lag = Seconds(2);
  std::vector<BackendServer> vms;
  std::size_t max_body_bytes = 16 << 20;
};

// Reads settings from JSON with comments. Fails with kInvalidSettings.
boost::leaf::result<PlatformSettings> ParsePlatformSettings(
    const std::string& json);

// Fails with kAddressInvalid if the address can't be listened on.
boost::leaf::result<void> CheckPlatformSettings(
    const PlatformSettings& settings);

// Reads the body of POST /control. Fails with kInvalidMessage.
boost::leaf::result<PlatformControl> ParsePlatformControl(
    const std::string& json);

class FakePlatform {
 public:
  // Listens at once. `base` must outlive the result. Fails with kAddressInvalid
  // or kBindFailed.
  static boost::leaf::result<std::unique_ptr<FakePlatform>> Create(
      event_base* base,
      const PlatformSettings& settings);

  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  // The address it listens on, with the port that was taken.
  const std::string& Address() const;

  // What it holds; tests may change it.
  PlatformState& State();

 private:
  class Impl;
  explicit FakePlatform(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_FAKE_PLATFORM_FAKE_PLATFORM_H_
