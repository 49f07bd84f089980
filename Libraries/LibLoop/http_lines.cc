#include "http_lines.h"

#include <algorithm>

#include "http_syntax.h"

namespace cicadadrum {

namespace {

// Begin of a status line; # stands for a digit. The reason may be missing with
// the blank before it.
constexpr std::string_view kStatusBegin = "HTTP/1.# ###";
constexpr std::string_view kHexDigits = "0123456789abcdefABCDEF";

bool IsDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

bool CheckStatusByte(HttpLine& line, char byte) {
  if (line.size < kStatusBegin.size()) {
    const char expected = kStatusBegin[line.size];
    return expected == '#' ? IsDigit(byte) : byte == expected;
  }
  line.in_value = true;
  return byte == ' ';
}

bool CheckNameByte(HttpLine& line, char byte) {
  line.in_value = byte == ':';
  return line.in_value ? line.size > 0 : IsToken({&byte, 1});
}

bool CheckChunkSizeByte(HttpLine& line, char byte) {
  line.in_value = byte == ';';
  return line.in_value ? line.size > 0
                       : kHexDigits.find(byte) != std::string_view::npos;
}

// Returns whether the line may end after the bytes so far.
bool MayEnd(const HttpLine& line) {
  switch (line.kind) {
    case HttpLineKind::kStatus:
      return line.size >= kStatusBegin.size();
    case HttpLineKind::kField:
      return line.in_value || line.size == 0;
    case HttpLineKind::kChunkSize:
      return line.size > 0;
    case HttpLineKind::kChunkEnd:
      return true;
  }
  return false;
}

bool CheckByte(HttpLine& line, char byte) {
  if (line.ended)
    return byte == '\n';
  if (byte == '\r') {
    line.ended = true;
    return MayEnd(line);
  }
  if (line.in_value)
    return IsFieldValue({&byte, 1});
  switch (line.kind) {
    case HttpLineKind::kStatus:
      return CheckStatusByte(line, byte);
    case HttpLineKind::kField:
      return CheckNameByte(line, byte);
    case HttpLineKind::kChunkSize:
      return CheckChunkSizeByte(line, byte);
    case HttpLineKind::kChunkEnd:
      return false;
  }
  return false;
}

}  // namespace

bool CheckLine(HttpLine& line, std::string_view bytes) {
  return std::ranges::all_of(bytes, [&line](char byte) {
    const bool allowed = CheckByte(line, byte);
    ++line.size;
    return allowed;
  });
}

}  // namespace cicadadrum
