// Memory of request bodies.

#include "body_buffer.h"

#include <algorithm>
#include <utility>

namespace cicadadrum {

namespace {

// Less unused memory is kept.
constexpr std::size_t kMaxUnusedBytes = 4096;

// Bodies whose length is known get all of their memory at once up to this size.
constexpr std::uint64_t kMaxFirstCapacity = 16'384;

// Limit the memory that a body holds for bytes which may never come. A larger
// body grows by a share of its size, because an allocator may copy it each
// time.
constexpr std::uint64_t kMaxGrowth = 131'072;
constexpr std::uint64_t kGrowthDivisor = 8;

std::uint64_t GrowthOf(std::uint64_t capacity) {
  return std::min(capacity, std::max(kMaxGrowth, capacity / kGrowthDivisor));
}

bool Resize(BodyBuffer& buffer, std::size_t capacity) {
  auto* resized =
      static_cast<char*>(std::realloc(buffer.bytes.get(), capacity));
  if (resized == nullptr)
    return false;
  static_cast<void>(buffer.bytes.release());
  buffer.bytes.reset(resized);
  buffer.capacity = capacity;
  return true;
}

}  // namespace

char* ExtendBody(BodyBuffer& buffer,
                 std::size_t count,
                 std::uint64_t max_capacity) {
  const std::uint64_t needed = buffer.size + count;
  if (needed > buffer.capacity) {
    const std::uint64_t wanted =
        buffer.capacity == 0
            ? std::min(max_capacity, kMaxFirstCapacity)
            : std::min(buffer.capacity + GrowthOf(buffer.capacity),
                       max_capacity);
    if (!Resize(buffer, std::max(wanted, needed)))
      return nullptr;
  }
  return buffer.bytes.get() + buffer.size;
}

HttpBody TakeBody(BodyBuffer& buffer) {
  // The memory behind a body whose length was not known.
  if (buffer.size > 0 && buffer.capacity - buffer.size > kMaxUnusedBytes)
    Resize(buffer, buffer.size);
  BodyBuffer taken = std::exchange(buffer, {});
  if (taken.size == 0)
    return {};
  const std::string_view view(taken.bytes.get(), taken.size);
  std::shared_ptr<const char> owner(
      taken.bytes.release(),
      [](const char* pointer) { std::free(const_cast<char*>(pointer)); });
  return {std::move(owner), view};
}

}  // namespace cicadadrum
