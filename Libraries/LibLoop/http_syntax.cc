#include "http_syntax.h"

#include <algorithm>

namespace cicadadrum {

namespace {

constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool IsTokenCharacter(char character) {
  return (character >= '0' && character <= '9') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= 'a' && character <= 'z') ||
         kTokenSymbols.find(character) != std::string_view::npos;
}

bool IsValueCharacter(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return character == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

bool IsFieldValue(std::string_view value) {
  return std::ranges::all_of(value, IsValueCharacter);
}

}  // namespace cicadadrum
