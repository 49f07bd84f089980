// Syntax of HTTP field names and values (RFC 9110, sections 5.1, 5.5 and
// 5.6.2). http_parser accepts more than that.

#ifndef CICADADRUM_LOOP_HTTP_SYNTAX_H_
#define CICADADRUM_LOOP_HTTP_SYNTAX_H_

#include <string_view>

namespace cicadadrum {

// Whether `text` is a token, as field names, methods and transfer codings are.
// A token is not empty.
bool IsToken(std::string_view text);

// Whether a field may have the value `value`. Control characters other than tab
// are refused, among them CR, LF and NUL. Bytes above 127 are allowed, as is an
// empty value.
bool IsFieldValue(std::string_view value);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_SYNTAX_H_
