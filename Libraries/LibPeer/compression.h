// Compression of large values in answers to other entry VMs.

#ifndef LIBRARIES_LIBPEER_COMPRESSION_H_
#define LIBRARIES_LIBPEER_COMPRESSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace cicadadrum {

// Smaller values are sent as they are.
constexpr std::size_t kMinCompressedBytes = 4096;

// Maximum size of a value before its compression. The limit bounds the memory
// that a hostile message can take.
constexpr std::size_t kMaxPlainBytes = std::size_t{64} << 20;

// The compressed form of one value.
struct CompressedValue {
  std::uint64_t hash = 0;  // Of the value.
  std::size_t plain_bytes = 0;
  std::string bytes;  // Empty if compression does not make the value smaller.
};

// The compressed forms of the values that were sent last. A relay sends the
// same configuration to each of its followers and compresses it once.
struct CompressionCache {
  std::deque<CompressedValue> values;  // The last one is the newest.
};

// Returns the compressed form of `value`, or null if the value is to be sent as
// it is. `cache` is null for a receiver that can't read compressed values. The
// pointer is valid until the next call.
const std::string* FindCompressed(CompressionCache* cache,
                                  const std::string& value);

// Returns the value of `plain_bytes` bytes, or nothing if the compressed form
// is malformed or has another size.
std::optional<std::string> Decompress(std::string_view compressed,
                                      std::size_t plain_bytes);

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_COMPRESSION_H_
