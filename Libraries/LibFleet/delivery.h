// The fake network and store, which turn the actions of a node into deliveries.

#ifndef CICADADRUM_FLEET_DELIVERY_H_
#define CICADADRUM_FLEET_DELIVERY_H_

#include <cstddef>
#include <memory>

#include "cicadadrum/fleet/fleet.h"

namespace cicadadrum {

// Orders the heap Fleet::queue: the earliest delivery is first.
bool IsLater(const ScheduledDelivery& a, const ScheduledDelivery& b);

// Adds a delivery to the queue and sets its `order`.
void Schedule(Fleet& fleet, ScheduledDelivery delivery);

// Schedules a wake-up of the current run of the node.
void ScheduleWake(Fleet& fleet, std::size_t node, TimePoint at);

// Performs the actions of one step of a node.
void PerformActions(Fleet& fleet,
                    std::size_t node,
                    const MembershipActions& actions);

// Responds to a peer's call of fetchItem with the item in the node's state.
void RespondToFetch(Fleet& fleet, std::size_t node, const FetchRequest& fetch);

}  // namespace cicadadrum

#endif  // CICADADRUM_FLEET_DELIVERY_H_
