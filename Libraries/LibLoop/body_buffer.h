// The bytes of a request body while it arrives.

#ifndef CICADADRUM_LOOP_BODY_BUFFER_H_
#define CICADADRUM_LOOP_BODY_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>

#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

struct FreeDeleter {
  void operator()(char* pointer) const { std::free(pointer); }
};

// Grows with realloc, which moves the pages of large blocks instead of copying
// them, so a growing body never needs its memory twice.
struct BodyBuffer {
  std::unique_ptr<char, FreeDeleter> bytes;
  std::size_t size = 0;
  std::size_t capacity = 0;
};

// Makes room for `count` more bytes and returns where they belong. The capacity
// stays below `max_capacity` if that suffices. Returns null if no memory is
// free.
char* ExtendBody(BodyBuffer& buffer,
                 std::size_t count,
                 std::uint64_t max_capacity);

// Returns the body and empties the buffer.
HttpBody TakeBody(BodyBuffer& buffer);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_BODY_BUFFER_H_
