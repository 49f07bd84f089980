// Shares the stated rates of servers among the entry VMs.

#include "server_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "fleet_shares.h"

namespace cicadadrum::routing {

namespace {

// Share of a limit that the entry VMs in the server's region use together, if
// there are entry VMs in other regions. Those use the rest.
constexpr double kOwnRegionShare = 0.95;

// While this entry VM does not know the other members yet, it assumes to be one
// of this number.
constexpr double kAssumedMembers = 10;

// After a time without requests, an entry VM may send at once what its share
// allows in this time, and at least one request.
constexpr double kBurstSeconds = 1;

// An entry VM that has heard nothing of a limit for kMinRecheckTime sends a
// request beyond its share, because the limit may have ended. It does so only
// at the begin of a period, which is at another time for each entry VM.
// Together they send so many of these requests a second: this number, and a
// share of the limit.
constexpr double kRechecksPerSecond = 0.75;
constexpr double kRecheckShare = 0.1;
constexpr Duration kMinRecheckTime = Seconds(5);
constexpr Duration kRecheckWindow = Seconds(1);

// The first request after such a time comes on top of the rate, so the number
// of entry VMs that use a limited server is bounded: by this number, and
// kUsersPerRequest more for each request a second.
constexpr double kMinUsers = 4;
constexpr double kUsersPerRequest = 2;

// Longest time until a request that is computed. It keeps times representable.
constexpr double kMaxWaitSeconds = 3600;

// The entry VMs that share a part of a limit.
struct Sharers {
  double count = 0;
  double rank = 0;  // Of this entry VM, in the server's rendezvous order.
};

// Returns the members in the server's region, or those outside of it.
Sharers FindSharers(const RoutingState& state,
                    const Server& server,
                    bool in_region) {
  Sharers sharers;
  const std::uint64_t own_score = MemberScore(server, state.options.name);
  for (const FleetMember& member : state.members) {
    if ((member.region == server.region) != in_region)
      continue;
    ++sharers.count;
    if (MemberScore(server, member.name) > own_score)
      ++sharers.rank;
  }
  return sharers;
}

// Returns the part of the server's limit that belongs to this entry VM.
double ComputeShare(const RoutingState& state, const Server& server) {
  const bool in_region = state.options.region == server.region;
  const Sharers sharers = FindSharers(state, server, in_region);
  double part = server.limit->requests_per_second;
  if (sharers.count < static_cast<double>(state.members.size()))
    part *= in_region ? kOwnRegionShare : 1 - kOwnRegionShare;
  const double users =
      std::min(sharers.count, std::floor(kMinUsers + kUsersPerRequest * part));
  return sharers.rank < users ? part / users : 0;
}

// Returns the requests a second that this entry VM may send to the server.
double ShareAt(const RoutingState& state,
               const RequestLimit& limit,
               TimePoint now) {
  if (IsFleetSizeUnverified(state, now))
    return limit.requests_per_second / kAssumedMembers;
  // Members that are no longer live may still send requests.
  return limit.share_per_second * static_cast<double>(state.members.size()) /
         EffectiveFleetSize(state, now);
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
}

// Returns the time at which this entry VM may check whether the limit still
// holds, `now` or later.
TimePoint RecheckAt(const RoutingState& state,
                    const Server& server,
                    TimePoint now) {
  const double rate =
      kRechecksPerSecond + kRecheckShare * server.limit->requests_per_second;
  const Duration period = std::max(
      kMinRecheckTime, FromSeconds(EffectiveFleetSize(state, now) / rate));
  const Duration phase(
      static_cast<std::int64_t>(MemberScore(server, state.options.name) %
                                static_cast<std::uint64_t>(period.count())));
  const TimePoint earliest =
      std::max(now, server.limit->checked_at + kMinRecheckTime);
  const Duration in_period = (earliest.time_since_epoch() + phase) % period;
  return in_period < kRecheckWindow ? earliest : earliest + period - in_period;
}

// Adds what the share has allowed since the last update. The server must be
// limited.
void UpdateAllowance(const RoutingState& state, Server& server, TimePoint now) {
  RequestLimit& limit = *server.limit;
  if (limit.members_version != state.members_version) {
    limit.members_version = state.members_version;
    limit.share_per_second = ComputeShare(state, server);
  }
  const double share = ShareAt(state, limit, now);
  const double seconds =
      std::chrono::duration<double>(now - limit.updated_at).count();
  limit.allowance = std::min(std::max(1.0, share * kBurstSeconds),
                             limit.allowance + share * seconds);
  limit.updated_at = now;
}

}  // namespace

void ApplyLimit(const RoutingState& state,
                Server& server,
                double requests_per_second,
                TimePoint at,
                TimePoint now) {
  if (at < server.limit_stated_at)
    return;
  server.limit_stated_at = at;
  if (requests_per_second == kUnlimited)
    return server.limit.reset();
  // Without an allowance for the time before, the requests of all entry VMs
  // together begin at the stated rate.
  if (!server.limit)
    server.limit = RequestLimit{.updated_at = now};
  server.limit->checked_at = std::max(server.limit->checked_at, at);
  if (server.limit->requests_per_second == requests_per_second)
    return;
  UpdateAllowance(state, server, now);
  server.limit->requests_per_second = requests_per_second;
  server.limit->members_version = state.members_version;
  server.limit->share_per_second = ComputeShare(state, server);
}

bool RecordLimit(const RoutingState& state,
                 Server& server,
                 const AttemptEnded& end,
                 TimePoint now,
                 RoutingActions& actions) {
  if (!end.limit)
    return false;
  const bool was_limited = server.limit.has_value();
  ApplyLimit(state, server, *end.limit, now, now);
  const bool is_limited = server.limit.has_value();
  if (is_limited != was_limited)
    actions.emplace_back(ReportServerLimit{
        .request = end.request,
        .server = server.entry.id,
        .limit = *end.limit,
        .share = is_limited ? ShareAt(state, *server.limit, now) : kUnlimited});
  return is_limited || was_limited;
}

TimePoint LimitAllowsAt(const RoutingState& state,
                        Server& server,
                        TimePoint now) {
  if (!server.limit)
    return now;
  UpdateAllowance(state, server, now);
  const double missing = 1 - server.limit->allowance;
  if (missing <= 0)
    return now;
  const double share = ShareAt(state, *server.limit, now);
  const double wait =
      share > missing / kMaxWaitSeconds ? missing / share : kMaxWaitSeconds;
  return std::min(now + FromSeconds(wait), RecheckAt(state, server, now));
}

void CountLimitedRequest(const RoutingState& state,
                         Server& server,
                         TimePoint now) {
  if (!server.limit)
    return;
  UpdateAllowance(state, server, now);
  server.limit->allowance = std::max(server.limit->allowance - 1, 0.0);
  server.limit->checked_at = now;
}

}  // namespace cicadadrum::routing
