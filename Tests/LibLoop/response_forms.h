// Forms of responses to a request with the id a, and what a reader of responses
// makes of them.

#ifndef CICADADRUM_TESTS_LIBLOOP_RESPONSE_FORMS_H_
#define CICADADRUM_TESTS_LIBLOOP_RESPONSE_FORMS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

enum class FormVerdict : std::uint8_t {
  kComplete,    // Complete as soon as its last byte has arrived.
  kUntilClose,  // Complete at the orderly end of the connection.
  kRefused,     // Nothing of it is delivered.
};

struct ResponseForm {
  std::string_view name;
  FormVerdict verdict = FormVerdict::kRefused;
  std::string bytes;
  std::uint16_t status = 200;  // Set unless the form is refused.
  std::string_view body;       // Set unless the form is refused.
  // Bytes at the end that are no part of the response.
  std::size_t excess_bytes = 0;
  HttpMethod method = HttpMethod::kGet;
};

inline std::string FormWithStatus(std::string_view status,
                                  std::string_view rest) {
  return std::string("HTTP/1.1 ").append(status) + "\r\nRequest-Id: a\r\n" +
         std::string(rest);
}

// A response of status 200 with the given fields and bytes behind the head.
inline std::string FormWithFields(std::string_view fields,
                                  std::string_view rest = {}) {
  return FormWithStatus("200 OK", fields) + "\r\n" + std::string(rest);
}

// A response that is complete but for the given field lines.
inline std::string FormWithLine(std::string_view line) {
  return FormWithFields(std::string(line) + "Content-Length: 4\r\n", "0123");
}

inline std::string FormWithChunks(std::string_view chunks) {
  return FormWithFields("Transfer-Encoding: chunked\r\n", chunks);
}

inline std::vector<ResponseForm> WellFormedResponses() {
  using enum FormVerdict;
  const std::string length = "Content-Length: 4\r\n\r\n0123";
  const std::string ok = FormWithLine("");
  return {
      {"a length", kComplete, ok, 200, "0123"},
      {"a length of zero", kComplete, FormWithFields("Content-Length: 0\r\n")},
      {"chunks", kComplete, FormWithChunks("2\r\n01\r\n2\r\n23\r\n0\r\n\r\n"),
       200, "0123"},
      {"chunks with extensions and a trailer", kComplete,
       FormWithChunks("4;x=1;y\r\n0123\r\n0;z\r\nSeal: 1\r\n\r\n"), 200,
       "0123"},
      {"no length", kUntilClose, FormWithFields("", "0123"), 200, "0123"},
      {"no length, empty", kUntilClose, FormWithFields("")},
      {"HTTP/1.0", kUntilClose, "HTTP/1.0 200 OK\r\nRequest-Id: a\r\n\r\n0123",
       200, "0123"},
      {"an interim response", kComplete,
       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok, 200, "0123"},
      {"no reason", kComplete, FormWithStatus("200 ", length), 200, "0123"},
      {"no blank and no reason", kComplete, FormWithStatus("200", length), 200,
       "0123"},
      {"the last status", kComplete, FormWithStatus("599 Last", length), 599,
       "0123"},
      {"a value with a tab", kComplete, FormWithLine("X: a\tb\r\n"), 200,
       "0123"},
      {"an 8-bit value", kComplete, FormWithLine("X: \xc3\xa9\r\n"), 200,
       "0123"},
      {"an empty value", kComplete, FormWithLine("X:\r\n"), 200, "0123"},
      {"an offer to upgrade", kComplete,
       FormWithLine("Connection: upgrade\r\nUpgrade: h2c\r\n"), 200, "0123"},
      {"HEAD with a length", kComplete, FormWithFields("Content-Length: 4\r\n"),
       200, "", 0, HttpMethod::kHead},
      {"HEAD with a body", kComplete, ok, 200, "", 4, HttpMethod::kHead},
      {"HEAD with chunks", kComplete, FormWithChunks("4\r\n0123\r\n0\r\n\r\n"),
       200, "", 14, HttpMethod::kHead},
      {"204", kComplete, FormWithStatus("204 No Content", "\r\n"), 204},
      {"204 with a body", kComplete,
       FormWithStatus("204 No Content", "\r\n0123"), 204, "", 4},
      {"204 with a length and a body", kComplete,
       FormWithStatus("204 No Content", length), 204, "", 4},
      {"304 with a length", kComplete,
       FormWithStatus("304 Not Modified", "Content-Length: 4\r\n\r\n"), 304},
      {"304 with a length and a body", kComplete,
       FormWithStatus("304 Not Modified", length), 304, "", 4},
      {"304 with a body", kComplete,
       FormWithStatus("304 Not Modified", "\r\n0123"), 304, "", 4},
      {"bytes behind the response", kComplete, ok + ok, 200, "0123", ok.size()},
  };
}

