// Compresses values with zlib and keeps the last results.

#include "compression.h"

#include <zlib.h>

#include <utility>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

// A few versions of the configuration are on their way at the same time.
constexpr std::size_t kMaxCachedValues = 4;

std::string Compress(const std::string& value) {
  uLongf size = compressBound(static_cast<uLong>(value.size()));
  std::string compressed(size, '\0');
  const int result =
      compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                reinterpret_cast<const Bytef*>(value.data()),
                static_cast<uLong>(value.size()), Z_BEST_SPEED);
  if (result != Z_OK || size >= value.size())
    return {};
  compressed.resize(size);
  return compressed;
}

}  // namespace

const std::string* FindCompressed(CompressionCache* cache,
                                  const std::string& value) {
  if (cache == nullptr || value.size() < kMinCompressedBytes ||
      value.size() > kMaxPlainBytes)
    return nullptr;
  const std::uint64_t hash = HashBytes(value);
  for (const CompressedValue& known : cache->values) {
    if (known.hash == hash && known.plain_bytes == value.size())
      return known.bytes.empty() ? nullptr : &known.bytes;
  }
  cache->values.push_back({hash, value.size(), Compress(value)});
  if (cache->values.size() > kMaxCachedValues)
    cache->values.pop_front();
  const std::string& bytes = cache->values.back().bytes;
  return bytes.empty() ? nullptr : &bytes;
}

std::optional<std::string> Decompress(std::string_view compressed,
                                      std::size_t plain_bytes) {
  if (plain_bytes > kMaxPlainBytes)
    return std::nullopt;
  std::string value(plain_bytes, '\0');
  uLongf size = static_cast<uLongf>(plain_bytes);
  const int result =
      uncompress(reinterpret_cast<Bytef*>(value.data()), &size,
                 reinterpret_cast<const Bytef*>(compressed.data()),
                 static_cast<uLong>(compressed.size()));
  if (result != Z_OK || size != plain_bytes)
    return std::nullopt;
  return value;
}

}  // namespace cicadadrum
