// Reads the heads of HTTP/1.1 requests. http_parser does the parsing. Debian
// builds it without strict mode, so the form of the lines is checked before.

#ifndef CICADADRUM_LOOP_HTTP_REQUEST_HEAD_H_
#define CICADADRUM_LOOP_HTTP_REQUEST_HEAD_H_

#include <cstdint>
#include <string_view>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

enum class BodyFraming : std::uint8_t { kNone, kLength, kChunks };

template <>
struct EnumNames<BodyFraming> {
  static constexpr auto kTable = std::to_array<EnumName<BodyFraming>>({
      {BodyFraming::kNone, "none"},
      {BodyFraming::kLength, "length"},
      {BodyFraming::kChunks, "chunks"},
  });
};

enum class HeadVerdict : std::uint8_t {
  kAccepted,
  kMalformed,  // Or ambiguous in the sense of RFC 9112, sections 5 to 7.
  kUnsupportedMethod,
  kUnsupportedVersion,
  kUnsupportedExpectation,
};

template <>
struct EnumNames<HeadVerdict> {
  static constexpr auto kTable = std::to_array<EnumName<HeadVerdict>>({
      {HeadVerdict::kAccepted, "accepted"},
      {HeadVerdict::kMalformed, "malformed"},
      {HeadVerdict::kUnsupportedMethod, "unsupported-method"},
      {HeadVerdict::kUnsupportedVersion, "unsupported-version"},
      {HeadVerdict::kUnsupportedExpectation, "unsupported-expectation"},
  });
};

struct RequestHead {
  HttpRequest request;  // Without its body.
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_bytes = 0;  // Set with BodyFraming::kLength.
  bool is_http_1_0 = false;
  bool keeps_connection = false;
  bool expects_continue = false;
};

// Whether `line`, without its end, is a field's name, a colon and a value.
bool IsFieldLine(std::string_view line);

// Whether `bytes`, a part of a head, has a CR or LF that does not belong to a
// line end. A CR that is the last byte is allowed.
bool HasBareLineEnd(std::string_view bytes);

// Reads a head, from the request line up to and including the empty line.
HeadVerdict ReadRequestHead(std::string_view bytes, RequestHead& head);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_REQUEST_HEAD_H_
