// A request core whose servers respond when the test says so.

#ifndef CICADADRUM_TESTS_LIBROUTING_ROUTING_FIXTURE_H_
#define CICADADRUM_TESTS_LIBROUTING_ROUTING_FIXTURE_H_

#include <optional>
#include <string>
#include <vector>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

constexpr TimePoint kStart{Seconds(1000)};

inline Route MakeRoute(const std::string& name,
                       RouteKind kind,
                       const std::string& service) {
  return {.name = name,
          .host = "host",
          .prefix = "/" + name + "/",
          .kind = kind,
          .timeout = Seconds(2),
          .latency_objective = Milliseconds(300),
          .max_attempts = 2,
          .sticky = true,
          .shares = {{service, 1}}};
}

inline RoutingOptions MakeOptions() {
  return {
      .name = "entry-1",
      .region = "north",
      .failure_domain = "north-a",
      .region_by_domain = {{"north-a", "north"},
                           {"north-b", "north"},
                           {"south-a", "south"}},
      .bounds = {.retry_extra = 100, .cold_load_factor = 1.5, .cold_extra = 5}};
}

inline ServerEntry MakeServer(const std::string& id,
                              const std::string& domain = "north-a") {
  return {.id = id,
          .service = "desk",
          .address = "192.0.2.1:" + std::to_string(8000 + id.size()),
          .failure_domain = domain,
          .slots = 4,
          .row_version = 1};
}

// Returns the event for live members in the failure domain of the fixture.
inline MembersChanged Members(const std::vector<std::string>& names) {
  MembersChanged changed;
  for (const std::string& name : names)
    changed.entries.push_back({name, "north", "north-a"});
  return changed;
}

// Passes events to a request core and collects the resulting actions.
struct RoutingFixture {
  RoutingState state = MakeRoutingState(MakeOptions(), 7);
  TimePoint now = kStart;
  std::uint64_t next_request = 1;

  std::vector<SendAttempt> sent;
  std::vector<TransmitAttempt> transmitted;
  std::vector<CancelAttempt> cancelled;
  std::vector<DeliverResponse> delivered;
  std::vector<RefuseRequest> refused;
  std::vector<PublishSuspect> published;
  std::vector<ReportSuspicion> suspicions;
  std::vector<ShareObservations> shared;
  std::vector<ReportServerLeaving> reported_leaving;
  std::vector<ReportServerPause> reported_pauses;
  std::vector<ReportServerLimit> reported_limits;
  std::vector<SendQuotaMessage> quota_messages;
  bool drain_completed = false;
  TimePoint wake_at = kNever;

  explicit RoutingFixture(const std::vector<ServerEntry>& servers) {
    RoutingConfiguration configuration{
        .version = 1,
        .routes = {MakeRoute("read", RouteKind::kSafe, "desk"),
                   MakeRoute("write", RouteKind::kUnsafe, "desk")},
        .services = {{.name = "desk",
                      .health_path = "/health",
                      .cold_time = Seconds(3),
                      .cold_requests_per_second = 10}}};
    Step(ConfigurationAdopted{configuration});
    Step(ServersChanged{.updated = servers, .is_full_list = true});
    Step(ConfigurationConfirmed{});
    // An entry VM that started long ago has discovered the other members.
    state.started_at = kStart - Seconds(60);
  }

  void Step(const RoutingEvent& event) {
    RoutingActions actions;
    StepRouting(state, event, now, actions);
    for (const RoutingAction& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action))
        sent.push_back(*send);
      if (const auto* transmit = std::get_if<TransmitAttempt>(&action))
        transmitted.push_back(*transmit);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        cancelled.push_back(*cancel);
      if (const auto* deliver = std::get_if<DeliverResponse>(&action))
        delivered.push_back(*deliver);
      if (const auto* refuse = std::get_if<RefuseRequest>(&action))
        refused.push_back(*refuse);
      if (const auto* publish = std::get_if<PublishSuspect>(&action))
        published.push_back(*publish);
      if (const auto* suspicion = std::get_if<ReportSuspicion>(&action))
        suspicions.push_back(*suspicion);
      if (const auto* share = std::get_if<ShareObservations>(&action))
        shared.push_back(*share);
      if (const auto* leaving = std::get_if<ReportServerLeaving>(&action))
        reported_leaving.push_back(*leaving);
      if (const auto* pause = std::get_if<ReportServerPause>(&action))
        reported_pauses.push_back(*pause);
      if (const auto* limit = std::get_if<ReportServerLimit>(&action))
        reported_limits.push_back(*limit);
      if (const auto* message = std::get_if<SendQuotaMessage>(&action))
        quota_messages.push_back(*message);
      if (std::holds_alternative<DrainCompleted>(action))
        drain_completed = true;
      if (const auto* due = std::get_if<WakeAt>(&action))
        wake_at = due->at;
    }
  }

  // Lets a request for the object arrive and returns the id of the request.
  std::uint64_t Arrive(const std::string& route,
                       std::uint64_t object = 1,
                       Duration remaining = Seconds(3)) {
    const std::uint64_t id = next_request++;
    Step(RequestArrived{.request = id,
                        .host = "host:80",
                        .path = "/" + route + "/x",
                        .object = object,
                        .remaining = remaining,
                        .fingerprint = object});
    return id;
  }

  // Ends the attempt as `end` says. Its request and attempt are filled in.
  void EndAttempt(const SendAttempt& attempt, AttemptEnded end) {
    end.request = attempt.request;
    end.attempt = attempt.attempt;
    Step(end);
  }

  // Reports that the connection of the attempt is ready. Returns whether its
  // request may be sent.
  bool IsTransmitted(const SendAttempt& attempt) {
    const std::size_t before = transmitted.size();
    Step(ConnectionReady{attempt.request, attempt.attempt});
    return transmitted.size() > before;
  }

  // Ends the last attempt that was sent.
  void End(ServerOutcome outcome, std::optional<LoadReport> report = {}) {
    const SendAttempt attempt = sent.back();
    Step(AttemptEnded{.request = attempt.request,
                      .attempt = attempt.attempt,
                      .outcome = outcome,
                      .report = report});
  }

  // Sends a request to which the server responds after `duration`. Returns the
  // id of the server, or an empty string if the request was refused.
  std::string Serve(const std::string& route,
                    std::uint64_t object,
                    Duration duration) {
    const std::size_t before = sent.size();
    Arrive(route, object);
    if (sent.size() == before)
      return {};
    now += duration;
    End(ServerOutcome::kSucceeded);
    return sent.back().server;
  }
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_TESTS_LIBROUTING_ROUTING_FIXTURE_H_
