// Parses HTTP/1.1 responses with http_parser.

#include "http_parser_state.h"

#include <utility>

namespace cicadadrum {

namespace {

constexpr std::uint16_t kFirstFinalStatus = 200;

// Largest body whose memory is allocated at once when its length is declared.
constexpr std::uint64_t kMaxReservedBytes = 1'048'576;

ResponseParser& StateOf(http_parser* parser) {
  return *static_cast<ResponseParser*>(parser->data);
}

// Frees the memory of the response, which an assignment of an empty body would
// keep.
void DiscardResponse(ResponseParser& state) {
  std::exchange(state.response, {});
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
  state.too_large =
      DeclaresLength(parser) && parser->content_length > state.max_body_bytes;
  if (DeclaresLength(parser) && parser->content_length <= kMaxReservedBytes)
    state.response.body.reserve(parser->content_length);
  return 0;
}

int OnBody(http_parser* parser, const char* at, std::size_t length) {
  ResponseParser& state = StateOf(parser);
  if (state.response.body.size() + length > state.max_body_bytes) {
    state.too_large = true;
    return 1;
  }
  state.held_bytes += length;
  state.response.body.append(at, length);
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
