// Admission of requests: readiness, plan, request key and size.

#ifndef CICADADRUM_STEERING_ADMISSION_H_
#define CICADADRUM_STEERING_ADMISSION_H_

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Returns the plan of `customer`, or nullptr if the customer or its plan is
// unknown.
const Plan* FindPlan(const Configuration& configuration,
                     const std::string& customer);

// Returns the reason why the request can't be admitted, or kNone.
RefusalReason CheckAdmission(const EntryState& state,
                             const RequestArrived& arrived,
                             TimePoint now);

// Returns the limits of the customer's plan. An unknown customer has no limits.
PlanLimits LimitsOf(const Configuration& configuration,
                    const std::string& customer);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ADMISSION_H_
