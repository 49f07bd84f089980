// Events of the request core. The front end decodes messages into events.

#ifndef CICADADRUM_ROUTING_EVENTS_H_
#define CICADADRUM_ROUTING_EVENTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/quota/messages.h"
#include "cicadadrum/routing/configuration.h"
#include "cicadadrum/routing/fleet_bounds.h"
#include "cicadadrum/routing/server.h"
#include "cicadadrum/routing/suspicion.h"

namespace cicadadrum::routing {

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

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_EVENTS_H_
