// LibModel consists of headers only. This file checks at compile time that the
// tables of the enumerations are complete.

#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

static_assert(EnumNames<RequestClass>::kTable.size() == kRequestClassCount);
static_assert(kOutcomeVerdicts.size() ==
              EnumNames<AttemptOutcome>::kTable.size());
static_assert(VerdictOf(AttemptOutcome::kShed) == Verdict::kNotRun);
static_assert(VerdictOf(AttemptOutcome::kConnectionLost) ==
              Verdict::kMayHaveRun);

}  // namespace cicadadrum
