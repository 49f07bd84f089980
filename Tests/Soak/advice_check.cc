// Compares the requests that a server received with its announcements. The
// caller of a request knows the entry VM that handled it.

#include "advice_check.h"

#include <algorithm>

namespace cicadadrum::platform {

namespace {

// Requests may be on their way for this long when a pause begins.
constexpr Duration kPauseGrace = Milliseconds(500);
// Maximum number of requests in the rest of a pause.
constexpr std::size_t kMaxRequestsInPause = 2;

// A request that the server received from one entry VM.
struct Arrival {
  const HandledRequest& handled;
  const SentRequest& sent;
};

std::vector<Arrival> ArrivalsFrom(const ServerStandIn& server,
                                  const EntryProcess& entry,
                                  const CallerRecord& callers) {
  std::vector<Arrival> arrivals;
  for (const HandledRequest& handled : server.handled_requests()) {
    const auto sent = callers.requests.find(handled.id);
    if (sent != callers.requests.end() &&
        sent->second.entry_address == entry.caller_address)
      arrivals.push_back({handled, sent->second});
  }
  return arrivals;
}

bool IsDisturbed(const EntryProcess& entry, TimePoint begin, TimePoint end) {
  return std::any_of(entry.disturbances.begin(), entry.disturbances.end(),
                     [&](TimePoint at) { return begin <= at && at <= end; });
}

bool IsLinkImpaired(const std::vector<LinkChange>& changes,
                    TimePoint begin,
                    TimePoint end) {
  ProxyMode mode = ProxyMode::kPass;
  for (const LinkChange& change : changes) {
    if (change.at >= begin && change.at <= end)
      return true;
    if (change.at < begin)
      mode = change.mode;
  }
  return mode != ProxyMode::kPass;
}

// An entry VM marks the server before it passes the response on, so no request
// that a caller sends after the response may reach the server.
void AppendLeavingProblems(const ServerStandIn& server,
                           const EntryProcess& entry,
                           const std::vector<Arrival>& arrivals,
                           std::vector<std::string>& problems) {
  TimePoint announced_at = kNever;
  for (const Arrival& arrival : arrivals) {
    if (arrival.sent.sent_at > announced_at &&
        !IsDisturbed(entry, announced_at, arrival.handled.at))
      problems.push_back("request " + arrival.handled.id + " reached " +
                         server.id() + " from " + entry.name +
                         " after the server had announced its leaving");
    const bool is_forgotten =
        announced_at == kNever ||
        IsDisturbed(entry, announced_at, arrival.handled.at);
    if (arrival.handled.said_leaving && is_forgotten)
      announced_at = arrival.sent.leaving_received_at;
  }
}

void AppendPauseProblems(const ObservedServer& observed,
                         const EntryProcess& entry,
                         const std::vector<Arrival>& arrivals,
                         std::vector<std::string>& problems) {
  for (const Arrival& asking : arrivals) {
    const TimePoint begin = asking.handled.at;
    const TimePoint end = begin + kServerPause;
    if (!asking.handled.asked_for_pause || IsDisturbed(entry, begin, end) ||
        IsLinkImpaired(observed.link_changes, begin, end))
      continue;
    const auto count = static_cast<std::size_t>(std::count_if(
        arrivals.begin(), arrivals.end(), [&](const Arrival& arrival) {
          return arrival.handled.at > begin + kPauseGrace &&
                 arrival.handled.at < end;
        }));
    if (count > kMaxRequestsInPause)
      problems.push_back(std::to_string(count) + " requests reached " +
                         observed.server.id() + " from " + entry.name +
                         " in the pause that the response to request " +
                         asking.handled.id + " had asked for");
  }
}

}  // namespace

void AppendAdviceProblems(const ObservedServer& observed,
                          const std::vector<EntryProcess>& entries,
                          const CallerRecord& callers,
                          std::vector<std::string>& problems) {
  for (const EntryProcess& entry : entries) {
    const std::vector<Arrival> arrivals =
        ArrivalsFrom(observed.server, entry, callers);
    AppendLeavingProblems(observed.server, entry, arrivals, problems);
    AppendPauseProblems(observed, entry, arrivals, problems);
  }
}

}  // namespace cicadadrum::platform
