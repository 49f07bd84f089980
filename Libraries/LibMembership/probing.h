// Failure detection: probes, suspicions, reconnection and isolation.

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

// Sends a ping that includes this node's record of the member, so that a member
// listed as suspect or dead can refute the record.
void PingWithRecord(StepContext& context, std::size_t index);

// Sends a ping with its record to a member that is listed as dead and sent a
// message, at a bounded rate.
void NotifyDeadSender(StepContext& context, std::size_t index);

// Runs everything that is due: probes, suspicions, pushes and reconnection.
void RunProbing(StepContext& context);

// Returns the time at which RunProbing next has to run.
TimePoint NextProbingTime(const MembershipState& state);

// Drops probes in progress and extends suspicions by `lag` after this process
// was paused for `lag`: the acks are missing because of the pause.
void CompensateForPause(StepContext& context, Duration lag);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_PROBING_H_
