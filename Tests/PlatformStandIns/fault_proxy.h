// A TCP proxy on loopback that delays or withholds bytes, or resets
// connections.

#ifndef CICADADRUM_TESTS_PLATFORMSTANDINS_FAULT_PROXY_H_
#define CICADADRUM_TESTS_PLATFORMSTANDINS_FAULT_PROXY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/loop/event_loop.h"

namespace cicadadrum {

enum class ProxyMode : std::uint8_t {
  kPass,
  kDelay,   // Forwards the bytes of both directions after a delay.
  kSilent,  // Forwards no bytes and keeps connections open.
  kOneWay,  // Forwards requests and withholds responses.
  kReset,   // Resets open connections and every new connection.
};

template <>
struct EnumNames<ProxyMode> {
  static constexpr auto kTable = std::to_array<EnumName<ProxyMode>>({
      {ProxyMode::kPass, "pass"},
      {ProxyMode::kDelay, "delay"},
      {ProxyMode::kSilent, "silent"},
      {ProxyMode::kOneWay, "one-way"},
      {ProxyMode::kReset, "reset"},
  });
};

class FaultProxy {
 public:
  // Forwards every connection to `target` (IP:port).
  FaultProxy(EventLoop& loop, const std::string& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& address() const;
  void SetMode(ProxyMode mode);
  ProxyMode mode() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_PLATFORMSTANDINS_FAULT_PROXY_H_
