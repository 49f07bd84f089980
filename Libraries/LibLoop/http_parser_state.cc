// Parses HTTP/1.1 responses with http_parser.

#include "http_parser_state.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cicadadrum {

namespace {

constexpr std::uint16_t kFirstFinalStatus = 200;

// Sizes of the pieces of a body. The rest of the last piece is not counted as
// held: it has not been written to.
constexpr std::uint64_t kMinPieceBytes = 4096;
constexpr std::uint64_t kMaxPieceBytes = 262'144;

ResponseParser& StateOf(http_parser* parser) {
  return *static_cast<ResponseParser*>(parser->data);
}

// Frees the memory of the response, which an assignment of an empty body would
// keep.
void DiscardResponse(ResponseParser& state) {
  std::exchange(state.response, {});
  std::exchange(state.body_pieces, {});
  state.body_bytes = 0;
  state.held_bytes = 0;
  state.in_value = false;
  state.headers_complete = false;
}

int OnField(http_parser* parser, const char* at, std::size_t length) {
  ResponseParser& state = StateOf(parser);
  if (state.in_value || state.response.headers.empty()) {
    state.response.headers.emplace_back();
    state.held_bytes += sizeof(HttpFields::value_type);
  }
  state.in_value = false;
  state.held_bytes += length;
  state.response.headers.back().first.append(at, length);
  return 0;
}

int OnValue(http_parser* parser, const char* at, std::size_t length) {
  ResponseParser& state = StateOf(parser);
  state.in_value = true;
  state.held_bytes += length;
  state.response.headers.back().second.append(at, length);
  return 0;
}

bool DeclaresLength(const http_parser* parser) {
  return (parser->flags & F_CONTENTLENGTH) != 0 &&
         (parser->flags & F_CHUNKED) == 0;
}

// Returns 1 to make the parser skip the body, as a response to HEAD has none. A
// length beyond the limit is reported at the head, as the body may never come.
int OnHeadersComplete(http_parser* parser) {
  ResponseParser& state = StateOf(parser);
  state.response.status = static_cast<std::uint16_t>(parser->status_code);
  state.headers_complete = true;
  if (state.head_request)
    return 1;
  state.declared_bytes = DeclaresLength(parser) ? parser->content_length : 0;
  state.too_large = state.declared_bytes > state.max_body_bytes;
  return 0;
}

// Returns the size of the next piece: as much as there is already, but no more
// than the rest of a body whose length is declared.
std::uint64_t NextPieceBytes(const ResponseParser& state) {
  const std::uint64_t size =
      std::clamp(state.body_bytes, kMinPieceBytes, kMaxPieceBytes);
  return DeclaresLength(&state.parser)
             ? std::min(size, state.declared_bytes - state.body_bytes)
             : size;
}

void AppendToBody(ResponseParser& state, std::string_view bytes) {
  while (!bytes.empty()) {
    if (state.body_pieces.empty() || state.body_pieces.back().size() ==
                                         state.body_pieces.back().capacity()) {
      std::string& added = state.body_pieces.emplace_back();
      added.reserve(NextPieceBytes(state));
    }
    std::string& piece = state.body_pieces.back();
    const std::size_t size =
        std::min(bytes.size(), piece.capacity() - piece.size());
    piece.append(bytes.substr(0, size));
    state.body_bytes += size;
    state.held_bytes += size;
    bytes.remove_prefix(size);
  }
}

// Joins the pieces. Each is freed when it has been copied, so that the memory
// of the body is not needed twice.
void JoinBody(ResponseParser& state) {
  std::vector<std::string> pieces = std::exchange(state.body_pieces, {});
  std::string& body = state.response.body;
  if (pieces.size() == 1) {
    body = std::move(pieces.front());
    return;
  }
  body.reserve(state.body_bytes);
  for (std::string& piece : pieces)
    body.append(std::exchange(piece, {}));
}

int OnBody(http_parser* parser, const char* at, std::size_t length) {
  ResponseParser& state = StateOf(parser);
  if (state.body_bytes + length > state.max_body_bytes) {
    state.too_large = true;
    return 1;
  }
  AppendToBody(state, {at, length});
  return 0;
}

int OnMessageComplete(http_parser* parser) {
  ResponseParser& state = StateOf(parser);
  // An interim response, for example 100 Continue, precedes the final response
  // and is discarded.
  if (state.response.status < kFirstFinalStatus) {
    DiscardResponse(state);
    return 0;
  }
  JoinBody(state);
  state.complete = true;
  state.reusable = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_header_field = OnField;
    callbacks.on_header_value = OnValue;
    callbacks.on_headers_complete = OnHeadersComplete;
    callbacks.on_body = OnBody;
    callbacks.on_message_complete = OnMessageComplete;
    return callbacks;
  }();
  return settings;
}

ParseProgress ProgressOf(const ResponseParser& state) {
  if (state.complete)
    return ParseProgress::kComplete;
  const auto error = HTTP_PARSER_ERRNO(&state.parser);
  return error == HPE_OK && !state.too_large ? ParseProgress::kNeedMore
                                             : ParseProgress::kMalformed;
}

}  // namespace

void ResetParser(ResponseParser& state, bool head_request) {
  http_parser_init(&state.parser, HTTP_RESPONSE);
  state.parser.data = &state;
  DiscardResponse(state);
  state.complete = false;
  state.too_large = false;
  state.reusable = false;
  state.head_request = head_request;
}

ParseProgress ParseBytes(ResponseParser& state,
                         const char* bytes,
                         std::size_t size,
                         std::size_t& consumed) {
  consumed = http_parser_execute(&state.parser, &ParserSettings(), bytes, size);
  return ProgressOf(state);
}

ParseProgress ParseEnd(ResponseParser& state) {
  http_parser_execute(&state.parser, &ParserSettings(), nullptr, 0);
  return state.complete ? ParseProgress::kComplete : ParseProgress::kMalformed;
}

}  // namespace cicadadrum
