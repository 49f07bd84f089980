// The fake network and store: how the actions of a node become deliveries.

#ifndef CICADADRUM_FLEET_DELIVERY_H_
#define CICADADRUM_FLEET_DELIVERY_H_

#include <cstddef>
#include <memory>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

// Order of the heap in Fleet::queue.
bool IsLater(const ScheduledDelivery& a, const ScheduledDelivery& b);

void Schedule(Fleet& fleet, ScheduledDelivery delivery);

// Schedules a wake-up of the node's present run.
void ScheduleWake(Fleet& fleet, std::size_t node, TimePoint at);

// Carries out the actions of one step of a node.
void PerformActions(Fleet& fleet,
                    std::size_t node,
                    const MembershipActions& actions);

// Answers a peer's fetchItem from the node's state.
void RespondToFetch(Fleet& fleet, std::size_t node, const FetchRequest& fetch);

}  // namespace cicadadrum

#endif  // CICADADRUM_FLEET_DELIVERY_H_
