// Bookkeeping of claim records: waiting requests, timers, and what is forgotten
// and when.

#ifndef CICADADRUM_CLAIM_CLAIM_RECORDS_H_
#define CICADADRUM_CLAIM_CLAIM_RECORDS_H_

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

// Returns the record of `key`, or nullptr.
ClaimRecord* FindRecord(ClaimState& state, const std::string& key);

// Adds a record for the key of `asked` with this request waiting.
ClaimRecord& CreateRecord(ClaimState& state, const ClaimRequested& asked);

// Lets a request wait for the decision on the record.
void AddAsked(ClaimState& state,
              ClaimRecord& record,
              const ClaimRequested& asked);

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
void RefuseSome(ClaimState& state,
                ClaimRecord& record,
                Predicate leaves,
                RefusalReason reason,
                ClaimActions& actions);

// Lets the oldest waiting request be sent, or keeps the claim for a repeat.
void SendOrHold(ClaimState& state,
                ClaimRecord& record,
                TimePoint now,
                ClaimActions& actions);

// Puts the record, which no request waits for, into an ended phase.
void EndRecord(ClaimState& state,
               ClaimRecord& record,
               ClaimPhase phase,
               TimePoint now);

// Takes an ended record back into use.
void ReviveRecord(ClaimState& state, ClaimRecord& record);

void EraseRecord(ClaimState& state, const std::string& key);

// Forgets ended records beyond the retention time or the bounds.
void ForgetOldRecords(ClaimState& state, TimePoint now);

// Keys whose request ran or may have run here.
bool IsUsed(const ClaimState& state, const RequestKey& key);
void MarkUsed(ClaimState& state, const RequestKey& key);

// Adds a hash and returns whether it was new.
bool AddHash(HashHistory& history, std::uint64_t hash, std::size_t bound);

// Whether this incarnation issued the key.
bool IsOwnKey(const ClaimState& state, const RequestKey& key);

// --- Implementation ---

void RefuseLeaving(ClaimState& state,
                   const ClaimRecord& record,
                   const std::vector<ClaimRequested>& leaving,
                   RefusalReason reason,
                   ClaimActions& actions);

template <typename Predicate>
void RefuseSome(ClaimState& state,
                ClaimRecord& record,
                Predicate leaves,
                RefusalReason reason,
                ClaimActions& actions) {
  std::vector<ClaimRequested> leaving;
  std::vector<ClaimRequested> staying;
  for (const ClaimRequested& asked : record.asked)
    (leaves(asked) ? leaving : staying).push_back(asked);
  record.asked = std::move(staying);
  RefuseLeaving(state, record, leaving, reason, actions);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_CLAIM_RECORDS_H_
