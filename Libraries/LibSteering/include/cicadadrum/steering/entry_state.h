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

// Progress of one attempt: its slot request is unanswered, it was sent to a
// server, or it has ended.
enum class AttemptPhase : std::uint8_t { kRequestingSlot, kSent, kEnded };

template <>
struct EnumNames<AttemptPhase> {
  static constexpr auto kTable = std::to_array<EnumName<AttemptPhase>>({
      {AttemptPhase::kRequestingSlot, "asking"},
      {AttemptPhase::kSent, "sent"},
      {AttemptPhase::kEnded, "ended"},
  });
};

// One attempt to run a request on a backend server.
struct Attempt {
  // Unique within the request, starting at 1.
  std::uint32_t number = 0;
  AttemptPhase phase = AttemptPhase::kRequestingSlot;
  PoolKey pool;
  // Name of the entry VM that received the slot request; empty for a direct
  // request without an owner.
  std::string owner;
  // Lease number; set when the owner grants a slot.
  std::uint64_t lease = 0;
  // Name of the server; set when the request is sent.
  std::string server;
  // Whether the attempt was started while an earlier one was in progress.
  bool hedge = false;
  TimePoint sent_at;
};

// Progress of a request: it waits for its claim, or for a slot or response.
enum class RequestPhase : std::uint8_t { kClaiming, kAttempting };

template <>
struct EnumNames<RequestPhase> {
  static constexpr auto kTable = std::to_array<EnumName<RequestPhase>>({
      {RequestPhase::kClaiming, "claiming"},
      {RequestPhase::kAttempting, "attempting"},
  });
};

// A request that this entry VM has admitted and not yet answered.
struct Request {
  RequestArrived arrived;
  RequestPhase phase = RequestPhase::kAttempting;
  std::vector<Attempt> attempts;
  // Combined verdict of the attempts that have ended.
  Verdict verdict = Verdict::kNotRun;
  TimePoint arrived_at;
};

// Tokens for retries of requests: each request adds a fraction of a token, and
// each retry consumes one. The fraction shrinks as the share of refusals grows.
struct RetryBudget {
  double tokens = 0;
  // Moving average of the share of requests refused for lack of capacity, 0 to
  // 1.
  double refused_share = 0;
};

// Delay and token budget of hedges for urgent requests in one pool.
struct HedgeState {
  // Each urgent request adds a fraction of a token, and each hedge consumes
  // one.
  double tokens = 0;
  // Number of latency samples, counted up to the required number.
  std::uint32_t sample_count = 0;
  // Running estimate of the 95th percentile of the latency of urgent attempts.
  Duration delay{};
};

// The split of one service between regions, and the load that the shift cap
// refers to.
struct ServiceTraffic {
  SplitState split;
  // Number of requests since the last step of the split.
  std::uint64_t arrivals = 0;
  // Moving average of the arrivals per step, in thousandths.
  std::uint64_t load = 0;
};

// State of the request core at one entry VM.
struct EntryState {
  EntryVm self;
  Deployment deployment;
  Random random;
  Configuration configuration;  // Invariant: the version never decreases.
  // Highest configuration version that any caller or peer has named.
  std::uint64_t configuration_floor = 0;
  // Live entry VMs, including this one.
  std::vector<EntryVm> live;
  std::vector<BackendServer> servers;
  // Time at which each server was listed that the previous list did not have,
  // or had at another address. A new owner of its pool lets it warm up. Servers
  // of the first list, and those listed long ago, are not included.
  std::map<std::string, TimePoint> listed_at;
  // Time of the latest MarksConfirmed.
  TimePoint marks_confirmed_at;
  bool servers_known = false;
  // Pools that this entry VM owns or has owned.
  std::map<PoolKey, Pool> pools;
  std::map<std::uint64_t, Request> requests;
  // Id of the direct request that runs on each server without a grant of the
  // owner, by server name.
  std::map<std::string, std::uint64_t> direct_requests;
  RetryBudget retry_budget;
  // Whether urgent requests are hedged.
  bool hedging = true;
  std::map<PoolKey, HedgeState> hedges;
  // Deadlines and hedge times of requests, with the request id.
  std::set<std::pair<TimePoint, std::uint64_t>> timers;
  // Blocked items by fingerprint.
  std::map<std::uint64_t, BlockedItem> blocked;
  // Splits by service.
  std::map<std::string, ServiceTraffic> splits;
  TimePoint next_split_at;
  ClaimState claims;
  bool stopping = false;
  // While stopping, new requests are admitted until this time, so that callers
  // can switch to another entry VM first.
  TimePoint admission_ends_at = kNever;
  bool stop_reported = false;
};

// Returns a state without configuration and servers. `incarnation` identifies
// this process in claims; `seed` starts the random numbers.
EntryState MakeEntryState(const Deployment& deployment,
                          const EntryVm& self,
                          const Incarnation& incarnation,
                          std::uint64_t seed);

// Returns whether this entry VM can serve requests: it knows the servers, and
// its configuration is not older than any version that a caller or peer has
// named.
bool IsReady(const EntryState& state);

// Returns the name of the entry VM that owns `pool`: a live one in the region
// of the pool, or one of any region if that region has none. Empty if no entry
// VM is live.
std::string PoolOwner(const EntryState& state, const PoolKey& pool);

// Returns the items about blocked fingerprints that this entry VM knows, for
// the exchange with other entry VMs. Items received there are passed to Step as
// BlockedItemsReceived.
std::vector<BlockedItem> ExportBlockedItems(const EntryState& state);

// Applies one event at time `now` and appends the resulting actions to
// `actions`. Each RequestArrived leads to exactly one AnswerCaller. `now` must
// not decrease between calls.
void Step(EntryState& state,
          const Event& event,
          TimePoint now,
          Actions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ENTRY_STATE_H_
