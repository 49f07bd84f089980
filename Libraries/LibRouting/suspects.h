// Suspects: requests that may crash the servers which run them. See
// cicadadrum/routing/suspicion.h.

#ifndef CICADADRUM_ROUTING_SUSPECTS_H_
#define CICADADRUM_ROUTING_SUSPECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Returns until when requests with the fingerprint are refused, or nothing if
// they are not.
std::optional<TimePoint> BlockedUntil(const RoutingState& state,
                                      std::uint64_t fingerprint,
                                      TimePoint now);

bool IsSuspect(const RoutingState& state,
               std::uint64_t fingerprint,
               TimePoint now);

// Returns when a request with the fingerprint is to be sent or refused: now,
// unless an equal request is being tried or the next trial has to wait.
TimePoint NextTrialTime(const RoutingState& state,
                        std::uint64_t fingerprint,
                        TimePoint now);

// Servers at which the trial of a suspect would say little.
struct ServersToAvoid {
  // Servers that were lost with the suspect before, and those at which another
  // suspect is being tried.
  std::vector<std::string> servers;
  // Servers in the failure domains in which the suspect was lost just now: the
  // whole failure domain may be failing.
  std::vector<std::string> neighbours;
};
ServersToAvoid FindServersToAvoid(const RoutingState& state,
                                  const RequestState& request,
                                  TimePoint now);

// Records that the request, a suspect, is tried from now on.
void StartTrial(RoutingState& state, std::uint64_t id, TimePoint now);

// Records that the request's attempt has ended. Does nothing if the request is
// not the one that is tried.
void EndTrial(RoutingState& state, std::uint64_t id, std::uint64_t fingerprint);

// Records that the server of the request's attempt was lost. Publishes the
// evidence unless it is the first loss, which may be cleared by a retry before
// other entry VMs need to know.
void RecordLoss(RoutingState& state,
                std::uint64_t id,
                TimePoint now,
                RoutingActions& actions);

// Publishes the first loss of the fingerprint, if there is no more evidence
// than that and the records of other suspects leave room.
void PublishFirstLoss(RoutingState& state,
                      std::uint64_t fingerprint,
                      TimePoint now,
                      RoutingActions& actions);

// Clears the fingerprint at all entry VMs. `request` is the request that ran
// to its end, or 0.
void ClearSuspect(RoutingState& state,
                  std::uint64_t fingerprint,
                  std::uint64_t request,
                  TimePoint now,
                  RoutingActions& actions);

// Applies a record of another entry VM.
void ApplySuspectRecord(RoutingState& state,
                        const SuspectRecord& record,
                        TimePoint now,
                        RoutingActions& actions);

// Returns the earliest NextTrialTime of the waiting requests, or kNever.
TimePoint NextWaitingTime(const RoutingState& state, TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_SUSPECTS_H_
