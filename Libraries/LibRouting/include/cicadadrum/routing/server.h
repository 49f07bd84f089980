// Backend servers as discovery lists them, and what this entry VM has observed
// of each.

#ifndef CICADADRUM_ROUTING_SERVER_H_
#define CICADADRUM_ROUTING_SERVER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/hash.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::routing {

// Short names of servers and objects, which entry VMs exchange by the hundred.
// Two that collide only spoil an estimate.
constexpr std::uint32_t kNoObject = 0;
constexpr std::uint32_t ObjectTag(std::uint64_t object) {
  const auto tag = static_cast<std::uint32_t>(object);
  return tag == kNoObject ? 1 : tag;
}
inline std::uint32_t ServerTag(std::string_view id) {
  return static_cast<std::uint32_t>(HashBytes(id));
}

enum class ServerPhase : std::uint8_t { kReady, kDraining };

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::ServerPhase> {
  static constexpr auto kTable = std::to_array<EnumName<routing::ServerPhase>>({
      {routing::ServerPhase::kReady, "ready"},
      {routing::ServerPhase::kDraining, "draining"},
  });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

// One start of a backend server.
struct ServerEntry {
  std::string id;
  std::string service;
  std::string address;  // IP:port.
  std::string failure_domain;
  std::uint32_t slots = 1;  // Requests that it runs at the same time.
  ServerPhase phase = ServerPhase::kReady;
  Duration cold_left{};           // How long it stays slow after its start.
  std::uint64_t row_version = 0;  // Of the store's row.
  std::int64_t started_unix_ms =
      0;  // Tells two starts under the same id apart.
  bool operator==(const ServerEntry&) const = default;
};

// Whether `present` says more of the server than that it is still there.
bool HasChanged(const ServerEntry& known, const ServerEntry& present);

// What a server says of its load with a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  double work_factor = 1;  // Time that work takes on its VM now; 1 is usual.
  bool operator==(const LoadReport&) const = default;
};

// How one attempt at a server ended.
enum class ServerOutcome : std::uint8_t {
  kSucceeded,    // A whole, sealed response with status 2xx.
  kFailed,       // A whole response with another status; the request ran.
  kRejected,     // The server says that it has not run the request.
  kWrongServer,  // Another server has the address now.
  kNotSent,      // No connection, so no byte was sent.
  kLost,         // The connection ended without a whole response.
  kLostUnused,   // A kept connection ended before any byte of a response.
  kInvalid,      // A response that is not the server's own whole answer.
  kTimedOut,     // Given up after it was sent.
};

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::ServerOutcome> {
  static constexpr auto kTable =
      std::to_array<EnumName<routing::ServerOutcome>>({
          {routing::ServerOutcome::kSucceeded, "succeeded"},
          {routing::ServerOutcome::kFailed, "failed"},
          {routing::ServerOutcome::kRejected, "rejected"},
          {routing::ServerOutcome::kWrongServer, "wrong-server"},
          {routing::ServerOutcome::kNotSent, "not-sent"},
          {routing::ServerOutcome::kLost, "lost"},
          {routing::ServerOutcome::kLostUnused, "lost-unused"},
          {routing::ServerOutcome::kInvalid, "invalid"},
          {routing::ServerOutcome::kTimedOut, "timed-out"},
      });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

// Whether the outcome proves that the server has not run the request and will
// not run it.
constexpr bool ProvesNotRun(ServerOutcome outcome) {
  return outcome == ServerOutcome::kRejected ||
         outcome == ServerOutcome::kWrongServer ||
         outcome == ServerOutcome::kNotSent;
}

// A value that moves towards its samples and, without samples, back to its
// neutral value.
struct DecayingValue {
  double value = 0;
  TimePoint updated_at{};
};

// A server and the observations of this entry VM.
struct Server {
  ServerEntry entry;
  std::uint64_t hash = 0;  // Of the id.
  std::string region;
  std::uint32_t in_flight = 0;  // Attempts of this entry VM.
  std::optional<LoadReport> report;
  TimePoint reported_at{};
  std::uint32_t in_flight_at_report = 0;
  // Requests at the server, running and waiting, for each of its slots;
  // smoothed over its reports. Negative before the first.
  double load = -1;
  DecayingValue slowness{.value = 1};  // Observed time to expected time.
  DecayingValue failures{.value = 0};  // Share of attempts that failed.
  std::uint32_t consecutive_failures = 0;
  TimePoint
      last_response_at{};     // Last response, to any entry VM that told of it.
  TimePoint backoff_until{};  // Gets nothing until then.
  TimePoint cold_until{};
  std::deque<TimePoint> recent_sends;  // Within the last second.
  // Tags of the objects that it has handled last, as far as entry VMs have told
  // each other; the newest at the end, no tag twice.
  std::vector<std::uint32_t> handled_objects;
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SERVER_H_
