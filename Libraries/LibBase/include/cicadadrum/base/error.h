// Error values carried by Boost.LEAF results in the libraries that do input and
// output.

#ifndef CICADADRUM_BASE_ERROR_H_
#define CICADADRUM_BASE_ERROR_H_

#include <array>
#include <cstdint>
#include <string>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

enum class ErrorCode : std::uint8_t {
  kInvalidSettings,
  kInvalidConfiguration,
  kInvalidMessage,
  kFileUnreadable,
  kAddressInvalid,
  kBindFailed,
  kConflict,     // A compare-and-set operation found a different version.
  kUnavailable,  // The other process did not accept the request, which had no
                 // effect.
  kUncertain,    // The request may have taken effect.
};

template <>
struct EnumNames<ErrorCode> {
  static constexpr auto kTable = std::to_array<EnumName<ErrorCode>>({
      {ErrorCode::kInvalidSettings, "invalid-settings"},
      {ErrorCode::kInvalidConfiguration, "invalid-configuration"},
      {ErrorCode::kInvalidMessage, "invalid-message"},
      {ErrorCode::kFileUnreadable, "file-unreadable"},
      {ErrorCode::kAddressInvalid, "address-invalid"},
      {ErrorCode::kBindFailed, "bind-failed"},
      {ErrorCode::kConflict, "conflict"},
      {ErrorCode::kUnavailable, "unavailable"},
      {ErrorCode::kUncertain, "uncertain"},
  });
};

// The error object that a failed LEAF result carries.
struct Error {
  ErrorCode code;
  // Text for the operator that names the location and the value.
  std::string detail;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_BASE_ERROR_H_
