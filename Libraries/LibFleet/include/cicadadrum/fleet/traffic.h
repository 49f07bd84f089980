// Counts messages and their bytes by kind.

#ifndef CICADADRUM_FLEET_TRAFFIC_H_
#define CICADADRUM_FLEET_TRAFFIC_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/membership/events.h"

namespace cicadadrum {

// Kinds of messages. kStore covers all HTTP requests to the store.
enum class TrafficKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kPush,
  kPull,
  kFetch,
  kStore,
};

constexpr std::size_t kTrafficKindCount = 7;

template <>
struct EnumNames<TrafficKind> {
  static constexpr auto kTable = std::to_array<EnumName<TrafficKind>>({
      {TrafficKind::kPing, "ping"},
      {TrafficKind::kAck, "ack"},
      {TrafficKind::kPingRequest, "ping-request"},
      {TrafficKind::kPush, "push"},
      {TrafficKind::kPull, "pull"},
      {TrafficKind::kFetch, "fetch"},
      {TrafficKind::kStore, "store"},
  });
};

// Traffic of one node and kind.
struct TrafficCount {
  std::uint64_t messages_out = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;
};

// Indexed by TrafficKind.
using TrafficTotals = std::array<TrafficCount, kTrafficKindCount>;

// Returns the traffic kind of a membership message.
constexpr TrafficKind TrafficKindOf(ExchangeKind kind) {
  switch (kind) {
    case ExchangeKind::kPing:
      return TrafficKind::kPing;
    case ExchangeKind::kAck:
      return TrafficKind::kAck;
    case ExchangeKind::kPingRequest:
      return TrafficKind::kPingRequest;
    case ExchangeKind::kPush:
      return TrafficKind::kPush;
    case ExchangeKind::kPull:
      return TrafficKind::kPull;
  }
  return TrafficKind::kPing;
}

// Bytes of one call of `exchange` in addition to its parameters. The caller
// sends the RPC envelope of the call (112), the Finish message (40) and two
// TCP/IP headers with timestamps (104).
constexpr std::uint64_t kCallOverheadBytes = 256;
// The caller receives the Return message with a header (140) and one TCP/IP
// header (52).
constexpr std::uint64_t kReturnOverheadBytes = 192;

// Bytes of an HTTP request and of an HTTP response without its content. Both
// include TCP/IP headers.
constexpr std::uint64_t kHttpRequestBytes = 300;
constexpr std::uint64_t kHttpResponseBytes = 350;

// Returns the size in bytes of the parameters of an `exchange` call with this
// message, in the flat encoding that the RPC system sends.
std::uint64_t EncodedBytes(const ExchangeMessage& message);

}  // namespace cicadadrum

#endif  // CICADADRUM_FLEET_TRAFFIC_H_
