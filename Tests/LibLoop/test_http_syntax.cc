// Tests of the syntax of field names and values. What these functions accept is
// forwarded, and may be read differently by the next reader if it is malformed.

#include <doctest/doctest.h>

#include <string>

#include "cicadadrum/loop/http_message.h"
#include "http_syntax.h"

namespace cicadadrum {

TEST_CASE("a token has no blanks, separators, control or 8-bit characters") {
  CHECK(IsToken("Content-Length"));
  CHECK(IsToken("!#$%&'*+-.^_`|~09azAZ"));
  CHECK_FALSE(IsToken(""));
  const std::string separators = "\"(),/:;<=>?@[\\]{} \t";
  for (int byte = 0; byte < 256; ++byte) {
    CAPTURE(byte);
    const char character = static_cast<char>(byte);
    const bool expected = byte > 0x20 && byte < 0x7f &&
                          separators.find(character) == std::string::npos;
    CHECK(IsToken(std::string("X") + character) == expected);
  }
}

TEST_CASE("a field value has no control characters other than tab") {
  CHECK(IsFieldValue(""));
  for (int byte = 0; byte < 256; ++byte) {
    CAPTURE(byte);
    const bool expected = byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    CHECK(IsFieldValue(std::string("a") + static_cast<char>(byte)) == expected);
  }
}

// Guards against a parameter that is read in another way than it was sent.
TEST_CASE("parameters of a query are found and decoded") {
  const HttpRequest request{
      .target = "/a?x&name=one+two&name=three&r%C3%A9gion=%41%26b&last#z=1"};
  CHECK(FindParameter(request, "name") == "one two");
  CHECK(FindParameter(request, "r\xC3\xA9gion") == "A&b");
  CHECK(FindParameter(request, "x").empty());
  CHECK(FindParameter(request, "last").empty());
  CHECK(FindParameter(request, "z").empty());
  CHECK(FindParameter({.target = "/a"}, "name").empty());
}

}  // namespace cicadadrum
