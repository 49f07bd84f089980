// Bounds that the users of the system set for the whole fleet of entry VMs.

#ifndef CICADADRUM_ROUTING_FLEET_BOUNDS_H_
#define CICADADRUM_ROUTING_FLEET_BOUNDS_H_

#include "cicadadrum/base/time.h"
#include "cicadadrum/quota/messages.h"

namespace cicadadrum::routing {

// Bounds that apply to all entry VMs together. Each entry VM uses at most its
// share of them.
struct FleetBounds {
  // Retries that are allowed in one retry window, per request to the service.
  double retry_ratio = 0.2;
  // Retries that are allowed in one retry window in addition to the ratio.
  double retry_extra = 0;
  Duration retry_window = Seconds(10);
  // Multiplier of the rate that a cold server tolerates.
  double cold_load_factor = 1;
  // Requests per second that are allowed in addition to the multiplied rate.
  double cold_extra = 0;
  // Share of a region's requests that may run in another region in the next
  // shift window than in the present one.
  double max_shift = 0.15;
  Duration shift_window = Seconds(2);
  // Time within which a new configuration must be in force.
  Duration configuration_time = Seconds(2);
  // No entry VM serves a request that was sent longer than `revocation_time`
  // after the key of the request was revoked.
  bool revokes_everywhere = false;
  Duration revocation_time = Seconds(2);
  quota::QuotaBounds quota;
};

}  // namespace cicadadrum::routing

#endif  // CICADADRUM_ROUTING_FLEET_BOUNDS_H_
