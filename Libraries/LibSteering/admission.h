// Admission of requests: readiness, plan, request key and size.

#ifndef CICADADRUM_STEERING_ADMISSION_H_
#define CICADADRUM_STEERING_ADMISSION_H_

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

// Returns the plan of `client_account`, or nullptr if the client account or its
// plan is unknown.
const Plan* FindPlan(const Configuration& configuration,
                     const std::string& client_account);

// Returns the reason why the request can't be admitted, or kNone.
RefusalReason CheckAdmission(const EntryState& state,
                             const RequestArrived& arrived,
                             TimePoint now);

// Returns the limits of the client account's plan. An unknown client account
// has no limits.
PlanLimits LimitsOf(const Configuration& configuration,
                    const std::string& client_account);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_ADMISSION_H_
