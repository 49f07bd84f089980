// The model has no code of its own; this file checks that every enumeration is
// covered by its table.

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
