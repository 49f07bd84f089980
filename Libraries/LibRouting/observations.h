// Records observations of servers, and keeps this entry VM within its share of
// the fleet bounds.

#ifndef CICADADRUM_ROUTING_OBSERVATIONS_H_
#define CICADADRUM_ROUTING_OBSERVATIONS_H_

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Lower bound of the factor by which a fast VM shortens work.
constexpr double kMinWorkFactor = 0.2;

// Longest time from an attempt at a cold server to its request being sent.
// Round trips between regions are shorter.
constexpr Duration kMaxColdSendDelay = Milliseconds(250);

// Window over which attempts at a cold server are counted; a little longer than
// the second that the rate refers to, and than the time until they are sent.
constexpr Duration kColdRateWindow = Milliseconds(1050) + kMaxColdSendDelay;

constexpr double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

constexpr std::int64_t ToWholeMs(Duration duration) {
  return duration.count() / 1000;
}

constexpr Duration FromMs(double milliseconds) {
  return Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

// Returns the value after its decay towards `neutral` since the last sample.
double ValueAt(const DecayingValue& decaying, double neutral, TimePoint now);

// Adds a sample to the moving average with the given weight, from 0 to 1.
void AddSample(DecayingValue& decaying,
               double neutral,
               double sample,
               double weight,
               TimePoint now);

// Records a response of the server to any entry VM at time `at`, which ends the
// server's back-off. A response older than the last recorded one is ignored.
void RecordResponse(Server& server, TimePoint at);

// Records that the server could not be reached, and starts a back-off whose
// length grows with the number of consecutive failures.
void RecordUnreachable(Server& server, TimePoint now);

// Applies a report of the server's load at time `at`.
void ApplyLoadReport(Server& server, const LoadReport& report, TimePoint at);

// Records the tag of the object that the server has handled last.
void RecordHandledObject(Server& server, std::uint32_t object);

// Returns the weight of the server's last report, which falls with the report's
// age. The server must have a report.
double ReportWeight(const Server& server, TimePoint now);

// Returns the factor by which work takes longer on the server's VM at present,
// or 1 without a report.
double CurrentWorkFactor(const Server& server, TimePoint now);

// Whether the rate limit of a cold server allows this entry VM another request
// to the server now. Always true for a server that is not cold. Forgets
// attempts that no longer count.
bool HasColdServerAllowance(const RoutingState& state,
                            Server& server,
                            TimePoint now);

// Returns the number of attempts of this entry VM that count towards the rate
// limit of the server while it is cold.
std::uint32_t CountRecentSends(const Server& server, TimePoint now);

// Records that the server is cold for `cold_left` from now on. What is known of
// its load and its cache concerns the time before, and is discarded.
void RecordCold(Server& server, Duration cold_left, TimePoint now);

// Records that an attempt was sent to the server.
void RecordAttemptStart(Server& server,
                        const RequestState& request,
                        TimePoint now);

// Moves the current attempt of the request to `now` in the window of the
// server. Returns whether the rate limit of a cold server allows that.
bool RecountSend(const RoutingState& state,
                 Server& server,
                 const RequestState& request,
                 TimePoint now);

// Records the outcome of an attempt and the load report of its response.
void RecordAttemptEnd(RoutingState& state,
                      Server& server,
                      const RequestState& request,
                      const AttemptEnded& end,
                      TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_OBSERVATIONS_H_
