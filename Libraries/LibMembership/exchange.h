// Messages to peers, and the repair of differences by bucket digests.

#ifndef CICADADRUM_MEMBERSHIP_EXCHANGE_H_
#define CICADADRUM_MEMBERSHIP_EXCHANGE_H_

#include <cstddef>

#include "context.h"

namespace cicadadrum {

// A table that this many records of one page were missing from is repaired
// without waiting.
constexpr std::size_t kLargePageRecords = 8;

// Returns a message with this node's header, digest and up to `max_updates`
// pending updates; options.max_updates if 0.
ExchangeMessage MakeMessage(StepContext& context,
                            ExchangeKind kind,
                            std::size_t max_updates = 0);

// Sends to a member of the table.
void SendToMember(StepContext& context,
                  std::size_t index,
                  ExchangeMessage message);

// Sends a pull with what this node holds and its own record; returns the
// sequence that the answer repeats.
std::uint64_t SendPull(StepContext& context,
                       const EntryVm& to,
                       bool members,
                       bool items);

// Answers a pull with what the sender lacks or holds differently.
void RespondToPull(StepContext& context,
                   std::size_t sender,
                   const ExchangeMessage& pull);

// Continues after an answer to a pull whose records were merged; `changed` of
// them were new here.
void OnPullResponse(StepContext& context,
                    const ExchangeMessage& response,
                    std::size_t changed);

// Compares the digests of a peer with this node's and pulls what differs.
void CompareDigests(StepContext& context,
                    std::size_t sender,
                    const ExchangeMessage& message);

// Asks a seed or a member for the table until the table is whole.
void RunJoin(StepContext& context);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_EXCHANGE_H_
