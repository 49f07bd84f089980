// Parses and issues request keys.

#include "cicadadrum/claim/request_key.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

constexpr std::string_view kClaimedPrefix = "c";
constexpr std::string_view kHomeOnlyPrefix = "h";
constexpr std::size_t kHexDigits = 16;

bool IsKeyCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

std::vector<std::string_view> SplitAtDots(std::string_view text) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t dot = text.find('.');
    parts.push_back(text.substr(0, dot));
    if (dot == std::string_view::npos)
      return parts;
    text.remove_prefix(dot + 1);
  }
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number, base);
  if (error != std::errc() || end != text.data() + text.size() || text.empty())
    return std::nullopt;
  return number;
}

}  // namespace

std::optional<RequestKey> ParseRequestKey(std::string_view text) {
  if (text.empty() || text.size() > kMaxKeyLength ||
      !std::all_of(text.begin(), text.end(), IsKeyCharacter))
    return std::nullopt;
  RequestKey key{.text = std::string(text)};
  const std::vector<std::string_view> parts = SplitAtDots(text);
  if (parts[0] != kClaimedPrefix && parts[0] != kHomeOnlyPrefix)
    return key;
  if (parts.size() != 4 || parts[1].empty() ||
      parts[2].size() != 2 * kHexDigits)
    return std::nullopt;
  const auto high = ParseNumber(parts[2].substr(0, kHexDigits), 16);
  const auto low = ParseNumber(parts[2].substr(kHexDigits), 16);
  const auto serial = ParseNumber(parts[3], 10);
  if (!high || !low || !serial)
    return std::nullopt;
  key.kind =
      parts[0] == kClaimedPrefix ? KeyKind::kClaimed : KeyKind::kHomeOnly;
  key.home = std::string(parts[1]);
  key.incarnation = {*high, *low};
  key.serial = *serial;
  return key;
}

RequestKey IssueKey(KeyKind kind,
                    std::string_view home,
                    const Incarnation& incarnation,
                    std::uint64_t serial) {
  RequestKey key{.kind = kind,
                 .home = std::string(home),
                 .incarnation = incarnation,
                 .serial = serial};
  const std::string_view prefix =
      kind == KeyKind::kHomeOnly ? kHomeOnlyPrefix : kClaimedPrefix;
  key.text = std::string(prefix) + '.' + key.home + '.' +
             FormatIncarnation(incarnation) + '.' + std::to_string(serial);
  return key;
}

std::string FormatIncarnation(const Incarnation& incarnation) {
  return FormatHex(incarnation.high) + FormatHex(incarnation.low);
}

}  // namespace cicadadrum
