// One HTTP/1.1 response as it is parsed.

#ifndef CICADADRUM_LOOP_HTTP_PARSER_STATE_H_
#define CICADADRUM_LOOP_HTTP_PARSER_STATE_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>

#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

enum class ParseProgress : std::uint8_t {
  kNeedMore,
  kComplete,   // A final response is whole.
  kMalformed,  // Not HTTP, or larger than allowed.
};

// Invariant: after kComplete, `response` is whole and the parser takes no more
// bytes until ResetParser.
struct ResponseParser {
  http_parser parser{};
  HttpResponse response;
  std::uint64_t max_body_bytes = 0;
  bool in_value = false;  // The last header callback gave part of a value.
  bool complete = false;
  bool too_large = false;
  bool head_request = false;  // The response to HEAD has no body.
  bool reusable = false;      // Set with `complete`.
};

void ResetParser(ResponseParser& state, bool head_request);

// Parses `bytes` and sets `consumed` to how many belong to the response.
ParseProgress ParseBytes(ResponseParser& state,
                         const char* bytes,
                         std::size_t size,
                         std::size_t& consumed);

// The connection was closed, which ends a response without a length.
ParseProgress ParseEnd(ResponseParser& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_PARSER_STATE_H_
