// Choice of pools and of servers for direct requests.

#include "routing.h"

#include <algorithm>

#include "admission.h"
#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

// Age of the leaving marks up to which direct requests are allowed. A leaving
// backend server receives no new requests after this time.
constexpr Duration kLeavingBound = Seconds(5);

// Returns whether the pool of the region has refused the request. A failed
// attempt that was sent concerns only its server: a retry on another server of
// the same pool avoids the delay between regions, and the pool recognizes the
// request if it crashes servers.
bool WasRefusedIn(const Request& request, const std::string& region) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [&](const Attempt& attempt) {
                       return attempt.pool.region == region &&
                              attempt.server.empty();
                     });
}

// Returns the point of the request in the split. Retries and all parts of an
// upload have the same point, so that they stay in one region unless the split
// moves them.
std::uint64_t SplitPoint(const RequestArrived& arrived) {
  if (arrived.affinity != 0)
    return arrived.affinity;
  return HashBytes(std::to_string(arrived.request));
}

}  // namespace

bool HasUsableServer(const EntryState& state,
                     const std::string& region,
                     const std::string& service) {
  return std::any_of(state.servers.begin(), state.servers.end(),
                     [&](const BackendServer& server) {
                       return server.region == region &&
                              server.service == service && !server.leaving;
                     });
}

std::optional<PoolKey> ChoosePool(const EntryState& state,
                                  const Request& request) {
  const Plan* plan =
      FindPlan(state.configuration, request.arrived.client_account);
  if (plan == nullptr)
    return std::nullopt;
  const auto traffic = state.splits.find(request.arrived.service);
  if (traffic != state.splits.end()) {
    const auto region =
        PickRegion(traffic->second.split, request.arrived.service,
                   SplitPoint(request.arrived));
    if (!region)
      return std::nullopt;
    if (std::find(plan->regions.begin(), plan->regions.end(), *region) !=
        plan->regions.end())
      return PoolKey{*region, request.arrived.service};
  }
  // The plan excludes the region that the split chose, or the service has no
  // split.
  std::vector<std::string> usable;
  for (const std::string& region : plan->regions) {
    if (HasUsableServer(state, region, request.arrived.service))
      usable.push_back(region);
  }
  if (usable.empty())
    return std::nullopt;
  // Regions that have not refused the request rank first, then the region of
  // this entry VM, then a fixed order by client account.
  RankByRendezvous(request.arrived.client_account, usable);
  std::stable_sort(usable.begin(), usable.end(),
                   [&](const std::string& a, const std::string& b) {
                     const auto rank = [&](const std::string& region) {
                       return (WasRefusedIn(request, region) ? 2 : 0) +
                              (region == state.self.region ? 0 : 1);
                     };
                     return rank(a) < rank(b);
                   });
  return PoolKey{usable.front(), request.arrived.service};
}

const BackendServer* ChooseDirectServer(const EntryState& state,
                                        const PoolKey& pool,
                                        TimePoint now) {
  if (now - state.marks_confirmed_at > kLeavingBound)
    return nullptr;
  std::vector<std::string> names;
  for (const EntryVm& entry : state.live)
    names.push_back(entry.name);
  for (const BackendServer& server : state.servers) {
    if (server.region != pool.region || server.service != pool.service ||
        server.leaving)
      continue;
    if (RendezvousWinner(server.name, names) == state.self.name &&
        !state.direct_requests.contains(server.name))
      return &server;
  }
  return nullptr;
}

}  // namespace cicadadrum
