// Sizes of requests and responses, and what they take of the links and of this
// entry VM's memory.

#ifndef CICADADRUM_ROUTING_TRANSFERS_H_
#define CICADADRUM_ROUTING_TRANSFERS_H_

#include <cstdint>
#include <optional>

#include "cicadadrum/routing/routing.h"

namespace cicadadrum::routing {

// Requests with a larger body, and requests whose responses have one, use the
// links between regions last.
constexpr std::uint64_t kLargeTransferBytes = 16384;

// Returns the estimated size of the body of the request's response.
std::uint64_t ExpectedResponseBytes(const RoutingState& state,
                                    const RequestState& request);

// Whether the request or its response has a large body.
bool IsLargeTransfer(const RoutingState& state, const RequestState& request);

// Records the size of a response of a server to the request.
void RecordResponseSize(RoutingState& state,
                        const RequestState& request,
                        const AttemptEnded& end);

// Why this entry VM itself can't pass on the response to a request.
struct TransferLimit {
  RefusalReason reason = RefusalReason::kLinkFull;
  Duration retry_after{};  // Estimated time until there is room.
};

// Returns the limit that a large response to the request would exceed, if any:
// the response could not be sent to the caller in good time over the link of
// this entry VM, or would not fit into its memory. `unsent_bytes` is the size
// of responses that wait to be sent to callers. A request whose response would
// be the only one is never limited.
std::optional<TransferLimit> FindTransferLimit(const RoutingState& state,
                                               const RequestState& request,
                                               std::uint64_t unsent_bytes,
                                               TimePoint now);

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_TRANSFERS_H_
