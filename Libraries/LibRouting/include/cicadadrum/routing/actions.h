// Actions of the request core, which makes all decisions. The front end encodes
// them into messages.

#ifndef CICADADRUM_ROUTING_ACTIONS_H_
#define CICADADRUM_ROUTING_ACTIONS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/base/verdict.h"
#include "cicadadrum/quota/messages.h"
#include "cicadadrum/routing/configuration.h"
#include "cicadadrum/routing/events.h"
#include "cicadadrum/routing/suspicion.h"

namespace cicadadrum::routing {

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

#endif  // CICADADRUM_ROUTING_ACTIONS_H_
