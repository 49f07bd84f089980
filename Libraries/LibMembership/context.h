// Arguments that the functions of one membership step share.

#ifndef CICADADRUM_MEMBERSHIP_CONTEXT_H_
#define CICADADRUM_MEMBERSHIP_CONTEXT_H_

#include "cicadadrum/membership/membership.h"

namespace cicadadrum {

struct StepContext {
  MembershipState& state;
  TimePoint now;
  MembershipActions& actions;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_CONTEXT_H_
