// Messages to peers, and the repair of differences by pulls.

#ifndef CICADADRUM_MEMBERSHIP_EXCHANGE_H_
#define CICADADRUM_MEMBERSHIP_EXCHANGE_H_

#include <cstddef>

#include "context.h"

namespace cicadadrum {

// If a page has at least this many records that were missing, the next pull
// follows without waiting for further differences.
constexpr std::size_t kLargePageRecords = 8;

// Returns a message with this node's header and digest and up to `max_updates`
// pending member updates, or up to options.max_updates if `max_updates` is 0.
ExchangeMessage MakeMessage(StepContext& context,
                            ExchangeKind kind,
                            std::size_t max_updates = 0);

// Sends `message` to the member with the index `index`.
void SendToMember(StepContext& context,
                  std::size_t index,
                  ExchangeMessage message);

// Sends a pull with this node's record and, as selected, the filter of its
// member records and the digests of its items; returns the sequence that the
// response repeats.
std::uint64_t SendPull(StepContext& context,
                       const EntryVm& to,
                       bool members,
                       bool items);

// Responds to a pull with the records and items that the sender lacks or has in
// another version.
void RespondToPull(StepContext& context,
                   std::size_t sender,
                   const ExchangeMessage& pull);

// Processes the end of a response to a pull whose records were merged already;
// `changed` is the number of records that were new here.
void OnPullResponse(StepContext& context,
                    const ExchangeMessage& response,
                    std::size_t changed);

// Compares a peer's digests with this node's and sends pulls if they differ.
void CompareDigests(StepContext& context,
                    std::size_t sender,
                    const ExchangeMessage& message);

// Sends pulls to a seed or a member until the table of members is complete.
void RunJoin(StepContext& context);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_EXCHANGE_H_
