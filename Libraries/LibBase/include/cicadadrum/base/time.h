// Time types of the code that makes decisions.
//
// This code never reads a clock: functions receive the present time as an
// argument. The program chooses the origin of its time points (process start in
// the daemons, zero in tests and simulations).

#ifndef CICADADRUM_BASE_TIME_H_
#define CICADADRUM_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace cicadadrum {

// A duration in microseconds.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A time that is never reached.
constexpr TimePoint kNever = TimePoint::max();

constexpr Duration Microseconds(std::int64_t count) {
  return Duration(count);
}
constexpr Duration Milliseconds(std::int64_t count) {
  return Duration(count * 1000);
}
constexpr Duration Seconds(std::int64_t count) {
  return Duration(count * 1'000'000);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_BASE_TIME_H_
