// Time types of the decision core.
//
// The core never reads a clock: the present time is an argument of every
// function. A time point counts from an origin chosen by the caller (process
// start in the daemons, zero in tests and simulations).

#ifndef CICADADRUM_BASE_TIME_H_
#define CICADADRUM_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace cicadadrum {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

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
