// What the entry VM learns of servers from its own attempts, and its share of
// the fleet's bounds.

#ifndef CICADADRUM_ROUTING_OBSERVATIONS_H_
#define CICADADRUM_ROUTING_OBSERVATIONS_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

constexpr double kMinWorkFactor = 0.2;  // Of work on a fast VM.

constexpr double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

constexpr Duration FromMs(double milliseconds) {
  return Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

// Returns the value, moved towards `neutral` by the time since its last sample.
double ValueAt(const DecayingValue& decaying, double neutral, TimePoint now);

// Mixes a sample in with the given weight.
void AddSample(DecayingValue& decaying,
               double neutral,
               double sample,
               double weight,
               TimePoint now);

// Notes that the server answered somebody at `at`, and uses it again if it
// rests.
void RecordResponse(Server& server, TimePoint at);

// Notes that the server could not be reached; it gets nothing for a while, the
// longer the more often that has happened in a row.
void RecordUnreachable(Server& server, TimePoint now);

// Takes a report of the server's load as it was at `at`.
void ApplyLoadReport(Server& server, const LoadReport& report, TimePoint at);

// Notes that the server has handled the object last.
void RecordHandledObject(Server& server, std::uint32_t object);

// Returns the weight of the server's last report, which it must have. It falls
// with the age of the report.
double ReportWeight(const Server& server, TimePoint now);

// Returns the factor by which the server's VM slows work down now.
double CurrentWorkFactor(const Server& server, TimePoint now);

// Whether this entry VM may send another request to the server now. Always true
// for a server that is not cold.
bool HasColdServerAllowance(const RoutingState& state,
                            Server& server,
                            TimePoint now);

// Counts a request that was sent, or a retry.
void CountAttempt(ServiceState& service,
                  const FleetBounds& bounds,
                  bool retry,
                  TimePoint now);

// Whether this entry VM's share of the retry budget allows another retry.
bool HasRetryAllowance(const RoutingState& state,
                       const std::string& service,
                       TimePoint now);

// Notes the number of members after a change.
void UpdateFleetSize(RoutingState& state, TimePoint now);

// Notes that an attempt was sent to the server.
void RecordAttemptStart(Server& server,
                        const RequestState& request,
                        TimePoint now);

// Notes how an attempt ended.
void RecordAttemptEnd(RoutingState& state,
                      Server& server,
                      const RequestState& request,
                      const AttemptEnded& end,
                      TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_OBSERVATIONS_H_