inline std::vector<ResponseForm> RefusedStatusLines() {
  using enum FormVerdict;
  const std::string length = "Content-Length: 4\r\n\r\n0123";
  std::vector<ResponseForm> forms = {
      {"status with a blank in front", kRefused,
       FormWithStatus(" 200 OK", length)},
      {"reason with NUL", kRefused,
       FormWithStatus(std::string("200 O\0K", 7), length)},
      {"reason with a bare CR", kRefused, FormWithStatus("200 O\rK", length)},
      {"status line with a bare LF", kRefused,
       "HTTP/1.1 200 OK\nRequest-Id: a\r\n" + length},
      {"an empty line in front", kRefused, "\r\n" + FormWithLine("")},
      {"HTTP/2.0", kRefused, "HTTP/2.0 200 OK\r\nRequest-Id: a\r\n" + length},
      {"HTTP/0.9", kRefused, "HTTP/0.9 200 OK\r\nRequest-Id: a\r\n" + length},
      {"HTTP/1.10", kRefused, "HTTP/1.10 200 OK\r\nRequest-Id: a\r\n" + length},
      {"another protocol", kRefused,
       "ICY/1.1 200 OK\r\nRequest-Id: a\r\n" + length},
      {"101", kRefused,
       FormWithStatus("101 Switching Protocols", "\r\n") + FormWithLine("")},
      {"101 with an upgrade", kRefused,
       FormWithStatus("101 Switching Protocols",
                      "Connection: upgrade\r\nUpgrade: x\r\n\r\n0123")},
      {"1xx with a body", kRefused,
       FormWithStatus("103 Early Hints", "\r\n0123") + FormWithLine("")},
      {"1xx with a length and a body", kRefused,
       FormWithStatus("103 Early Hints", length) + FormWithLine("")},
      {"1xx with a length and a response in its body", kRefused,
       FormWithStatus("103 Early Hints", "Content-Length: 57\r\n\r\n") +
           FormWithLine("")},
      {"1xx with chunks", kRefused,
       FormWithStatus("103 Early Hints", "Transfer-Encoding: chunked\r\n\r\n") +
           "0\r\n\r\n" + FormWithLine("")},
  };
  for (const char* status :
       {"000 N", "001 N", "099 N", "600 N", "999 N", "20 N", "2 N", "0200 N",
        "2000 N", "-20 N", "2x0 N", ""})
    forms.push_back({status, kRefused, FormWithStatus(status, length)});
  return forms;
}

inline std::vector<ResponseForm> RefusedFields() {
  using enum FormVerdict;
  std::vector<ResponseForm> forms = {
      {"a blank in a name", kRefused, FormWithLine("X Y: 1\r\n")},
      {"a tab in a name", kRefused, FormWithLine("X\tY: 1\r\n")},
      {"a blank before the colon", kRefused, FormWithLine("X : 1\r\n")},
      {"a tab before the colon", kRefused, FormWithLine("X\t: 1\r\n")},
      {"a blank before the colon of the length", kRefused,
       FormWithFields("Content-Length : 4\r\n", "0123")},
      {"a blank before the first name", kRefused,
       "HTTP/1.1 200 OK\r\n Request-Id: a\r\nContent-Length: 4\r\n\r\n0123"},
      {"no name", kRefused, FormWithLine(": 1\r\n")},
      {"no colon", kRefused, FormWithLine("X\r\n")},
      {"a separator in a name", kRefused, FormWithLine("X(Y): 1\r\n")},
      {"a quote in a name", kRefused, FormWithLine("X\"Y: 1\r\n")},
      {"an 8-bit name", kRefused, FormWithLine("X\xe9: 1\r\n")},
      {"a line folded with a blank", kRefused, FormWithLine("X: 1\r\n 2\r\n")},
      {"a line folded with a tab", kRefused, FormWithLine("X: 1\r\n\t2\r\n")},
      {"an empty line folded", kRefused, FormWithLine("X:\r\n 2\r\n")},
      {"a length folded", kRefused,
       FormWithFields("Content-Length:\r\n 4\r\n", "0123")},
      {"a line of blanks", kRefused, FormWithLine("X: 1\r\n \r\n")},
      {"a bare CR in a value", kRefused, FormWithLine("X: 1\r2\r\n")},
      {"a bare LF in a value", kRefused, FormWithLine("X: 1\n2\r\n")},
      {"a bare LF between fields", kRefused, FormWithLine("X: 1\nY: 2\r\n")},
      {"CR CR LF", kRefused, FormWithLine("X: 1\r\r\n")},
      {"a head that ends with a bare LF", kRefused,
       FormWithStatus("200 OK", "Content-Length: 4\r\n\n0123")},
      {"a head that ends with a bare CR", kRefused,
       FormWithStatus("200 OK", "Content-Length: 4\r\n\r0123")},
  };
  for (const char byte : {'\0', '\1', '\b', '\v', '\f', '\x1b', '\x7f'}) {
    forms.push_back({"a control character in a name", kRefused,
                     FormWithLine(std::string("X") + byte + "Y: 1\r\n")});
    forms.push_back({"a control character in a value", kRefused,
                     FormWithLine(std::string("X: 1") + byte + "2\r\n")});
  }
  return forms;
}

