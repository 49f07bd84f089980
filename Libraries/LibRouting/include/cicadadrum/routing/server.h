// Backend servers as discovery lists them, and the observations of each server.

#ifndef CICADADRUM_ROUTING_SERVER_H_
#define CICADADRUM_ROUTING_SERVER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/hash.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::routing {

// Tags are short hashes that stand for servers and objects in the messages
// between entry VMs, which carry hundreds of them. A collision of two tags only
// makes an estimate less accurate. kNoObject is never the tag of an object.
constexpr std::uint32_t kNoObject = 0;
constexpr std::uint32_t ObjectTag(std::uint64_t object) {
  const auto tag = static_cast<std::uint32_t>(object);
  return tag == kNoObject ? 1 : tag;
}
inline std::uint32_t ServerTag(std::string_view id) {
  return static_cast<std::uint32_t>(HashBytes(id));
}
// Tells apart the servers that start under one id.
constexpr std::uint32_t IncarnationTag(std::int64_t started_unix_ms) {
  return static_cast<std::uint32_t>(started_unix_ms);
}

// Servers that are draining receive no new requests.
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

// One incarnation of a backend server, from its start to its end.
struct ServerEntry {
  std::string id;
  std::string service;
  std::string address;  // IP:port.
  std::string failure_domain;
  std::uint32_t slots = 1;  // Requests that the server runs concurrently.
  ServerPhase phase = ServerPhase::kReady;
  Duration cold_left{};  // Time for which the server stays cold.
  // Era of the store, and version of the store's row in this era.
  std::uint64_t row_era = 0;
  std::uint64_t row_version = 0;
  // Start time of the server; differs between two servers under the same id.
  std::int64_t started_unix_ms = 0;
  // Number of the server's report; rises from one report to the next and starts
  // anew when the server restarts.
  std::int64_t sequence = 0;
  bool operator==(const ServerEntry&) const = default;
};

// Whether `received` differs from the last known entry of the server in more
// than its row's era and version, its sequence and the passing of its cold
// time.
bool HasChanged(const ServerEntry& known, const ServerEntry& received);

// Whether the server wrote `received` before it wrote `known`. The store may
// perform a write late, or come back from a copy, and then return such an entry
// in a newer row.
bool IsEarlierReport(const ServerEntry& known, const ServerEntry& received);

// The load of a server as reported in a response.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // Factor by which work takes longer on the server's VM than usual; 1 is
  // usual.
  double work_factor = 1;
  bool operator==(const LoadReport&) const = default;
};

// How one attempt at a server ended.
enum class ServerOutcome : std::uint8_t {
  // The server returned a complete, sealed response with status 2xx.
  kSucceeded,
  // The server returned a complete response with another status. The request
  // ran.
  kFailed,
  // The server reported that it has not run the request.
  kRejected,
  // Another server now has the address. The request did not run.
  kWrongServer,
  // No connection could be made, so no byte was sent.
  kNotSent,
  // The connection was lost before a complete response arrived.
  kLost,
  // A reused connection was lost before any byte of a response arrived.
  kLostUnused,
  // The response is not HTTP, or has no end.
  kMalformed,
  // The response is not the complete response of the server itself.
  kInvalid,
  // The attempt was sent and then given up at its deadline.
  kTimedOut,
  // The server is cold, according to its response to the check of a new
  // connection. The request was not sent.
  kCold,
  // The server accepted a new connection, but did not respond to its check in
  // time. The request was not sent.
  kBusy,
  // The request waited for its connection, and the core did not confirm the
  // attempt when it could be sent. The request was not sent.
  kWithheld,
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
          {routing::ServerOutcome::kMalformed, "malformed"},
          {routing::ServerOutcome::kInvalid, "invalid"},
          {routing::ServerOutcome::kTimedOut, "timed-out"},
          {routing::ServerOutcome::kCold, "cold"},
          {routing::ServerOutcome::kBusy, "busy"},
          {routing::ServerOutcome::kWithheld, "withheld"},
      });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

// Whether the attempt ended before its request could be sent, and another one
// takes its place.
constexpr bool IsReplaced(ServerOutcome outcome) {
  return outcome == ServerOutcome::kCold || outcome == ServerOutcome::kBusy ||
         outcome == ServerOutcome::kWithheld;
}

// Whether the outcome proves that the server has not run the request and will
// not run it.
constexpr bool ProvesNotRun(ServerOutcome outcome) {
  return outcome == ServerOutcome::kRejected ||
         outcome == ServerOutcome::kWrongServer ||
         outcome == ServerOutcome::kNotSent || IsReplaced(outcome);
}

// A moving average of samples that decays towards a neutral value while there
// are no samples.
struct DecayingValue {
  double value = 0;
  TimePoint updated_at{};
};

// Longest pause that a server can ask for. It keeps times representable; a
// server that is restarted ends its pause earlier.
constexpr Duration kMaxServerPause = Seconds(std::int64_t{24} * 3600);

// What one incarnation of a server has announced about the requests that it
// wants. It holds until the incarnation ends, also while the store has no entry
// of the server.
struct ServerAdvice {
  bool leaving = false;      // The server receives no more requests.
  TimePoint paused_until{};  // The server receives no requests until then.
};

// States that a server takes requests at any rate.
constexpr double kUnlimited = std::numeric_limits<double>::infinity();

// The rate of requests that a server takes from all entry VMs together. It
// holds until a response of the server states another one or none.
struct RequestLimit {
  double requests_per_second = 0;
  // Of this entry VM, if the live members share the rate.
  double share_per_second = 0;
  // RoutingState::members_version that the share was computed for.
  std::uint64_t members_version = 0;
  // Requests that this entry VM may send at `updated_at`, a fraction included.
  double allowance = 0;
  TimePoint updated_at{};
  // Time of the last statement of the limit, or of a later request of this
  // entry VM, which will bring one.
  TimePoint checked_at{};
};

// A server with what this entry VM has observed itself or received from others.
struct Server {
  ServerEntry entry;
  TimePoint entry_applied_at{};  // Time at which `entry` was applied here.
  std::uint64_t hash = 0;        // Of the id.
  std::string region;
  std::uint32_t in_flight = 0;       // Attempts of this entry VM at the server.
  std::optional<LoadReport> report;  // The newest load report.
  TimePoint reported_at{};
  std::uint32_t in_flight_at_report = 0;
  // Running and waiting requests per slot, smoothed over the load reports.
  // Negative before the first report.
  double load = -1;
  DecayingValue slowness{.value = 1};  // Observed to expected duration.
  DecayingValue failures{.value = 0};  // Share of attempts that failed.
  std::uint32_t consecutive_failures = 0;
  // Time of the last response to this entry VM or to an entry VM that shared
  // it.
  TimePoint last_response_at{};
  TimePoint backoff_until{};  // The server receives no requests until then.
  TimePoint cold_until{};     // The rate of requests is limited until then.
  ServerAdvice advice;
  std::optional<RequestLimit> limit;
  // Time of the response that stated `limit`, or stated none.
  TimePoint limit_stated_at{};
  // Attempts of this entry VM within the last second.
  std::deque<TimePoint> recent_sends;
  // Tags of the objects that the server has handled last, from the attempts of
  // this entry VM and the observations of others. The newest tag is at the end,
  // and no tag occurs twice.
  std::vector<std::uint32_t> handled_objects;
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SERVER_H_
