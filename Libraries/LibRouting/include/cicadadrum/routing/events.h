// Events and actions of the request core. The front end turns bytes into
// events and actions into bytes and decides nothing.

#ifndef CICADADRUM_ROUTING_EVENTS_H_
#define CICADADRUM_ROUTING_EVENTS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/base/verdict.h"
#include "cicadadrum/routing/configuration.h"
#include "cicadadrum/routing/server.h"

namespace cicadadrum::routing {

// --- Events ---

struct RequestArrived {
  std::uint64_t request = 0;  // Never used again by this process.
  std::string host;
  std::string path;  // Without the query.
  // Hash of the object that the request concerns, if the caller named one. The
  // same object on another route is another one.
  std::optional<std::uint64_t> object;
  Duration remaining{};  // Until the caller gives up.
  std::uint64_t body_bytes = 0;
  std::uint64_t fingerprint = 0;  // Equal for repeats of the same request.
};

// The caller closed its connection.
struct CallerDisconnected {
  std::uint64_t request = 0;
};

struct AttemptEnded {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  ServerOutcome outcome = ServerOutcome::kLost;
  std::optional<LoadReport> report;
  Duration cold_left{};  // As the response says; zero if it doesn't.
};

struct ConfigurationAdopted {
  RoutingConfiguration configuration;
};

// Entries that are new or have changed, and ids that are gone.
struct ServersChanged {
  std::vector<ServerEntry> updated;
  std::vector<std::string> removed;
  bool is_full_list = false;  // `updated` is the whole list.
};

// The failure domains that are to get nothing.
struct EvacuationsChanged {
  std::vector<std::string> failure_domains;
};

// A live entry VM.
struct FleetMember {
  std::string name;
  std::string region;
  std::string failure_domain;
  bool operator==(const FleetMember&) const = default;
};

// The live entry VMs, this one included.
struct MembersChanged {
  std::vector<FleetMember> entries;
};

// What a response told one entry VM about a server.
struct ServerObservation {
  std::uint32_t server = 0;          // ServerTag of the id.
  std::uint32_t object = kNoObject;  // That the server has just handled.
  std::optional<LoadReport> report;
  bool unreachable = false;  // No connection could be made to it.
  Duration age{};            // Since the attempt ended.
  bool operator==(const ServerObservation&) const = default;
};

// Another entry VM shares what it has observed.
struct ObservationsReceived {
  std::vector<ServerObservation> observations;
};

// A fingerprint that crashed servers at some entry VM.
struct FingerprintBlocked {
  std::uint64_t fingerprint = 0;
};

// The process is to stop. Requests are still taken until `accept_until`,
// because callers need a moment to learn of it.
struct StopRequested {
  TimePoint accept_until{};
};

struct TimerExpired {};

using RoutingEvent = std::variant<RequestArrived,
                                  CallerDisconnected,
                                  AttemptEnded,
                                  ConfigurationAdopted,
                                  ServersChanged,
                                  EvacuationsChanged,
                                  MembersChanged,
                                  ObservationsReceived,
                                  FingerprintBlocked,
                                  StopRequested,
                                  TimerExpired>;

// --- Actions ---

// Why a request is answered by the entry VM itself.
enum class RefusalReason : std::uint8_t {
  kNone,
  kNotReady,     // No configuration or no servers are known here.
  kNoRoute,      // No route matches.
  kNoServer,     // No server may take it now.
  kOverloaded,   // It could not be answered in time.
  kRejected,     // Servers rejected it and no attempt is left.
  kUnreachable,  // No server could be reached.
  kFailed,       // An attempt ended without a usable response.
  kTimedOut,     // The route's time or the caller's is over.
  kBlocked,      // Equal requests have crashed servers.
  kStopping,     // The entry VM stops.
};

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::RefusalReason> {
  static constexpr auto kTable =
      std::to_array<EnumName<routing::RefusalReason>>({
          {routing::RefusalReason::kNone, "none"},
          {routing::RefusalReason::kNotReady, "not-ready"},
          {routing::RefusalReason::kNoRoute, "no-route"},
          {routing::RefusalReason::kNoServer, "no-server"},
          {routing::RefusalReason::kOverloaded, "overloaded"},
          {routing::RefusalReason::kRejected, "rejected"},
          {routing::RefusalReason::kUnreachable, "unreachable"},
          {routing::RefusalReason::kFailed, "failed"},
          {routing::RefusalReason::kTimedOut, "timed-out"},
          {routing::RefusalReason::kBlocked, "blocked"},
          {routing::RefusalReason::kStopping, "stopping"},
      });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

// What is believed of a server's knowledge of an object.
enum class CacheAffinity : std::uint8_t {
  kFresh,   // It has probably not handled the object recently.
  kShared,  // It is one of the servers to which all entry VMs send the object.
  kKnown,   // This entry VM has just sent the object there.
};

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::CacheAffinity> {
  static constexpr auto kTable =
      std::to_array<EnumName<routing::CacheAffinity>>({
          {routing::CacheAffinity::kFresh, "fresh"},
          {routing::CacheAffinity::kShared, "shared"},
          {routing::CacheAffinity::kKnown, "known"},
      });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

// What decided the choice of a server, for the log.
struct ChoiceInputs {
  std::uint64_t object = 0;  // Hash of the object that the request concerns.
  CacheAffinity cache_affinity = CacheAffinity::kFresh;
  double cost_ms = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t reported = 0;       // Running and waiting, as the server said.
  std::int64_t report_age_ms = -1;  // -1 without a report.
  double slowness = 1;
  double work_factor = 1;  // Of the server's VM, as last reported.
};

struct SendAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::string server;             // Id.
  std::string address;            // IP:port.
  TimePoint deadline;             // Of the whole request.
  Duration server_timeout{};      // What is left for the server.
  bool fresh_connection = false;  // Kept connections are not trusted.
  ChoiceInputs inputs;
};

// Close the connection of the attempt; its outcome is not wanted.
struct CancelAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

// Pass the response of the last attempt to the caller.
struct DeliverResponse {
  std::uint64_t request = 0;
  std::string server;
};

// Answer the caller without a server's response.
struct RefuseRequest {
  std::uint64_t request = 0;
  RefusalReason reason = RefusalReason::kNone;
  Verdict verdict = Verdict::kNotRun;
  Duration retry_after{};  // Zero for none.
  // What the best server would have cost, if one was too full.
  std::optional<ChoiceInputs> inputs;
};

// Tell the other entry VMs.
struct PublishBlockedFingerprint {
  std::uint64_t fingerprint = 0;
};

// Tell other entry VMs what was observed. A message that is lost does no harm.
struct ShareObservations {
  std::vector<std::string> receivers;  // Names of entry VMs.
  std::vector<ServerObservation> observations;
};

struct WakeAt {
  TimePoint at = kNever;
};

// No request is in progress after StopRequested.
struct DrainCompleted {};

using RoutingAction = std::variant<SendAttempt,
                                   CancelAttempt,
                                   DeliverResponse,
                                   RefuseRequest,
                                   PublishBlockedFingerprint,
                                   ShareObservations,
                                   WakeAt,
                                   DrainCompleted>;
using RoutingActions = std::vector<RoutingAction>;

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_EVENTS_H_
