// Adds, updates and removes servers, and applies evacuations.

#include "server_table.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "advice.h"
#include "cicadadrum/base/hash.h"
#include "observations.h"

namespace cicadadrum::routing {

namespace {

// Keeps the attempts that still count in the rate of a cold server, and forgets
// the others.
void KeepSends(RoutingState& state, Server& server, TimePoint now) {
  std::erase_if(state.unlisted_sends, [&](const auto& sends) {
    return sends.second.back() <= now - kColdRateWindow;
  });
  if (!server.recent_sends.empty())
    state.unlisted_sends[server.entry.id] = std::move(server.recent_sends);
}

void RestoreSends(RoutingState& state, Server& server) {
  const auto node = state.unlisted_sends.extract(server.entry.id);
  if (!node.empty())
    server.recent_sends = std::move(node.mapped());
}

std::uint32_t CountAttemptsAt(const RoutingState& state,
                              const ServerEntry& entry) {
  return static_cast<std::uint32_t>(std::count_if(
      state.requests.begin(), state.requests.end(), [&](const auto& element) {
        const RequestState& request = element.second;
        return request.attempt_in_progress &&
               request.server_started_unix_ms == entry.started_unix_ms &&
               request.server == entry.id;
      }));
}

void Remove(RoutingState& state, const std::string& id, TimePoint now) {
  const auto found = state.servers.find(id);
  if (found == state.servers.end())
    return;
  KeepAdvice(state, found->second, now);
  KeepSends(state, found->second, now);
  std::erase(state.services[found->second.entry.service].servers, id);
  state.server_id_by_tag.erase(ServerTag(id));
  state.servers.erase(found);
}

std::string RegionOf(const RoutingState& state, const std::string& domain) {
  const auto found = state.options.region_by_domain.find(domain);
  return found == state.options.region_by_domain.end() ? std::string()
                                                       : found->second;
}

// Whether both entries describe the same incarnation of a server. Observations
// of an earlier incarnation under the same id do not apply to a later one.
bool IsSameIncarnation(const ServerEntry& a, const ServerEntry& b) {
  return a.started_unix_ms == b.started_unix_ms && a.service == b.service &&
         a.address == b.address;
}

// Versions are ordered only within an era.
bool HasOlderRow(const ServerEntry& known, const ServerEntry& received) {
  return std::tie(received.row_era, received.row_version) <
         std::tie(known.row_era, known.row_version);
}

void AddOrUpdate(RoutingState& state, const ServerEntry& entry, TimePoint now) {
  const auto found = state.servers.find(entry.id);
  if (found != state.servers.end()) {
    const ServerEntry& known = found->second.entry;
    if (HasOlderRow(known, entry) || IsEarlierReport(known, entry))
      return;
    if (!IsSameIncarnation(found->second.entry, entry))
      Remove(state, entry.id, now);
  }
  Server& server = state.servers[entry.id];
  const bool is_new = server.entry.id.empty();
  server.entry = entry;
  server.entry_applied_at = now;
  if (is_new) {
    server.hash = HashBytes(entry.id);
    state.services[entry.service].servers.push_back(entry.id);
    state.server_id_by_tag[ServerTag(entry.id)] = entry.id;
    server.in_flight = CountAttemptsAt(state, entry);
    RestoreSends(state, server);
  }
  server.region = RegionOf(state, entry.failure_domain);
  RestoreAdvice(state, server);
  server.cold_until = std::max(server.cold_until, now + entry.cold_left);
}

}  // namespace

bool HasChanged(const ServerEntry& known, const ServerEntry& received) {
  ServerEntry comparable = received;
  comparable.row_era = known.row_era;
  comparable.row_version = known.row_version;
  comparable.sequence = known.sequence;
  // A cold time that has become shorter is no change: it only runs out.
  const bool is_colder = received.cold_left > known.cold_left ||
                         (received.cold_left > Duration::zero() &&
                          known.cold_left == Duration::zero());
  comparable.cold_left = known.cold_left;
  return is_colder || comparable != known;
}

bool IsEarlierReport(const ServerEntry& known, const ServerEntry& received) {
  return std::tie(received.started_unix_ms, received.sequence) <
         std::tie(known.started_unix_ms, known.sequence);
}

void UpdateServers(RoutingState& state,
                   const ServersChanged& event,
                   TimePoint now) {
  if (event.is_full_list) {
    std::set<std::string> received;
    for (const ServerEntry& entry : event.updated)
      received.insert(entry.id);
    std::vector<std::string> unlisted;
    for (const auto& [id, server] : state.servers) {
      if (!received.contains(id))
        unlisted.push_back(id);
    }
    for (const std::string& id : unlisted)
      Remove(state, id, now);
    state.servers_known = true;
  }
  for (const std::string& id : event.removed)
    Remove(state, id, now);
  for (const ServerEntry& entry : event.updated)
    AddOrUpdate(state, entry, now);
}

void UpdateRegions(RoutingState& state) {
  for (auto& [id, server] : state.servers)
    server.region = RegionOf(state, server.entry.failure_domain);
}

Server* FindServer(RoutingState& state, const ServerIncarnation& incarnation) {
  const auto found = state.servers.find(incarnation.id);
  if (found == state.servers.end() ||
      found->second.entry.started_unix_ms != incarnation.started_unix_ms)
    return nullptr;
  return &found->second;
}

void UpdateEvacuations(RoutingState& state,
                       const EvacuationsChanged& event,
                       TimePoint now) {
  std::set<std::string> evacuated(event.failure_domains.begin(),
                                  event.failure_domains.end());
  for (auto& [id, server] : state.servers) {
    const std::string& domain = server.entry.failure_domain;
    if (!state.evacuated_domains.contains(domain) || evacuated.contains(domain))
      continue;
    const ServiceRule* rule = FindService(state.table, server.entry.service);
    if (rule != nullptr)
      server.cold_until = std::max(server.cold_until, now + rule->cold_time);
  }
  state.evacuated_domains = std::move(evacuated);
}

}  // namespace cicadadrum::routing
