// A TCP proxy on loopback that delays, drops or resets what passes through it.

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
  kDelay,   // Bytes of both directions wait a while.
  kSilent,  // No byte passes; connections stay open.
  kOneWay,  // Requests pass, responses don't.
  kReset,   // Connections are reset, new ones too.
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
  // Passes connections on to `target` (IP:port).
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
