// Conversion of values that several messages use: enumerations, durations,
// deadlines, text and incarnations. Wire functions use microseconds.

#ifndef LIBRARIES_LIBPEER_CODEC_VALUES_H_
#define LIBRARIES_LIBPEER_CODEC_VALUES_H_

#include <capnp/blob.h>
#include <schemas/peer.capnp.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/claim/request_key.h"

namespace cicadadrum {

// Longer durations are reduced to this one, and a deadline that is further away
// counts as no deadline. The value is one day.
constexpr std::int64_t kMaxDurationMicroseconds =
    std::int64_t{86'400} * 1'000'000;

// Returns whether the table of names lists the values 0, 1, 2... in order, as
// schema enumerations do. A test compares the names as well.
template <typename Core>
constexpr bool HasDenseTable() {
  std::size_t expected = 0;
  for (const auto& entry : EnumNames<Core>::kTable) {
    if (static_cast<std::size_t>(entry.value) != expected)
      return false;
    ++expected;
  }
  return true;
}

template <typename Wire, typename Core>
constexpr Wire EnumToWire(Core value) {
  static_assert(HasDenseTable<Core>());
  return static_cast<Wire>(value);
}

// Returns nothing for a value that is unknown to this version.
template <typename Core, typename Wire>
constexpr std::optional<Core> EnumFromWire(Wire value) {
  static_assert(HasDenseTable<Core>());
  const auto index = static_cast<std::size_t>(value);
  if (index >= EnumNames<Core>::kTable.size())
    return std::nullopt;
  return EnumNames<Core>::kTable[index].value;
}

inline std::int64_t DurationToWire(Duration duration) {
  return std::max<std::int64_t>(duration.count(), 0);
}

inline std::optional<Duration> DurationFromWire(std::int64_t microseconds) {
  if (microseconds < 0)
    return std::nullopt;
  return Microseconds(std::min(microseconds, kMaxDurationMicroseconds));
}

inline std::int64_t DeadlineToWire(TimePoint deadline, TimePoint now) {
  if (deadline == kNever)
    return std::numeric_limits<std::int64_t>::max();
  return DurationToWire(deadline - now);
}

inline std::optional<TimePoint> DeadlineFromWire(std::int64_t microseconds,
                                                 TimePoint now) {
  if (microseconds < 0)
    return std::nullopt;
  if (microseconds > kMaxDurationMicroseconds)
    return kNever;
  return now + Microseconds(microseconds);
}

// The reader refers to `text`, which must outlive it.
inline capnp::Text::Reader TextToWire(const std::string& text) {
  return {text.c_str(), text.size()};
}

inline std::string TextFromWire(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

// The reader refers to `bytes`, which must outlive it.
inline capnp::Data::Reader DataToWire(const std::string& bytes) {
  return {reinterpret_cast<const capnp::byte*>(bytes.data()), bytes.size()};
}

inline std::string DataFromWire(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

inline void WriteIncarnation(const Incarnation& incarnation,
                             schema::Incarnation::Builder to) {
  to.setHigh(incarnation.high);
  to.setLow(incarnation.low);
}

inline Incarnation ReadIncarnation(schema::Incarnation::Reader from) {
  return {from.getHigh(), from.getLow()};
}

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_CODEC_VALUES_H_
