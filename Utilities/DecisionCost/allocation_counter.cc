// Replaces the global operator new by one that counts bytes. The operators are
// in a separate file, because the compiler warns about mismatched allocation
// functions where it inlines only one of operator new and operator delete.

#include "allocation_counter.h"

#include <cstdlib>
#include <new>

namespace cicadadrum {

namespace {

std::uint64_t allocated_bytes = 0;

}  // namespace

std::uint64_t AllocatedBytes() {
  return allocated_bytes;
}

}  // namespace cicadadrum

void* operator new(std::size_t size) {
  cicadadrum::allocated_bytes += size;
  if (void* memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  std::free(memory);
}
