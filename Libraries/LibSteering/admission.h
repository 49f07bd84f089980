// Admission of a request: readiness, plan, key and size.

#ifndef CICADADRUM_STEERING_ADMISSION_H_
#define CICADADRUM_STEERING_ADMISSION_H_

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Returns the plan of `customer`, or nullptr.
const Plan* FindPlan(const Configuration& configuration,
                     const std::string& customer);

// Returns why the request can't be admitted, or kNone.
RefusalReason CheckAdmission(const EntryState& state,
                             const RequestArrived& arrived,
                             TimePoint now);

// Returns the limits of the customer's plan, or no limits for an unknown
// customer.
PlanLimits LimitsOf(const Configuration& configuration,
                    const std::string& customer);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ADMISSION_H_
