// Reads the framing of a body in chunks (RFC 9112, section 7.1). Debian builds
// http_parser without strict mode, where it skips the two bytes behind a chunk
// whatever they are, so the framing is read here.

#ifndef CICADADRUM_LOOP_CHUNK_READER_H_
#define CICADADRUM_LOOP_CHUNK_READER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

enum class ChunkProgress : std::uint8_t {
  kNeedMore,  // More bytes are needed; the rest must be passed again.
  kAdvanced,  // The step consumed bytes.
  kComplete,  // The body and its trailers have ended.
  kMalformed,
};

template <>
struct EnumNames<ChunkProgress> {
  static constexpr auto kTable = std::to_array<EnumName<ChunkProgress>>({
      {ChunkProgress::kNeedMore, "need-more"},
      {ChunkProgress::kAdvanced, "advanced"},
      {ChunkProgress::kComplete, "complete"},
      {ChunkProgress::kMalformed, "malformed"},
  });
};

enum class ChunkPart : std::uint8_t { kSize, kData, kDataEnd, kTrailer };

template <>
struct EnumNames<ChunkPart> {
  static constexpr auto kTable = std::to_array<EnumName<ChunkPart>>({
      {ChunkPart::kSize, "size"},
      {ChunkPart::kData, "data"},
      {ChunkPart::kDataEnd, "data-end"},
      {ChunkPart::kTrailer, "trailer"},
  });
};

// Longest line of a chunk's size with its extensions, and of a trailer.
constexpr std::size_t kMaxChunkLineBytes = 1024;

struct ChunkReader {
  ChunkPart part = ChunkPart::kSize;
  std::uint64_t left = 0;  // Of the current chunk.
  std::size_t trailer_bytes = 0;
};

struct ChunkStep {
  ChunkProgress progress = ChunkProgress::kNeedMore;
  std::size_t consumed = 0;
  // The consumed bytes are part of the body.
  bool is_body = false;
};

// Reads one line or one run of body bytes from the beginning of `bytes`. A line
// must be contiguous, so up to kMaxChunkLineBytes must be passed if they have
// arrived.
ChunkStep ReadChunkStep(ChunkReader& reader, std::string_view bytes);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_CHUNK_READER_H_
