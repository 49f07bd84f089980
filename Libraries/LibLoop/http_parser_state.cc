// Parses HTTP/1.1 responses with http_parser.

#include "http_parser_state.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cicadadrum {

namespace {

constexpr std::uint16_t kFirstStatus = 100;
constexpr std::uint16_t kSwitchingProtocols = 101;
constexpr std::uint16_t kFirstFinalStatus = 200;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;
constexpr std::uint16_t kLastStatus = 599;

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
  if (state.headers_complete)
    return 0;
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
  if (state.headers_complete)
    return 0;
  state.in_value = true;
  state.held_bytes += length;
  state.response.headers.back().second.append(at, length);
  return 0;
}

bool DeclaresLength(const http_parser* parser) {
  return (parser->flags & F_CONTENTLENGTH) != 0 &&
         (parser->flags & F_CHUNKED) == 0;
}

// Whether a length that the head states is one number.
bool IsLength(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char byte) {
    return byte >= '0' && byte <= '9';
  });
}

// Returns whether the fields state the end of the body in at most one way. No
// coding other than chunked is accepted: the client asks for none, and the body
// would be forwarded without its coding's name.
bool HasOneFraming(const ResponseParser& state) {
  std::size_t count = 0;
  for (const auto& field : state.response.headers) {
    const bool length = EqualsIgnoringCase(field.first, "Content-Length");
    const bool coding = EqualsIgnoringCase(field.first, "Transfer-Encoding");
    if (!length && !coding)
      continue;
    const std::string_view value = WithoutBlanks(field.second);
    if (++count > 1 || (length && !IsLength(value)))
      return false;
    if (coding &&
        (!EqualsIgnoringCase(value, "chunked") || state.parser.http_minor == 0))
      return false;
  }
  return true;
}

bool HasAllowedStatus(const http_parser& parser) {
  return parser.status_code >= kFirstStatus &&
         parser.status_code <= kLastStatus &&
         parser.status_code != kSwitchingProtocols;
}

// Whether the head states a body that a response of this status can't have.
bool HasExcessFraming(const ResponseParser& state) {
  const std::uint16_t status = state.response.status;
  if (status != kNoContent && status >= kFirstFinalStatus)
    return false;
  return (state.parser.flags & F_CHUNKED) != 0 ||
         (DeclaresLength(&state.parser) && state.parser.content_length > 0);
}

// Returns 1 to make the parser skip the body: a response to HEAD has none, and
// neither have some statuses, whatever their fields state (RFC 9112, 6.3). An
// interim response that states one is malformed, as its body could contain a
// response. A length beyond the limit is reported at the head, as the body may
// never come.
int OnHeadersComplete(http_parser* parser) {
  ResponseParser& state = StateOf(parser);
  state.response.status = static_cast<std::uint16_t>(parser->status_code);
  state.headers_complete = true;
  const std::uint16_t status = state.response.status;
  const bool interim = status < kFirstFinalStatus;
  state.excess_framing = HasExcessFraming(state);
  if (!HasAllowedStatus(*parser) || !HasOneFraming(state) ||
      (interim && state.excess_framing)) {
    state.malformed = true;
    return -1;
  }
  if (state.head_request || interim || status == kNoContent ||
      status == kNotModified)
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

int OnChunkHeader(http_parser* parser) {
  StateOf(parser).chunk_left = parser->content_length;
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
  state.reusable = !state.excess_framing && http_should_keep_alive(parser) != 0;
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
    callbacks.on_chunk_header = OnChunkHeader;
    callbacks.on_message_complete = OnMessageComplete;
    return callbacks;
  }();
  return settings;
}

ParseProgress ProgressOf(const ResponseParser& state) {
  if (state.complete)
    return ParseProgress::kComplete;
  const auto error = HTTP_PARSER_ERRNO(&state.parser);
  return error == HPE_OK && !state.too_large && !state.malformed
             ? ParseProgress::kNeedMore
             : ParseProgress::kMalformed;
}

