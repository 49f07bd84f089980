// Strict check of the lines of an HTTP/1.1 response: its head, the lines that
// frame its chunks, and its trailer. http_parser accepts more than RFC 9112
// allows, such as blanks in names, folded lines, bare LFs, and any two bytes
// behind a chunk.

#ifndef CICADADRUM_LOOP_HTTP_LINES_H_
#define CICADADRUM_LOOP_HTTP_LINES_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cicadadrum {

enum class HttpLineKind : std::uint8_t {
  kStatus,
  kField,      // A field or the empty line behind the fields.
  kChunkSize,  // The size of a chunk with its extensions.
  kChunkEnd,   // The empty line behind the data of a chunk.
};

// State of the check of one line, whose bytes may arrive in pieces.
struct HttpLine {
  HttpLineKind kind = HttpLineKind::kStatus;
  std::size_t size = 0;   // Bytes so far.
  bool in_value = false;  // Behind the part that has its own syntax.
  bool ended = false;     // The CR has arrived.
};

// Checks the next bytes of a line, which contain LF as the last byte at most.
// Returns false if the line is malformed.
bool CheckLine(HttpLine& line, std::string_view bytes);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_LINES_H_