inline std::vector<ResponseForm> RefusedFraming() {
  using enum FormVerdict;
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "4\r\n0123\r\n0\r\n\r\n";
  std::vector<ResponseForm> forms = {
      {"two equal lengths", kRefused, FormWithLine("Content-Length: 4\r\n")},
      {"two lengths", kRefused, FormWithLine("Content-Length: 2\r\n")},
      {"a length and chunks", kRefused,
       FormWithFields("Content-Length: 4\r\n" + chunked, chunks)},
      {"chunks and a length", kRefused,
       FormWithFields(chunked + "Content-Length: 4\r\n", chunks)},
      {"chunked twice", kRefused, FormWithFields(chunked + chunked, chunks)},
      {"chunks in HTTP/1.0", kRefused,
       "HTTP/1.0 200 OK\r\nRequest-Id: a\r\n" + chunked + "\r\n" + chunks},
  };
  for (const char* coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
        "identity", "xchunked", "", "chunked;x", "\"chunked\""})
    forms.push_back(
        {"another coding", kRefused,
         FormWithFields(std::string("Transfer-Encoding: ") + coding + "\r\n",
                        chunks)});
  for (const char* length : {"", "+4", "-4", "4, 4", "4 4", "0x4", "4x", "4.0",
                             "18446744073709551620"})
    forms.push_back(
        {"no number as the length", kRefused,
         FormWithFields(std::string("Content-Length: ") + length + "\r\n",
                        "0123")});
  for (const char* malformed :
       {"4\r\n0123XX0\r\n\r\n", "4\r\n0123\n0\r\n\r\n", "4\n0123\r\n0\r\n\r\n",
        "4\r\r0123\r\n0\r\n\r\n", "4\r\n0123\r\r0\r\n\r\n",
        "4\r\n01234\r\n0\r\n\r\n", "x\r\n0123\r\n0\r\n\r\n",
        "-4\r\n0123\r\n0\r\n\r\n", " 4\r\n0123\r\n0\r\n\r\n",
        "4 x\r\n0123\r\n0\r\n\r\n", "\r\n4\r\n0123\r\n0\r\n\r\n",
        "4\r\n0123\r\n0\r\nX Y: 1\r\n\r\n", "4\r\n0123\r\n0\r\nX: 1\n\r\n",
        "4\r\n0123\r\n0\r\nX: 1\r\n 2\r\n\r\n", "4\r\n0123\r\n0\r\n\n\r\n",
        "4;\1\r\n0123\r\n0\r\n\r\n", "10000000000000004\r\n0123\r\n0\r\n\r\n"})
    forms.push_back({"malformed chunks", kRefused, FormWithChunks(malformed)});
  return forms;
}

inline std::vector<ResponseForm> ResponseForms() {
  std::vector<ResponseForm> forms = WellFormedResponses();
  for (const auto& refused :
       {RefusedStatusLines(), RefusedFields(), RefusedFraming()})
    forms.insert(forms.end(), refused.begin(), refused.end());
  return forms;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_LIBLOOP_RESPONSE_FORMS_H_
