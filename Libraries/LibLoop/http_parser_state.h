// Incremental parser for one HTTP/1.1 response. It accepts only what RFC 9110
// and 9112 allow a server to send.

#ifndef CICADADRUM_LOOP_HTTP_PARSER_STATE_H_
#define CICADADRUM_LOOP_HTTP_PARSER_STATE_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/loop/http_message.h"
#include "http_lines.h"

namespace cicadadrum {

enum class ParseProgress : std::uint8_t {
  kNeedMore,
  kComplete,   // The final response is complete.
  kMalformed,  // The bytes are not HTTP, or the body exceeds the limit.
};

// What the next byte of a response belongs to.
enum class ResponsePart : std::uint8_t {
  kLine,       // A line as in HttpLineKind.
  kChunkData,  // The data of a chunk.
  kBody,       // A body with a length, or one that lasts until the end.
};

// Call ResetParser before the first byte. Invariant: after kComplete,
// `response` is complete and the parser consumes no more bytes until
// ResetParser is called.
struct ResponseParser {
  http_parser parser{};
  HttpResponse response;
  // The body until it is complete, in pieces that are then joined. One growing
  // string would be copied again and again, and take up to three times its size
  // meanwhile.
  std::vector<std::string> body_pieces;
  std::uint64_t body_bytes = 0;      // Size of the body so far.
  std::uint64_t declared_bytes = 0;  // Length of the body that the head states.
  std::uint64_t max_body_bytes = 0;
  // Size of the headers in `response` and of `body_pieces`.
  std::uint64_t held_bytes = 0;
  // The most recent header callback delivered part of a value.
  bool in_value = false;
  // The status and the headers of `response` are complete.
  bool headers_complete = false;
  bool complete = false;
  ResponsePart part = ResponsePart::kLine;
  HttpLine line;  // The line that is being read, if part is kLine.
  std::uint64_t chunk_left = 0;  // Bytes of the chunk that have not arrived.
  bool malformed = false;
  bool too_large = false;
  bool head_request = false;  // A response to HEAD has no body.
  // The head has a length or chunks, though its status has no body.
  bool excess_framing = false;
  // The connection can carry another request. Set together with `complete`.
  bool reusable = false;
};

// Prepares `state` for the response to another request. `head_request` states
// whether that request has the method HEAD.
void ResetParser(ResponseParser& state, bool head_request);

// Parses the next `size` bytes and sets `consumed` to the number of bytes that
// belong to the response. The fields of a trailer are discarded: they could
// replace a field of the head.
ParseProgress ParseBytes(ResponseParser& state,
                         const char* bytes,
                         std::size_t size,
                         std::size_t& consumed);

// Reports the end of the connection to the parser. A response without a length
// is complete at that point, any other incomplete response is malformed.
ParseProgress ParseEnd(ResponseParser& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_PARSER_STATE_H_
