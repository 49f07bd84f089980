// Failure detection: probes, suspicions, reconnection, isolation.

#ifndef CICADADRUM_MEMBERSHIP_PROBING_H_
#define CICADADRUM_MEMBERSHIP_PROBING_H_

#include <cstddef>

#include "context.h"

namespace cicadadrum {

void OnPing(StepContext& context,
            std::size_t sender,
            const ExchangeMessage& message);
void OnAck(StepContext& context, const ExchangeMessage& message);
void OnPingRequest(StepContext& context,
                   std::size_t sender,
                   const ExchangeMessage& message);

// Sends a ping that carries this node's record of the member, so that a member
// held for suspect or dead can refute it.
void PingWithRecord(StepContext& context, std::size_t index);

// Tells a member that is held for dead and sent a message, at a bounded rate.
void NotifyDeadSender(StepContext& context, std::size_t index);

void RunProbing(StepContext& context);

// Returns when RunProbing has something to do.
TimePoint NextProbingTime(const MembershipState& state);

// Drops open probes and extends suspicions after this process was paused for
// `lag`: the missing answers are its own fault.
void CompensateForPause(StepContext& context, Duration lag);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_PROBING_H_
