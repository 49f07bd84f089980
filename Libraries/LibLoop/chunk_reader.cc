// Chunk sizes, extensions and trailers.

#include "chunk_reader.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include "http_request_head.h"
#include "http_syntax.h"

namespace cicadadrum {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxTrailerBytes = 8192;
constexpr std::uint64_t kMaxChunkBytes =
    std::numeric_limits<std::uint64_t>::max() / 4;

ChunkStep Malformed() {
  return {.progress = ChunkProgress::kMalformed};
}

// Reads a chunk's size. Blanks between the size and an extension are allowed,
// because recipients must accept them (section 7.1.1).
bool ReadSize(std::string_view line, std::uint64_t& size) {
  const char* end = line.data() + line.size();
  const auto parsed = std::from_chars(line.data(), end, size, 16);
  if (parsed.ec != std::errc() || size > kMaxChunkBytes)
    return false;
  std::string_view rest(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
  if (rest.empty())
    return true;
  const std::size_t begin = rest.find_first_not_of(" \t");
  return begin != std::string_view::npos && rest[begin] == ';' &&
         IsFieldValue(rest);
}

ChunkStep ReadSizeLine(ChunkReader& reader, std::string_view line) {
  if (!ReadSize(line, reader.left))
    return Malformed();
  reader.part = reader.left == 0 ? ChunkPart::kTrailer : ChunkPart::kData;
  return {.progress = ChunkProgress::kAdvanced,
          .consumed = line.size() + kLineEnd.size()};
}

ChunkStep ReadTrailerLine(ChunkReader& reader, std::string_view line) {
  const std::size_t consumed = line.size() + kLineEnd.size();
  if (line.empty())
    return {.progress = ChunkProgress::kComplete, .consumed = consumed};
  reader.trailer_bytes += consumed;
  if (reader.trailer_bytes > kMaxTrailerBytes || !IsFieldLine(line))
    return Malformed();
  return {.progress = ChunkProgress::kAdvanced, .consumed = consumed};
}

}  // namespace

ChunkStep ReadChunkStep(ChunkReader& reader, std::string_view bytes) {
  if (bytes.empty())
    return {};
  if (reader.part == ChunkPart::kData) {
    const auto size = static_cast<std::size_t>(
        std::min<std::uint64_t>(bytes.size(), reader.left));
    reader.left -= size;
    if (reader.left == 0)
      reader.part = ChunkPart::kDataEnd;
    return {.progress = ChunkProgress::kAdvanced,
            .consumed = size,
            .is_body = true};
  }
  if (reader.part == ChunkPart::kDataEnd) {
    if (!bytes.starts_with(kLineEnd))
      return kLineEnd.starts_with(bytes) ? ChunkStep{} : Malformed();
    reader.part = ChunkPart::kSize;
    return {.progress = ChunkProgress::kAdvanced, .consumed = kLineEnd.size()};
  }
  const std::size_t end = bytes.find_first_of(kLineEnd);
  if (end > kMaxChunkLineBytes)
    return end == std::string_view::npos && bytes.size() <= kMaxChunkLineBytes
               ? ChunkStep{}
               : Malformed();
  const std::string_view line_end = bytes.substr(end, kLineEnd.size());
  if (line_end != kLineEnd)
    return line_end == "\r" ? ChunkStep{} : Malformed();
  const std::string_view line = bytes.substr(0, end);
  return reader.part == ChunkPart::kSize ? ReadSizeLine(reader, line)
                                         : ReadTrailerLine(reader, line);
}

}  // namespace cicadadrum
