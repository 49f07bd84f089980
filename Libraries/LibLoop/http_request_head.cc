// Checks and parses request heads.

#include "http_request_head.h"

#include <http_parser.h>

#include <algorithm>
#include <array>

#include "http_query.h"
#include "http_syntax.h"

namespace cicadadrum {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

constexpr auto kMethods = std::to_array<std::pair<http_method, HttpMethod>>({
    {HTTP_GET, HttpMethod::kGet},
    {HTTP_HEAD, HttpMethod::kHead},
    {HTTP_POST, HttpMethod::kPost},
    {HTTP_PUT, HttpMethod::kPut},
    {HTTP_DELETE, HttpMethod::kDelete},
});

bool IsControlByte(char byte) {
  return static_cast<unsigned char>(byte) < ' ' || byte == '\x7f';
}

// Whether the line is a method, a target and a version with one space between
// them.
bool IsRequestLine(std::string_view line) {
  const std::size_t method_end = line.find(' ');
  const std::size_t target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || target_end <= method_end + 1)
    return false;
  const std::string_view target =
      line.substr(method_end + 1, target_end - method_end - 1);
  return IsToken(line.substr(0, method_end)) &&
         std::ranges::none_of(target, [](char byte) {
           return byte == ' ' || IsControlByte(byte);
         });
}

// Checks each line. The head ends with an empty line.
bool HasStrictLines(std::string_view bytes) {
  bool is_first = true;
  while (true) {
    const std::size_t end = bytes.find(kLineEnd);
    if (end == std::string_view::npos)
      return false;
    const std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + kLineEnd.size());
    if (line.empty())
      return !is_first && bytes.empty();
    if (is_first ? !IsRequestLine(line) : !IsFieldLine(line))
      return false;
    is_first = false;
  }
}

// What the callbacks of http_parser fill.
struct HeadParser {
  RequestHead& head;
  bool is_complete = false;
  bool has_length = false;
};

HeadParser& StateOf(http_parser* parser) {
  return *static_cast<HeadParser*>(parser->data);
}

int OnUrl(http_parser* parser, const char* at, std::size_t length) {
  StateOf(parser).head.request.target.append(at, length);
  return 0;
}

int OnField(http_parser* parser, const char* at, std::size_t length) {
  StateOf(parser).head.request.headers.emplace_back(std::string(at, length),
                                                    std::string());
  return 0;
}

int OnValue(http_parser* parser, const char* at, std::size_t length) {
  HttpFields& headers = StateOf(parser).head.request.headers;
  headers.back().second.append(WithoutBlanks({at, length}));
  return 0;
}

int OnHeadersComplete(http_parser* parser) {
  HeadParser& state = StateOf(parser);
  state.is_complete = true;
  state.has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  state.head.keeps_connection = http_should_keep_alive(parser) != 0;
  return 1;  // The body is read elsewhere.
}

const http_parser_settings& ParserSettings() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = OnUrl;
    callbacks.on_header_field = OnField;
    callbacks.on_header_value = OnValue;
    callbacks.on_headers_complete = OnHeadersComplete;
    return callbacks;
  }();
  return settings;
}

// Returns the value of the only field of that name, or nothing. Sets
// `is_repeated` if there are several.
std::string_view SingleField(const HttpFields& fields,
                             std::string_view name,
                             bool& is_repeated) {
  std::string_view value;
  std::size_t count = 0;
  for (const auto& [field_name, field_value] : fields) {
    if (!EqualsIgnoringCase(field_name, name))
      continue;
    value = field_value;
    ++count;
  }
  is_repeated = is_repeated || count > 1;
  return value;
}

bool ReadFraming(const http_parser& parser,
                 const HeadParser& state,
                 RequestHead& head) {
  const HttpFields& headers = head.request.headers;
  bool is_repeated = false;
  SingleField(headers, "Host", is_repeated);
  const std::string_view length =
      SingleField(headers, "Content-Length", is_repeated);
  const std::string_view coding =
      SingleField(headers, "Transfer-Encoding", is_repeated);
  if (is_repeated)
    return false;
  const bool has_coding = std::ranges::any_of(headers, [](const auto& field) {
    return EqualsIgnoringCase(field.first, "Transfer-Encoding");
  });
  if (has_coding) {
    // Other codings are not decoded here, and HTTP/1.0 has none.
    head.framing = BodyFraming::kChunks;
    return EqualsIgnoringCase(coding, "chunked") && !state.has_length &&
           !head.is_http_1_0;
  }
  if (!state.has_length)
    return true;
  if (length.empty() || !std::ranges::all_of(length, [](char byte) {
        return byte >= '0' && byte <= '9';
      }))
    return false;
  head.body_bytes = parser.content_length;
  if (head.body_bytes > 0)
    head.framing = BodyFraming::kLength;
  return true;
}

bool ReadTarget(HttpRequest& request) {
  http_parser_url url;
  http_parser_url_init(&url);
  const std::string_view target = request.target;
  if (target == "*") {
    request.path = target;
    return true;
  }
  if (http_parser_parse_url(target.data(), target.size(), 0, &url) != 0)
    return false;
  if ((url.field_set & (1U << UF_PATH)) == 0)
    return true;
  const auto& path = url.field_data[UF_PATH];
  request.path =
      DecodePercent(target.substr(path.off, path.len), UrlPart::kPath);
  return true;
}

bool ReadMethod(const http_parser& parser, HttpMethod& method) {
  const auto* const found =
      std::ranges::find(kMethods, static_cast<http_method>(parser.method),
                        &std::pair<http_method, HttpMethod>::first);
  if (found == kMethods.end())
    return false;
  method = found->second;
  return true;
}

}  // namespace

bool IsFieldLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  return colon != std::string_view::npos && IsToken(line.substr(0, colon)) &&
         IsFieldValue(line.substr(colon + 1));
}

bool HasBareLineEnd(std::string_view bytes) {
  for (std::size_t at = bytes.find_first_of(kLineEnd);
       at != std::string_view::npos; at = bytes.find_first_of(kLineEnd, at)) {
    const std::string_view line_end = bytes.substr(at, kLineEnd.size());
    if (line_end != kLineEnd)
      return line_end != "\r";
    at += kLineEnd.size();
  }
  return false;
}

HeadVerdict ReadRequestHead(std::string_view bytes, RequestHead& head) {
  if (!HasStrictLines(bytes))
    return HeadVerdict::kMalformed;
  HeadParser state{.head = head};
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &state;
  http_parser_execute(&parser, &ParserSettings(), bytes.data(), bytes.size());
  if (!state.is_complete)
    return HeadVerdict::kMalformed;
  if (parser.http_major != 1)
    return HeadVerdict::kUnsupportedVersion;
  head.is_http_1_0 = parser.http_minor == 0;
  if (!ReadFraming(parser, state, head))
    return HeadVerdict::kMalformed;
  if (!ReadMethod(parser, head.request.method))
    return HeadVerdict::kUnsupportedMethod;
  if (!ReadTarget(head.request))
    return HeadVerdict::kMalformed;
  const std::string_view expectation =
      FindField(head.request.headers, "Expect");
  if (!expectation.empty() && !EqualsIgnoringCase(expectation, "100-continue"))
    return HeadVerdict::kUnsupportedExpectation;
  head.expects_continue = !expectation.empty() && !head.is_http_1_0;
  return HeadVerdict::kAccepted;
}

}  // namespace cicadadrum
