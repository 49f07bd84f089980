// The verdict on a request: whether a backend server may have run it.

#ifndef CICADADRUM_BASE_VERDICT_H_
#define CICADADRUM_BASE_VERDICT_H_

#include <array>
#include <cstdint>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

enum class Verdict : std::uint8_t {
  kRan,     // A backend server ran the request and its answer is known.
  kNotRun,  // No backend server ran the request or will run it. Repeating is
            // safe.
  kMayHaveRun,  // Everything else. Repeating is safe only for idempotent
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

// Returns the verdict on a request with two attempts. An attempt that may have
// run outweighs one that did not.
constexpr Verdict Combine(Verdict a, Verdict b) {
  if (a == Verdict::kRan || b == Verdict::kRan)
    return Verdict::kRan;
  if (a == Verdict::kMayHaveRun || b == Verdict::kMayHaveRun)
    return Verdict::kMayHaveRun;
  return Verdict::kNotRun;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_BASE_VERDICT_H_
