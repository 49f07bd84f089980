// The verdict on a request: whether a backend server may have run the request.

#ifndef CICADADRUM_BASE_VERDICT_H_
#define CICADADRUM_BASE_VERDICT_H_

#include <array>
#include <cstdint>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

enum class Verdict : std::uint8_t {
  kRan,         // A backend server ran the request and its response is known.
  kNotRun,      // No backend server ran or will run the request. Repeating the
                // request is safe.
  kMayHaveRun,  // All other cases. Repeating is safe only for idempotent
                // requests.
};

template <>
struct EnumNames<Verdict> {
  static constexpr auto kTable = std::to_array<EnumName<Verdict>>({
      {Verdict::kRan, "ran"},
      {Verdict::kNotRun, "not-run"},
      {Verdict::kMayHaveRun, "may-have-run"},
  });
};

// Returns the verdict on a request from the verdicts on two of its attempts:
// kRan takes precedence over kMayHaveRun, and kMayHaveRun over kNotRun.
constexpr Verdict Combine(Verdict a, Verdict b) {
  if (a == Verdict::kRan || b == Verdict::kRan)
    return Verdict::kRan;
  if (a == Verdict::kMayHaveRun || b == Verdict::kMayHaveRun)
    return Verdict::kMayHaveRun;
  return Verdict::kNotRun;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_BASE_VERDICT_H_