// Returns the bytes at the begin of `bytes` that belong to the current part.
std::string_view PieceOf(const ResponseParser& state, std::string_view bytes) {
  switch (state.part) {
    case ResponsePart::kLine:
      // An LF that is not found is npos, and npos + 1 would be 0.
      return bytes.substr(0, std::min(bytes.find('\n'), bytes.size() - 1) + 1);
    case ResponsePart::kChunkData:
      return bytes.substr(0, state.chunk_left);
    case ResponsePart::kBody:
      return bytes;
  }
  return bytes;
}

void BeginLine(ResponseParser& state, HttpLineKind kind) {
  state.part = ResponsePart::kLine;
  state.line = {.kind = kind};
}

// Determines the part behind a line that has ended. `headers_complete` states
// whether the head was complete before this line.
void AdvanceBehindLine(ResponseParser& state, bool headers_complete) {
  switch (state.line.kind) {
    case HttpLineKind::kStatus:
      return BeginLine(state, HttpLineKind::kField);
    case HttpLineKind::kField:
      // The empty line behind an interim response; the next one follows.
      if (state.line.size == 2 && !state.headers_complete)
        return BeginLine(state, HttpLineKind::kStatus);
      if (headers_complete || !state.headers_complete)
        return BeginLine(state, HttpLineKind::kField);
      if ((state.parser.flags & F_CHUNKED) != 0)
        return BeginLine(state, HttpLineKind::kChunkSize);
      state.part = ResponsePart::kBody;
      return;
    case HttpLineKind::kChunkSize:
      if (state.chunk_left == 0)
        return BeginLine(state, HttpLineKind::kField);
      state.part = ResponsePart::kChunkData;
      return;
    case HttpLineKind::kChunkEnd:
      return BeginLine(state, HttpLineKind::kChunkSize);
  }
}

// Parses bytes of the current part and returns how many of them the parser has
// consumed.
std::size_t ParsePiece(ResponseParser& state, std::string_view piece) {
  const bool in_line = state.part == ResponsePart::kLine;
  if (in_line && !CheckLine(state.line, piece)) {
    state.malformed = true;
    return 0;
  }
  const bool headers_complete = state.headers_complete;
  const std::size_t consumed = http_parser_execute(
      &state.parser, &ParserSettings(), piece.data(), piece.size());
  if (in_line && piece.back() == '\n') {
    AdvanceBehindLine(state, headers_complete);
  } else if (state.part == ResponsePart::kChunkData) {
    state.chunk_left -= consumed;
    if (state.chunk_left == 0)
      BeginLine(state, HttpLineKind::kChunkEnd);
  }
  return consumed;
}

}  // namespace

void ResetParser(ResponseParser& state, bool head_request) {
  http_parser_init(&state.parser, HTTP_RESPONSE);
  state.parser.data = &state;
  DiscardResponse(state);
  state.complete = false;
  state.malformed = false;
  state.too_large = false;
  BeginLine(state, HttpLineKind::kStatus);
  state.chunk_left = 0;
  state.excess_framing = false;
  state.reusable = false;
  state.head_request = head_request;
}

ParseProgress ParseBytes(ResponseParser& state,
                         const char* bytes,
                         std::size_t size,
                         std::size_t& consumed) {
  const std::string_view input(bytes, size);
  consumed = 0;
  ParseProgress progress = ProgressOf(state);
  while (progress == ParseProgress::kNeedMore && consumed < size) {
    consumed += ParsePiece(state, PieceOf(state, input.substr(consumed)));
    progress = ProgressOf(state);
  }
  return progress;
}

ParseProgress ParseEnd(ResponseParser& state) {
  http_parser_execute(&state.parser, &ParserSettings(), nullptr, 0);
  return state.complete ? ParseProgress::kComplete : ParseProgress::kMalformed;
}

}  // namespace cicadadrum
