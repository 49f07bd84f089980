// State of the request core at an entry VM.

#ifndef CICADADRUM_STEERING_ENTRY_STATE_H_
#define CICADADRUM_STEERING_ENTRY_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/claim/claim.h"
#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/shift/split.h"
#include "cicadadrum/steering/events.h"
#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

enum class AttemptPhase : std::uint8_t { kRequestingSlot, kSent, kEnded };

template <>
struct EnumNames<AttemptPhase> {
  static constexpr auto kTable = std::to_array<EnumName<AttemptPhase>>({
      {AttemptPhase::kRequestingSlot, "asking"},
      {AttemptPhase::kSent, "sent"},
      {AttemptPhase::kEnded, "ended"},
  });
};

struct Attempt {
  std::uint32_t number = 0;  // From 1, unique within the request.
  AttemptPhase phase = AttemptPhase::kRequestingSlot;
  PoolKey pool;
  std::string
      owner;  // Entry VM that was asked for the slot; empty for a direct share.
  std::uint64_t lease = 0;  // Set once granted by an owner.
  std::string server;       // Set once sent.
  bool hedge = false;       // Started while an earlier one was under way.
  TimePoint sent_at;
};

enum class RequestPhase : std::uint8_t { kClaiming, kAttempting };

template <>
struct EnumNames<RequestPhase> {
  static constexpr auto kTable = std::to_array<EnumName<RequestPhase>>({
      {RequestPhase::kClaiming, "claiming"},
      {RequestPhase::kAttempting, "attempting"},
  });
};

struct Request {
  RequestArrived arrived;
  RequestPhase phase = RequestPhase::kAttempting;
  std::vector<Attempt> attempts;
  Verdict verdict = Verdict::kNotRun;  // Of the attempts that have ended.
  TimePoint arrived_at;
};

// Tokens for retries of idempotent requests: each request adds a fraction, each
// retry takes one. The fraction shrinks with the share of refusals.
struct RetryBudget {
  double tokens = 0;
  double refused_share = 0;  // Moving average, 0 to 1.
};

// When to hedge urgent requests of one pool, and how many.
struct HedgeState {
  double tokens = 0;  // Each urgent request adds a fraction.
  std::uint32_t sample_count =
      0;             // Latencies learned, up to the number needed.
  Duration delay{};  // Running 95th percentile of urgent attempts.
};

// The split of one service, with the load it is measured against.
struct ServiceTraffic {
  SplitState split;
  std::uint64_t arrivals = 0;  // Since the last step.
  std::uint64_t load = 0;      // Moving average.
};

struct EntryState {
  EntryVm self;
  Deployment deployment;
  Random random;
  Configuration configuration;  // Invariant: the version never decreases.
  std::uint64_t configuration_floor =
      0;                      // Highest version any caller or peer has named.
  std::vector<EntryVm> live;  // Live entry VMs, with this one.
  std::vector<BackendServer> servers;
  TimePoint marks_confirmed_at;  // Latest MarksConfirmed.
  bool servers_known = false;
  std::map<PoolKey, Pool> pools;  // Pools this entry VM owns or has owned.
  std::map<std::uint64_t, Request> requests;
  std::map<std::string, std::uint64_t>
      direct_requests;  // Request on the direct share of each server.
  RetryBudget retry_budget;
  bool hedging = true;  // Whether urgent requests are hedged.
  std::map<PoolKey, HedgeState> hedges;
  std::set<std::pair<TimePoint, std::uint64_t>>
      timers;  // Deadlines and hedge times of requests.
  std::map<std::uint64_t, BlockedItem> blocked;  // By fingerprint.
  std::map<std::string, ServiceTraffic> splits;  // By service.
  TimePoint next_split_at;
  ClaimState claims;
  bool stopping = false;
  // New requests are accepted until then, so that callers can move first.
  TimePoint admission_ends_at = kNever;
  bool stop_reported = false;
};

// Returns a state that knows no configuration and no servers.
EntryState MakeEntryState(const Deployment& deployment,
                          const EntryVm& self,
                          const Incarnation& incarnation,
                          std::uint64_t seed);

// Whether this entry VM can serve: it knows a configuration not older than any
// version it has heard of, and the servers.
bool IsReady(const EntryState& state);

// Returns the name of the owner of `pool` among the live entry VMs: one of its
// region, or of any region if it has none. Empty if no entry VM is live.
std::string PoolOwner(const EntryState& state, const PoolKey& pool);

// The items about blocked requests that this entry VM knows, for an exchange
// with others. Received ones come back as BlockedItemsReceived.
std::vector<BlockedItem> ExportBlockedItems(const EntryState& state);

// Applies one event at time `now` and appends the actions that follow. Every
// RequestArrived is answered by exactly one AnswerCaller.
void Step(EntryState& state,
          const Event& event,
          TimePoint now,
          Actions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ENTRY_STATE_H_
