// Bookkeeping of claim records: waiting requests, timers, and what is forgotten
// and when.

#ifndef CICADADRUM_CLAIM_CLAIM_RECORDS_H_
#define CICADADRUM_CLAIM_CLAIM_RECORDS_H_

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

// Returns the record of `key`, or nullptr.
ClaimRecord* FindRecord(ClaimState& state, const std::string& key);

// Adds a record for the key of `asked` with this request waiting.
ClaimRecord& CreateRecord(ClaimState& state, const ClaimRequested& requested);

// Lets a request wait for the decision on the record.
void AddWaitingRequest(ClaimState& state,
                       ClaimRecord& record,
                       const ClaimRequested& requested);

// Sets the record's timer from its deadlines and its delay.
void Reschedule(ClaimState& state, ClaimRecord& record);

// Gives every waiting request of the record this decision.
void ResolveAll(ClaimState& state,
                ClaimRecord& record,
                const Resolve& resolve,
                ClaimActions& actions);

// Removes the waiting requests that `leaves` selects and refuses them. While
// others wait for the same key the verdict is kMayHaveRun, because one of them
// may still be sent.
template <typename Predicate>
void RefuseMatching(ClaimState& state,
                    ClaimRecord& record,
                    Predicate matches,
                    RefusalReason reason,
                    ClaimActions& actions);

// Lets the oldest waiting request be sent, or keeps the claim for a repeat.
void SendOldestOrKeepClaim(ClaimState& state,
                           ClaimRecord& record,
                           TimePoint now,
                           ClaimActions& actions);

// Puts the record, which no request waits for, into an ended phase.
void EndRecord(ClaimState& state,
               ClaimRecord& record,
               ClaimPhase phase,
               TimePoint now);

// Takes an ended record back into use.
void ReopenRecord(ClaimState& state, ClaimRecord& record);

void EraseRecord(ClaimState& state, const std::string& key);

// Forgets ended records beyond the retention time or the bounds.
void ForgetOldRecords(ClaimState& state, TimePoint now);

// Keys whose request ran or may have run here.
bool IsUsed(const ClaimState& state, const RequestKey& key);
void MarkUsed(ClaimState& state, const RequestKey& key);

// Adds a hash and returns whether it was new.
bool AddHash(HashHistory& history, std::uint64_t hash, std::size_t bound);

// Whether this incarnation issued the key.
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
