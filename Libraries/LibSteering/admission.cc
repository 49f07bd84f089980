// Checks requests against the configuration in force.

#include "admission.h"

#include <algorithm>

namespace cicadadrum {

namespace {

template <typename Range, typename Value>
bool Contains(const Range& range, const Value& value) {
  return std::find(range.begin(), range.end(), value) != range.end();
}

}  // namespace

const Plan* FindPlan(const Configuration& configuration,
                     const std::string& client_account) {
  const auto found = std::find_if(configuration.client_accounts.begin(),
                                  configuration.client_accounts.end(),
                                  [&](const ClientAccount& candidate) {
                                    return candidate.name == client_account;
                                  });
  if (found == configuration.client_accounts.end())
    return nullptr;
  const auto plan = std::find_if(
      configuration.plans.begin(), configuration.plans.end(),
      [&](const Plan& candidate) { return candidate.name == found->plan; });
  return plan == configuration.plans.end() ? nullptr : &*plan;
}

RefusalReason CheckAdmission(const EntryState& state,
                             const RequestArrived& arrived,
                             TimePoint now) {
  if (now >= state.admission_ends_at)
    return RefusalReason::kStopping;
  if (!IsReady(state))
    return RefusalReason::kNotReady;
  const Plan* plan = FindPlan(state.configuration, arrived.client_account);
  if (plan == nullptr)
    return RefusalReason::kUnknownClientAccount;
  if (!Contains(plan->services, arrived.service) ||
      !Contains(plan->classes, arrived.request_class))
    return RefusalReason::kNotInPlan;
  if (plan->max_body_bytes != 0 && arrived.body_bytes > plan->max_body_bytes)
    return RefusalReason::kBodyTooLarge;
  if (arrived.deadline <= now)
    return RefusalReason::kDeadline;
  if (!IsIdempotent(arrived.request_class) && !ParseRequestKey(arrived.key))
    return RefusalReason::kKeyMissing;
  const auto blocked = state.blocked.find(arrived.fingerprint);
  if (blocked != state.blocked.end() && blocked->second.blocked)
    return RefusalReason::kBlocked;
  return RefusalReason::kNone;
}

PlanLimits LimitsOf(const Configuration& configuration,
                    const std::string& client_account) {
  const Plan* plan = FindPlan(configuration, client_account);
  return plan == nullptr
             ? PlanLimits{}
             : PlanLimits{plan->requests_per_second, plan->concurrency};
}

}  // namespace cicadadrum
