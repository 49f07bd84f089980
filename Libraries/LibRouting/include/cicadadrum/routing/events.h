// Events and actions of the request core. The front end decodes messages into
// events and encodes actions into messages; all decisions are made by the core.

#ifndef CICADADRUM_ROUTING_EVENTS_H_
#define CICADADRUM_ROUTING_EVENTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/base/verdict.h"
#include "cicadadrum/quota/messages.h"
#include "cicadadrum/routing/configuration.h"
#include "cicadadrum/routing/fleet_bounds.h"
#include "cicadadrum/routing/server.h"
#include "cicadadrum/routing/suspicion.h"

namespace cicadadrum::routing {

// --- Events ---

// A caller sent a request.
struct RequestArrived {
  std::uint64_t request = 0;  // Id that this process never uses again.
  std::string host;
  std::string path;  // Without the query.
  // Hash of the object that the request concerns, if the caller named an
  // object. Equal hashes on two routes stand for two different objects.
  std::optional<std::uint64_t> object;
  Duration remaining{};  // Time until the caller gives up.
  std::uint64_t body_bytes = 0;
  // Size of earlier responses that still wait to be sent to callers.
  std::uint64_t unsent_bytes = 0;
  // Hash that is equal for repeats of a request.
  std::uint64_t fingerprint = 0;
  // Key by which the caller authenticates; empty if it sent none. Must not
  // appear in actions or logs.
  std::string key;
};

// The caller closed its connection. The core ignores an unknown request.
struct CallerDisconnected {
  std::uint64_t request = 0;
};

// The request of an attempt has waited for its connection or its check, and can
// be sent now. The front end sends it only if TransmitAttempt follows, and
// reports ServerOutcome::kWithheld otherwise.
struct ConnectionReady {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

// An attempt at a server ended. The core ignores an attempt that is not the
// current attempt of its request.
struct AttemptEnded {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  ServerOutcome outcome = ServerOutcome::kLost;
  std::optional<LoadReport> report;
  std::uint64_t response_bytes = 0;  // Size of the body of a complete response.
  // Time for which the server stays cold according to the response, or zero if
  // the response does not say. Positive with ServerOutcome::kCold.
  Duration cold_left{};
  bool leaving = false;  // The server announced that it is leaving.
  // Time for which the server asked to receive no requests from this entry VM,
  // or zero if it did not ask. At most kMaxServerPause.
  Duration pause{};
  // Requests per second that the server takes from all entry VMs together, or
  // kUnlimited if its response states no limit. Nothing without a response of
  // the server.
  std::optional<double> limit;
};

// A configuration was published. The core ignores it unless its version is
// higher than the current one.
struct ConfigurationAdopted {
  RoutingConfiguration configuration;
};

// A source of the configuration reported that the last adopted configuration
// was the newest one `age` ago.
struct ConfigurationConfirmed {
  Duration age{};
  // Time since the oldest query behind the report was sent, including the
  // queries of relays; nothing if unknown. Keys rely on this age.
  std::optional<Duration> query_age;
  // The source may have a newer configuration than the adopted one: it has come
  // back from an older copy, or its configuration can't be read here.
  bool is_disputed = false;
};

// The VM was suspended until now. Its clock did not advance in that time.
struct SuspensionEnded {
  Duration duration{};
};

// Discovery listed or removed servers.
struct ServersChanged {
  std::vector<ServerEntry> updated;  // Servers that are new or have changed.
  std::vector<std::string> removed;  // Ids.
  bool is_full_list = false;         // `updated` lists all servers.
};

// The set of failure domains that receive no requests has changed.
struct EvacuationsChanged {
  std::vector<std::string> failure_domains;  // All that are evacuated now.
};

// A live entry VM.
struct FleetMember {
  std::string name;
  std::string region;
  std::string failure_domain;
  bool operator==(const FleetMember&) const = default;
};

// The set of live entry VMs has changed.
struct MembersChanged {
  std::vector<FleetMember> entries;  // All of them, this entry VM included.
};

// What one entry VM observed of a server when an attempt ended.
struct ServerObservation {
  std::uint32_t server = 0;  // ServerTag of the id.
  // Tag of the object that the server has just handled.
  std::uint32_t object = kNoObject;
  std::optional<LoadReport> report;
  bool unreachable = false;  // No connection to the server could be made.
  bool leaving = false;      // The server announced that it is leaving.
  // IncarnationTag of the entry by which the server was chosen; 0 if the sender
  // does not name it.
  std::uint32_t incarnation = 0;
  // As in AttemptEnded. Set while the server is limited, and when a limit ends.
  std::optional<double> limit;
  Duration age{};  // Time since the attempt ended.
  bool operator==(const ServerObservation&) const = default;
};

// Another entry VM sent its observations. The core ignores observations of
// servers, and of incarnations, that it does not know.
struct ObservationsReceived {
  std::vector<ServerObservation> observations;
};

// Another entry VM sent a message about the quotas of client accounts.
struct QuotaMessageReceived {
  quota::QuotaMessage message;
};

// Another entry VM published evidence about a suspect.
struct SuspectRecordReceived {
  SuspectRecord record;
};

// The operator cleared a fingerprint of suspicion.
struct SuspectCleared {
  std::uint64_t fingerprint = 0;
};

// The settings of this entry VM were reloaded.
struct SettingsChanged {
  // Region of each failure domain of the deployment.
  std::map<std::string, std::string> region_by_domain;
  FleetBounds bounds;
};

// The process is to stop. The core still accepts requests until `accept_until`,
// because callers need some time to switch to another entry VM. All requests
// are answered by `end_at`.
struct StopRequested {
  TimePoint accept_until{};
  TimePoint end_at = kNever;
};

// The time of the last WakeAt action has come.
struct TimerExpired {};

using RoutingEvent = std::variant<RequestArrived,
                                  CallerDisconnected,
                                  ConnectionReady,
                                  AttemptEnded,
                                  ConfigurationAdopted,
                                  ConfigurationConfirmed,
                                  SuspensionEnded,
                                  ServersChanged,
                                  EvacuationsChanged,
                                  MembersChanged,
                                  ObservationsReceived,
                                  QuotaMessageReceived,
                                  SuspectRecordReceived,
                                  SuspectCleared,
                                  SettingsChanged,
                                  StopRequested,
                                  TimerExpired>;

// --- Actions ---

// Why the entry VM refuses a request instead of delivering a response of a
// server.
enum class RefusalReason : std::uint8_t {
  kNone,
  kNotReady,         // The entry VM has no configuration or no list of servers.
  kNoRoute,          // No route matches the request.
  kUnreadableRoute,  // The route is written for a later release.
  kUnknownKey,       // No client account has the key of the request.
  // No readable client account has the key of the request. Another account is
  // written for a later release.
  kUnreadableAccount,
  // The client account has used the rate of its quota.
  kQuotaExceeded,
  // The route has home regions, the request has a key, or no route or account
  // matches it, and the configuration may have changed: no source has confirmed
  // it lately.
  kConfigurationOutdated,
  kNoServer,    // No server may receive the request at present.
  kOverloaded,  // The servers are too full to respond in time.
  // The responses that are on their way fill the link of this entry VM.
  kLinkFull,
  // The responses that are on their way fill the memory of this entry VM.
  kMemoryFull,
  kRejected,     // Servers rejected the request and no attempt is left.
  kUnreachable,  // No server could be reached.
  kFailed,       // An attempt ended without a usable response.
  kTimedOut,     // The deadline of the route or of the caller has passed.
  kBlocked,      // Equal requests were lost with several servers.
  kStopping,     // The entry VM is stopping.
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
          {routing::RefusalReason::kUnreadableRoute, "unreadable-route"},
          {routing::RefusalReason::kUnknownKey, "unknown-key"},
          {routing::RefusalReason::kUnreadableAccount, "unreadable-account"},
          {routing::RefusalReason::kQuotaExceeded, "quota-exceeded"},
          {routing::RefusalReason::kConfigurationOutdated,
           "configuration-outdated"},
          {routing::RefusalReason::kNoServer, "no-server"},
          {routing::RefusalReason::kOverloaded, "overloaded"},
          {routing::RefusalReason::kLinkFull, "link-full"},
          {routing::RefusalReason::kMemoryFull, "memory-full"},
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

// Whether a server is assumed to have the object of a request in its cache.
enum class CacheAffinity : std::uint8_t {
  // The server has probably not handled the object recently.
  kFresh,
  // The server is one of those to which all entry VMs send the object first.
  kShared,
  // The server has recently handled the object.
  kKnown,
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

// The values that decided the choice of a server, for the log.
struct ChoiceInputs {
  RouteKind kind = RouteKind::kUnsafe;
  std::uint64_t object = 0;  // Hash of the object that the request concerns.
  CacheAffinity cache_affinity = CacheAffinity::kFresh;
  std::uint64_t expected_response_bytes = 0;
  double cost_ms = 0;           // Total cost by which servers are compared.
  std::uint32_t in_flight = 0;  // Attempts of this entry VM at the server.
  // Requests that were running and waiting according to the server's last load
  // report.
  std::uint32_t reported = 0;
  std::int64_t report_age_ms = -1;  // -1 without a report.
  // Observed divided by expected duration of the server's attempts.
  double slowness = 1;
  // Of the server's VM, from its last report, weighted by the report's age.
  double work_factor = 1;
  // What was known of the server's incarnation: its start, how long ago its
  // last row was applied, how long it is taken to be cold (0 if warm), and the
  // attempts of this entry VM that count towards its cold rate.
  std::int64_t server_started_unix_ms = 0;
  std::int64_t row_age_ms = 0;
  std::int64_t cold_left_ms = 0;
  std::uint32_t recent_sends = 0;
  std::string route;  // Name.
  std::string server_region;
  // Version of the configuration that the route was taken from.
  std::uint64_t configuration = 0;
};

// How to make sure that a server is not cold before it receives a request. The
// server may have restarted under the same id since its entry was written, and
// only a connection is known to lead to one incarnation.
struct ColdCheck {
  std::string
      health_path;  // A request for it states whether the server is cold.
  // A connection that has been open for this long needs no check.
  Duration cold_time{};
  // Time after which a server that has not responded to the check is busy.
  Duration max_wait{};
};

// Send the request to a server. If it has to wait for its connection or its
// check, the front end reports ConnectionReady before it sends the request. It
// reports the end of the attempt by AttemptEnded, unless it receives
// CancelAttempt first.
struct SendAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;  // Counts from 1 within the request.
  std::string server;         // Id.
  std::string address;        // IP:port.
  TimePoint deadline;         // Of the request, over all its attempts.
  // Time that is left until the deadline; the front end sends it to the server.
  Duration server_timeout{};
  // The attempt must not reuse an idle connection.
  bool fresh_connection = false;
  // If set, the request may be sent only on a connection that has passed this
  // check. Otherwise the attempt counts towards the rate of a cold server.
  std::optional<ColdCheck> cold_check;
  // If set, a new connection that takes longer ends the attempt as kNotSent, so
  // that the request is sent within the window in which it is counted.
  std::optional<Duration> max_send_delay;
  // Name of the caller's client account; empty if there is none. The front end
  // states it to the server in place of what the caller stated.
  std::string account;
  // The server must not receive the credentials of the caller.
  bool hides_credentials = false;
  ChoiceInputs inputs;
};

// Send the request of an attempt that has waited now.
struct TransmitAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  Duration server_timeout{};  // As in SendAttempt, as of now.
};

// Why an attempt is given up before its end.
enum class CancelReason : std::uint8_t {
  kTimedOut,    // The deadline of the request has passed.
  kCallerLeft,  // The caller closed its connection.
};

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::CancelReason> {
  static constexpr auto kTable =
      std::to_array<EnumName<routing::CancelReason>>({
          {routing::CancelReason::kTimedOut, "timed-out"},
          {routing::CancelReason::kCallerLeft, "cancelled"},
      });
};

}  // namespace cicadadrum

namespace cicadadrum::routing {

// Close the connection of the attempt. Its outcome is ignored.
struct CancelAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  CancelReason reason = CancelReason::kTimedOut;
};

// Pass the response of the last attempt to the caller.
struct DeliverResponse {
  std::uint64_t request = 0;
  std::string server;
  RouteKind kind = RouteKind::kUnsafe;
};

// Refuse the request with an error response of this entry VM.
struct RefuseRequest {
  std::uint64_t request = 0;
  RefusalReason reason = RefusalReason::kNone;
  Verdict verdict = Verdict::kNotRun;
  // Of the request's route, if one matched and could be read.
  std::optional<RouteKind> kind;
  // Name of the caller's client account; empty if there is none.
  std::string account;
  // Delay after which the caller should retry; zero if the response states
  // none.
  Duration retry_after{};
  // Inputs for the best server, if the request was refused because that server
  // was too full.
  std::optional<ChoiceInputs> inputs;
};

// Tell all other entry VMs about a suspect. A record with a lower version for
// the same slot is out of date.
struct PublishSuspect {
  SuspectRecord record;
};

// Record that the evidence about a fingerprint has changed.
struct ReportSuspicion {
  // The request whose attempt ended, and its server; 0 and empty if another
  // entry VM or the operator caused the change.
  std::uint64_t request = 0;
  std::string server;
  std::uint64_t fingerprint = 0;
  SuspicionChange change = SuspicionChange::kSuspected;
  std::uint32_t losses = 0;  // Servers that were lost one after the other.
  Duration block_time{};     // Set for kBlocked.
};

// Record that the server announced for the first time that it is leaving.
struct ReportServerLeaving {
  std::uint64_t request = 0;  // The request to which the server responded.
  std::string server;         // Id.
};

// Record that the server asked to receive no requests for a while. Not repeated
// while the pause lasts.
struct ReportServerPause {
  std::uint64_t request = 0;  // The request to which the server responded.
  std::string server;         // Id.
  Duration pause{};
};

// Record that the server began or ceased to state a limit of its requests.
struct ReportServerLimit {
  std::uint64_t request = 0;  // The request to which the server responded.
  std::string server;         // Id.
  double limit = 0;           // As in AttemptEnded.
  // Requests per second that this entry VM may send to the server.
  double share = 0;
};

// Send observations to other entry VMs. A lost message does no harm.
struct ShareObservations {
  std::vector<std::string> receivers;  // Names of entry VMs.
  std::vector<ServerObservation> observations;
};

// Send a message about the quotas of client accounts to an entry VM. It may be
// lost.
struct SendQuotaMessage {
  std::string receiver;  // Name of the entry VM.
  quota::QuotaMessage message;
};

// Deliver TimerExpired at this time. Replaces the time of earlier actions.
struct WakeAt {
  TimePoint at = kNever;
};

// The entry VM is stopping and no request is in progress. The core emits the
// action after every event for which this holds.
struct DrainCompleted {};

using RoutingAction = std::variant<SendAttempt,
                                   TransmitAttempt,
                                   CancelAttempt,
                                   DeliverResponse,
                                   RefuseRequest,
                                   PublishSuspect,
                                   ReportSuspicion,
                                   ReportServerLeaving,
                                   ReportServerPause,
                                   ReportServerLimit,
                                   ShareObservations,
                                   SendQuotaMessage,
                                   WakeAt,
                                   DrainCompleted>;
using RoutingActions = std::vector<RoutingAction>;

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_EVENTS_H_
