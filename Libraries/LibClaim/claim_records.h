// Maintains claim records: waiting requests, timers and the removal of ended
// records.

#ifndef CICADADRUM_CLAIM_CLAIM_RECORDS_H_
#define CICADADRUM_CLAIM_CLAIM_RECORDS_H_

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

// Returns the record of `key`, or nullptr if there is none.
ClaimRecord* FindRecord(ClaimState& state, const std::string& key);

// Adds a record for the key of `requested`, with the request waiting.
ClaimRecord& CreateRecord(ClaimState& state, const ClaimRequested& requested);

// Adds a request that waits for the decision on the record.
void AddWaitingRequest(ClaimState& state,
                       ClaimRecord& record,
                       const ClaimRequested& requested);

// Sets the record's timer to the first deadline of its waiting requests or to
// its `retry_at`, if that is earlier.
void Reschedule(ClaimState& state, ClaimRecord& record);

// Resolves every waiting request of the record with this decision.
void ResolveAll(ClaimState& state,
                ClaimRecord& record,
                const Resolve& resolve,
                ClaimActions& actions);

// Removes and refuses the waiting requests for which `matches` returns true.
// The verdict is kMayHaveRun while a request with the same key is being sent,
// is forwarded or still waits, because that request may run. Otherwise the
// verdict is the record's `unsent_verdict`.
template <typename Predicate>
void RefuseMatching(ClaimState& state,
                    ClaimRecord& record,
                    Predicate matches,
                    RefusalReason reason,
                    ClaimActions& actions);

// Lets the oldest waiting request be sent. If no request waits, the record ends
// and keeps the claim for a repeat.
void SendOldestOrKeepClaim(ClaimState& state,
                           ClaimRecord& record,
                           TimePoint now,
                           ClaimActions& actions);

// Ends a record without waiting requests in the given phase.
void EndRecord(ClaimState& state,
               ClaimRecord& record,
               ClaimPhase phase,
               TimePoint now);

// Returns an ended record to phase kWaiting.
void ReopenRecord(ClaimState& state, ClaimRecord& record);

void EraseRecord(ClaimState& state, const std::string& key);

// Removes the oldest ended records while one exceeds the retention time or
// their number or size exceeds its bound.
void RemoveOldRecords(ClaimState& state, TimePoint now);

// Query and extend the set of keys whose request ran or may have run here.
bool IsUsed(const ClaimState& state, const RequestKey& key);
void MarkUsed(ClaimState& state, const RequestKey& key);

// Adds a hash, removes the oldest one beyond `bound`, and returns whether the
// added hash was new.
bool AddHash(HashHistory& history, std::uint64_t hash, std::size_t bound);

// Returns whether this incarnation issued the key.
bool IsIssuedByThisIncarnation(const ClaimState& state, const RequestKey& key);

// --- Implementation ---

void RefuseRequests(ClaimState& state,
                    const ClaimRecord& record,
                    const std::vector<ClaimRequested>& refused,
                    RefusalReason reason,
                    ClaimActions& actions);

template <typename Predicate>
void RefuseMatching(ClaimState& state,
                    ClaimRecord& record,
                    Predicate matches,
                    RefusalReason reason,
                    ClaimActions& actions) {
  std::vector<ClaimRequested> refused;
  std::vector<ClaimRequested> remaining;
  for (const ClaimRequested& requested : record.waiting)
    (matches(requested) ? refused : remaining).push_back(requested);
  record.waiting = std::move(remaining);
  RefuseRequests(state, record, refused, reason, actions);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_CLAIM_RECORDS_H_
