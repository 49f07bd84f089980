// Request keys. A key identifies a non-idempotent request and all its repeats.
//
// Text forms:
//   c.<home>.<incarnation>.<serial>   issued while the table service is up
//   h.<home>.<incarnation>.<serial>   issued while the table service is down;
//                                     only the home ever sends the request
//   anything else                     chosen by the caller

#ifndef CICADADRUM_CLAIM_REQUEST_KEY_H_
#define CICADADRUM_CLAIM_REQUEST_KEY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

enum class KeyKind : std::uint8_t { kClaimed, kHomeOnly, kCaller };

template <>
struct EnumNames<KeyKind> {
  static constexpr auto kTable = std::to_array<EnumName<KeyKind>>({
      {KeyKind::kClaimed, "claimed"},
      {KeyKind::kHomeOnly, "home-only"},
      {KeyKind::kCaller, "caller"},
  });
};

// Identifies one run of an entry VM's process by 128 random bits, so that no
// two runs share an incarnation.
struct Incarnation {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const Incarnation&) const = default;
};

struct RequestKey {
  KeyKind kind = KeyKind::kCaller;
  // The full key as the caller sends it; 1 to 128 characters.
  std::string text;
  std::string home;  // Name of the entry VM that issued it; empty for kCaller.
  Incarnation incarnation;
  std::uint64_t serial = 0;  // Within the incarnation.
};

constexpr std::size_t kMaxKeyLength = 128;

// Returns the key with this text. Returns nothing if the text is empty, is too
// long, has characters other than letters, digits, '.', '-' and '_', or has the
// prefix of an issued key but is malformed.
std::optional<RequestKey> ParseRequestKey(std::string_view text);

// Returns a new key. `kind` must not be kCaller, and `serial` must not have
// been used before in this incarnation.
RequestKey IssueKey(KeyKind kind,
                    std::string_view home,
                    const Incarnation& incarnation,
                    std::uint64_t serial);

// Returns the incarnation as 32 hexadecimal digits.
std::string FormatIncarnation(const Incarnation& incarnation);

}  // namespace cicadadrum

#endif  // CICADADRUM_CLAIM_REQUEST_KEY_H_
